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
	// OutcomeNotRun means that the request certainly did not run.
	OutcomeNotRun = "not-run"
	// OutcomeUnknown means that the request may have run.
	OutcomeUnknown = "unknown"
	// OutcomeRan means that the request ran.
	OutcomeRan = "ran"
)

// Values of Failure.Code.
const (
	CodeBadRequest      = "bad-request"
	CodeUnauthorized    = "key"
	CodeForbidden       = "forbidden"
	CodeNotFound        = "not-found"
	CodeTimeout         = "timeout"
	CodeTooLarge        = "too-large"
	CodeExceedsBurst    = "larger-than-burst"
	CodeRate            = "rate"
	CodeOverload        = "overload"
	CodeUnavailable     = "unavailable"
	CodePending         = "pending"
	CodeKeyReused       = "key-reused"
	CodeResponseNotKept = "answer-not-kept"
	CodeUnknown         = "unknown"
)

// A Failure is an error response to a caller.
type Failure struct {
	Status     int
	Code       string
	Message    string
	Outcome    string
	RetryAfter time.Duration
}

// notRunFailure returns the Failure of a request that certainly did not run.
func notRunFailure(status int, code, message string, retryAfter time.Duration) *Failure {
	return &Failure{Status: status, Code: code, Message: message, Outcome: OutcomeNotRun, RetryAfter: retryAfter}
}

// unknownFailure returns the Failure of a request that may have run.
func unknownFailure(status int, code, message string, retryAfter time.Duration) *Failure {
	return &Failure{Status: status, Code: code, Message: message, Outcome: OutcomeUnknown, RetryAfter: retryAfter}
}

// refuse writes a Failure and counts it.
func (h *Handler) refuse(w http.ResponseWriter, r *http.Request, f *Failure) {
	h.counters.Add(f.Code)
	id := requestID(r.Context())
	_ = h.opts.Log.Log("msg", "request refused", "request", id, "code", f.Code, "status", f.Status, "outcome", f.Outcome)
	writeFailure(w, id, f)
}

// writeFailure writes a Failure. All errors of the callers' interface have this
// body.
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
