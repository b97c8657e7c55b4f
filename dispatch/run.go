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
	// maxStaleRefusals is the number of refusals because of a changed
	// incarnation or weights version that are retried on the same target. After
	// that the target is excluded.
	maxStaleRefusals = 3
	// staleRetryDelay allows the state of a target to be read again before the
	// next choice. It doubles with every refusal.
	staleRetryDelay = 100 * time.Millisecond
	// cancelTimeout bounds the call that cancels a request on a target.
	cancelTimeout = 2 * time.Second
	// maxSendDelay is the longest time from the choice of a target to the send.
	// After it the target may have announced that it is leaving, so a target is
	// chosen again.
	maxSendDelay = 400 * time.Millisecond
	// finalRetryAfter is the Retry-After time for callers after the last attempt.
	finalRetryAfter = time.Second
)

// errDeadline cancels an attempt whose first part did not arrive in time.
var errDeadline = errors.New("deadline passed before the first part of the answer")

// errLate ends an attempt that was not sent within maxSendDelay of the choice.
var errLate = errors.New("too much time from the choice to the send")

// A run is one job in progress. It is owned by one goroutine.
type run struct {
	runner   *Runner
	job      Job
	response *stream.Response
	start    time.Time
	attempts int
	// sends counts the sends, to give each a unique attempt id. It differs from
	// attempts because a stream may be resumed several times in one attempt.
	sends int
	// possibleRuns counts the sends that a target may have run.
	possibleRuns    int
	excluded        []string
	staleRefusals   map[string]int
	awaitedPrefill  bool
	timeToFirstPart time.Duration
}

// An attemptResult is the result of an attempt. The outcome is that of the job, or
// nil if another attempt follows.
type attemptResult struct {
	outcome Outcome
}

func final(o Outcome) attemptResult { return attemptResult{outcome: o} }

