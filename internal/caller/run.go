package caller

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"net/http"
	"time"

	"github.com/baobabdyke/baobabdyke/claim"
	"github.com/baobabdyke/baobabdyke/dispatch"
	"github.com/baobabdyke/baobabdyke/limit"
)

const (
	// maxIdempotencyKey is the largest idempotency key in bytes.
	maxIdempotencyKey = 255
	// claimedRunTime bounds a once-only request whose caller may be gone.
	claimedRunTime = 2 * time.Minute
	// pendingLook is the pause before a pending claim is looked at again, and
	// pendingLooks how often that is done.
	pendingLook  = 250 * time.Millisecond
	pendingLooks = 2
	// pendingRetry is when a repeat of a request that may run is worth while.
	pendingRetry = 2 * time.Second
)

// errStale ends a request on a VM whose configuration may be out of date.
var errStale = errors.New("this VM has lost touch with the configuration")

// errDenied ends a request whose key is no longer in force.
var errDenied = errors.New("the key is not in force any more")

// A runOutcome is how a request ended. Failure is nil when an answer was
// written whole. Started tells that the caller already has a status line, and
// cut that the connection must be aborted.
type runOutcome struct {
	code      string
	used      limit.Cost
	firstByte time.Duration
	failed    bool
	started   bool
	cut       bool
	complete  bool
	failure   *Failure
}

// run runs a request, under a claim if it has an idempotency key.
func (h *Handler) run(w http.ResponseWriter, r *http.Request, job *work) runOutcome {
	key := r.Header.Get(HeaderIdempotencyKey)
	switch {
	case len(key) > maxIdempotencyKey:
		return notRun(http.StatusBadRequest, CodeBadRequest, "the idempotency key is too long", 0)
	case key == "" && job.route.Once:
		return notRun(http.StatusBadRequest, CodeBadRequest, "the route needs an Idempotency-Key header", 0)
	case key == "":
		ctx, remove := h.running.Add(r.Context(), job.grant, job.start)
		defer remove()
		return h.runOnce(ctx, w, job)
	default:
		return h.runClaimed(w, r, job, key)
	}
}

// runOnce runs a request and maps its outcome.
func (h *Handler) runOnce(ctx context.Context, w http.ResponseWriter, job *work) runOutcome {
	out := newAnswerWriter(w, job.whole())
	switch o := h.opts.Runner.Run(ctx, h.job(job), out).(type) {
	case dispatch.Ran:
		return runOutcome{
			code:      codeRan,
			used:      job.used(o, out),
			firstByte: o.TimeToFirstPart,
			failed:    !o.Complete,
			complete:  o.Complete,
			cut:       o.MustAbort,
		}
	case dispatch.NotRun:
		return notRunOutcome(job, o)
	case dispatch.Unknown:
		failure := unknownFailure(http.StatusBadGateway, CodeUnknown, o.Reason, 0)
		return runOutcome{code: CodeUnknown, used: job.cost, failed: true, started: o.Started, failure: failure}
	default:
		return runOutcome{code: CodeUnknown, used: job.cost, failed: true}
	}
}

// runClaimed runs a request under a claim on its idempotency key. It goes on
// when the caller is gone, so that the answer is there for a repeat.
func (h *Handler) runClaimed(w http.ResponseWriter, r *http.Request, job *work, key string) runOutcome {
	result := h.begin(r.Context(), claimName(job, key))
	granted, ok := result.(claim.Granted)
	if !ok {
		return h.unclaimed(w, result)
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.Context()), claimedRunTime)
	defer cancel()
	ctx, remove := h.running.Add(ctx, job.grant, job.start)
	defer remove()

	kept := newKeeper(w, job.completion != nil && job.completion.Stream, h.opts.Bounds.Answer)
	outcome := h.runOnce(ctx, kept, job)
	finish, cancelFinish := context.WithTimeout(context.WithoutCancel(r.Context()), claimedRunTime)
	defer cancelFinish()
	kept.end(outcome.complete)
	h.endClaim(finish, granted.Ticket, outcome, kept)
	return outcome
}

// begin claims a request. A claim that another try holds is asked for again
// after a short wait, since that try may be about to record its answer.
func (h *Handler) begin(ctx context.Context, n claim.Request) claim.Result {
	result := h.opts.Claims.Begin(ctx, n)
	for range pendingLooks {
		if _, pending := result.(claim.Pending); !pending {
			return result
		}
		select {
		case <-ctx.Done():
			return result
		case <-time.After(pendingLook):
		}
		result = h.opts.Claims.Begin(ctx, n)
	}
	return result
}

// endClaim records how a claimed request ended. A request that may have run
// leaves its claim in place.
func (h *Handler) endClaim(ctx context.Context, t claim.Ticket, o runOutcome, k *keeper) {
	var err error
	switch {
	case o.complete:
		err = h.opts.Claims.Finish(ctx, t, k.answer())
	case o.failure != nil && o.failure.Outcome == OutcomeNotRun:
		err = h.opts.Claims.Abandon(ctx, t)
	}
	if err != nil {
		_ = h.opts.Log.Log("msg", "claim not ended", "request", requestID(ctx), "err", err)
	}
}

// unclaimed answers a request whose claim was not granted.
func (h *Handler) unclaimed(w http.ResponseWriter, result claim.Result) runOutcome {
	switch c := result.(type) {
	case claim.Repeated:
		if c.Response.BodyDropped {
			message := "the request ran; its answer was too large to be kept"
			return runOutcome{failure: &Failure{Status: http.StatusConflict, Code: CodeNotKept, Message: message, Outcome: OutcomeRan}}
		}
		writeRepeated(w, c.Response)
		return runOutcome{code: codeRepeated}
	case claim.Pending:
		message := "an earlier try with this idempotency key runs or may have run"
		return runOutcome{failure: unknownFailure(http.StatusConflict, CodePending, message, pendingRetry)}
	case claim.Mismatch:
		message := "the idempotency key was used with another request"
		return notRun(http.StatusUnprocessableEntity, CodeMismatch, message, 0)
	default:
		message := "the claim could not be recorded, so the request was not run"
		return notRun(http.StatusServiceUnavailable, CodeUnavailable, message, time.Second)
	}
}

func writeRepeated(w http.ResponseWriter, a claim.Response) {
	w.Header().Set("Content-Type", a.ContentType)
	w.Header().Set(HeaderOutcome, OutcomeRan)
	w.WriteHeader(a.Status)
	_, _ = w.Write(a.Body)
}

func claimName(job *work, key string) claim.Request {
	digest := sha256.New()
	digest.Write([]byte(job.request.Method + "\x00" + job.path + "\x00"))
	digest.Write(job.call.body)
	return claim.Request{
		Customer: job.grant.Customer,
		Route:    job.route.Name,
		Key:      key,
		Digest:   hex.EncodeToString(digest.Sum(nil)),
	}
}

func notRun(status int, code, message string, retryAfter time.Duration) runOutcome {
	return runOutcome{failure: notRunFailure(status, code, message, retryAfter)}
}

// notRunOutcome maps the runner's refusal to the caller's status.
func notRunOutcome(job *work, n dispatch.NotRun) runOutcome {
	if job.denied != nil {
		return runOutcome{code: CodeKey, started: n.Started, failure: deniedFailure(*job.denied)}
	}
	o := notRun(http.StatusServiceUnavailable, CodeUnavailable, n.Reason, max(n.RetryAfter, time.Second))
	o.code = CodeUnavailable
	o.failed = true
	o.started = n.Started
	return o
}
