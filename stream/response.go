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
	// its connection is considered broken if the stream can be resumed. Engines send a
	// ping every second.
	DefaultIdleTimeout = 3 * time.Second
	// DefaultStallTimeout is the time without progress, which is an event or body
	// data but not a ping, after which a response is considered broken.
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
	w           http.ResponseWriter
	control     *http.ResponseController
	opts        Options
	started     bool
	eventStream bool
	lastOffset  int64
	relayed     int64
	ended       bool
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
func (resp *Response) Started() bool { return resp.started }

// Relayed returns the number of events that were relayed, or 1 after a response
// that is not an event stream.
func (resp *Response) Relayed() int64 { return resp.relayed }

// start writes the status and the headers that are relayed to callers.
func (resp *Response) start(status int, h http.Header) {
	if resp.started {
		return
	}
	resp.started = true
	for _, name := range []string{"Content-Type", "Content-Language", "Retry-After"} {
		if v := h.Get(name); v != "" {
			resp.w.Header().Set(name, v)
		}
	}
	resp.w.WriteHeader(status)
}

// startEvents starts an event stream to the caller.
func (resp *Response) startEvents() {
	if resp.started {
		return
	}
	resp.eventStream = true
	resp.w.Header().Set("Cache-Control", "no-store")
	resp.start(http.StatusOK, http.Header{"Content-Type": {"text/event-stream"}})
}

// write writes bytes to the caller and flushes them.
func (resp *Response) write(b []byte) error {
	_ = resp.control.SetWriteDeadline(time.Now().Add(resp.opts.WriteTimeout))
	if _, err := resp.w.Write(b); err != nil {
		return eris.Wrap(err, "write to caller")
	}
	if err := resp.control.Flush(); err != nil && !eris.Is(err, http.ErrNotSupported) {
		return eris.Wrap(err, "write to caller")
	}
	return nil
}

// event relays one event if it is the next one, and drops a repeated one. It
// returns errBroken if events are missing.
func (resp *Response) event(e Event) error {
	if resp.opts.Numbered {
		switch {
		case e.Offset == 0:
			return eris.Wrap(errBroken, "event without an offset")
		case e.Offset <= resp.lastOffset:
			return nil
		case e.Offset != resp.lastOffset+1:
			return eris.Wrapf(errBroken, "event %d after %d", e.Offset, resp.lastOffset)
		}
	}
	invariant.Check(!resp.ended, "answer-ended", "event %d after the end", e.Offset)
	resp.startEvents()
	resp.lastOffset = e.Offset
	resp.relayed++
	resp.ended = e.Last()
	return resp.write(e.Raw)
}

// ping sends a comment to the caller, to keep the connection alive.
func (resp *Response) ping() error {
	resp.startEvents()
	return resp.write([]byte(": ping\n\n"))
}

// Fail ends a started event stream with an error event. It reports whether it
// could: a response of another kind that has started must be aborted, so that the
// caller can see that it is truncated.
func (resp *Response) Fail(outcome, reason string) bool {
	if !resp.started || !resp.eventStream || resp.ended {
		return false
	}
	resp.ended = true
	body, err := json.Marshal(struct {
		Outcome string `json:"outcome"`
		Message string `json:"message"`
	}{outcome, reason})
	if err != nil {
		return false
	}
	return resp.write(fmt.Appendf(nil, "event: error\ndata: {\"error\":%s}\n\n", body)) == nil
}
