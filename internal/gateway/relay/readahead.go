package relay

import (
	"errors"
	"io"

	"github.com/baobabdyke/baobabdyke/internal/gateway/conn"
	"github.com/baobabdyke/baobabdyke/internal/gateway/intake"
)

// A readAhead is the first part of a response: the first event of a stream, or the body of
// a plain response.
type readAhead struct {
	events *eventReader
	event  event
	body   *intake.Body
	err    error
	done   bool
	// usable reports whether what was read may be passed on.
	usable bool
}

// begins reports whether the target has begun to answer the request with something that
// is passed on. It reads the first event of a stream, or the whole body of another
// response, and so waits for it. A header alone does not show that more follows, and a
// resumed stream that ends at once can't be told from one that failed.
func (x *exchange) begins() bool {
	if !x.answers() {
		return false
	}
	r := x.result.(conn.Responded)
	a := &x.ahead
	a.done = true
	if !isStream(r.Response) {
		a.body, a.err = r.Exchange.ReadBody(maxResponseBytes)
		a.usable = a.err == nil
		return a.usable
	}
	a.events = newEventReader(r.Response.Body, x.handler.opts.Pool.Budget())
	a.event, a.err = a.events.next()
	whole := errors.Is(a.err, io.EOF) && !x.response.started.Load() && !endsWithConnection(r.Response)
	a.usable = a.err == nil || whole
	return a.usable
}

// release releases what was read and is not passed on.
func (a *readAhead) release() {
	if a.events != nil {
		a.events.release()
	}
	if a.body != nil {
		a.body.Release()
	}
	*a = readAhead{}
}

// readBody returns the body of a plain response.
func (x *exchange) readBody(r conn.Responded) (*intake.Body, error) {
	if a := x.ahead; a.done {
		x.ahead = readAhead{}
		return a.body, a.err
	}
	return r.Exchange.ReadBody(maxResponseBytes)
}

// eventReader returns the reader of a stream's events.
func (x *exchange) eventReader(r conn.Responded) *eventReader {
	if x.ahead.events != nil {
		return x.ahead.events
	}
	return newEventReader(r.Response.Body, x.handler.opts.Pool.Budget())
}

// nextEvent returns the next event of a stream.
func (x *exchange) nextEvent(events *eventReader) (event, error) {
	if a := x.ahead; a.done {
		x.ahead = readAhead{}
		return a.event, a.err
	}
	return events.next()
}
