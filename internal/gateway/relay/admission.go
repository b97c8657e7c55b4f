package relay

import (
	"net/http"
	"time"

	"github.com/baobabdyke/baobabdyke/internal/gateway/admission"
)

// admitWork refuses a request that its service has no capacity for.
func (h *Handler) admitWork(j *job) failure {
	now := time.Now()
	ticket, d := h.opts.Admission.Admit(h.admissionRequest(j, now), now)
	if !d.Admitted {
		return refusal{http.StatusServiceUnavailable, "the service is overloaded", d.RetryAfter}
	}
	j.ticket, j.ticketEnd = ticket, admission.Other
	return nil
}

// admissionRequest returns the request as admission control needs it.
func (h *Handler) admissionRequest(j *job, now time.Time) admission.Request {
	r := admission.Request{
		Service: j.service, Class: j.route.Name, Priority: j.configuredPriority(), Customer: j.customerName(),
		Tokens: 1, Queues: j.engine, Goal: j.route.LatencyGoal, TimeLeft: j.deadline.Sub(now),
	}
	if j.engine && h.opts.Admission.Enabled() {
		o := h.opts.Placer.Occupancy(j.view, j.service, now)
		r.Load = admission.Load{Own: o.Own, Fleet: o.Running, VMs: o.VMs, Slots: o.Slots}
	}
	if j.engine {
		r.Tokens = float64(j.tokens + max(j.info.CompletionTokens, 0))
	}
	return r
}

// releaseWork records the end of an admitted request.
func (h *Handler) releaseWork(j *job) { h.opts.Admission.End(j.ticket, j.ticketEnd, time.Now()) }

// maxOverloadedSends bounds how often one request is sent while its service is overloaded.
const maxOverloadedSends = 2

// worthSendingAgain reports whether a request may be sent again: while its service is
// overloaded only if its first token can still be in time, since further sends multiply the
// load. A stream that has begun to answer may always be continued.
func (h *Handler) worthSendingAgain(j *job) bool {
	if j.timeToFirst > 0 || !h.opts.Admission.Overloaded(j.service) {
		return true
	}
	return j.sends < maxOverloadedSends && (j.route.LatencyGoal <= 0 || time.Since(j.start) < j.route.LatencyGoal)
}
