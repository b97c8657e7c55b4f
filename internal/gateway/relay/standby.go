package relay

import (
	"slices"
	"sync"
	"time"

	"github.com/baobabdyke/baobabdyke/internal/gateway/conn"
	"github.com/baobabdyke/baobabdyke/internal/gateway/disconnect"
	"github.com/baobabdyke/baobabdyke/internal/gateway/placing"
)

// standbyRetry is the time between two checks of whether a silent target can be
// replaced.
const standbyRetry = 300 * time.Millisecond

// A standby sends the request to another target while the target of an attempt is
// silent. The attempt ends only once the other target has sent something that is passed on: a
// sound target may pause, and an answer that was given up cannot be recovered if no other
// target accepts the request.
//
// A hedge is a trial that starts because the first event is slow (hedge.go). The answer that
// is passed on is then the one whose first event, or whole plain response, comes first.
type standby struct {
	first *exchange // the attempt whose target may be silent
	// timeout is how long the target may be silent before another one is tried.
	timeout time.Duration
	// request is the placing request of a trial, sends the number of sends up to the
	// attempt, and maxRuns the number of further runs that are permitted.
	request placing.Request
	sends   int
	maxRuns int

	wg sync.WaitGroup
	// mu guards the fields below.
	mu    sync.Mutex
	timer *time.Timer
	// hedgeTimer starts the hedge; nil if there is none to start. hedge is the one that was
	// started, and settled reports whether its result was recorded.
	hedgeTimer *time.Timer
	hedge      *exchange
	settled    bool
	// begun reports whether something of the target's answer was passed on.
	begun bool
	// over reports whether the attempt has ended.
	over bool
	// noticed reports whether the silence was recorded.
	noticed bool
	// held reports whether an event of the target is being written to the caller.
	held bool
	// heard is when the target last sent something, or the start of the attempt.
	heard time.Time
	// trials are the running attempts at other targets, and next is the one that
	// replaces the silent target; nil if there is none.
	trials []*exchange
	next   *exchange
	// failed are the attempts at other targets that brought no answer, and failedAt
	// the ids of these targets.
	failed   []outcome
	failedAt []string
}

// newStandby returns the standby of an attempt, or nil if the request may not be sent
// to another target while this one is silent.
func newStandby(x *exchange) *standby {
	j := x.response.job
	maxRuns := j.route.MaxAttempts - j.runs - 1
	if !j.route.Repeatable() || maxRuns <= 0 {
		return nil
	}
	s := &standby{first: x, timeout: j.silenceTimeout(), request: j.placingRequest(x.prompt), sends: j.sends, maxRuns: maxRuns}
	s.request.Goal = 0
	s.request.Pinned, s.request.Version = j.route.Resumable, x.choice.Target.Version
	s.request.Tried = append(slices.Clone(j.tried), x.choice.Target.ID)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.heard = time.Now()
	s.timer = time.AfterFunc(s.timeout, s.expire)
	s.planHedge()
	return s
}

// progress records that the target has sent the header of its response, which ends all
// trials but the hedge.
func (s *standby) progress() {
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.next != nil {
		return
	}
	s.cancelTrials(func(trial *exchange) bool { return !trial.hedged })
	s.heard = time.Now()
	s.timer.Reset(s.timeout)
}

// hold records that the target has sent an event, which ends all trials. The target does not
// count as silent until release is called: nothing is read from it while the caller does not
// accept an event. It reports whether the target has been replaced already, so that nothing
// more of it may be passed on.
func (s *standby) hold() (replaced bool) {
	if s == nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.next != nil {
		return true
	}
	s.cancelTrials(anyTrial)
	s.settle(false)
	s.held, s.begun = true, true
	return false
}

// release ends a hold.
func (s *standby) release() {
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.next != nil {
		return
	}
	s.held = false
	s.heard = time.Now()
	s.timer.Reset(s.timeout)
}

