package relay

import (
	"context"
	"net/http"
	"time"

	"github.com/baobabdyke/baobabdyke/internal/gateway/conn"
	"github.com/baobabdyke/baobabdyke/internal/gateway/placing"
	"github.com/baobabdyke/baobabdyke/platform"
)

const (
	// maxSends bounds how often one request is sent, including sends that were
	// rejected.
	maxSends = 4
	// minTimeLeft is the least time before the deadline at which a request is
	// sent.
	leastLeft = 15 * time.Millisecond
	// plainWaitFraction is the part of the remaining time that a send of a
	// repeatable plain request waits for its response while another send may
	// follow.
	firstPart = 0.4
	// streamSilence is how long a resumable stream may be silent before it is
	// resumed at another target, at least silenceGoals times the route's latency
	// goal.
	streamSilence = 1200 * time.Millisecond
	aimSilences   = 3
)

// An outcome is how one send ended: delivered, notRun, lost or stopped.
type outcome interface{ outcome() }

// delivered reports that the caller has received its response, or as much of it
// as it will get.
type delivered struct{}

// notRun reports that the target did not run the request; arrived reports whether
// the target received it.
type again struct {
	why     string
	arrived bool
}

// lost reports that the request may have run and that no complete response has
// been passed on.
type lost struct{ why string }

// stopped reports that the caller has disconnected or the deadline has passed.
type stopped struct{ err error }

func (delivered) outcome() {}
func (again) outcome()     {}
func (lost) outcome()      {}
func (stopped) outcome()   {}

// run sends the request until it gets a response or no further send is permitted.
func (h *Handler) run(ctx context.Context, w http.ResponseWriter, j *job) {
	a := &answer{w: w, job: j}
	var last outcome = again{why: "no target"}
	for j.sends < maxSends {
		if time.Until(j.until) < leastLeft && j.sends > 0 {
			break
		}
		choice, ok := h.opts.Placer.Choose(h.opts.View(), j.wish(), time.Now())
		if !ok || !h.maySend(j) {
			break
		}
		last = h.send(ctx, a, choice)
		switch o := last.(type) {
		case delivered:
			return
		case stopped:
			j.detail += "stopped: " + o.err.Error()
			h.end(ctx, a, o)
			return
		case lost:
			j.detail += o.why + "; "
			if !j.route.Repeatable() || j.ran >= j.route.MaxAttempts {
				h.end(ctx, a, o)
				return
			}
		case again:
			j.detail += o.why + "; "
		}
		j.tried = append(j.tried, choice.Target.ID)
	}
	h.end(ctx, a, last)
}

// placingRequest returns the request as the placer needs it.
func (j *job) wish() placing.Request {
	r := placing.Request{Service: j.service, Tried: j.tried}
	if j.engine {
		r.Model, r.Chain, r.Tokens, r.Cache, r.Salt = j.declared.Model, j.chain, j.tokens, j.cache, j.salt
		r.CacheTokens, r.EngineTokens = j.cacheTokens, j.engineTokens
		r.Left = time.Until(j.until)
		if j.route.LatencyGoal > 0 && j.first == 0 {
			r.Aim = j.route.LatencyGoal - time.Since(j.start)
		}
	}
	return r
}

// maySend charges sends after the first that reached a target to the retry
// budget.
func (h *Handler) maySend(j *job) bool {
	now := time.Now()
	if j.sends == 0 {
		h.opts.Budget.Earn(j.service, now)
		return true
	}
	if j.arrived == 0 {
		return true
	}
	return h.opts.Budget.Spend(j.service, h.opts.VMs(), now)
}

// end responds to a request after its last send.
func (h *Handler) end(ctx context.Context, a *answer, last outcome) {
	j := a.job
	if a.begun {
		// The caller has received part of a stream; the connection is aborted
		// so that the stream does not look complete.
		h.finish(j, http.StatusOK, "stream broken")
		panic(http.ErrAbortHandler)
	}
	h.fail(a.w, j, j.failure(ctx, last))
}

// failure returns the reason that the caller of an unsuccessful request is given.
func (j *job) failure(ctx context.Context, last outcome) failure {
	if err := j.request.Context().Err(); err != nil {
		return gone{err}
	}
	if j.ran > 0 && !j.route.Repeatable() {
		if ctx.Err() != nil {
			return broken{http.StatusGatewayTimeout, "the time for the request is over and it may have run"}
		}
		return broken{http.StatusBadGateway, "the target's answer was lost"}
	}
	if ctx.Err() != nil || time.Until(j.until) < leastLeft {
		return broken{http.StatusGatewayTimeout, "the time for the request is over"}
	}
	if j.ran > 0 {
		return broken{http.StatusBadGateway, "no target gave a whole answer"}
	}
	if o, ok := last.(again); ok {
		return refusal{http.StatusServiceUnavailable, "no target can run the request now: " + o.why, busyRetry}
	}
	return refusal{http.StatusServiceUnavailable, "no target can run the request now", busyRetry}
}

// send sends the request once to the chosen target and passes the response on.
func (h *Handler) send(whole context.Context, a *answer, choice placing.Choice) outcome {
	j := a.job
	j.sends++
	j.note(choice)
	ctx, cancel := context.WithCancel(whole)
	defer cancel()
	x := &exchange{handler: h, answer: a, choice: choice, sent: time.Now(), cancel: cancel}
	h.opts.Placer.Begin(choice, j.chain, x.sent)
	end := placing.Dropped
	defer func() { h.opts.Placer.End(choice, end, x.first, time.Now()) }()

	var got conn.Result
	got, x.stop = h.do(ctx, x)
	var o outcome
	switch r := got.(type) {
	case conn.Unsent:
		o, end = again{why: "unsent: " + r.Err.Error()}, placing.Unreached
		h.opts.Suspect(choice.Target)
	case conn.Lost:
		j.arrived++
		j.ran++
		o, end = lost{why: "lost: " + r.Err.Error()}, placing.Failed
		if x.silent.Load() {
			end = placing.Silenced
		}
	case conn.Answered:
		j.arrived++
		o, end = x.pass(ctx, r)
	}
	x.stop()
	return h.settle(whole, o, &end)
}

// settle replaces the outcome of a send that was ended by the caller or the
// deadline rather than by the target.
func (h *Handler) settle(ctx context.Context, o outcome, end *placing.End) outcome {
	if _, ok := o.(delivered); ok || ctx.Err() == nil {
		return o
	}
	*end = placing.Dropped
	return stopped{err: context.Cause(ctx)}
}

// note records the latest choice for the log.
func (j *job) note(c placing.Choice) {
	j.target, j.home, j.estimate, j.weights, j.missing = c.Target.ID, c.Home, c.Expected, c.Weights, c.Missing
	j.source, j.keep, j.late = c.Source, c.Keep, c.Late
}

// instruction returns the forward options of a send.
func (j *job) instruction(c placing.Choice, after string) platform.ForwardOptions {
	in := platform.ForwardOptions{
		TimeLeft:  time.Until(j.until),
		Target:    c.Target.ID,
		Priority:  j.rank(c.Late),
		LastEvent: after,
	}
	if j.customer != nil {
		in.Customer = j.customer.Name
	}
	if j.engine {
		in.CacheSalt = j.salt(c.Weights)
		in.WeightsVersion = c.Weights
		in.KVSource = c.Source
		if c.Keep {
			in.KVTarget = j.cache
		}
	}
	return in
}
