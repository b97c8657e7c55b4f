package relay

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/baobabdyke/baobabdyke/internal/fleet/quarantine"
	"github.com/baobabdyke/baobabdyke/internal/gateway/conn"
	"github.com/baobabdyke/baobabdyke/internal/gateway/placing"
	"github.com/baobabdyke/baobabdyke/platform"
)

const (
	// maxSends bounds how often one request is sent, including attempts that
	// were rejected.
	maxSends = 4
	// minTimeLeft is the least time before the deadline at which a request is
	// sent.
	minTimeLeft = 15 * time.Millisecond
	// plainWaitFraction is the part of the remaining time that an attempt of a
	// repeatable plain request waits for its response while another attempt may
	// follow.
	plainWaitFraction = 0.4
	// streamSilence is how long a resumable stream may be silent before it is
	// resumed at another target, at least silenceGoals times the route's latency
	// goal.
	streamSilence = 1200 * time.Millisecond
	silenceGoals  = 3
)

// An outcome is how one attempt ended: delivered, notRun, lost or stopped.
type outcome interface{ outcome() }

// delivered reports that the caller has received its response, or as much of it
// as it will get.
type delivered struct{}

// notRun reports that the target did not run the request; arrived reports whether
// the target received it.
type notRun struct {
	reason  string
	arrived bool
}

// lost reports that the request may have run and that no complete response has
// been passed on.
type lost struct{ reason string }

// stopped reports that the caller has disconnected or the deadline has passed.
type stopped struct{ err error }

func (delivered) outcome() {}
func (notRun) outcome()    {}
func (lost) outcome()      {}
func (stopped) outcome()   {}

// run sends the request until it gets a response or no further attempt is
// permitted.
func (h *Handler) run(ctx context.Context, w http.ResponseWriter, j *job) {
	resp := newResponse(w, j)
	var last outcome = notRun{reason: "no target"}
	for j.sends < maxSends {
		if time.Until(j.deadline) < minTimeLeft && j.sends > 0 {
			break
		}
		if j.sends > 0 && h.checkQuarantine(j) != nil {
			break
		}
		choice, ok := h.opts.Placer.Choose(h.opts.View(), j.placingRequest(), time.Now())
		if !ok || !h.maySend(j) {
			break
		}
		last = h.send(ctx, resp, choice)
		switch o := last.(type) {
		case delivered:
			return
		case stopped:
			j.detail += "stopped: " + o.err.Error()
			h.end(ctx, resp, o)
			return
		case lost:
			j.detail += o.reason + "; "
			if !j.route.Repeatable() || j.runs >= j.route.MaxAttempts || !resp.mayContinue() {
				h.end(ctx, resp, o)
				return
			}
		case notRun:
			j.detail += o.reason + "; "
		}
		j.tried = append(j.tried, choice.Target.ID)
	}
	h.end(ctx, resp, last)
}

// placingRequest returns the request as the placer needs it.
func (j *job) placingRequest() placing.Request {
	r := placing.Request{Service: j.service, Tried: j.tried}
	if j.engine {
		r.Model, r.Prefixes, r.Tokens, r.Cache, r.Salt = j.info.Model, j.prefixes, j.tokens, j.cache, j.salt
		r.CacheTokens, r.EngineTokens = j.cacheTokens, j.engineTokens
		r.TimeLeft = time.Until(j.deadline)
		if j.route.LatencyGoal > 0 && j.timeToFirst == 0 {
			r.Goal = j.route.LatencyGoal - time.Since(j.start)
		}
	}
	return r
}

// maySend charges attempts after the first that reached a target to the retry
// budget.
func (h *Handler) maySend(j *job) bool {
	now := time.Now()
	if j.sends == 0 {
		h.opts.Budget.Earn(j.service, now)
		return true
	}
	if j.received == 0 {
		return true
	}
	return h.opts.Budget.Spend(j.service, h.opts.VMs(), now)
}

// end responds to a request after its last attempt.
func (h *Handler) end(ctx context.Context, resp *response, last outcome) {
	j := resp.job
	if resp.started {
		// The caller has received part of a stream; the connection is aborted
		// so that the stream does not look complete.
		h.finish(j, http.StatusOK, "stream broken")
		panic(http.ErrAbortHandler)
	}
	h.fail(resp.w, j, j.failure(ctx, last))
}

