package queue

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/baobabdyke/baobabdyke/invariant"
)

// Reasons of a Rejected outcome.
const (
	ReasonFull      = "the queue of the route is full"
	ReasonDeadline  = "the deadline cannot be met"
	ReasonAbandoned = "the caller gave up"
	ReasonStopped   = "the queue has stopped"
)

// Bounds of Rejected.RetryAfter.
const (
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 30 * time.Second
)

// Step applies one event and returns what has to be done. It is deterministic.
func (s *State) Step(e Event, now time.Time) []Effect {
	var effects []Effect
	switch e := e.(type) {
	case Arrive:
		effects = s.arrive(e, now)
		effects = append(effects, s.dispatch(e.Ticket.Pool, now)...)
	case Abandon:
		effects = s.abandon(e)
	case End:
		effects = s.end(e, now)
	case SetCapacity:
		s.pool(e.Pool).window.setCapacity(e.Capacity)
		effects = s.dispatch(e.Pool, now)
	case Tick:
		for _, name := range slices.Sorted(maps.Keys(s.pools)) {
			s.pools[name].forget(now)
			effects = append(effects, s.expire(s.pools[name], now)...)
			effects = append(effects, s.dispatch(name, now)...)
		}
	}
	return effects
}

// arrive puts a request into its queue or rejects it.
func (s *State) arrive(e Arrive, now time.Time) []Effect {
	p := s.pool(e.Ticket.Pool)
	if !e.Ticket.Deadline.IsZero() {
		if wait := p.expectedWait(e.Ticket); now.Add(wait).After(e.Ticket.Deadline) {
			return []Effect{Reject{ID: e.ID, Reason: ReasonDeadline, RetryAfter: retryAfter(wait)}}
		}
	}
	var effects []Effect
	if s.routes[e.Ticket.Route] >= limitOf(e.Ticket) {
		wait := retryAfter(p.expectedWait(e.Ticket))
		victim := s.victim(e.Ticket)
		if victim == nil {
			return []Effect{Reject{ID: e.ID, Reason: ReasonFull, RetryAfter: wait}}
		}
		s.take(victim)
		effects = append(effects, Reject{ID: victim.id, Reason: ReasonFull, RetryAfter: wait})
	}
	w := &waiter{id: e.ID, ticket: e.Ticket, tokens: max(e.Ticket.Tokens, minTokens)}
	p.enter(w)
	s.routes[e.Ticket.Route]++
	invariant.Check(s.routes[e.Ticket.Route] <= limitOf(e.Ticket), "queue-bound",
		"route %s holds %d of %d", e.Ticket.Route, s.routes[e.Ticket.Route], limitOf(e.Ticket))
	return effects
}

// victim returns the waiter that makes room for a ticket in a full route: the
// newest one of the customer that holds the most, if that is more than the
// ticket's own customer would hold. Without one, the ticket itself has no room.
func (s *State) victim(t Ticket) *waiter {
	own := max(t.Tokens, minTokens)
	held := map[string]float64{}
	last := map[string]*waiter{}
	for _, tn := range s.pool(t.Pool).turns {
		for _, w := range tn.waiting {
			if w.ticket.Route == t.Route {
				held[tn.name] += w.tokens
				last[tn.name] = w
			}
		}
	}
	own += held[t.Customer]
	delete(held, t.Customer)
	names := slices.SortedFunc(maps.Keys(held), func(a, b string) int {
		return cmp.Or(cmp.Compare(held[b], held[a]), cmp.Compare(a, b))
	})
	if len(names) == 0 || held[names[0]] <= own {
		return nil
	}
	return last[names[0]]
}

// take removes a waiter from its queue.
func (s *State) take(w *waiter) {
	p := s.pool(w.ticket.Pool)
	p.leave(p.tenants[w.ticket.Customer], w)
	s.routes[w.ticket.Route]--
	if s.routes[w.ticket.Route] == 0 {
		delete(s.routes, w.ticket.Route)
	}
}

// abandon drops a waiting request, or ends it if it has just been started.
func (s *State) abandon(e Abandon) []Effect {
	p := s.pool(e.Ticket.Pool)
	t := p.tenants[e.Ticket.Customer]
	if t == nil {
		return nil
	}
	i := slices.IndexFunc(t.waiting, func(w *waiter) bool { return w.id == e.ID })
	if i < 0 {
		return nil
	}
	s.take(t.waiting[i])
	return []Effect{Reject{ID: e.ID, Reason: ReasonAbandoned, RetryAfter: minRetryAfter}}
}

// end frees the place of a running request and learns from its latency.
func (s *State) end(e End, now time.Time) []Effect {
	r := s.running[e.ID]
	if r == nil {
		return nil
	}
	delete(s.running, e.ID)
	p := s.pool(r.pool)
	p.running--
	invariant.Check(p.running >= 0, "queue-running", "pool %s runs %d", r.pool, p.running)
	p.window.learn(e, r.tokens, now.Sub(r.started), now)
	return s.dispatch(r.pool, now)
}

// dispatch starts waiting requests while the pool has room.
func (s *State) dispatch(name string, now time.Time) []Effect {
	p := s.pool(name)
	var effects []Effect
	for p.running < p.window.size() && len(p.turns) > 0 {
		t := p.turns[0]
		w := t.waiting[0]
		s.take(w)
		if w.late(now) {
			effects = append(effects, Reject{ID: w.id, Reason: ReasonDeadline, RetryAfter: minRetryAfter})
			continue
		}
		p.charge(t, w.tokens, now)
		p.running++
		s.running[w.id] = &run{pool: name, tokens: w.tokens, started: now}
		effects = append(effects, Start{ID: w.id})
	}
	return effects
}

// expire rejects the waiting requests whose deadline has passed.
func (s *State) expire(p *pool, now time.Time) []Effect {
	var late []*waiter
	for _, t := range p.turns {
		for _, w := range t.waiting {
			if w.late(now) {
				late = append(late, w)
			}
		}
	}
	slices.SortFunc(late, func(a, b *waiter) int { return cmp.Compare(a.id, b.id) })
	effects := make([]Effect, 0, len(late))
	for _, w := range late {
		s.take(w)
		effects = append(effects, Reject{ID: w.id, Reason: ReasonDeadline, RetryAfter: minRetryAfter})
	}
	return effects
}

func limitOf(t Ticket) int {
	if t.Limit > 0 {
		return t.Limit
	}
	return defaultLimit
}

func retryAfter(wait time.Duration) time.Duration {
	return min(max(wait, minRetryAfter), maxRetryAfter)
}
