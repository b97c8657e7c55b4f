// Package dispatch runs one request on targets: it chooses a target, sends the
// request, retries where that is allowed and relays the response to the caller.
package dispatch

import (
	"context"
	"net/http"
	"time"

	"github.com/go-kit/log"

	"github.com/baobabdyke/baobabdyke/config"
	"github.com/baobabdyke/baobabdyke/customer"
	"github.com/baobabdyke/baobabdyke/prefix"
	"github.com/baobabdyke/baobabdyke/route"
	"github.com/baobabdyke/baobabdyke/store"
	"github.com/baobabdyke/baobabdyke/stream"
	"github.com/baobabdyke/baobabdyke/target"
)

// A Job is one request to run. ID is unique across all VMs. Header, Path and
// Body must not contain the caller's API key. MaxTokens is the maximum number
// of output tokens. Deadline is the time by which the first part of the
// response must arrive; zero means no deadline. Allowed is called before every
// send, retry and resume; an error ends the job.
type Job struct {
	ID        string
	Grant     customer.Grant
	Route     *config.Route
	Method    string
	Path      string
	Header    http.Header
	Body      []byte
	Prompt    prefix.Prompt
	MaxTokens int
	Stream    bool
	Deadline  time.Time
	Allowed   func() error
}

// An Outcome is how a job ended: Ran, NotRun or Unknown.
type Outcome interface{ outcome() }

// Ran reports that at least a part of a target's response was relayed to the
// caller. Complete reports whether the caller got all of it. MustAbort reports
// whether the response started and could not be ended by an error event: the
// handler must abort the connection with http.ErrAbortHandler. Parts is the
// number of relayed events, including the last one, or 1 for a response that
// is not a stream.
type Ran struct {
	Target          string
	Complete        bool
	MustAbort       bool
	Reason          string
	TimeToFirstPart time.Duration
	Parts           int64
}

// NotRun reports that no target ran the request. Started reports whether the
// event stream had already started, so that the error was sent as an event in
// it and no status can be written.
type NotRun struct {
	Reason     string
	RetryAfter time.Duration
	Started    bool
}

// Unknown reports that a target may have run the request but the caller got no
// part of a response. Started is as in NotRun.
type Unknown struct {
	Reason  string
	Started bool
}

func (Ran) outcome()     {}
func (NotRun) outcome()  {}
func (Unknown) outcome() {}

// A Chooser chooses the target of an attempt.
type Chooser interface {
	Choose(ctx context.Context, r route.Request) route.Choice
}

// A Reporter receives what attempts reveal about the health of targets.
type Reporter interface {
	Observe(target.Observation)
}

// Options are the dependencies and settings of a Runner. Stream holds the time
// limits of responses; its Numbered field is overridden by the kind of route.
type Options struct {
	Client   target.Client
	Chooser  Chooser
	Reporter Reporter
	Config   func() *config.View
	Clock    store.Clock
	Log      log.Logger
	Stream   stream.Options
}

// A Runner runs jobs. It is safe for concurrent use.
type Runner struct {
	opts       Options
	budgets    *budgets
	cacheStats *cacheStats
}

// NewRunner returns a Runner with the given options.
func NewRunner(opts Options) *Runner {
	if opts.Log == nil {
		opts.Log = log.NewNopLogger()
	}
	if opts.Clock == nil {
		opts.Clock = store.SystemClock{}
	}
	return &Runner{opts: opts, budgets: newBudgets(), cacheStats: newCacheStats()}
}

// Run runs one job and writes the response to w. It writes nothing for NotRun
// and Unknown outcomes that are not Started.
func (r *Runner) Run(ctx context.Context, job Job, w http.ResponseWriter) Outcome {
	opts := r.opts.Stream
	opts.Numbered = job.Route.Kind == config.RouteModel
	run := &run{
		runner:   r,
		job:      job,
		response: stream.NewResponse(w, opts),
		start:    r.opts.Clock.Now(),
	}
	return run.loop(ctx)
}
