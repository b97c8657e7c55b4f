package caller

import (
	"context"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"time"

	"github.com/baobabdyke/baobabdyke/config"
	"github.com/baobabdyke/baobabdyke/customer"
	"github.com/baobabdyke/baobabdyke/dispatch"
	"github.com/baobabdyke/baobabdyke/internal/gateway/disconnect"
	"github.com/baobabdyke/baobabdyke/limit"
	"github.com/baobabdyke/baobabdyke/prefix"
	"github.com/baobabdyke/baobabdyke/queue"
)

// tokensPerServiceRequest is the cost of a request to a service in tokens.
const tokensPerServiceRequest = 1

// A call is a request whose body has been read. Completion is nil for requests
// to services.
type call struct {
	routeName  string
	kind       string
	path       string
	body       []byte
	completion *Completion
}

// A requestJob is an authorised request with what is needed to run it on a
// target.
type requestJob struct {
	call
	id        string
	header    http.Header
	grant     customer.Grant
	route     *config.Route
	prompt    prefix.Prompt
	body      []byte
	maxTokens int
	cost      limit.Cost
	start     time.Time
	request   *http.Request
	// denied is set if the key was rejected when it was checked again.
	denied *customer.Denied
}

// serve authorises a request, applies the rate limit of its customer, queues it
// and runs it.
func (h *Handler) serve(w http.ResponseWriter, r *http.Request, c call) {
	job, failure := h.prepare(r, c)
	if failure != nil {
		h.refuse(w, r, failure)
		return
	}
	if prefixHash := job.prompt.Family(); prefixHash != 0 {
		w.Header().Set(HeaderPrefix, strconv.FormatUint(uint64(prefixHash), 16))
	}
	reservation, failure := h.reserve(r.Context(), job)
	if failure != nil {
		h.refuse(w, r, failure)
		return
	}
	used := job.cost
	defer func() { h.settle(reservation, used) }()

	release, failure := h.acquireSlot(r.Context(), job)
	if failure != nil {
		used = limit.Cost{}
		h.refuse(w, r, failure)
		return
	}
	if disconnect.HasLeft(r.Context()) {
		release(0, false)
		used = limit.Cost{}
		h.refuse(w, r, notRunFailure(http.StatusServiceUnavailable, CodeUnavailable, "the caller has left", 0))
		return
	}
	outcome := h.run(w, r, job)
	release(outcome.firstByte, outcome.failed)
	used = outcome.used
	h.finish(w, r, job, outcome)
}

// finish writes the failure of a request for which no response has been started,
// and logs the outcome of all others.
func (h *Handler) finish(w http.ResponseWriter, r *http.Request, job *requestJob, o runOutcome) {
	if o.failure != nil && !o.started {
		h.refuse(w, r, o.failure)
		return
	}
	h.counters.Add(o.code)
	_ = h.opts.Log.Log("msg", "request completed", "request", job.id, "route", job.route.Name,
		"customer", job.grant.Customer, "key", job.grant.KeyID, "outcome", o.code,
		"took", h.opts.Clock.Now().Sub(job.start))
	if o.mustAbort {
		// The status is already sent, so that only closing the connection can
		// show the caller that the response is incomplete.
		panic(http.ErrAbortHandler)
	}
}

// prepare authorises a request and computes its cost, prompt pieces and forwarded
// header.
func (h *Handler) prepare(r *http.Request, c call) (*requestJob, *Failure) {
	view := h.opts.Config.Current()
	granted, failure := authorize(view, r, c.routeName)
	if failure != nil {
		return nil, failure
	}
	if failure := h.checkRoute(granted.Route, c); failure != nil {
		return nil, failure
	}
	header, requestURI := stripKeys(r, c.path, granted.Route.Secrets)
	c.path = requestURI
	job := &requestJob{
		call:    c,
		header:  header,
		id:      requestID(r.Context()),
		grant:   granted.Grant,
		route:   granted.Route,
		body:    c.body,
		cost:    limit.Cost{Requests: 1, Tokens: tokensPerServiceRequest},
		start:   h.opts.Clock.Now(),
		request: r,
	}
	if c.completion == nil {
		return job, nil
	}
	body, err := c.completion.EngineBody(granted.Route)
	if err != nil {
		return nil, notRunFailure(http.StatusBadRequest, CodeBadRequest, err.Error(), 0)
	}
	job.body = body
	job.maxTokens = c.completion.MaxTokens
	job.prompt = c.completion.Pieces(view, granted.Route, granted.Grant.Customer)
	job.cost.Tokens = float64(c.completion.Tokens() + c.completion.MaxTokens)
	return job, nil
}

// stripKeys returns the header and the request URI of a request without anything
// that may carry a key.
func stripKeys(r *http.Request, path string, secrets []string) (http.Header, string) {
	header := r.Header.Clone()
	address := &url.URL{Path: path, RawQuery: r.URL.RawQuery}
	customer.Strip(header, address, secrets)
	return header, address.RequestURI()
}

