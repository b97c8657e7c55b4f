package caller

import (
	"bytes"
	"net/http"
	"strconv"
	"strings"

	"github.com/baobabdyke/baobabdyke/claim"
)

// An answerWriter marks an answer as run when its status is written. Event
// streams may start before a target answers, so they carry no mark: their last
// event tells how they ended. It keeps a copy of a whole completion, for its
// usage.
type answerWriter struct {
	http.ResponseWriter
	started bool
	keep    bool
	copied  bytes.Buffer
}

// newAnswerWriter returns a writer to w, which keeps a copy if asked to.
func newAnswerWriter(w http.ResponseWriter, keep bool) *answerWriter {
	return &answerWriter{ResponseWriter: w, keep: keep}
}

// WriteHeader implements http.ResponseWriter.
func (w *answerWriter) WriteHeader(status int) {
	w.begin()
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *answerWriter) Write(p []byte) (int, error) {
	w.begin()
	if w.keep && w.copied.Len()+len(p) <= maxUsageBody {
		w.copied.Write(p)
	}
	return w.ResponseWriter.Write(p)
}

// Unwrap lets http.ResponseController find the connection.
func (w *answerWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

func (w *answerWriter) begin() {
	if w.started {
		return
	}
	w.started = true
	if !strings.HasPrefix(w.Header().Get("Content-Type"), "text/event-stream") {
		w.Header().Set(HeaderOutcome, OutcomeRan)
	}
}

// A keeper keeps a copy of an answer for its claim. Answers that are no streams
// are held back until they are whole, so that they carry their length and the
// caller need not wait for the claim to be written. An answer larger than the bound is
// passed on whole and kept as its status alone, marked as dropped.
type keeper struct {
	w       http.ResponseWriter
	through bool
	bound   int
	status  int
	body    bytes.Buffer
	started bool
	cut     bool
}

func newKeeper(w http.ResponseWriter, through bool, bound int) *keeper {
	return &keeper{w: w, through: through, bound: bound, status: http.StatusOK}
}

// Header implements http.ResponseWriter.
func (k *keeper) Header() http.Header { return k.w.Header() }

// WriteHeader implements http.ResponseWriter.
func (k *keeper) WriteHeader(status int) {
	k.status = status
	k.started = true
	if k.through {
		k.w.WriteHeader(status)
	}
}

// Write implements http.ResponseWriter.
func (k *keeper) Write(p []byte) (int, error) {
	k.started = true
	if k.body.Len()+len(p) > k.bound {
		k.release()
	}
	if !k.cut {
		k.body.Write(p)
	}
	if !k.through {
		return len(p), nil
	}
	// A caller that is gone does not end a once-only request.
	_, _ = k.w.Write(p)
	return len(p), nil
}

// FlushError flushes what was passed on, for http.ResponseController.
func (k *keeper) FlushError() error {
	if !k.through {
		return nil
	}
	return http.NewResponseController(k.w).Flush()
}

// end passes on what was held back, with its length if that is the whole
// answer.
func (k *keeper) end(complete bool) {
	if complete && !k.through && k.started {
		k.w.Header().Set("Content-Length", strconv.Itoa(k.body.Len()))
	}
	k.flush()
}

// release passes on what was held back and keeps no copy from here on.
func (k *keeper) release() {
	k.flush()
	k.through = true
	k.cut = true
	k.body.Reset()
}

// flush writes what was held back.
func (k *keeper) flush() {
	if k.through || !k.started {
		return
	}
	k.w.WriteHeader(k.status)
	_, _ = k.w.Write(k.body.Bytes())
	_ = http.NewResponseController(k.w).Flush()
	k.through = true
}

// answer returns the copy for the claim.
func (k *keeper) answer() claim.Response {
	if k.cut {
		return claim.Response{Status: k.status, BodyDropped: true}
	}
	return claim.Response{
		Status:      k.status,
		ContentType: k.w.Header().Get("Content-Type"),
		Body:        bytes.Clone(k.body.Bytes()),
	}
}
