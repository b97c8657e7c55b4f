package stream

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/baobabdyke/baobabdyke/target"
)

// eventBuffer is the number of events that are read ahead of the caller.
const eventBuffer = 16

// errBroken marks faults of the target's side of a stream.
var errBroken = errors.New("stream broken")

// errSilent reports a connection without a byte, or without progress, for too
// long.
var errSilent = errors.New("stream silent")

// An End is how a relay ended: Complete, Broken or Gone.
type End interface{ end() }

// Complete reports an answer that was passed on whole.
type Complete struct{}

// Broken reports that the target's answer broke and could not be resumed.
type Broken struct{ Err error }

// Gone reports that the caller cannot be written to, or that ctx ended.
type Gone struct{ Err error }

func (Complete) end() {}
func (Broken) end()   {}
func (Gone) end()     {}

// A Resume asks the target for the events of the same answer from an offset on,
// over a new connection.
type ResumeFunc func(ctx context.Context, from int64) target.Result

// Relay passes a target's answer to the caller. It resumes an event stream that
// breaks or goes silent, if resume is not nil. First is called at the first
// part of the answer.
func (a *Response) Relay(ctx context.Context, r target.Response, resume ResumeFunc, first func()) End {
	if !strings.HasPrefix(r.Header.Get("Content-Type"), "text/event-stream") {
		return a.whole(ctx, r, first)
	}
	failures := 0
	for {
		before := a.count
		err := a.pass(ctx, r.Body, first)
		switch {
		case err == nil:
			return Complete{}
		case !errors.Is(err, errBroken):
			return Gone{Err: err}
		case resume == nil:
			return Broken{Err: err}
		}
		if a.count > before {
			failures = 0
		}
		next, ok := a.resumed(ctx, resume, &failures)
		if !ok {
			return Broken{Err: err}
		}
		r = next
	}
}

// resumed opens the stream again behind the last event passed on.
func (a *Response) resumed(ctx context.Context, resume ResumeFunc, failures *int) (target.Response, bool) {
	for *failures < a.opts.MaxResumes && ctx.Err() == nil {
		*failures++
		switch result := resume(ctx, a.last+1).(type) {
		case target.Responded:
			if result.Response.Status == http.StatusOK {
				return result.Response, true
			}
			_ = result.Response.Body.Close()
			return target.Response{}, false
		case target.NotRun:
			if !result.Unreachable {
				return target.Response{}, false
			}
		}
		pause(ctx, a.opts.ResumeDelay)
	}
	return target.Response{}, false
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// read is one outcome of reading the target's stream.
type read struct {
	event Event
	err   error
}

// pass relays one connection until its end. It returns nil at the end of the
// answer and an error of errBroken for faults of the target's side. What the
// connection still sends after that is dropped with it.
func (a *Response) pass(ctx context.Context, body io.ReadCloser, first func()) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer body.Close()
	reads := make(chan read, eventBuffer)
	go readEvents(ctx, body, reads)
	silence := time.NewTimer(a.opts.IdleTimeout)
	defer silence.Stop()
	stall := time.NewTimer(a.opts.StallTimeout)
	defer stall.Stop()
	ping := time.NewTicker(a.opts.PingInterval)
	defer ping.Stop()
	for {
		var r read
		select {
		case r = <-reads:
		default:
			select {
			case r = <-reads:
			case <-ctx.Done():
				return context.Cause(ctx)
			case <-silence.C:
				return eris.Wrap(errBroken, errSilent.Error())
			case <-stall.C:
				return eris.Wrap(errBroken, "no progress")
			case <-ping.C:
				if err := a.ping(); err != nil {
					return err
				}
				continue
			}
		}
		if r.err != nil {
			return a.ending(r.err)
		}
		if !r.event.Comment {
			first()
			if err := a.event(r.event); err != nil || a.ended {
				return err
			}
			stall.Reset(a.opts.StallTimeout)
			ping.Reset(a.opts.PingInterval)
		}
		silence.Reset(a.opts.IdleTimeout)
	}
}

// ending judges the end of the target's stream. Only a stream without numbers
// may end without a last event.
func (a *Response) ending(err error) error {
	if errors.Is(err, io.EOF) && !a.opts.Numbered && a.count > 0 {
		a.ended = true
		return nil
	}
	return eris.Wrap(errBroken, err.Error())
}

// readEvents reads events until the stream ends. The channel bounds how far it
// reads ahead of the caller.
func readEvents(ctx context.Context, body io.Reader, reads chan<- read) {
	reader := NewReader(body)
	for {
		e, err := reader.Next()
		select {
		case reads <- read{e, err}:
		case <-ctx.Done():
			return
		}
		if err != nil {
			return
		}
	}
}

// whole passes on an answer in one piece: nothing is written before all of it
// has come, so that a broken one can be run elsewhere or refused.
func (a *Response) whole(ctx context.Context, r target.Response, first func()) End {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stop := context.AfterFunc(ctx, func() { _ = r.Body.Close() })
	defer stop()
	defer r.Body.Close()
	stall := time.AfterFunc(time.Hour, func() { cancel(errSilent) })
	stall.Stop()
	defer stall.Stop()
	body, err := io.ReadAll(io.LimitReader(&progress{r.Body, func() {
		first()
		stall.Reset(a.opts.StallTimeout)
	}}, MaxBodyBytes+1))
	switch {
	case errors.Is(context.Cause(ctx), errSilent):
		return Broken{Err: eris.Wrap(errBroken, errSilent.Error())}
	case ctx.Err() != nil:
		return Gone{Err: context.Cause(ctx)}
	case err != nil:
		return Broken{Err: eris.Wrap(err, "answer of target")}
	case len(body) > MaxBodyBytes:
		return Broken{Err: eris.Errorf("answer of target larger than %d bytes", MaxBodyBytes)}
	}
	first()
	a.start(r.Status, r.Header)
	a.count++
	a.ended = true
	if err := a.write(body); err != nil {
		return Gone{Err: err}
	}
	return Complete{}
}

// A progress is a reader that tells of every read that brought something.
type progress struct {
	r    io.Reader
	made func()
}

// Read implements io.Reader.
func (p *progress) Read(b []byte) (int, error) {
	n, err := p.r.Read(b)
	if n > 0 {
		p.made()
	}
	return n, err
}
