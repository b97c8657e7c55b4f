package stream

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/baobabdyke/baobabdyke/invariant"
)

const (
	// DefaultIdleTimeout is the time without a byte from the target after which
	// its connection is considered broken. Engines send a ping every second.
	DefaultIdleTimeout = 3 * time.Second
	// DefaultStallTimeout is the time without an event, even if pings arrive,
	// after which a stream is considered broken.
	DefaultStallTimeout = 60 * time.Second
	// DefaultPingInterval is the time between pings to the caller while no events
	// arrive.
	DefaultPingInterval = time.Second
	// DefaultWriteTimeout bounds one write to the caller.
	DefaultWriteTimeout = 10 * time.Second
	// DefaultMaxResumes is the number of consecutive resumes without progress
	// after which a stream is given up.
	DefaultMaxResumes = 3
	// DefaultResumeDelay is the delay after a failed resume.
	DefaultResumeDelay = 200 * time.Millisecond
	// MaxBodyBytes bounds the body of a response that is not an event stream.
	MaxBodyBytes = 16 << 20
)

// Options are the limits of a Response; zero values mean the defaults. Numbered
// requires that every event has its offset as id and that the stream ends with a
// [DONE] event, as those of engines do.
type Options struct {
	IdleTimeout  time.Duration
	StallTimeout time.Duration
	PingInterval time.Duration
	WriteTimeout time.Duration
	MaxResumes   int
	ResumeDelay  time.Duration
	Numbered     bool
}

func (o Options) withDefaults() Options {
	set := func(d *time.Duration, value time.Duration) {
		if *d <= 0 {
			*d = value
		}
	}
	set(&o.IdleTimeout, DefaultIdleTimeout)
	set(&o.StallTimeout, DefaultStallTimeout)
	set(&o.PingInterval, DefaultPingInterval)
	set(&o.WriteTimeout, DefaultWriteTimeout)
	set(&o.ResumeDelay, DefaultResumeDelay)
	if o.MaxResumes <= 0 {
		o.MaxResumes = DefaultMaxResumes
	}
	return o
}

// A Response writes the response to one caller, across all attempts. It must only
// be used by one goroutine.
type Response struct {
	w       http.ResponseWriter
	control *http.ResponseController
	opts    Options
	started bool
	events  bool
	last    int64
	count   int64
	ended   bool
}

// NewResponse returns a Response that writes to w.
func NewResponse(w http.ResponseWriter, opts Options) *Response {
	return &Response{
		w:       w,
		control: http.NewResponseController(w),
		opts:    opts.withDefaults(),
	}
}

// Started reports whether the status has been written.
func (a *Response) Started() bool { return a.started }

// Relayed returns the number of events that were relayed, or 1 after a response
// that is not an event stream.
func (a *Response) Relayed() int64 { return a.count }

// start writes the status and the headers that are relayed to callers.
func (a *Response) start(status int, h http.Header) {
	if a.started {
		return
	}
	a.started = true
	for _, name := range []string{"Content-Type", "Content-Language", "Retry-After"} {
		if v := h.Get(name); v != "" {
			a.w.Header().Set(name, v)
		}
	}
	a.w.WriteHeader(status)
}

// startEvents starts an event stream to the caller.
func (a *Response) startEvents() {
	if a.started {
		return
	}
	a.events = true
	a.w.Header().Set("Cache-Control", "no-store")
	a.start(http.StatusOK, http.Header{"Content-Type": {"text/event-stream"}})
}

// write writes bytes to the caller and flushes them.
func (a *Response) write(b []byte) error {
	_ = a.control.SetWriteDeadline(time.Now().Add(a.opts.WriteTimeout))
	if _, err := a.w.Write(b); err != nil {
		return eris.Wrap(err, "write to caller")
	}
	if err := a.control.Flush(); err != nil && !eris.Is(err, http.ErrNotSupported) {
		return eris.Wrap(err, "write to caller")
	}
	return nil
}

// event relays one event if it is the next one, and drops a repeated one. It
// returns errBroken if events are missing.
func (a *Response) event(e Event) error {
	if a.opts.Numbered {
		switch {
		case e.Offset == 0:
			return eris.Wrap(errBroken, "event without an offset")
		case e.Offset <= a.last:
			return nil
		case e.Offset != a.last+1:
			return eris.Wrapf(errBroken, "event %d after %d", e.Offset, a.last)
		}
	}
	invariant.Check(!a.ended, "answer-ended", "event %d after the end", e.Offset)
	a.startEvents()
	a.last = e.Offset
	a.count++
	a.ended = e.Last()
	return a.write(e.Raw)
}

// ping sends a comment to the caller, to keep the connection alive.
func (a *Response) ping() error {
	a.startEvents()
	return a.write([]byte(": ping\n\n"))
}

// Fail ends a started event stream with an error event. It reports whether it
// could: a response of another kind that has started must be aborted, so that the
// caller can see that it is truncated.
func (a *Response) Fail(outcome, reason string) bool {
	if !a.started || !a.events || a.ended {
		return false
	}
	a.ended = true
	body, err := json.Marshal(struct {
		Outcome string `json:"outcome"`
		Message string `json:"message"`
	}{outcome, reason})
	if err != nil {
		return false
	}
	return a.write(fmt.Appendf(nil, "event: error\ndata: {\"error\":%s}\n\n", body)) == nil
}
