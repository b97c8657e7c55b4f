package disconnect

import (
	"context"
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

// A request is a running request that is being watched.
type request struct {
	conn   *Conn
	cancel context.CancelCauseFunc
}

// Add calls cancel with ErrLeft if the caller leaves before the returned function is
// called.
func (w *Watch) Add(c *Conn, cancel context.CancelCauseFunc) (remove func()) {
	if c == nil || c.raw == nil {
		return func() {}
	}
	r := &request{c, cancel}
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.requests) == 0 {
		w.requests = map[*request]struct{}{}
		w.timer = time.AfterFunc(watchPeriod, w.check)
	}
	w.requests[r] = struct{}{}
	return func() { w.remove(r) }
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
		if !r.conn.reading.Load() && r.conn.HasLeft() {
			r.cancel(ErrLeft)
		}
	}
	w.timer.Reset(watchPeriod)
}
