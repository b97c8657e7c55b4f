package dispatch

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/baobabdyke/baobabdyke/config"
	"github.com/baobabdyke/baobabdyke/invariant"
	"github.com/baobabdyke/baobabdyke/route"
	"github.com/baobabdyke/baobabdyke/stream"
	"github.com/baobabdyke/baobabdyke/target"
)

const (
	// maxAttempts bounds the sends of one job.
	maxAttempts = 5
	// maxStale is the number of refusals for a moved incarnation or weight
	// version after which a target is left out.
	maxStale = 3
	// stalePause gives the state of a target time to be read again. It doubles
	// with every refusal.
	stalePause    = 100 * time.Millisecond
	cancelTimeout = 2 * time.Second
	// sendLimit is the time from a choice to its send after which the target may
	// have given notice to leave, and is chosen anew.
	sendLimit = 400 * time.Millisecond
	// noRetryAfter is what callers are told to wait after the last attempt.
	noRetryAfter = time.Second
)

// errDeadline ends an attempt whose first part did not come in time.
var errDeadline = errors.New("deadline passed before the first part of the answer")

// errLate ends an attempt that was not sent in time.
var errLate = errors.New("too much time from the choice to the send")

// A run is one job under way. One goroutine owns it.
type run struct {
	runner   *Runner
	job      Job
	answer   *stream.Response
	begun    time.Time
	attempts int
	serial   int
	// risked counts the sends that a target may have run.
	risked   int
	excluded []string
	stale    map[string]int
	followed bool
	first    time.Duration
}

// A step is what follows an attempt: final, or another attempt.
type step struct {
	outcome Outcome
}

func final(o Outcome) step { return step{outcome: o} }

func (r *run) loop(ctx context.Context) Outcome {
	for {
		if err := r.allowed(); err != nil {
			return r.refuse("not allowed any more: "+err.Error(), 0)
		}
		if ctx.Err() != nil {
			return r.refuse("request ended: "+context.Cause(ctx).Error(), 0)
		}
		if s := r.attempt(ctx); s.outcome != nil {
			return s.outcome
		}
	}
}

func (r *run) allowed() error {
	if r.job.Allowed == nil {
		return nil
	}
	return r.job.Allowed()
}

// attempt chooses a target and sends the request once.
func (r *run) attempt(ctx context.Context) step {
	choice := r.runner.opts.Chooser.Choose(ctx, route.Request{
		Route:          r.job.Route,
		Prompt:         r.job.Prompt,
		MaxTokens:      r.job.MaxTokens,
		Deadline:       r.job.Deadline,
		Excluded:       r.excluded,
		AwaitedPrefill: r.followed,
	})
	switch c := choice.(type) {
	case route.NoTarget:
		return final(r.refuse(c.Reason, c.RetryAfter))
	case route.AwaitPrefill:
		r.followed = true
		r.wait(ctx, c.Ready, c.Until.Sub(r.now()))
		return step{}
	case route.Chosen:
		return r.send(ctx, c)
	default:
		invariant.Check(false, "route-choice", "unknown choice %T", choice)
		return step{}
	}
}

func (r *run) now() time.Time { return r.runner.opts.Clock.Now() }

