// Package dispatch runs one request on targets: it chooses, sends, retries
// where that is allowed, and hands the answer to the caller.
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

// A Job is one request. ID is unique over all VMs. Header, Path and Body hold
// no key of the caller. Output is the largest number of tokens of the answer.
// Deadline bounds the time to the first part of the answer; zero is none.
// Allowed is asked before every send, retry and resume; an error ends the job.
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

// Ran reports that a target's answer was passed on. Complete tells that the
// caller got all of it. Cut tells that the answer started and could not be
// ended by an explicit error: the handler must abort the connection with
// http.ErrAbortHandler. Parts is the number of events that were passed on, the
// last one included, or 1 for an answer in one piece.
type Ran struct {
	Target          string
	Complete        bool
	MustAbort       bool
	Reason          string
	TimeToFirstPart time.Duration
	Parts           int64
}

// NotRun reports that no target ran the request. Started tells that the caller
// has been told so within its event stream, so that no status can be written.
type NotRun struct {
	Reason     string
	RetryAfter time.Duration
	Started    bool
}

// Unknown reports that a target may have run the request, and that the caller
// got nothing of an answer. Started is as in NotRun.
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

// A Reporter takes what attempts show about targets.
type Reporter interface {
	Observe(target.Observation)
}

// Options are the parts that a Runner needs. Stream holds the time limits of
// answers; Numbered is set by the kind of route.
type Options struct {
	Client   target.Client
	Chooser  Chooser
	Reporter Reporter
	Config   func() *config.View
	Clock    store.Clock
	Log      log.Logger
	Stream   stream.Options
}

// A Runner runs jobs. It may be used by many goroutines.
type Runner struct {
	opts      Options
	budgets   *budgets
	transfers *transfers
}

// NewRunner returns a Runner.
func NewRunner(opts Options) *Runner {
	if opts.Log == nil {
		opts.Log = log.NewNopLogger()
	}
	if opts.Clock == nil {
		opts.Clock = store.SystemClock{}
	}
	return &Runner{opts: opts, budgets: newBudgets(), transfers: newTransfers()}
}

// Run runs one job and writes its answer to w. It writes nothing for NotRun and
// Unknown outcomes that are not Started.
func (r *Runner) Run(ctx context.Context, job Job, w http.ResponseWriter) Outcome {
	opts := r.opts.Stream
	opts.Numbered = job.Route.Kind == config.RouteModel
	run := &run{
		runner: r,
		job:    job,
		answer: stream.NewResponse(w, opts),
		begun:  r.opts.Clock.Now(),
	}
	return run.loop(ctx)
}
