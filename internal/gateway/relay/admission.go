package relay

import (
	"net/http"
	"time"

	"github.com/baobabdyke/baobabdyke/internal/gateway/admission"
)

// admitWork refuses a request that its service has no capacity for.
func (h *Handler) admitWork(j *job) failure {
	now := time.Now()
	ticket, d := h.opts.Admission.Admit(j.admissionRequest(now), now)
	if !d.Admitted {
		return refusal{http.StatusServiceUnavailable, "the service is overloaded", d.RetryAfter}
	}
	j.ticket, j.ticketEnd = ticket, admission.Other
	return nil
}

// admissionRequest returns the request as admission control needs it.
func (j *job) admissionRequest(now time.Time) admission.Request {
	r := admission.Request{
		Service: j.service, Class: j.route.Name, Priority: j.route.Priority, Customer: j.customerName(),
		Tokens: 1, Goal: j.route.LatencyGoal, TimeLeft: j.deadline.Sub(now),
	}
	if j.customer != nil && j.customer.HasPriority {
		r.Priority = j.customer.Priority
	}
	if j.engine {
		r.Tokens = float64(j.tokens + max(j.info.CompletionTokens, 0))
	}
	return r
}

// releaseWork records the end of an admitted request.
func (h *Handler) releaseWork(j *job) { h.opts.Admission.End(j.ticket, j.ticketEnd, time.Now()) }
