package relay

import (
	"errors"
	"net/http"
	"time"

	"github.com/baobabdyke/baobabdyke/internal/gateway/disconnect"
	"github.com/baobabdyke/baobabdyke/internal/gateway/intake"
)

const (
	// fullRetry is the Retry-After of a VM without memory for the request. Bodies that make
	// no progress are given up within that time.
	fullRetry = 500 * time.Millisecond
	// lingerTime is how long the rest of a refused body is read before its connection is
	// closed, so that the caller sees the response rather than a reset.
	lingerTime = 500 * time.Millisecond
	// lateBody is how long after the request's deadline its body may still arrive. It is then
	// answered with 504, like any request whose time is over, and its connection goes on.
	lateBody = 2 * time.Second
	// answerTime is the least time in which a caller can read a plain answer.
	answerTime = 10 * time.Second
)

// past is a deadline that is over.
var past = time.Unix(1, 0)

// refuseFull refuses a request for which there is no memory, before anything is read of it.
func (h *Handler) refuseFull(w http.ResponseWriter, j *job) {
	h.opts.Memory.EvictStalled()
	j.noMemory = true
	w.Header().Set("Connection", "close")
	h.fail(w, j, h.refuseEarly(w, j, refusal{http.StatusServiceUnavailable, "no memory for the request", fullRetry}))
}

// refuseEarly prepares the refusal of a request whose body, or a part of it, was not read.
// The server reads and discards the rest of a small body; otherwise the connection is
// closed. So the rest is never taken for the next request.
func (h *Handler) refuseEarly(w http.ResponseWriter, j *job, f failure) failure {
	if j.request.Body == nil || j.request.ContentLength == 0 {
		return f
	}
	if length := j.request.ContentLength; length < 0 || length > intake.SmallBody || j.transfer != nil {
		w.Header().Set("Connection", "close")
	}
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(lingerTime))
	return f
}

// isUrgent reports whether the request may use the memory that is kept for urgent ones.
func (j *job) isUrgent() bool {
	known := j.customer != nil || len(j.view.Config.Customers) == 0
	return known && j.configuredPriority() == 0
}

// readBody reads the body. It is given up some time after the request's deadline.
func (h *Handler) readBody(w http.ResponseWriter, j *job) failure {
	if j.request.Body == nil || j.request.ContentLength == 0 {
		return nil
	}
	limit := j.view.Config.Limits.BodyBytes
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	tooLong := rejection{http.StatusRequestEntityTooLarge, "the body is too long"}
	if j.request.ContentLength > limit {
		return h.refuseEarly(w, j, tooLong)
	}
	j.setDeadline()
	control := http.NewResponseController(w)
	cut := func() { _ = control.SetReadDeadline(past) }
	j.transfer = h.opts.Memory.BeginBody(j.isUrgent(), cut)
	timer := time.AfterFunc(time.Until(j.deadline.Add(lateBody)), cut)
	body, err := j.transfer.Read(j.request.Context(), j.request.Body, j.request.ContentLength, limit)
	timer.Stop()
	if err == nil {
		j.body = body
		return nil
	}
	switch {
	case errors.Is(err, intake.ErrTooLong):
		return h.refuseEarly(w, j, tooLong)
	case errors.Is(err, intake.ErrNoRoom), errors.Is(err, intake.ErrEvicted):
		j.noMemory = true
		return h.refuseEarly(w, j, refusal{http.StatusServiceUnavailable, err.Error(), fullRetry})
	case !time.Now().Before(j.deadline) && !disconnect.HasLeft(j.request.Context()):
		return h.refuseEarly(w, j, rejection{http.StatusRequestTimeout, "the body took longer than the time for the request"})
	}
	return callerGone{err}
}

// releaseBody returns the memory of the body. An attempt that was given up may still read
// the body for a moment.
func (j *job) releaseBody() {
	if j.transfer != nil {
		j.transfer.Release()
	}
}

// authoriseAgain decides by the newest state whether a request whose body has arrived may
// run: the configuration may have changed meanwhile.
func (h *Handler) authoriseAgain(j *job) failure {
	if j.transfer == nil {
		return nil
	}
	if view := h.opts.View(); view.Config != nil && view.Config != j.view.Config {
		j.view = view
		return h.authorise(j, view.Config)
	}
	return h.checkFresh(j)
}

// writeAnswer writes a plain answer, whose memory counts until the caller has read it.
func (h *Handler) writeAnswer(w http.ResponseWriter, j *job, body []byte) {
	control := http.NewResponseController(w)
	latest := time.Now().Add(answerTime)
	if end := j.deadline.Add(writeSlack); end.After(latest) {
		latest = end
	}
	_ = control.SetWriteDeadline(latest)
	t := h.opts.Memory.BeginAnswer(int64(len(body)), func() { _ = control.SetWriteDeadline(past) })
	defer t.Release()
	if err := t.Write(w, body); err == nil {
		_ = control.Flush()
	}
}
