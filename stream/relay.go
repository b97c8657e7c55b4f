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

// eventBuffer is the number of events that are read ahead of the writes to the
// caller.
const eventBuffer = 16

// errBroken marks errors on the target's side of a stream.
var errBroken = errors.New("stream broken")

// errIdle reports that no byte, or no progress, came from the target in time.
var errIdle = errors.New("stream silent")

// An End is the result of a relay: Complete, Broken or Aborted.
type End interface{ end() }

// Complete reports that the whole response was relayed.
type Complete struct{}

// Broken reports that the target's response failed and could not be resumed.
type Broken struct{ Err error }

// Aborted reports that a write to the caller failed or that ctx ended.
type Aborted struct{ Err error }

func (Complete) end() {}
func (Broken) end()   {}
func (Aborted) end()  {}

// A ResumeFunc requests the events of the same response, starting at an offset,
// from the target over a new connection.
type ResumeFunc func(ctx context.Context, from int64) target.Result

// Relay relays a target's response to the caller. If resume is not nil, it resumes
// an event stream that breaks or times out. It calls onPart for each part of the
// response.
func (resp *Response) Relay(ctx context.Context, r target.Response, resume ResumeFunc, onPart func()) End {
	if !strings.HasPrefix(r.Header.Get("Content-Type"), "text/event-stream") {
		return resp.relayBody(ctx, r, onPart)
	}
	failures := 0
	for {
		before := resp.relayed
		err := resp.relayEvents(ctx, r.Body, resume != nil, onPart)
		switch {
		case err == nil:
			return Complete{}
		case !errors.Is(err, errBroken):
			return Aborted{Err: err}
		case resume == nil:
			return Broken{Err: err}
		}
		if resp.relayed > before {
			failures = 0
		}
		next, ok := resp.reopen(ctx, resume, &failures)
		if !ok {
			return Broken{Err: err}
		}
		r = next
	}
}

// reopen reopens the stream after the last relayed event.
func (resp *Response) reopen(ctx context.Context, resume ResumeFunc, failures *int) (target.Response, bool) {
	for *failures < resp.opts.MaxResumes && ctx.Err() == nil {
		*failures++
		switch result := resume(ctx, resp.lastOffset+1).(type) {
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
		sleep(ctx, resp.opts.ResumeDelay)
	}
	return target.Response{}, false
}

// sleep returns after d or when ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// A read is the result of reading one event from the target.
type read struct {
	event Event
	err   error
}

// relayEvents relays the events of one connection until its end. It returns nil at
// the end of the response, and an error that wraps errBroken for errors on the
// target's side. Any data after that is discarded with the connection. A stream that
// cannot be resumed has no idle timeout, since its target may pause and go on.
func (resp *Response) relayEvents(ctx context.Context, body io.ReadCloser, resumable bool, onPart func()) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer body.Close()
	reads := make(chan read, eventBuffer)
	go readEvents(ctx, body, reads)
	idle := time.NewTimer(resp.opts.IdleTimeout)
	defer idle.Stop()
	if !resumable {
		idle.Stop()
	}
	stall := time.NewTimer(resp.opts.StallTimeout)
	defer stall.Stop()
	ping := time.NewTicker(resp.opts.PingInterval)
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
			case <-idle.C:
				return eris.Wrap(errBroken, errIdle.Error())
			case <-stall.C:
				return eris.Wrap(errBroken, "no progress")
			case <-ping.C:
				if err := resp.ping(); err != nil {
					return err
				}
				continue
			}
		}
		if r.err != nil {
			return resp.endError(r.err)
		}
		if !r.event.Comment {
			onPart()
			if err := resp.event(r.event); err != nil || resp.ended {
				return err
			}
			stall.Reset(resp.opts.StallTimeout)
			ping.Reset(resp.opts.PingInterval)
		}
		if resumable {
			idle.Reset(resp.opts.IdleTimeout)
		}
	}
}

// endError returns the error for the end of the target's stream, or nil if the
// response is complete. Only a stream whose events are not numbered may end without
// a [DONE] event, provided that at least one event was relayed.
func (resp *Response) endError(err error) error {
	if errors.Is(err, io.EOF) && !resp.opts.Numbered && resp.relayed > 0 {
		resp.ended = true
		return nil
	}
	return eris.Wrap(errBroken, err.Error())
}

// readEvents reads events until the stream ends. The capacity of the channel limits
// how far it reads ahead of the caller.
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

// relayBody relays a response that is not an event stream. It writes nothing before
// the whole body has arrived, so that the request can be retried on another target
// or refused if the response breaks.
func (resp *Response) relayBody(ctx context.Context, r target.Response, onPart func()) End {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stop := context.AfterFunc(ctx, func() { _ = r.Body.Close() })
	defer stop()
	defer r.Body.Close()
	stall := time.AfterFunc(time.Hour, func() { cancel(errIdle) })
	stall.Stop()
	defer stall.Stop()
	body, err := io.ReadAll(io.LimitReader(&progressReader{r.Body, func() {
		onPart()
		stall.Reset(resp.opts.StallTimeout)
	}}, MaxBodyBytes+1))
	switch {
	case errors.Is(context.Cause(ctx), errIdle):
		return Broken{Err: eris.Wrap(errBroken, errIdle.Error())}
	case ctx.Err() != nil:
		return Aborted{Err: context.Cause(ctx)}
	case err != nil:
		return Broken{Err: eris.Wrap(err, "answer of target")}
	case len(body) > MaxBodyBytes:
		return Broken{Err: eris.Errorf("answer of target larger than %d bytes", MaxBodyBytes)}
	}
	onPart()
	resp.start(r.Status, r.Header)
	resp.relayed++
	resp.ended = true
	if err := resp.write(body); err != nil {
		return Aborted{Err: err}
	}
	return Complete{}
}

// A progressReader calls onRead after every read that returned data.
type progressReader struct {
	r      io.Reader
	onRead func()
}

// Read implements io.Reader.
func (p *progressReader) Read(b []byte) (int, error) {
	n, err := p.r.Read(b)
	if n > 0 {
		p.onRead()
	}
	return n, err
}
