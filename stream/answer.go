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
	// DefaultSilence is the time without a byte from the target after which its
	// connection counts as broken. Engines ping every second.
	DefaultIdleTimeout = 3 * time.Second
	// DefaultStall is the time without progress, pings or not.
	DefaultStallTimeout = 60 * time.Second
	// DefaultPing is the time between pings to an idle caller.
	DefaultPingInterval = time.Second
	// DefaultWrite bounds one write to the caller.
	DefaultWriteTimeout = 10 * time.Second
	// DefaultResumes is the number of times that one answer is resumed without
	// progress in between.
	DefaultMaxResumes = 3
	// DefaultResumePause is the pause before a resume that failed is repeated.
	DefaultResumeDelay = 200 * time.Millisecond
	// MaxWhole bounds an answer that is passed on in one piece.
	MaxBodyBytes = 16 << 20
)

// Options are the time limits of an Answer; zero values stand for the
// defaults. Numbered tells that every event must carry its offset and that the
// answer ends with a [DONE] event, as engines send them.
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

// An Answer is what one caller gets, over all attempts. It has one owner: the
// goroutine of the caller's request.
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

// NewAnswer returns an Answer to which nothing was written.
func NewResponse(w http.ResponseWriter, opts Options) *Response {
	return &Response{
		w:       w,
		control: http.NewResponseController(w),
		opts:    opts.withDefaults(),
	}
}

// Started tells whether the status was written, so that no other can be.
func (a *Response) Started() bool { return a.started }

// Passed returns the number of events or whole bodies that were passed on.
func (a *Response) Relayed() int64 { return a.count }

// start writes the status and the headers that callers get.
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

// startEvents starts an event stream.
func (a *Response) startEvents() {
	if a.started {
		return
	}
	a.events = true
	a.w.Header().Set("Cache-Control", "no-store")
	a.start(http.StatusOK, http.Header{"Content-Type": {"text/event-stream"}})
}

// write sends bytes to the caller at once.
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

// event passes one event on if it is the next, and drops a repeated one. It
// returns errBroken where events are missing.
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

// ping tells the caller that its connection works.
func (a *Response) ping() error {
	a.startEvents()
	return a.write([]byte(": ping\n\n"))
}

// Fail ends a started event stream with an explicit error event. It tells
// whether it could: an answer of another kind that has started must be cut off,
// so that the caller sees it end short of its length.
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