func (r *run) loop(ctx context.Context) Outcome {
	for {
		if err := r.checkAllowed(); err != nil {
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

func (r *run) checkAllowed() error {
	if r.job.Allowed == nil {
		return nil
	}
	return r.job.Allowed()
}

// attempt chooses a target and sends the request at most once.
func (r *run) attempt(ctx context.Context) attemptResult {
	choice := r.runner.opts.Chooser.Choose(ctx, route.Request{
		Route:          r.job.Route,
		Prompt:         r.job.Prompt,
		MaxTokens:      r.job.MaxTokens,
		Deadline:       r.job.Deadline,
		Excluded:       r.excluded,
		AwaitedPrefill: r.awaitedPrefill,
	})
	switch c := choice.(type) {
	case route.NoTarget:
		return final(r.refuse(c.Reason, c.RetryAfter))
	case route.AwaitPrefill:
		r.awaitedPrefill = true
		r.wait(ctx, c.Ready, c.Until.Sub(r.now()))
		return attemptResult{}
	case route.Chosen:
		return r.send(ctx, c)
	default:
		invariant.Check(false, "route-choice", "unknown choice %T", choice)
		return attemptResult{}
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

// send makes one attempt on the chosen target and reports its result to the
// chooser.
func (r *run) send(ctx context.Context, c route.Chosen) attemptResult {
	invariant.Check(r.possibleRuns == 0 || r.job.Route.Idempotent,
		"at-most-once", "request %s sent again after %d sends that may have run", r.job.ID, r.possibleRuns)
	r.attempts++
	if r.attempts == 1 {
		r.runner.budgets.addFirstAttempt(c.Target.Name, r.job.Grant.Customer)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	deadline := r.startDeadline(cancel)
	defer deadline.Stop()
	r.transfer(ctx, c)
	a := &attempt{run: r, choice: c, deadline: deadline, sentAt: r.now()}
	if a.sentAt.Sub(c.ChosenAt) > maxSendDelay {
		c.Done(0, errLate)
		return r.retryLate()
	}
	s, err := a.send(ctx)
	c.Done(a.timeToFirstPart, err)
	return s
}

// retryLate requests another choice after a send was delayed too long.
func (r *run) retryLate() attemptResult {
	if r.attempts >= maxAttempts {
		return final(r.refuse(errLate.Error(), finalRetryAfter))
	}
	return attemptResult{}
}

// startDeadline starts a timer that cancels the attempt when the deadline passes
// before the first part of the response.
func (r *run) startDeadline(cancel context.CancelCauseFunc) *time.Timer {
	if r.job.Deadline.IsZero() {
		return time.NewTimer(time.Hour)
	}
	return time.AfterFunc(r.job.Deadline.Sub(r.now()), func() { cancel(errDeadline) })
}

func (r *run) pieceKeys() []uint64 {
	list := make([]uint64, len(r.job.Prompt.Keys))
	for i, k := range r.job.Prompt.Keys {
		list[i] = uint64(k)
	}
	return list
}

// request returns the request to send next. Each has a unique attempt id.
func (r *run) request(c route.Chosen, resume int64) target.Request {
	r.sends++
	req := target.Request{
		ID:       r.job.ID,
		Attempt:  r.job.ID + "." + strconv.Itoa(r.sends),
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
	req.Pieces = r.pieceKeys()
	return req
}

// retryElsewhere requests an attempt on another target after one that may have
// run and of which nothing was relayed. It ends the job unless the request is
// idempotent, attempts are left and the retry budgets allow it.
func (r *run) retryElsewhere(c route.Chosen, reason string) attemptResult {
	if !r.mayRetry() || !r.runner.budgets.spend(c.Target.Name, r.job.Grant.Customer) {
		return final(r.unknown(reason))
	}
	r.excluded = append(r.excluded, c.Target.Name)
	return attemptResult{}
}

func (r *run) mayRetry() bool {
	return r.job.Route.Idempotent && r.attempts < maxAttempts
}

// retryNotRun requests another attempt after one that certainly did not run.
func (r *run) retryNotRun(ctx context.Context, c route.Chosen, result target.NotRun) attemptResult {
	if r.attempts >= maxAttempts {
		return final(r.refuse(result.Reason, finalRetryAfter))
	}
	if r.staleRefusals == nil {
		r.staleRefusals = map[string]int{}
	}
	r.staleRefusals[c.Target.Name]++
	if result.Stale && r.staleRefusals[c.Target.Name] <= maxStaleRefusals {
		r.wait(ctx, nil, staleRetryDelay<<(r.staleRefusals[c.Target.Name]-1))
		return attemptResult{}
	}
	if !r.runner.budgets.spend(c.Target.Name, r.job.Grant.Customer) {
		return final(r.refuse(result.Reason, finalRetryAfter))
	}
	r.excluded = append(r.excluded, c.Target.Name)
	return attemptResult{}
}

// refuse ends a job without a response. The outcome is NotRun if no send may
// have run, and Unknown otherwise.
func (r *run) refuse(reason string, retryAfter time.Duration) Outcome {
	if r.possibleRuns > 0 {
		return r.unknown(reason)
	}
	r.log("not run", reason)
	return NotRun{Reason: reason, RetryAfter: retryAfter, Started: r.sendError("not-run", reason)}
}

func (r *run) unknown(reason string) Outcome {
	r.log("unknown", reason)
	return Unknown{Reason: reason, Started: r.sendError("unknown", reason)}
}

// sendError ends a response that has started with an error event. It reports
// whether the response had started.
func (r *run) sendError(outcome, reason string) bool {
	if !r.response.Started() {
		return false
	}
	r.response.Fail(outcome, reason)
	return true
}

func (r *run) log(outcome, reason string) {
	_ = r.runner.opts.Log.Log("event", "request", "request", r.job.ID, "outcome", outcome, "reason", reason)
}

// retryableStatus reports whether a response with this status is discarded and
// the request retried on another target.
func retryableStatus(status int) bool {
	switch status {
	case http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return true
	}
	return false
}
