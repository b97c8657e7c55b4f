package relay

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"time"

	"github.com/baobabdyke/baobabdyke/internal/fleet/quarantine"
	"github.com/baobabdyke/baobabdyke/internal/gateway/conn"
	"github.com/baobabdyke/baobabdyke/internal/gateway/disconnect"
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
	// plainWaitFraction is the part of the remaining time after which a repeatable
	// plain request without a response is sent to another target as well.
	plainWaitFraction = 0.4
	// streamSilence is how long a resumable stream may be silent before another
	// target is asked to continue it, at least silenceGoals times the route's latency
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
	// next is an attempt that has begun to answer in place of the last one.
	var next *exchange
	for {
		x := next
		if x == nil {
			choice, p, ok := h.chooseNext(j)
			if !ok {
				break
			}
			x = h.newExchange(ctx, resp, choice, p)
		}
		last, next = h.attempt(x)
		switch o := last.(type) {
		case delivered:
			return
		case stopped:
			j.detail += "stopped: " + o.err.Error()
			h.end(ctx, resp, o)
			return
		case lost:
			j.detail += o.reason + "; "
			if next == nil && (!j.route.Repeatable() || j.runs >= j.route.MaxAttempts || !resp.mayContinue()) {
				h.end(ctx, resp, o)
				return
			}
		case notRun:
			j.detail += o.reason + "; "
		}
		j.tried = append(j.tried, x.choice.Target.ID)
	}
	h.end(ctx, resp, last)
}

// chooseNext returns the target of the next attempt with the prompt as it is sent there,
// and false if the request may not be sent again.
func (h *Handler) chooseNext(j *job) (placing.Choice, prompt, bool) {
	switch {
	case j.sends >= maxSends:
		return placing.Choice{}, prompt{}, false
	case j.sends > 0 && time.Until(j.deadline) < minTimeLeft:
		return placing.Choice{}, prompt{}, false
	case j.sends > 0 && disconnect.HasLeft(j.request.Context()):
		return placing.Choice{}, prompt{}, false
	case j.sends > 0 && j.runs == 0 && h.mayOutlast(j):
		return placing.Choice{}, prompt{}, false
	case j.sends > 0 && !h.worthSendingAgain(j):
		return placing.Choice{}, prompt{}, false
	case j.sends > 0 && h.checkQuarantine(j) != nil:
		return placing.Choice{}, prompt{}, false
	}
	view := h.opts.View()
	p := j.promptUnder(view.Config)
	r := j.placingRequest(p)
	if j.route.Resumable && h.opts.Origins != nil {
		r.Avoided = h.opts.Origins.Young(j.service)
	}
	choice, ok := h.opts.Placer.Choose(view, r, time.Now())
	if ok && !h.recordOrigin(j, choice.Target.Version) {
		// The stream is pinned now.
		choice, ok = h.opts.Placer.Choose(view, j.placingRequest(p), time.Now())
	}
	return choice, p, ok && h.maySend(j)
}

