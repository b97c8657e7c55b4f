package relay

import (
	"net/http"
	"time"

	"github.com/baobabdyke/baobabdyke/internal/gateway/conn"
	"github.com/baobabdyke/baobabdyke/internal/gateway/hedge"
	"github.com/baobabdyke/baobabdyke/internal/gateway/placing"
)

// loggedHedges is the number of log lines about hedges per second.
const loggedHedges = 20

// Reasons of this package why a slow response is not hedged, beside those of the decision.
const (
	noSecondTarget = "no second target"
	budgetSpent    = "the retry budget"
	noTimeLeft     = "the deadline"
)

// watch tells the hedger of the attempt, which is about to be sent. First reports whether it
// is the first attempt of its request. A late request waits for others and shows nothing of
// its target.
func (x *exchange) watch(first bool) {
	j := x.response.job
	if x.choice.Late || !j.route.Repeatable() || j.route.MaxAttempts < 2 {
		return
	}
	a := hedge.Attempt{Route: j.route.Name, Target: x.choice.Target.ID, Size: len(j.body)}
	if j.engine {
		a.Size, a.Tokens = x.choice.MissingTokens, max(j.tokens, 0)
	}
	x.watched = x.handler.opts.Hedger.Watch(a, first, time.Now())
}

// recordFirst records the time of the first event or the whole response, unless the response
// reports an error, which takes no usual time.
func (x *exchange) recordFirst() {
	if r, ok := x.result.(conn.Responded); ok && r.Response.StatusCode < http.StatusInternalServerError {
		x.handler.opts.Hedger.Answered(x.watched, time.Now())
	}
}

// planHedge starts the timer of the hedge if the request may have one: only the first attempt
// of a request is hedged.
func (s *standby) planHedge() {
	x := s.first
	if x.watched == nil || x.watched.Usual <= 0 || s.sends != 1 || x.result != nil {
		return
	}
	s.hedgeTimer = time.AfterFunc(x.watched.Usual-time.Since(x.watched.Sent), s.startHedge)
}

// startHedge sends the request to a second target, unless something speaks against it.
func (s *standby) startHedge() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.begun || s.over || s.next != nil || len(s.trials)+len(s.failed) > 0 {
		return
	}
	h, x, now := s.first.handler, s.first, time.Now()
	choice, p, denied := s.chooseHedge(now)
	if denied != "" {
		byLimit := denied == budgetSpent || denied == string(hedge.RequestLimit) || denied == string(hedge.TokenLimit)
		h.opts.Hedger.Deny(denied, byLimit)
		s.logHedge(now, "msg", "hedge denied", "reason", denied)
		return
	}
	s.hedge = h.newExchange(x.requestCtx, x.response, choice, p)
	s.hedge.hedged = true
	s.logHedge(now, "msg", "hedge sent", "by", choice.Target.ID, "expectedms", choice.TTFT.Milliseconds(), "missing", choice.MissingTokens)
	s.try(s.hedge)
}

// chooseHedge returns the second target with the prompt as it is sent there, or why there is
// no hedge. A hedge is charged last.
func (s *standby) chooseHedge(now time.Time) (choice placing.Choice, p prompt, denied string) {
	h, x := s.first.handler, s.first
	reason, slow := h.opts.Hedger.Decide(x.watched, now)
	if reason != hedge.None {
		return choice, p, string(reason)
	}
	if obstacle := s.obstacle(); obstacle != "" {
		return choice, p, obstacle
	}
	// Work is sent only where it can finish.
	if time.Until(x.response.job.deadline) < x.watched.Usual {
		return choice, p, noTimeLeft
	}
	r := s.request
	r.Hedge = true
	r.Tried = append(append([]string(nil), r.Tried...), slow...)
	choice, p, ok := s.place(r, now)
	if !ok || choice.Unresponsive() || choice.TTFT > x.watched.Usual {
		return choice, p, noSecondTarget
	}
	if !h.opts.Budget.SpendSpare(x.response.job.service, now) {
		return choice, p, budgetSpent
	}
	return choice, p, string(h.opts.Hedger.Start(x.watched, now))
}

// deliver records that the target's whole plain response is about to be passed on, which ends
// the hedge.
func (s *standby) deliver() {
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.begun = true
	if s.next == nil {
		s.cancelTrials(func(trial *exchange) bool { return trial.hedged })
		s.settle(false)
	}
}

// recordOvertaken records that a hedge has answered in place of the target. The caller must
// hold mu.
func (s *standby) recordOvertaken(by *exchange) {
	h, x, now := s.first.handler, s.first, time.Now()
	by.recordFirst()
	if !s.over {
		h.opts.Hedger.Overtaken(x.watched, now)
		h.opts.Placer.RecordOvertaken(x.choice, now.Sub(x.sentAt))
	}
}

// settle records the result of the hedge, if there is one. The caller must hold mu.
func (s *standby) settle(won bool) {
	if s.hedge == nil || s.settled {
		return
	}
	s.settled = true
	now := time.Now()
	s.first.handler.opts.Hedger.Settle(won, now)
	s.logHedge(now, "msg", "hedge ended", "by", s.hedge.choice.Target.ID, "won", won)
}

// endHedge ends what concerns the hedge together with the attempt. Unanswered reports whether
// the hedge may answer the request.
func (s *standby) endHedge(unanswered bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.hedgeTimer != nil {
		s.hedgeTimer.Stop()
	}
	s.settle(unanswered && s.next == s.hedge)
}

// reason returns why the attempt was given up for another one.
func (s *standby) reason() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.next != nil && s.next.hedged {
		return "a hedge answered first"
	}
	return "the stream fell silent"
}

// logHedge writes a line about a hedge, with the figures that decided it.
func (s *standby) logHedge(now time.Time, keyvals ...any) {
	h, x := s.first.handler, s.first
	ok, leftOut := h.hedgeLog.Allow(now)
	if !ok {
		return
	}
	h.log(append(keyvals, "id", x.response.job.info.ID, "route", x.watched.Route, "target", x.choice.Target.ID,
		"waitedms", now.Sub(x.watched.Sent).Milliseconds(), "usualms", x.watched.Usual.Milliseconds(), "samples", x.watched.Samples,
		"tokens", x.watched.Tokens, "leftout", leftOut)...)
}
