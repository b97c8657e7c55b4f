package relay

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/baobabdyke/baobabdyke/internal/gateway/intake"
	"github.com/baobabdyke/baobabdyke/platform"
)

const (
	// maxEventBytes bounds one event of a stream.
	maxEventBytes = 256 << 10
	// writeSlack is how long after the request's deadline the caller may still
	// be written to.
	writeSlack = 500 * time.Millisecond
	// streamBuffer is the size of a stream's read buffer in bytes.
	streamBuffer = 4 << 10
)

var (
	errTruncated = errors.New("stream ends within an event")
	errGap       = errors.New("stream skips an event")
	errNoID      = errors.New("event of a resumed stream has no id")
)

// An event is one event of a stream, as the target wrote it.
type event struct {
	raw []byte
	// id is -1 if the event has none.
	id int64
	// weights is the version named in the event, or 0.
	weights int64
	// hasData reports whether the event has a data field.
	hasData bool
}

// An eventReader reads the events of a stream.
type eventReader struct {
	reader *bufio.Reader
	budget *intake.Budget
	// held is what the last event takes of the budget.
	held int64
}

func newEventReader(r io.Reader, budget *intake.Budget) *eventReader {
	return &eventReader{reader: bufio.NewReaderSize(r, streamBuffer), budget: budget}
}

// release returns what the last event takes of the budget.
func (e *eventReader) release() {
	e.budget.Release(e.held)
	e.held = 0
}

// check returns an error if an event of the given size may not be read on.
func (e *eventReader) check(size int) error {
	if size > maxEventBytes {
		return fmt.Errorf("event: %w: over %d bytes", intake.ErrTooLong, maxEventBytes)
	}
	if size > intake.Free && e.held == 0 {
		if !e.budget.Reserve(maxEventBytes) {
			return fmt.Errorf("event: %w", intake.ErrNoRoom)
		}
		e.held = maxEventBytes
	}
	return nil
}

// next returns the next event, which is valid until it is called again. It returns io.EOF
// only between events.
func (e *eventReader) next() (event, error) {
	e.release()
	out := event{id: -1}
	lineStart := 0
	for {
		line, err := e.reader.ReadSlice('\n')
		out.raw = append(out.raw, line...)
		switch {
		case errors.Is(err, io.EOF) && len(out.raw) == 0:
			return out, io.EOF
		case errors.Is(err, io.EOF):
			return out, errTruncated
		case errors.Is(err, bufio.ErrBufferFull):
			if err := e.check(len(out.raw)); err != nil {
				return out, err
			}
			continue
		case err != nil:
			return out, err
		}
		if err := e.check(len(out.raw)); err != nil {
			return out, err
		}
		text := bytes.TrimRight(out.raw[lineStart:], "\r\n")
		if len(text) == 0 {
			return out, nil
		}
		out.parseField(string(text))
		lineStart = len(out.raw)
	}
}

// parseField parses one line of the event.
func (e *event) parseField(line string) {
	if value, ok := strings.CutPrefix(line, "id:"); ok {
		if id, err := strconv.ParseInt(strings.TrimSpace(value), 10, 64); err == nil {
			e.id = id
		}
		return
	}
	if version := platform.EventWeightsVersion(line); version > 0 {
		e.weights = version
	}
	e.hasData = e.hasData || strings.HasPrefix(line, "data")
}

// A response is what the caller has been sent.
type response struct {
	w   http.ResponseWriter
	job *job
	// started reports whether the header of a stream was sent.
	started atomic.Bool
	// lastEvent is the id of the last event that was passed on; noEvent if there is
	// none.
	lastEvent atomic.Int64
	// events is the number of events that were passed on.
	events int
}

// noEvent is less than the id of any event.
const noEvent = -1

func newResponse(w http.ResponseWriter, j *job) *response {
	r := &response{w: w, job: j}
	r.lastEvent.Store(noEvent)
	return r
}

// mayContinue reports whether another target may continue the response: nothing was sent
// yet, or it can tell from an id which events are missing.
func (r *response) mayContinue() bool {
	return !r.started.Load() || r.job.route.Resumable && r.lastEvent.Load() != noEvent
}

// resumeAfter returns the id of the event after which the stream is resumed, or
// empty.
func (r *response) resumeAfter(j *job) string {
	if !j.route.Resumable {
		return ""
	}
	if last := r.lastEvent.Load(); last != noEvent {
		return strconv.FormatInt(last, 10)
	}
	return j.info.LastEvent
}

// writePlain sends a complete response.
func (r *response) writePlain(h *Handler, resp *http.Response, body []byte) {
	header := r.w.Header()
	platform.CopyResponseHeader(header, resp.Header)
	if r.job.request.Method != http.MethodHead {
		header.Set("Content-Length", strconv.Itoa(len(body)))
	}
	r.w.WriteHeader(resp.StatusCode)
	h.writeAnswer(r.w, r.job, body)
}

// writeEvent passes one event on. Resumed reports whether an earlier run has begun the
// stream: comments and events that the caller already has are then dropped.
func (r *response) writeEvent(resp *http.Response, e event, resumed bool) error {
	last := r.lastEvent.Load()
	switch {
	case r.started.Load() && e.id >= 0 && e.id <= last, resumed && e.id < 0 && !e.hasData:
		return nil
	case resumed && e.id > last+1:
		return fmt.Errorf("%w: %d after %d", errGap, e.id, last)
	case resumed && e.id < 0:
		return errNoID
	}
	r.start(resp)
	if _, err := r.w.Write(e.raw); err != nil {
		return err
	}
	if e.id >= 0 {
		r.lastEvent.Store(e.id)
	}
	if e.id >= 0 || e.hasData {
		r.events++
	}
	return http.NewResponseController(r.w).Flush()
}

// start sends the header of a stream, as received in its first run.
func (r *response) start(resp *http.Response) {
	if r.started.Swap(true) {
		return
	}
	platform.CopyResponseHeader(r.w.Header(), resp.Header)
	_ = http.NewResponseController(r.w).SetWriteDeadline(r.job.deadline.Add(writeSlack))
	r.w.WriteHeader(resp.StatusCode)
}

// close ends a complete stream.
func (r *response) close(resp *http.Response) { r.start(resp) }

// endsWithConnection reports whether a response has no length, so that its end can't be
// told from that of a target.
func endsWithConnection(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && resp.Request.Method != http.MethodHead
}

func isStream(resp *http.Response) bool {
	return strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream")
}
