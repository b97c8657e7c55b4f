package relay

import (
	"net/http"
	"time"

	"github.com/baobabdyke/baobabdyke/internal/fleet/origin"
)

// originRetry is the Retry-After for a stream whose origin is not known, after which another
// VM may have told it.
const originRetry = 250 * time.Millisecond

// findOrigin pins a stream that the caller takes up to the version that began it, and refuses
// it if that is not known.
func (h *Handler) findOrigin(j *job) failure {
	if !j.route.Resumable || j.info.LastEvent == "" || h.opts.Origins == nil {
		return nil
	}
	switch o := h.opts.Origins.Find(j.request.Context(), j.service, j.customerName(), j.info.Resumes).(type) {
	case origin.Began:
		j.pinned, j.version = true, o.Version
		j.detail += "taken up at version " + o.Version + "; "
	case origin.Unknown:
		j.detail += o.Reason + "; "
		return refusal{http.StatusServiceUnavailable, "the version that began the stream is not known", originRetry}
	}
	return nil
}

// recordOrigin records that a target of a version is about to be sent the request for a stream.
// It returns false and pins the stream if it has to begin at another version, of which others
// were told before.
func (h *Handler) recordOrigin(j *job, version string) bool {
	if !j.route.Resumable {
		return true
	}
	j.version = version
	if h.opts.Origins != nil {
		j.version = h.opts.Origins.Record(j.service, j.customerName(), j.streamID(), version)
	}
	j.pinned = j.pinned || j.version != version
	return j.version == version
}

// pin pins the stream to the version of the target, of which an event is about to be passed on,
// and reports whether it may go on there.
func (x *exchange) pin() bool {
	j, version := x.response.job, x.choice.Target.Version
	if !j.route.Resumable {
		return true
	}
	if j.version != version {
		return false
	}
	j.pinned = true
	return true
}

// streamID returns the id of the request that brought the first event of the stream.
func (j *job) streamID() string {
	if j.info.LastEvent != "" && j.info.Resumes != "" {
		return j.info.Resumes
	}
	return j.info.ID
}
