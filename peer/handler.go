package peer

import (
	"context"
	"errors"
	"sync"
)

// Errors of a call that the receiver answered without handling it.
var (
	// ErrWrongVM reports that another VM than the wanted one has the address.
	ErrWrongVM = errors.New("another VM answers at this address")
	// ErrForbidden reports that the receiver has another secret.
	ErrForbidden = errors.New("peer refused the secret")
	// ErrUnknownCall reports that the receiver has no handler for the call.
	ErrUnknownCall = errors.New("peer does not know the call")
	// ErrUnreachable reports that the receiver could not be connected to.
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

// A registry holds handlers by the name of their call.
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

// serve runs the handler of a call, with an empty response in place of none.
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
