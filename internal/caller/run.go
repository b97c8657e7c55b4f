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
	// maxIdempotencyKeyBytes is the largest accepted idempotency key.
	maxIdempotencyKeyBytes = 255
	// claimedRunTimeout bounds a claimed request, which continues when its
	// caller disconnects.
	claimedRunTimeout = 2 * time.Minute
	// A pending claim is polled maxPendingPolls times, after a delay of
	// pendingPollInterval each.
	pendingPollInterval = 250 * time.Millisecond
	maxPendingPolls     = 2
	// pendingRetryAfter is the Retry-After of requests whose claim is pending.
	pendingRetryAfter = 2 * time.Second
)

// errStaleConfig ends a request on a VM whose configuration may be stale.
var errStaleConfig = errors.New("this VM has lost touch with the configuration")

// errKeyNotInForce ends a request whose key is no longer valid.
var errKeyNotInForce = errors.New("the key is not in force any more")

// A runOutcome describes how a request ended. Failure is nil if a response was
// written. Started is set if the status line was already sent, and mustAbort if
// the connection must be aborted.
type runOutcome struct {
	code      string
	used      limit.Cost
	firstByte time.Duration
	failed    bool
	started   bool
	mustAbort bool
	complete  bool
	failure   *Failure
}

// run runs a request, under a claim if it has an idempotency key.
func (h *Handler) run(w http.ResponseWriter, r *http.Request, job *requestJob) runOutcome {
	key := r.Header.Get(HeaderIdempotencyKey)
	switch {
	case len(key) > maxIdempotencyKeyBytes:
		return notRunResult(http.StatusBadRequest, CodeBadRequest, "the idempotency key is too long", 0)
	case key == "" && job.route.Once:
		return notRunResult(http.StatusBadRequest, CodeBadRequest, "the route needs an Idempotency-Key header", 0)
	case key == "":
		ctx, remove := h.running.Add(r.Context(), job.grant, job.start)
		defer remove()
		return h.runUnclaimed(ctx, w, job)
	default:
		return h.runClaimed(w, r, job, key)
	}
}

// runUnclaimed runs a request without looking at claims and maps its outcome.
func (h *Handler) runUnclaimed(ctx context.Context, w http.ResponseWriter, job *requestJob) runOutcome {
	out := newResponseWriter(w, job.isNonStreamed())
	switch o := h.opts.Runner.Run(ctx, h.dispatchJob(job), out).(type) {
	case dispatch.Ran:
		return runOutcome{
			code:      codeRan,
			used:      job.usedCost(o, out),
			firstByte: o.TimeToFirstPart,
			failed:    !o.Complete,
			complete:  o.Complete,
			mustAbort: o.MustAbort,
		}
	case dispatch.NotRun:
		return mapNotRun(job, o)
	case dispatch.Unknown:
		failure := unknownFailure(http.StatusBadGateway, CodeUnknown, o.Reason, 0)
		return runOutcome{code: CodeUnknown, used: job.cost, failed: true, started: o.Started, failure: failure}
	default:
		return runOutcome{code: CodeUnknown, used: job.cost, failed: true}
	}
}

// runClaimed runs a request under a claim on its idempotency key. The request
// continues when the caller disconnects, so that its response is available for a
// repeat.
func (h *Handler) runClaimed(w http.ResponseWriter, r *http.Request, job *requestJob, key string) runOutcome {
	result := h.beginClaim(r.Context(), claimRequest(job, key))
	granted, ok := result.(claim.Granted)
	if !ok {
		return h.claimNotGranted(w, result)
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.Context()), claimedRunTimeout)
	defer cancel()
	ctx, remove := h.running.Add(ctx, job.grant, job.start)
	defer remove()

	recorder := newClaimRecorder(w, job.completion != nil && job.completion.Stream, h.opts.Bounds.MaxRecordedBytes)
	outcome := h.runUnclaimed(ctx, recorder, job)
	finishCtx, cancelFinish := context.WithTimeout(context.WithoutCancel(r.Context()), claimedRunTimeout)
	defer cancelFinish()
	recorder.finish(outcome.complete)
	h.endClaim(finishCtx, granted.Ticket, outcome, recorder)
	return outcome
}

// beginClaim claims a request. While another attempt holds the claim, it retries
// after a short delay, since that attempt may be about to record its response.
func (h *Handler) beginClaim(ctx context.Context, r claim.Request) claim.Result {
	result := h.opts.Claims.Begin(ctx, r)
	for range maxPendingPolls {
		if _, pending := result.(claim.Pending); !pending {
			return result
		}
		select {
		case <-ctx.Done():
			return result
		case <-time.After(pendingPollInterval):
		}
		result = h.opts.Claims.Begin(ctx, r)
	}
	return result
}

// endClaim records how a claimed request ended. The claim of a request that may
// have run stays in place.
func (h *Handler) endClaim(ctx context.Context, t claim.Ticket, o runOutcome, recorder *claimRecorder) {
	var err error
	switch {
	case o.complete:
		err = h.opts.Claims.Finish(ctx, t, recorder.response())
	case o.failure != nil && o.failure.Outcome == OutcomeNotRun:
		err = h.opts.Claims.Abandon(ctx, t)
	}
	if err != nil {
		_ = h.opts.Log.Log("msg", "claim not updated", "request", requestID(ctx), "err", err)
	}
}

// claimNotGranted returns the outcome of a request whose claim was not granted,
// and writes the recorded response of a repeated one.
func (h *Handler) claimNotGranted(w http.ResponseWriter, result claim.Result) runOutcome {
	switch c := result.(type) {
	case claim.Repeated:
		if c.Response.BodyDropped {
			message := "the request ran; its answer was too large to be kept"
			return runOutcome{failure: &Failure{Status: http.StatusConflict, Code: CodeResponseNotKept, Message: message, Outcome: OutcomeRan}}
		}
		writeRecordedResponse(w, c.Response)
		return runOutcome{code: codeRepeated}
	case claim.Pending:
		message := "an earlier try with this idempotency key runs or may have run"
		return runOutcome{failure: unknownFailure(http.StatusConflict, CodePending, message, pendingRetryAfter)}
	case claim.Mismatch:
		message := "the idempotency key was used with another request"
		return notRunResult(http.StatusUnprocessableEntity, CodeKeyReused, message, 0)
	default:
		message := "the claim could not be recorded, so the request was not run"
		return notRunResult(http.StatusServiceUnavailable, CodeUnavailable, message, time.Second)
	}
}

func writeRecordedResponse(w http.ResponseWriter, resp claim.Response) {
	w.Header().Set("Content-Type", resp.ContentType)
	w.Header().Set(HeaderOutcome, OutcomeRan)
	w.WriteHeader(resp.Status)
	_, _ = w.Write(resp.Body)
}

func claimRequest(job *requestJob, key string) claim.Request {
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

func notRunResult(status int, code, message string, retryAfter time.Duration) runOutcome {
	return runOutcome{failure: notRunFailure(status, code, message, retryAfter)}
}

// mapNotRun maps a request that the runner did not run to its outcome.
func mapNotRun(job *requestJob, n dispatch.NotRun) runOutcome {
	if job.denied != nil {
		return runOutcome{code: CodeUnauthorized, started: n.Started, failure: deniedFailure(*job.denied)}
	}
	o := notRunResult(http.StatusServiceUnavailable, CodeUnavailable, n.Reason, max(n.RetryAfter, time.Second))
	o.code = CodeUnavailable
	o.failed = true
	o.started = n.Started
	return o
}