// wait returns when ready closes, or after d, or when ctx ends.
func (r *run) wait(ctx context.Context, ready <-chan struct{}, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ready:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// send makes one attempt on the chosen target and judges its result.
func (r *run) send(ctx context.Context, c route.Chosen) step {
	invariant.Check(r.risked == 0 || r.job.Route.Idempotent,
		"at-most-once", "request %s sent again after %d sends that may have run", r.job.ID, r.risked)
	r.attempts++
	if r.attempts == 1 {
		r.runner.budgets.earn(c.Target.Name, r.job.Grant.Customer)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	deadline := r.startDeadline(cancel)
	defer deadline.Stop()
	r.transfer(ctx, c)
	a := &attempt{run: r, choice: c, deadline: deadline, sent: r.now()}
	if a.sent.Sub(c.ChosenAt) > sendLimit {
		c.Done(0, errLate)
		return r.late()
	}
	s, err := a.try(ctx)
	c.Done(a.first, err)
	return s
}

// late prepares another choice after one that came to its send too late.
func (r *run) late() step {
	if r.attempts >= maxAttempts {
		return final(r.refuse(errLate.Error(), noRetryAfter))
	}
	return step{}
}

// startDeadline ends the attempt when the deadline passes before its first
// part.
func (r *run) startDeadline(cancel context.CancelCauseFunc) *time.Timer {
	if r.job.Deadline.IsZero() {
		return time.NewTimer(time.Hour)
	}
	return time.AfterFunc(r.job.Deadline.Sub(r.now()), func() { cancel(errDeadline) })
}

func (r *run) pieces() []uint64 {
	list := make([]uint64, len(r.job.Prompt.Keys))
	for i, k := range r.job.Prompt.Keys {
		list[i] = uint64(k)
	}
	return list
}

// request returns the message of the next send. Each has an attempt id of its
// own.
func (r *run) request(c route.Chosen, resume int64) target.Request {
	r.serial++
	req := target.Request{
		ID:       r.job.ID,
		Attempt:  r.job.ID + "." + strconv.Itoa(r.serial),
		Method:   r.job.Method,
		Path:     r.job.Path,
		Header:   r.job.Header,
		Body:     r.job.Body,
		Priority: r.job.Route.Priority,
		Resume:   resume,
	}
	if c.Target.Kind != config.TargetEngine {
		return req
	}
	req.Incarnation = c.Incarnation
	req.Weights = c.Weights
	req.Salt = r.job.Prompt.Salt.Digest()
	req.Pieces = r.pieces()
	return req
}

// retry prepares another attempt elsewhere after one that may have run, if the
// request may run again, nothing was passed on and the budgets allow it.
func (r *run) retry(c route.Chosen, reason string) step {
	if !r.mayRetry() || !r.runner.budgets.spend(c.Target.Name, r.job.Grant.Customer) {
		return final(r.unknown(reason))
	}
	r.excluded = append(r.excluded, c.Target.Name)
	return step{}
}

func (r *run) mayRetry() bool {
	return r.job.Route.Idempotent && r.attempts < maxAttempts
}

// again prepares another attempt after one that provably did not run.
func (r *run) again(ctx context.Context, c route.Chosen, result target.NotRun) step {
	if r.attempts >= maxAttempts {
		return final(r.refuse(result.Reason, noRetryAfter))
	}
	if r.stale == nil {
		r.stale = map[string]int{}
	}
	r.stale[c.Target.Name]++
	if result.Stale && r.stale[c.Target.Name] <= maxStale {
		r.wait(ctx, nil, stalePause<<(r.stale[c.Target.Name]-1))
		return step{}
	}
	if !r.runner.budgets.spend(c.Target.Name, r.job.Grant.Customer) {
		return final(r.refuse(result.Reason, noRetryAfter))
	}
	r.excluded = append(r.excluded, c.Target.Name)
	return step{}
}

// refuse ends a job without an answer. It is NotRun only if no send may have
// run.
func (r *run) refuse(reason string, after time.Duration) Outcome {
	if r.risked > 0 {
		return r.unknown(reason)
	}
	r.log("not run", reason)
	return NotRun{Reason: reason, RetryAfter: after, Started: r.explain("not-run", reason)}
}

func (r *run) unknown(reason string) Outcome {
	r.log("unknown", reason)
	return Unknown{Reason: reason, Started: r.explain("unknown", reason)}
}

// explain ends a started answer with an explicit error event, and tells whether
// the answer had started.
func (r *run) explain(outcome, reason string) bool {
	if !r.answer.Started() {
		return false
	}
	r.answer.Fail(outcome, reason)
	return true
}

func (r *run) log(outcome, reason string) {
	_ = r.runner.opts.Log.Log("event", "request", "request", r.job.ID, "outcome", outcome, "reason", reason)
}

// retryableStatus tells whether an answer with this status may be replaced by
// that of another target.
func retryableStatus(status int) bool {
	switch status {
	case http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return true
	}
	return false
}
