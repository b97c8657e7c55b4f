// Package admission decides which requests of an overloaded service are sent to its
// targets, so that those that are sent can meet their latency goals.
//
// Each VM decides by what it observes at its own requests: whether their first tokens
// arrive in time. It needs no capacities and no messages, and works alike on both sides of
// a partition. It is designed for fleets in which every VM receives a random sample of the
// requests, from some five requests a second and service on, at up to five times the load
// that the targets can serve. The state makes no calls and reads no clock.
package admission

import (
	"time"
)

// A Request is a request that asks to be sent.
type Request struct {
	Service string
	// Class names the requests that are treated alike, and Priority is their urgency; 0 is
	// the most urgent.
	Class    string
	Priority int
	Customer string
	// Tokens is the work that the request causes.
	Tokens float64
	// Goal is the latency goal of the first token, or 0, and TimeLeft the time left for the
	// whole request.
	Goal, TimeLeft time.Duration
	// Queues reports whether the targets queue requests when they are full, as engines do.
	// Others reject them at once, which costs them nothing.
	Queues bool
	Load   Load
}

// A Load is what is known of the slots of a service's targets.
type Load struct {
	// Own is the number of this VM's requests at the targets, and Fleet that of all VMs as of
	// their last updates.
	Own   int
	Fleet float64
	// VMs is the number of VMs, and Slots the number of slots of the targets that take
	// requests, 0 if it is not known.
	VMs, Slots int
}

// bound returns how long after it was sent the first token may arrive for the request to
// count as timely.
func (r *Request) bound() time.Duration {
	if r.Goal > 0 {
		return time.Duration(timelyFraction * float64(r.Goal))
	}
	return min(r.TimeLeft/4, maxBound)
}

// A Decision is the result of Admit.
type Decision struct {
	Admitted bool
	// RetryAfter is the time after which a refused request may be sent again.
	RetryAfter time.Duration
	// Share is the share of such requests that are admitted.
	Share float64
}

// A Ticket is an admitted request that has not ended.
type Ticket struct {
	service *service
	class   *class
	sent    time.Time
	// bound is how long the first token may take for the request to be timely, and waited
	// how much of it has been counted. Once decided is set, no more is.
	bound   time.Duration
	waited  float64
	decided bool
}

// An Outcome is how an admitted request ended.
type Outcome uint8

// Outcomes of requests.
const (
	// Answered requests received a response.
	Answered Outcome = iota
	// Refused requests were rejected by all targets that they were sent to.
	Refused
	// Other requests ended for a reason that shows nothing about the load.
	Other
)

const (
	// timelyFraction is the part of the latency goal within which first tokens should
	// arrive. The rest is for what the caller's connection takes, and lets the control
	// react before goals are missed.
	timelyFraction = 0.7
	// maxBound bounds the time to first token where there is no goal.
	maxBound = 2 * time.Second
)

// A State is one VM's state of admission for all services. It is not safe for concurrent
// use.
type State struct {
	services map[string]*service
	pool     pool
	// random returns a number from 0 to 1.
	random func() float64
}

// NewState returns a State that admits everything until first tokens are late.
func NewState(random func() float64) *State {
	return &State{services: map[string]*service{}, pool: pool{reports: map[string]report{}}, random: random}
}

// Admit decides whether a request is sent now or refused. The caller passes the ticket of
// an admitted request to FirstToken and End.
func (s *State) Admit(r Request, now time.Time) (*Ticket, Decision) {
	v, ok := s.services[r.Service]
	if !ok {
		v = newService(r.Service, now)
		s.services[r.Service] = v
	}
	v.queues = r.Queues
	v.observeLoad(r.Load, now)
	v.updateWorst(&s.pool, now)
	v.advance(now)
	f := v.flow(&r, s.random(), now)
	f.arrive(r.Tokens, now)
	_, class := v.class(r.Class)
	share := class.adjust(v.shareOf(f, &s.pool, now), &r)
	if !f.take(share) {
		f.counts.refuse(r.Tokens)
		v.refusedAt = now
		return nil, Decision{RetryAfter: retryAfter(&r, s.random()), Share: share}
	}
	f.counts.admit(r.Tokens)
	t := &Ticket{service: v, class: class, sent: now, bound: v.bound(&r)}
	v.sent++
	class.sent++
	v.pending = append(v.pending, t)
	v.running++
	return t, Decision{Admitted: true, Share: share}
}

// FirstToken records that a request has received its first token or its whole response.
func (s *State) FirstToken(t *Ticket, now time.Time) {
	t.service.advance(now)
	t.service.decide(t, false, now)
}

// End records the end of a request.
func (s *State) End(t *Ticket, o Outcome, now time.Time) {
	v := t.service
	v.advance(now)
	v.running--
	switch o {
	case Answered:
		v.decide(t, false, now)
	case Refused:
		v.decide(t, true, now)
	case Other:
		v.decide(t, false, now)
	}
}

// Bounds of the time after which refused requests may be sent again, as parts of the latency
// goal. Goals count from the first try, so that a caller who is told to wait for longer comes
// back too late. Callers honour the time up to a third of their time left.
const (
	minRetryGoals = 0.1
	maxRetryGoals = 0.4
	maxRetryLeft  = 0.3
	minRetry      = 20 * time.Millisecond
)

// retryAfter spreads the return of refused callers, so that they do not come back at once.
func retryAfter(r *Request, random float64) time.Duration {
	goal, left := float64(r.goal()), float64(r.TimeLeft)
	low, high := min(minRetryGoals*goal, maxRetryLeft*left/2), min(maxRetryGoals*goal, maxRetryLeft*left)
	return max(minRetry, time.Duration(low+random*(high-low)))
}

// goal returns the latency goal, or what is taken for it.
func (r *Request) goal() time.Duration {
	if r.Goal > 0 {
		return r.Goal
	}
	return min(r.TimeLeft/4, maxBound)
}