// checkRoute rejects requests that do not match the route, and those that this
// VM must not serve because its configuration may be stale.
func (h *Handler) checkRoute(r *config.Route, c call) *Failure {
	switch {
	case r.Kind != c.kind:
		return notRunFailure(http.StatusNotFound, CodeNotFound, "the route is of another kind", 0)
	case c.completion != nil && c.completion.Adapter != "" && !slices.Contains(r.Adapters, c.completion.Adapter):
		return notRunFailure(http.StatusForbidden, CodeForbidden, "the route may not use this adapter", 0)
	case !r.Open && !h.opts.Config.Fresh():
		message := "this VM has lost touch with the configuration; use another"
		return notRunFailure(http.StatusServiceUnavailable, CodeUnavailable, message, time.Second)
	}
	return nil
}

// authorize checks whether a request may run on a route and returns the grant.
func authorize(v *config.View, r *http.Request, route string) (customer.Granted, *Failure) {
	switch decision := customer.Authorize(v, r, route).(type) {
	case customer.Granted:
		return decision, nil
	case customer.Denied:
		return customer.Granted{}, deniedFailure(decision)
	default:
		return customer.Granted{}, notRunFailure(http.StatusForbidden, CodeForbidden, "not allowed", 0)
	}
}

func deniedFailure(d customer.Denied) *Failure {
	codes := map[int]string{
		http.StatusBadRequest:   CodeBadRequest,
		http.StatusUnauthorized: CodeUnauthorized,
		http.StatusForbidden:    CodeForbidden,
		http.StatusNotFound:     CodeNotFound,
	}
	return notRunFailure(d.Status, codes[d.Status], d.Reason, 0)
}

// reserve takes the cost of a request from the rate limit of its customer.
// Requests to open routes have no customer and reserve nothing.
func (h *Handler) reserve(ctx context.Context, job *requestJob) (*limit.Reservation, *Failure) {
	if job.grant.Customer == "" {
		return nil, nil
	}
	switch d := h.opts.Limiter.Reserve(ctx, job.grant.Customer, job.cost).(type) {
	case limit.Admitted:
		return &d.Reservation, nil
	case limit.Refused:
		message := "the customer is over its rate"
		return nil, notRunFailure(http.StatusTooManyRequests, CodeRate, message, max(d.RetryAfter, time.Second))
	case limit.TooLarge:
		message := "the request is larger than the customer's burst; waiting does not help"
		return nil, notRunFailure(http.StatusRequestEntityTooLarge, CodeExceedsBurst, message, 0)
	default:
		return nil, notRunFailure(http.StatusServiceUnavailable, CodeUnavailable, "no decision", time.Second)
	}
}

func (h *Handler) settle(r *limit.Reservation, used limit.Cost) {
	if r != nil {
		h.opts.Limiter.Settle(*r, used)
	}
}

// acquireSlot waits in the queue until the request may run. It returns the
// function that releases the slot.
func (h *Handler) acquireSlot(ctx context.Context, job *requestJob) (func(time.Duration, bool), *Failure) {
	ticket := queue.Ticket{
		Route:    job.route.Name,
		Pool:     job.route.Pool,
		Customer: job.grant.Customer,
		Tokens:   job.cost.Tokens,
		Priority: job.route.Priority,
		Deadline: job.deadline(),
		Limit:    job.route.Queue,
	}
	switch o := h.opts.Queue.Acquire(ctx, ticket).(type) {
	case queue.Admitted:
		return o.Release, nil
	case queue.Rejected:
		return nil, notRunFailure(http.StatusServiceUnavailable, CodeOverload, o.Reason, max(o.RetryAfter, time.Second))
	default:
		return nil, notRunFailure(http.StatusServiceUnavailable, CodeOverload, "no place", time.Second)
	}
}

// deadline returns the time by which the first byte of the response must arrive.
func (j *requestJob) deadline() time.Time {
	return j.start.Add(j.route.Deadline)
}

// dispatchJob returns the job for the runner.
func (h *Handler) dispatchJob(job *requestJob) dispatch.Job {
	return dispatch.Job{
		ID:        job.id,
		Grant:     job.grant,
		Route:     job.route,
		Method:    job.request.Method,
		Path:      job.path,
		Header:    job.header,
		Body:      job.body,
		Prompt:    job.prompt,
		MaxTokens: job.maxTokens,
		Stream:    job.completion != nil && job.completion.Stream,
		Deadline:  job.deadline(),
		Allowed:   func() error { return h.recheckKey(job) },
	}
}

// recheckKey checks the key of a request again, since it may have been withdrawn
// after the request was authorised.
func (h *Handler) recheckKey(job *requestJob) error {
	if job.grant.Customer != "" && !h.opts.Config.Fresh() {
		return errStaleConfig
	}
	if d, denied := customer.Check(h.opts.Config.Current(), job.grant).(customer.Denied); denied {
		job.denied = &d
		return errKeyNotInForce
	}
	return nil
}
