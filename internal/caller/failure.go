package caller

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"
)

// Values of Failure.Outcome and of the header HeaderOutcome.
const (
	// OutcomeNotRun states that the request provably did not run.
	OutcomeNotRun = "not-run"
	// OutcomeUnknown states that the request may have run.
	OutcomeUnknown = "unknown"
	// OutcomeRan states that the request ran.
	OutcomeRan = "ran"
)

// Values of Failure.Code.
const (
	CodeBadRequest  = "bad-request"
	CodeKey         = "key"
	CodeForbidden   = "forbidden"
	CodeNotFound    = "not-found"
	CodeTimeout     = "timeout"
	CodeTooLarge    = "too-large"
	CodeBurst       = "larger-than-burst"
	CodeRate        = "rate"
	CodeOverload    = "overload"
	CodeUnavailable = "unavailable"
	CodePending     = "pending"
	CodeMismatch    = "key-reused"
	CodeNotKept     = "answer-not-kept"
	CodeUnknown     = "unknown"
)

// A Failure is an answer that is an error, as callers see it.
type Failure struct {
	Status     int
	Code       string
	Message    string
	Outcome    string
	RetryAfter time.Duration
}

// notRunFailure returns the Failure of a request that provably did not run.
func notRunFailure(status int, code, message string, retryAfter time.Duration) *Failure {
	return &Failure{Status: status, Code: code, Message: message, Outcome: OutcomeNotRun, RetryAfter: retryAfter}
}

// unknownFailure returns the Failure of a request that may have run.
func unknownFailure(status int, code, message string, retryAfter time.Duration) *Failure {
	return &Failure{Status: status, Code: code, Message: message, Outcome: OutcomeUnknown, RetryAfter: retryAfter}
}

// refuse writes a Failure and counts it.
func (h *Handler) refuse(w http.ResponseWriter, r *http.Request, f *Failure) {
	h.counts.Add(f.Code)
	id := requestID(r.Context())
	_ = h.opts.Log.Log("msg", "refused", "request", id, "code", f.Code, "status", f.Status, "outcome", f.Outcome)
	writeFailure(w, id, f)
}

// writeFailure writes the one error body of the callers' interface.
func writeFailure(w http.ResponseWriter, id string, f *Failure) {
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set(HeaderOutcome, f.Outcome)
	if f.RetryAfter > 0 {
		seconds := int(math.Ceil(f.RetryAfter.Seconds()))
		header.Set("Retry-After", strconv.Itoa(seconds))
	}
	w.WriteHeader(f.Status)
	type detail struct {
		Code      string `json:"code"`
		Message   string `json:"message"`
		Outcome   string `json:"outcome"`
		RequestID string `json:"requestId"`
	}
	_ = json.NewEncoder(w).Encode(struct {
		Error detail `json:"error"`
	}{detail{Code: f.Code, Message: f.Message, Outcome: f.Outcome, RequestID: id}})
}
