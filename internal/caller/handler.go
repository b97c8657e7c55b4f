// Package caller implements the HTTP interface for callers: the choice of a VM,
// chat completions on model routes, and requests to services.
package caller

import (
	"context"
	"net/http"
	"time"

	"github.com/go-kit/log"
	"github.com/justinas/alice"

	"github.com/baobabdyke/baobabdyke/claim"
	"github.com/baobabdyke/baobabdyke/config"
	"github.com/baobabdyke/baobabdyke/dispatch"
	"github.com/baobabdyke/baobabdyke/entry"
	"github.com/baobabdyke/baobabdyke/limit"
	"github.com/baobabdyke/baobabdyke/queue"
	"github.com/baobabdyke/baobabdyke/store"
)

// Names of request and response headers.
const (
	HeaderRequestID      = "X-Request-Id"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderOutcome        = "Baobabdyke-Outcome"
	HeaderPrefix         = "Baobabdyke-Prefix"
)

// A Configuration returns the current configuration of this VM.
type Configuration interface {
	Current() *config.View
	// Fresh reports whether the configuration is recent enough to serve routes
	// that need a key.
	Fresh() bool
}

// A Limiter enforces the rate limits of customers.
type Limiter interface {
	Reserve(ctx context.Context, customer string, c limit.Cost) limit.Decision
	Settle(r limit.Reservation, used limit.Cost)
}

// A Queue delays requests until they may run.
type Queue interface {
	Acquire(ctx context.Context, t queue.Ticket) queue.Outcome
}

// A Claimer records requests that have an idempotency key, so that they run at
// most once.
type Claimer interface {
	Begin(ctx context.Context, r claim.Request) claim.Result
	Finish(ctx context.Context, t claim.Ticket, resp claim.Response) error
	Abandon(ctx context.Context, t claim.Ticket) error
}

// A Runner runs one request on targets.
type Runner interface {
	Run(ctx context.Context, j dispatch.Job, w http.ResponseWriter) dispatch.Outcome
}

// A Placer selects the VMs that a caller should use.
type Placer interface {
	Resolve(r entry.Request) entry.Response
}

// Bounds limit the resources that one request can use.
type Bounds struct {
	// MaxBodyBytes is the largest accepted request body.
	MaxBodyBytes int64
	// BodyTimeout bounds the time in which the request body must arrive.
	BodyTimeout time.Duration
	// MaxRecordedBytes is the largest response body that is recorded for repeats of
	// an at-most-once request.
	MaxRecordedBytes int
}

// Options are the dependencies and settings of a Handler.
type Options struct {
	Config     Configuration
	Limiter    Limiter
	Queue      Queue
	Claims     Claimer
	Runner     Runner
	Placer     Placer
	Clock      store.Clock
	Log        log.Logger
	Bounds     Bounds
	DataCentre string
	// Accepting returns why this VM does not accept requests, or nil if it does.
	// Without the function all requests are accepted.
	Accepting func() error
	// Draining reports whether this VM is shutting down, in which case
	// connections must not be reused. Without the function it is not.
	Draining func() bool
}

// A Handler serves the callers' port.
type Handler struct {
	opts     Options
	running  *RunningRequests
	counters *Counters
	chain    http.Handler
}

// NewHandler returns the handler of the callers' port.
func NewHandler(opts Options) *Handler {
	h := &Handler{opts: opts, running: NewRunningRequests(), counters: NewCounters()}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /entry", h.entry)
	mux.HandleFunc("POST /v1/chat/completions", h.chat)
	mux.HandleFunc("/s/{route}/{path...}", h.service)
	mux.HandleFunc("/", h.notFound)
	h.chain = alice.New(h.assignRequestID, h.checkAccepting).Then(mux)
	return h
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.chain.ServeHTTP(w, r)
}

// Apply aborts the running requests whose key the configuration withdraws in the
// mode that aborts requests.
func (h *Handler) Apply(v *config.View) {
	h.running.AbortWithdrawn(v)
}

// Dump returns the counters and running requests for the state dump.
func (h *Handler) Dump() any {
	return struct {
		Counts  Counts          `json:"counts"`
		Running []RunningRecord `json:"running"`
	}{h.counters.Snapshot(), h.running.Records()}
}

// assignRequestID assigns an ID to each request and returns it in a response
// header.
func (h *Handler) assignRequestID(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := newRequestID(r.Header.Get(HeaderRequestID))
		w.Header().Set(HeaderRequestID, id)
		next.ServeHTTP(w, r.WithContext(withRequestID(r.Context(), id)))
	})
}

// checkAccepting rejects requests while this VM is not ready. While it drains,
// responses ask callers to close their connections, so that no request is sent on
// a connection that is about to be closed.
func (h *Handler) checkAccepting(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if h.opts.Draining != nil && h.opts.Draining() {
			w.Header().Set("Connection", "close")
		}
		if h.opts.Accepting != nil {
			if err := h.opts.Accepting(); err != nil {
				h.refuse(w, r, notRunFailure(http.StatusServiceUnavailable, CodeUnavailable, err.Error(), time.Second))
				return
			}
		}
		next.ServeHTTP(w, r)
	})
}

func (h *Handler) notFound(w http.ResponseWriter, r *http.Request) {
	message := "there is no such path; see /entry, /v1/chat/completions and /s/<route>/"
	h.refuse(w, r, notRunFailure(http.StatusNotFound, CodeNotFound, message, 0))
}
