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
	"time"

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
	errEventTooLong = errors.New("event exceeds the size limit")
	errTorn         = errors.New("stream ended within an event")
	errGap          = errors.New("stream skipped an event")
)

// An event is one event of a stream, as the target wrote it.
type event struct {
	raw []byte
	// id is -1 if the event has none.
	id int64
	// weights is the version named in the event, or 0.
	weights int64
}

// An eventReader reads the events of a stream.
type events struct{ read *bufio.Reader }

func newEvents(r io.Reader) *events { return &events{read: bufio.NewReaderSize(r, streamBuffer)} }

// next returns the next event. It returns io.EOF only between events.
func (e *events) next() (event, error) {
	out := event{id: -1}
	for {
		line, err := e.read.ReadSlice('\n')
		out.raw = append(out.raw, line...)
		switch {
		case errors.Is(err, io.EOF) && len(out.raw) == 0:
			return out, io.EOF
		case errors.Is(err, io.EOF):
			return out, errTorn
		case errors.Is(err, bufio.ErrBufferFull):
			if len(out.raw) > maxEventBytes {
				return out, errEventTooLong
			}
			continue
		case err != nil:
			return out, err
		case len(out.raw) > maxEventBytes:
			return out, errEventTooLong
		}
		text := bytes.TrimRight(line, "\r\n")
		if len(text) == 0 {
			return out, nil
		}
		out.field(string(text))
	}
}

// parseField parses one line of the event.
func (e *event) field(line string) {
	if value, ok := strings.CutPrefix(line, "id:"); ok {
		if id, err := strconv.ParseInt(strings.TrimSpace(value), 10, 64); err == nil {
			e.id = id
		}
		return
	}
	if version := platform.EventWeightsVersion(line); version > 0 {
		e.weights = version
	}
}

// A response is what the caller has been sent.
type answer struct {
	w   http.ResponseWriter
	job *job
	// started reports whether the header of a stream was sent.
	begun bool
	// lastEvent is the id of the last event that was passed on; 0 if there is
	// none.
	last int64
}

// resumeAfter returns the id of the event after which the stream is resumed, or
// empty.
func (a *answer) resumeAfter(j *job) string {
	if !j.route.Resumable {
		return ""
	}
	if a.last > 0 {
		return strconv.FormatInt(a.last, 10)
	}
	return j.declared.LastEvent
}

// writePlain sends a complete response.
func (a *answer) whole(resp *http.Response, body []byte) {
	h := a.w.Header()
	platform.CopyResponseHeader(h, resp.Header)
	if a.job.request.Method != http.MethodHead {
		h.Set("Content-Length", strconv.Itoa(len(body)))
	}
	a.w.WriteHeader(resp.StatusCode)
	_, _ = a.w.Write(body)
}

// writeEvent passes one event on. Events that the caller already has are dropped.
func (a *answer) event(resp *http.Response, e event) error {
	if a.begun && e.id >= 0 && e.id <= a.last {
		return nil
	}
	if a.begun && a.last > 0 && e.id > a.last+1 && a.job.sends > 1 {
		return fmt.Errorf("%w: %d after %d", errGap, e.id, a.last)
	}
	a.begin(resp)
	if _, err := a.w.Write(e.raw); err != nil {
		return err
	}
	if e.id >= 0 {
		a.last = e.id
	}
	return http.NewResponseController(a.w).Flush()
}

// start sends the header of a stream, as received in its first run.
func (a *answer) begin(resp *http.Response) {
	if a.begun {
		return
	}
	a.begun = true
	platform.CopyResponseHeader(a.w.Header(), resp.Header)
	_ = http.NewResponseController(a.w).SetWriteDeadline(a.job.until.Add(writeSlack))
	a.w.WriteHeader(resp.StatusCode)
}

// close ends a complete stream.
func (a *answer) close(resp *http.Response) { a.begin(resp) }

func isStream(resp *http.Response) bool {
	return strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream")
}
