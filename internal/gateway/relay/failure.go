package relay

import (
	"net/http"
	"strconv"
	"time"

	"github.com/baobabdyke/baobabdyke/internal/gateway/admission"
	"github.com/baobabdyke/baobabdyke/platform"
)

// A failure is the reason why a request gets no response from a target: a
// rejection, refusal, indeterminate or callerGone.
type failure interface {
	status() int
	reason() string
}

// A rejection is a request that is not permitted.
type rejection struct {
	code int
	text string
}

// A refusal is a request that has not run and will not run, so that the caller
// may repeat it.
type refusal struct {
	code       int
	text       string
	retryAfter time.Duration
}

// An indeterminate is a request that may have run but whose outcome is unknown.
type indeterminate struct {
	code int
	text string
}

// A callerGone is a request whose caller has disconnected.
type callerGone struct{ err error }

func (f rejection) status() int     { return f.code }
func (f refusal) status() int       { return f.code }
func (f indeterminate) status() int { return f.code }
func (f callerGone) status() int    { return 0 }

func (f rejection) reason() string     { return f.text }
func (f refusal) reason() string       { return f.text }
func (f indeterminate) reason() string { return f.text }
func (f callerGone) reason() string    { return "the caller has left: " + f.err.Error() }

// fail responds to a request that no target has responded to.
func (h *Handler) fail(w http.ResponseWriter, j *job, f failure) {
	switch f := f.(type) {
	case callerGone:
		h.finish(j, 0, f.reason())
		panic(http.ErrAbortHandler)
	case refusal:
		h.refund(j)
		j.ticketEnd = admission.Refused
		platform.SetErrorHeader(w.Header(), j.info.ID, f.retryAfter)
	case rejection, indeterminate:
		platform.SetErrorHeader(w.Header(), j.info.ID, 0)
	}
	text := f.reason() + "\n"
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	w.WriteHeader(f.status())
	_, _ = w.Write([]byte(text))
	h.finish(j, f.status(), f.reason())
}

// refund returns the charge of a request that did not run.
func (h *Handler) refund(j *job) {
	if j.customer != nil && j.cost > 0 {
		h.opts.Quota.Refund(j.customer, j.cost)
		j.cost = 0
	}
}

// Outcomes of requests that succeeded.
const (
	outcomeAnswered = "answered"
	outcomeStreamed = "streamed"
)

// loggedSuccesses is the number of successful requests that are logged per
// second, about 20 KB of log lines. All others are logged.
const loggedSuccesses = 40

// loggedFull is the number of requests refused for want of memory that are logged per second.
// Many such callers would fill the log otherwise.
const loggedFull = 10

// finish logs and counts a request.
func (h *Handler) finish(j *job, status int, outcome string) {
	now := time.Now()
	route, customer := "", ""
	if j.route != nil {
		route = j.route.Name
	}
	if j.customer != nil {
		customer = j.customer.Name
	}
	version := int64(0)
	if j.view.Config != nil {
		version = j.view.Config.Version
	}
	left := time.Duration(0)
	if !j.deadline.IsZero() {
		left = j.deadline.Sub(now)
	}
	h.opts.Metrics.record(status, j.timeToFirst, now.Sub(j.start))
	leftOut, ok := 0, true
	switch {
	case j.noMemory:
		ok, leftOut = h.fullLog.Allow(now)
	case outcome == outcomeAnswered || outcome == outcomeStreamed:
		ok, leftOut = h.successLog.Allow(now)
	}
	if !ok {
		return
	}
	_ = h.opts.Log.Log("msg", "request", "id", j.info.ID, "route", route, "customer", customer,
		"config", version, "status", status, "outcome", outcome, "detail", j.detail, "target", j.target, "sends", j.sends,
		"ran", j.runs, "firstms", j.timeToFirst.Milliseconds(), "ms", now.Sub(j.start).Milliseconds(),
		"leftms", left.Milliseconds(), "expectedms", j.expected.Milliseconds(), "home", j.home, "source", j.source, "keep", j.storeKV, "late", j.late,
		"weights", j.weights, "tokens", j.tokens, "shared", j.sharedTokens, "missing", j.missingTokens, "level", int(j.level), "leftout", leftOut)
}