// end ends the standby together with its attempt. It adds the trials to the job's
// counters and returns the attempt that replaces the silent target, if there is one. If
// the request is unanswered, running trials are waited for, else they are cancelled.
func (s *standby) end(unanswered bool) *exchange {
	if s == nil {
		return nil
	}
	s.mu.Lock()
	s.over = true
	if !unanswered {
		s.cancelTrials(anyTrial)
	}
	s.mu.Unlock()
	s.wg.Wait()
	s.timer.Stop()
	s.endHedge(unanswered)
	j := s.first.response.job
	for _, o := range s.failed {
		j.sends++
		j.count(o)
	}
	j.tried = append(j.tried, s.failedAt...)
	return s.next
}

// cancelTrials cancels the selected trials. The caller must hold mu.
func (s *standby) cancelTrials(selected func(*exchange) bool) {
	s.trials = slices.DeleteFunc(s.trials, func(trial *exchange) bool {
		if !selected(trial) {
			return false
		}
		trial.cancel()
		return true
	})
}

func anyTrial(*exchange) bool { return true }

// expire tries another target, unless the silent one has recently responded to other
// requests. The latest trial may be silent as well.
func (s *standby) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.held || s.next != nil || s.over && len(s.trials) == 0 {
		return
	}
	h, now := s.first.handler, time.Now()
	if left := s.timeout - now.Sub(s.heard); left > 0 {
		s.timer.Reset(left)
		return
	}
	latest := s.first
	if n := len(s.trials); n > 0 {
		latest = s.trials[n-1]
	}
	if h.opts.Placer.RespondedWithin(latest.choice, busyTargetTimeout, now) {
		s.timer.Reset(busyTargetTimeout)
		return
	}
	if !s.noticed {
		h.opts.Placer.RecordSilence(s.first.choice, now)
	}
	choice, p, obstacle := s.choose(now)
	if !s.noticed || obstacle == "" {
		h.log("msg", "target silent", "id", s.first.response.job.info.ID, "target", s.first.choice.Target.ID, "limit", s.timeout,
			"standby", obstacle == "", "obstacle", obstacle)
	}
	s.noticed = true
	if obstacle != "" {
		s.timer.Reset(standbyRetry)
		return
	}
	s.try(h.newExchange(s.first.requestCtx, s.first.response, choice, p))
	s.timer.Reset(s.timeout)
}

// try starts a trial. The caller must hold mu.
func (s *standby) try(trial *exchange) {
	s.trials = append(s.trials, trial)
	s.request.Tried = append(s.request.Tried, trial.choice.Target.ID)
	trial.watch(false)
	s.wg.Go(func() {
		trial.send()
		s.finish(trial)
	})
}

// choose returns the target to try with the prompt as it is sent there, or what prevents a
// trial.
func (s *standby) choose(now time.Time) (choice placing.Choice, p prompt, obstacle string) {
	h, j := s.first.handler, s.first.response.job
	if obstacle := s.obstacle(); obstacle != "" {
		return choice, p, obstacle
	}
	choice, p, ok := s.place(s.request, now)
	if !ok || choice.Unresponsive() {
		return choice, p, "no other target"
	}
	if !h.opts.Budget.Spend(j.service, h.opts.VMs(), now) {
		return choice, p, "the retry budget is spent"
	}
	return choice, p, ""
}

// obstacle returns what prevents any trial.
func (s *standby) obstacle() string {
	h, j := s.first.handler, s.first.response.job
	runs := len(s.trials)
	for _, o := range s.failed {
		if _, ok := o.(lost); ok {
			runs++
		}
	}
	if runs >= s.maxRuns || s.sends+len(s.failed)+len(s.trials) >= maxSends {
		return "no further attempt is permitted"
	}
	if time.Until(j.deadline) < minTimeLeft {
		return "the deadline"
	}
	if disconnect.HasLeft(j.request.Context()) {
		return "the caller has left"
	}
	if !s.first.response.mayContinue() {
		return "the stream cannot be resumed"
	}
	if _, _, quarantined := h.quarantined(j); quarantined {
		return "the request or a segment of its prompt is quarantined"
	}
	return ""
}

