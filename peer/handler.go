package peer

import (
	"context"
	"errors"
	"sync"
)

// Errors of calls that were not handled.
var (
	// ErrWrongVM is returned when the VM at the address is not that of the
	// Destination.
	ErrWrongVM = errors.New("another VM answers at this address")
	// ErrForbidden is returned when the receiver has a different secret.
	ErrForbidden = errors.New("peer refused the secret")
	// ErrUnknownCall is returned when the receiver has no handler for the call.
	ErrUnknownCall = errors.New("peer does not know the call")
	// ErrUnreachable is returned when no connection to the receiver could be
	// opened.
	ErrUnreachable = errors.New("peer unreachable")
)

// Handle registers a typed handler of a call.
func Handle[Req, Resp any](
	r Registrar, call string,
	h func(ctx context.Context, from string, req Req) (Resp, error),
) {
	r.Handle(call, func(ctx context.Context, from string, decode func(any) error) (any, error) {
		var req Req
		if err := decode(&req); err != nil {
			return nil, err
		}
		resp, err := h(ctx, from, req)
		if err != nil {
			return nil, err
		}
		return resp, nil
	})
}

// A registry stores handlers by the name of their call.
type registry struct {
	mu       sync.RWMutex
	handlers map[string]Handler
}

// Handle implements Registrar.
func (r *registry) Handle(call string, h Handler) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.handlers == nil {
		r.handlers = map[string]Handler{}
	}
	r.handlers[call] = h
}

func (r *registry) find(call string) (Handler, bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	h, ok := r.handlers[call]
	return h, ok
}

// serve runs the handler of a call. It returns an empty response if the handler
// returns none.
func (r *registry) serve(
	ctx context.Context, from, call string, decode func(any) error,
) (any, error) {
	h, ok := r.find(call)
	if !ok {
		return nil, ErrUnknownCall
	}
	resp, err := h(ctx, from, decode)
	if err != nil {
		return nil, err
	}
	if resp == nil {
		resp = struct{}{}
	}
	return resp, nil
}