// placingRequest returns the request as the placer needs it.
func (j *job) placingRequest(p prompt) placing.Request {
	r := placing.Request{Service: j.service, Tried: j.tried, Undeferred: j.ticket != nil, Pinned: j.pinned, Version: j.version}
	if j.engine {
		r.Model, r.Prefixes, r.Tokens, r.Salt = j.info.Model, p.prefixes, j.tokens, p.salt
		r.Cache = p.cacheStore(j.view.Config)
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
	if resp.started.Load() {
		// The caller has received part of a stream; the connection is aborted
		// so that the stream does not look complete.
		h.finish(j, http.StatusOK, "stream broken")
		panic(http.ErrAbortHandler)
	}
	wait := h.opts.Placer.ServiceWait(h.opts.View(), j.service, time.Now())
	h.fail(resp.w, j, j.failure(ctx, last, wait))
}

// failure returns the reason that the caller of an unsuccessful request is given.
// Wait is the time until the first target may be sent requests again if none may be now.
// It is not the caller's Retry-After if the request's time is over before it.
func (j *job) failure(ctx context.Context, last outcome, wait time.Duration) failure {
	if err := context.Cause(j.request.Context()); err != nil && !errors.Is(err, ErrStopping) {
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
	if wait > 0 && time.Now().Add(wait).Before(j.deadline) {
		return refusal{http.StatusServiceUnavailable, "all targets are paused or at their limits", wait}
	}
	if o, ok := last.(notRun); ok {
		return refusal{http.StatusServiceUnavailable, "no target can run the request now: " + o.reason, busyRetry}
	}
	return refusal{http.StatusServiceUnavailable, "no target can run the request now", busyRetry}
}

// attempt makes an attempt and passes its response on. It returns the outcome, and the
// attempt that has begun to answer in its place if its target fell silent. An attempt
// that already has a response is not sent again.
func (h *Handler) attempt(x *exchange) (outcome, *exchange) {
	defer x.cancel()
	j := x.response.job
	j.sends++
	j.recordChoice(x.choice)
	if x.result == nil {
		x.watch(j.sends == 1)
	}
	x.standby = newStandby(x)
	if x.result == nil {
		x.send()
	}
	o, end := x.complete()
	o = settle(x.requestCtx, o, &end)
	h.opts.Placer.End(x.choice, end, x.gotFirst, time.Now())
	h.opts.Hedger.Ended(x.watched, end == placing.Rejected, time.Now())
	x.recordVersion(end)
	unanswered := isUnanswered(o)
	next := x.standby.end(unanswered)
	if next != nil && !unanswered {
		j.count(next.discard())
		next = nil
	}
	return o, next
}

// isUnanswered reports whether another attempt may answer the request.
func isUnanswered(o outcome) bool {
	switch o.(type) {
	case lost, notRun:
		return true
	}
	return false
}

// usable reports whether the response is neither a rejection nor a server error.
func (x *exchange) usable(r conn.Responded) bool {
	return r.Response.StatusCode < http.StatusInternalServerError && !x.info.NotRun
}

// complete passes the response on, if the target has responded.
func (x *exchange) complete() (outcome, placing.Outcome) {
	h, j := x.handler, x.response.job
	if r, ok := x.result.(conn.Responded); ok {
		if x.usable(r) {
			x.standby.progress()
		}
		j.received++
		o, end := x.pass(r)
		switch {
		case x.broken && x.replaced.Load():
			end = placing.Inconclusive
		case x.broken:
			h.recordLoss(x, true)
		}
		return o, end
	}
	o, end := x.unanswered()
	j.count(o)
	if r, ok := x.result.(conn.Lost); ok && !x.replaced.Load() {
		if isBreak(r.Err) {
			h.recordLoss(x, false)
		} else {
			x.recordNoAnswer(r.Err)
		}
	}
	return o, end
}

// count adds an attempt without an answer to the job's counters.
func (j *job) count(o outcome) {
	switch o := o.(type) {
	case lost:
		j.received++
		j.runs++
	case notRun:
		if o.arrived {
			j.received++
		}
	}
}

// recordLoss records that a target closed its connection without a whole answer, unless
// the caller has left or the deadline has passed. Answering reports whether the header of
// the response had arrived. After the first event the loss tells nothing about the
// segments of the prompt, which the target had read by then.
func (h *Handler) recordLoss(x *exchange, answering bool) {
	if x.requestCtx.Err() != nil {
		return
	}
	j, target := x.response.job, x.choice.Target
	contents := j.contents
	if x.gotFirst {
		contents = contents[:1]
	}
	_ = h.opts.Log.Log("msg", "engine lost before its answer", "id", j.info.ID, "target", target.ID, "answering", answering,
		"first", x.gotFirst, "request", contents[0], "segments", strings.Join(j.shared(), ","))
	h.opts.Quarantine.RecordLoss(contents, quarantine.Engine(target.ID, target.Born),
		quarantine.Circumstance{Answering: answering && !x.gotFirst, Repeated: j.losses > 0}, time.Now())
	j.losses++
	h.opts.OnSuspect()
}

// settle replaces the outcome of an attempt that was ended by the caller or the
// deadline rather than by the target.
func settle(ctx context.Context, o outcome, end *placing.Outcome) outcome {
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
func (j *job) forwardOptions(c placing.Choice, p prompt, after string) platform.ForwardOptions {
	opts := platform.ForwardOptions{
		TimeLeft:  time.Until(j.deadline),
		Target:    c.Target.ID,
		Priority:  j.priority(c.Late),
		LastEvent: after,
		Customer:  j.customerName(),
	}
	if j.engine {
		opts.CacheSalt = p.salt(c.Weights)
		opts.WeightsVersion = c.Weights
		opts.KVSource = c.Source
		if c.StoreKV {
			opts.KVTarget = p.cacheStore(j.view.Config)
		}
	}
	return opts
}
