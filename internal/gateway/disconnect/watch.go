package disconnect

import (
	"context"
	"net/http"
	"sync"
	"time"
)

// watchPeriod is the time between two checks of a connection that is not being read.
const watchPeriod = 100 * time.Millisecond

// A Watch cancels the requests of callers that leave. The zero value is ready to use.
type Watch struct {
	mu       sync.Mutex
	requests map[*request]struct{}
	timer    *time.Timer
}

// A request is a running request.
type request struct {
	conn   *conn
	cancel context.CancelCauseFunc
}

type requestKey struct{}

// HasLeft reports whether the caller of a request has left, and cancels the request if so.
// The context is that of a request that a Watch serves.
func HasLeft(ctx context.Context) bool {
	r, ok := ctx.Value(requestKey{}).(*request)
	if !ok || !r.conn.hasLeft() {
		return false
	}
	r.cancel(ErrLeft)
	return true
}

// Handler returns a handler whose requests are cancelled with ErrLeft when their callers
// leave. It needs the connections of a Listener and the context of WithConn.
func (w *Watch) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, in *http.Request) {
		c, ok := in.Context().Value(connKey{}).(*conn)
		if !ok {
			next.ServeHTTP(rw, in)
			return
		}
		ctx, cancel := context.WithCancelCause(in.Context())
		defer cancel(nil)
		r := &request{c, cancel}
		w.add(r)
		defer w.remove(r)
		next.ServeHTTP(rw, in.WithContext(context.WithValue(ctx, requestKey{}, r)))
	})
}

func (w *Watch) add(r *request) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case w.timer == nil:
		w.requests = map[*request]struct{}{}
		w.timer = time.AfterFunc(watchPeriod, w.check)
	case len(w.requests) == 0:
		w.timer.Reset(watchPeriod)
	}
	w.requests[r] = struct{}{}
}

func (w *Watch) remove(r *request) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.requests, r)
	if len(w.requests) == 0 {
		w.timer.Stop()
	}
}

// check checks the connections that are not being read.
func (w *Watch) check() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.requests) == 0 {
		return
	}
	for r := range w.requests {
		if !r.conn.reading.Load() && r.conn.hasLeft() {
			r.cancel(ErrLeft)
		}
	}
	w.timer.Reset(watchPeriod)
}