// place returns the target of a trial with the prompt as it is sent there, by the
// configuration that is in force now.
func (s *standby) place(r placing.Request, now time.Time) (placing.Choice, prompt, bool) {
	h, j := s.first.handler, s.first.response.job
	r.TimeLeft = time.Until(j.deadline)
	view := h.opts.View()
	p := j.promptUnder(view.Config)
	if j.engine {
		r.Prefixes, r.Salt = p.prefixes, p.salt
		r.Cache = p.cacheStore(j.view.Config)
	}
	choice, ok := h.opts.Placer.Choose(view, r, now)
	return choice, p, ok
}

// finish records the result of a trial: it replaces the silent target if it has begun
// to answer.
func (s *standby) finish(trial *exchange) {
	id, from, to := s.first.response.job.info.ID, s.first.choice.Target.ID, trial.choice.Target.ID
	if trial.begins() && s.replace(trial) {
		if !trial.hedged {
			s.first.handler.log("msg", "silent target replaced", "id", id, "target", from, "by", to)
		}
		return
	}
	// Reading a rejection may block, so mu is not held.
	o := trial.discard()
	if !trial.hedged {
		s.first.handler.log("msg", "silent target not replaced", "id", id, "target", from, "by", to, "outcome", reasonOf(o))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if trial.hedged {
		s.settle(false)
	}
	s.failed = append(s.failed, o)
	s.failedAt = append(s.failedAt, to)
	if i := slices.Index(s.trials, trial); i >= 0 {
		s.trials = slices.Delete(s.trials, i, i+1)
		s.timer.Reset(standbyRetry)
	}
}

// replace reports whether the trial, which has begun to answer, is still wanted as the silent
// target has not gone on, and ends the attempt at the silent target if so.
func (s *standby) replace(trial *exchange) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	i := slices.Index(s.trials, trial)
	if i < 0 || trial.ctx.Err() != nil {
		return false
	}
	s.trials = slices.Delete(s.trials, i, i+1)
	s.cancelTrials(anyTrial)
	s.next = trial
	if trial.hedged {
		s.recordOvertaken(trial)
	}
	s.first.replaced.Store(true)
	s.first.cancel()
	return true
}

// answers reports whether the target has begun to answer the request.
func (x *exchange) answers() bool {
	r, ok := x.result.(conn.Responded)
	if !ok || x.ctx.Err() != nil {
		return false
	}
	return r.Response.StatusCode < 300 && x.info.Sealed && !x.info.Encoded && !x.info.NotRun &&
		(isStream(r.Response) || !x.response.started.Load())
}

// discard ends an attempt whose response is not passed on, and returns its outcome.
func (x *exchange) discard() outcome {
	o, end := x.unanswered()
	x.ahead.release()
	x.handler.opts.Placer.End(x.choice, end, false, time.Now())
	x.handler.opts.Hedger.Ended(x.watched, end == placing.Rejected, time.Now())
	x.recordVersion(end)
	x.cancel()
	return o
}

// unanswered ends an attempt without an answer that is passed on.
func (x *exchange) unanswered() (outcome, placing.Outcome) {
	switch r := x.result.(type) {
	case conn.Unsent:
		o := notRun{reason: "unsent: " + r.Err.Error()}
		if x.ctx.Err() != nil {
			return o, placing.Inconclusive
		}
		x.handler.opts.Suspect(x.choice.Target)
		return o, placing.Unreachable
	case conn.Lost:
		o := lost{reason: "lost: " + r.Err.Error()}
		if x.ctx.Err() != nil {
			return o, placing.Inconclusive
		}
		return o, placing.Failed
	case conn.Responded:
		if x.info.NotRun {
			return x.handleNotRun(r)
		}
		end := placing.Failed
		if x.answers() && x.ahead.usable || x.hedged && x.ctx.Err() != nil {
			end = placing.Inconclusive
		}
		r.Exchange.Abort()
		return lost{reason: "not passed on: " + r.Response.Status}, end
	}
	panic("relay: unknown result")
}

// reasonOf returns the reason of an outcome for the log.
func reasonOf(o outcome) string {
	switch o := o.(type) {
	case notRun:
		return o.reason
	case lost:
		return o.reason
	case stopped:
		return o.err.Error()
	default:
		return "delivered"
	}
}
