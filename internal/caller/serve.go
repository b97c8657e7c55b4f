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
	"github.com/baobabdyke/baobabdyke/limit"
	"github.com/baobabdyke/baobabdyke/prefix"
	"github.com/baobabdyke/baobabdyke/queue"
)

// serviceTokens is what a request to a plain service takes of a token rate.
const serviceTokens = 1

// A call is one request after its body was read. Completion is nil for plain
// services.
type call struct {
	name       string
	kind       string
	path       string
	body       []byte
	completion *Completion
}

// A work is one authorized request on its way to a target.
type work struct {
	call
	id      string
	header  http.Header
	grant   customer.Grant
	route   *config.Route
	prompt  prefix.Prompt
	body    []byte
	output  int
	cost    limit.Cost
	start   time.Time
	request *http.Request
	// denied is set when the key was refused on a later check.
	denied *customer.Denied
}

// serve authorises a request, holds it to its customer's rate, lets it wait for
// its turn and runs it.
func (h *Handler) serve(w http.ResponseWriter, r *http.Request, c call) {
	job, failure := h.prepare(r, c)
	if failure != nil {
		h.refuse(w, r, failure)
		return
	}
	if family := job.prompt.Family(); family != 0 {
		w.Header().Set(HeaderPrefix, strconv.FormatUint(uint64(family), 16))
	}
	reservation, failure := h.reserve(r.Context(), job)
	if failure != nil {
		h.refuse(w, r, failure)
		return
	}
	used := job.cost
	defer func() { h.settle(reservation, used) }()

	leave, failure := h.enter(r.Context(), job)
	if failure != nil {
		used = limit.Cost{}
		h.refuse(w, r, failure)
		return
	}
	outcome := h.run(w, r, job)
	leave(outcome.firstByte, outcome.failed)
	used = outcome.used
	h.conclude(w, r, job, outcome)
}

// conclude writes the failure of a request that has no answer, and logs how the
// request ended.
func (h *Handler) conclude(w http.ResponseWriter, r *http.Request, job *work, o runOutcome) {
	if o.failure != nil && !o.started {
		h.refuse(w, r, o.failure)
		return
	}
	h.counts.Add(o.code)
	_ = h.opts.Log.Log("msg", "answered", "request", job.id, "route", job.route.Name,
		"customer", job.grant.Customer, "key", job.grant.KeyID, "outcome", o.code,
		"took", h.opts.Clock.Now().Sub(job.start))
	if o.cut {
		// The connection is the only way left to tell the caller that the
		// answer is not whole.
		panic(http.ErrAbortHandler)
	}
}

// prepare authorises a request and works out what it needs.
func (h *Handler) prepare(r *http.Request, c call) (*work, *Failure) {
	view := h.opts.Config.Current()
	granted, failure := authorize(view, r, c.name)
	if failure != nil {
		return nil, failure
	}
	if failure := h.checkRoute(granted.Route, c); failure != nil {
		return nil, failure
	}
	header, target := stripped(r, c.path, granted.Route.Secrets)
	c.path = target
	job := &work{
		call:    c,
		header:  header,
		id:      requestID(r.Context()),
		grant:   granted.Grant,
		route:   granted.Route,
		body:    c.body,
		cost:    limit.Cost{Requests: 1, Tokens: serviceTokens},
		start:   h.opts.Clock.Now(),
		request: r,
	}
	if c.completion == nil {
		return job, nil
	}
	body, err := c.completion.Body(granted.Route)
	if err != nil {
		return nil, notRunFailure(http.StatusBadRequest, CodeBadRequest, err.Error(), 0)
	}
	job.body = body
	job.output = c.completion.Output
	job.prompt = c.completion.Pieces(view, granted.Route, granted.Grant.Customer)
	job.cost.Tokens = float64(c.completion.Tokens() + c.completion.Output)
	return job, nil
}

// stripped returns the header and the path with query of a request without
// anything that may carry a key.
func stripped(r *http.Request, path string, secrets []string) (http.Header, string) {
	header := r.Header.Clone()
	address := &url.URL{Path: path, RawQuery: r.URL.RawQuery}
	customer.Strip(header, address, secrets)
	return header, address.RequestURI()
}

// checkRoute refuses requests that do not fit the route, or that this VM must
// not serve because its configuration may be out of date.
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

// authorize returns the right of a request to run on a route.
func authorize(v *config.View, r *http.Request, route string) (customer.Granted, *Failure) {
	switch verdict := customer.Authorize(v, r, route).(type) {
	case customer.Granted:
		return verdict, nil
	case customer.Denied:
		return customer.Granted{}, deniedFailure(verdict)
	default:
		return customer.Granted{}, notRunFailure(http.StatusForbidden, CodeForbidden, "not allowed", 0)
	}
}

func deniedFailure(d customer.Denied) *Failure {
	codes := map[int]string{
		http.StatusBadRequest:   CodeBadRequest,
		http.StatusUnauthorized: CodeKey,
		http.StatusForbidden:    CodeForbidden,
		http.StatusNotFound:     CodeNotFound,
	}
	return notRunFailure(d.Status, codes[d.Status], d.Reason, 0)
}

// reserve takes the cost of a request from its customer's rate. Open routes
// have no customer and take nothing.
func (h *Handler) reserve(ctx context.Context, job *work) (*limit.Reservation, *Failure) {
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
		return nil, notRunFailure(http.StatusRequestEntityTooLarge, CodeBurst, message, 0)
	default:
		return nil, notRunFailure(http.StatusServiceUnavailable, CodeUnavailable, "no decision", time.Second)
	}
}

func (h *Handler) settle(r *limit.Reservation, used limit.Cost) {
	if r != nil {
		h.opts.Limiter.Settle(*r, used)
	}
}

// enter waits until the request may run.
func (h *Handler) enter(ctx context.Context, job *work) (func(time.Duration, bool), *Failure) {
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

// deadline returns the time by which the first byte must have come.
func (j *work) deadline() time.Time {
	return j.start.Add(j.route.Deadline)
}

// job returns what the runner needs.
func (h *Handler) job(w *work) dispatch.Job {
	return dispatch.Job{
		ID:        w.id,
		Grant:     w.grant,
		Route:     w.route,
		Method:    w.request.Method,
		Path:      w.path,
		Header:    w.header,
		Body:      w.body,
		Prompt:    w.prompt,
		MaxTokens: w.output,
		Stream:    w.completion != nil && w.completion.Stream,
		Deadline:  w.deadline(),
		Allowed:   func() error { return h.allowed(w) },
	}
}

// allowed checks the key of a request again.
func (h *Handler) allowed(job *work) error {
	if job.grant.Customer != "" && !h.opts.Config.Fresh() {
		return errStale
	}
	if d, denied := customer.Check(h.opts.Config.Current(), job.grant).(customer.Denied); denied {
		job.denied = &d
		return errDenied
	}
	return nil
}