// failure returns the reason that the caller of an unsuccessful request is given.
func (j *job) failure(ctx context.Context, last outcome) failure {
	if err := j.request.Context().Err(); err != nil {
		return callerGone{err}
	}
	if j.runs > 0 && !j.route.Repeatable() {
		if ctx.Err() != nil {
			return indeterminate{http.StatusGatewayTimeout, "the time for the request is over and it may have run"}
		}
		return indeterminate{http.StatusBadGateway, "the target's answer was lost"}
	}
	if ctx.Err() != nil || time.Until(j.deadline) < minTimeLeft {
		return indeterminate{http.StatusGatewayTimeout, "the time for the request is over"}
	}
	if j.runs > 0 {
		return indeterminate{http.StatusBadGateway, "no target gave a whole answer"}
	}
	if o, ok := last.(notRun); ok {
		return refusal{http.StatusServiceUnavailable, "no target can run the request now: " + o.reason, busyRetry}
	}
	return refusal{http.StatusServiceUnavailable, "no target can run the request now", busyRetry}
}

// send sends the request once to the chosen target and passes the response on.
func (h *Handler) send(requestCtx context.Context, resp *response, choice placing.Choice) outcome {
	j := resp.job
	j.sends++
	j.recordChoice(choice)
	ctx, cancel := context.WithCancel(requestCtx)
	defer cancel()
	x := &exchange{handler: h, response: resp, choice: choice, sentAt: time.Now(), cancel: cancel}
	h.opts.Placer.Begin(choice, j.prefixes, x.sentAt)
	end := placing.Inconclusive
	defer func() { h.opts.Placer.End(choice, end, x.gotFirst, time.Now()) }()

	var result conn.Result
	result, x.stop = h.do(ctx, x)
	var o outcome
	switch r := result.(type) {
	case conn.Unsent:
		o, end = notRun{reason: "unsent: " + r.Err.Error()}, placing.Unreachable
		h.opts.Suspect(choice.Target)
	case conn.Lost:
		j.received++
		j.runs++
		o, end = lost{reason: "lost: " + r.Err.Error()}, placing.Failed
		if x.timedOut.Load() {
			end = placing.TimedOut
		} else {
			h.recordLoss(requestCtx, j, choice, false)
		}
	case conn.Responded:
		j.received++
		o, end = x.pass(ctx, r)
		if x.broken && !x.gotFirst && !x.timedOut.Load() {
			h.recordLoss(requestCtx, j, choice, true)
		}
	}
	x.stop()
	return h.settle(requestCtx, o, &end)
}

// recordLoss records that an engine closed its connection without an answer, unless
// the caller has left or the deadline has passed. Answering reports whether the header
// of the response had arrived.
func (h *Handler) recordLoss(ctx context.Context, j *job, c placing.Choice, answering bool) {
	if !j.engine || ctx.Err() != nil {
		return
	}
	_ = h.opts.Log.Log("msg", "engine lost before its answer", "id", j.info.ID, "target", c.Target.ID, "answering", answering,
		"segments", strings.Join(j.shared, ","))
	h.opts.Quarantine.RecordLoss(j.shared, quarantine.Engine(c.Target.ID, c.Target.Born), answering, time.Now())
	h.opts.OnSuspect()
}

// settle replaces the outcome of an attempt that was ended by the caller or the
// deadline rather than by the target.
func (h *Handler) settle(ctx context.Context, o outcome, end *placing.Outcome) outcome {
	if _, ok := o.(delivered); ok || ctx.Err() == nil {
		return o
	}
	*end = placing.Inconclusive
	return stopped{err: context.Cause(ctx)}
}

// recordChoice records the latest choice for the log.
func (j *job) recordChoice(c placing.Choice) {
	j.target, j.home, j.expected, j.weights, j.missingTokens = c.Target.ID, c.Home, c.Expected, c.Weights, c.MissingTokens
	j.source, j.storeKV, j.late = c.Source, c.StoreKV, c.Late
}

// forwardOptions returns the options with which a request is forwarded to the
// target.
func (j *job) forwardOptions(c placing.Choice, after string) platform.ForwardOptions {
	opts := platform.ForwardOptions{
		TimeLeft:  time.Until(j.deadline),
		Target:    c.Target.ID,
		Priority:  j.priority(c.Late),
		LastEvent: after,
	}
	if j.customer != nil {
		opts.Customer = j.customer.Name
	}
	if j.engine {
		opts.CacheSalt = j.salt(c.Weights)
		opts.WeightsVersion = c.Weights
		opts.KVSource = c.Source
		if c.StoreKV {
			opts.KVTarget = j.cache
		}
	}
	return opts
}
