package caller

import (
	"bytes"
	"net/http"
	"strconv"
	"strings"

	"github.com/baobabdyke/baobabdyke/claim"
)

// A responseWriter sets the outcome header to OutcomeRan when the status is
// written. Event streams may start before a target responds, so they carry no
// outcome header: their last event states how they ended. A responseWriter can
// keep a copy of the body, from which the token usage of a non-streamed
// completion is read.
type responseWriter struct {
	http.ResponseWriter
	started  bool
	keepBody bool
	bodyCopy bytes.Buffer
}

// newResponseWriter returns a responseWriter around w. It copies the body if
// keepBody is set.
func newResponseWriter(w http.ResponseWriter, keepBody bool) *responseWriter {
	return &responseWriter{ResponseWriter: w, keepBody: keepBody}
}

// WriteHeader implements http.ResponseWriter.
func (w *responseWriter) WriteHeader(status int) {
	w.start()
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *responseWriter) Write(p []byte) (int, error) {
	w.start()
	if w.keepBody && w.bodyCopy.Len()+len(p) <= maxUsageBodyBytes {
		w.bodyCopy.Write(p)
	}
	return w.ResponseWriter.Write(p)
}

// Unwrap returns the underlying writer, for http.ResponseController.
func (w *responseWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

func (w *responseWriter) start() {
	if w.started {
		return
	}
	w.started = true
	if !strings.HasPrefix(w.Header().Get("Content-Type"), "text/event-stream") {
		w.Header().Set(HeaderOutcome, OutcomeRan)
	}
}

// A claimRecorder records a response for its claim. Responses that are not
// streamed are buffered until they are complete, so that they carry a
// Content-Length and the caller need not wait for the claim to be written. A
// response larger than maxBytes is passed through in full; of it only the status
// is recorded, and the body is marked as dropped.
type claimRecorder struct {
	w           http.ResponseWriter
	passThrough bool
	maxBytes    int
	status      int
	body        bytes.Buffer
	started     bool
	bodyDropped bool
}

func newClaimRecorder(w http.ResponseWriter, passThrough bool, maxBytes int) *claimRecorder {
	return &claimRecorder{w: w, passThrough: passThrough, maxBytes: maxBytes, status: http.StatusOK}
}

// Header implements http.ResponseWriter.
func (c *claimRecorder) Header() http.Header { return c.w.Header() }

// WriteHeader implements http.ResponseWriter.
func (c *claimRecorder) WriteHeader(status int) {
	c.status = status
	c.started = true
	if c.passThrough {
		c.w.WriteHeader(status)
	}
}

// Write implements http.ResponseWriter.
func (c *claimRecorder) Write(p []byte) (int, error) {
	c.started = true
	if c.body.Len()+len(p) > c.maxBytes {
		c.stopRecording()
	}
	if !c.bodyDropped {
		c.body.Write(p)
	}
	if !c.passThrough {
		return len(p), nil
	}
	// The error is ignored: an at-most-once request continues when its caller
	// disconnects.
	_, _ = c.w.Write(p)
	return len(p), nil
}

// FlushError flushes the data that was passed through, for
// http.ResponseController.
func (c *claimRecorder) FlushError() error {
	if !c.passThrough {
		return nil
	}
	return http.NewResponseController(c.w).Flush()
}

// finish writes the buffered response, with a Content-Length if it is complete.
func (c *claimRecorder) finish(complete bool) {
	if complete && !c.passThrough && c.started {
		c.w.Header().Set("Content-Length", strconv.Itoa(c.body.Len()))
	}
	c.flush()
}

// stopRecording writes the buffered data, discards the copy and passes all
// further data through.
func (c *claimRecorder) stopRecording() {
	c.flush()
	c.passThrough = true
	c.bodyDropped = true
	c.body.Reset()
}

// flush writes the buffered status and data and switches to passing data
// through.
func (c *claimRecorder) flush() {
	if c.passThrough || !c.started {
		return
	}
	c.w.WriteHeader(c.status)
	_, _ = c.w.Write(c.body.Bytes())
	_ = http.NewResponseController(c.w).Flush()
	c.passThrough = true
}

// response returns the recorded response for the claim.
func (c *claimRecorder) response() claim.Response {
	if c.bodyDropped {
		return claim.Response{Status: c.status, BodyDropped: true}
	}
	return claim.Response{
		Status:      c.status,
		ContentType: c.w.Header().Get("Content-Type"),
		Body:        bytes.Clone(c.body.Bytes()),
	}
}
