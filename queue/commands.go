package queue

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/baobabdyke/baobabdyke/invariant"
)

// Values of Rejected.Reason.
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

// Step applies one event and returns the resulting effects. It is
// deterministic.
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
			s.pools[name].dropIdle(now)
			effects = append(effects, s.expire(s.pools[name], now)...)
			effects = append(effects, s.dispatch(name, now)...)
		}
	}
	return effects
}

// arrive queues a request, or rejects it if its deadline cannot be met. If its
// route is full, it evicts another request, or rejects this one if there is none
// to evict.
func (s *State) arrive(e Arrive, now time.Time) []Effect {
	p := s.pool(e.Ticket.Pool)
	if !e.Ticket.Deadline.IsZero() {
		if wait := p.expectedWait(e.Ticket); now.Add(wait).After(e.Ticket.Deadline) {
			return []Effect{Reject{ID: e.ID, Reason: ReasonDeadline, RetryAfter: retryAfter(wait)}}
		}
	}
	var effects []Effect
	if s.routes[e.Ticket.Route] >= routeLimit(e.Ticket) {
		wait := retryAfter(p.expectedWait(e.Ticket))
		victim := s.victim(e.Ticket)
		if victim == nil {
			return []Effect{Reject{ID: e.ID, Reason: ReasonFull, RetryAfter: wait}}
		}
		s.remove(victim)
		effects = append(effects, Reject{ID: victim.id, Reason: ReasonFull, RetryAfter: wait})
	}
	w := &waiter{id: e.ID, ticket: e.Ticket, tokens: max(e.Ticket.Tokens, minTokens)}
	p.add(w)
	s.routes[e.Ticket.Route]++
	invariant.Check(s.routes[e.Ticket.Route] <= routeLimit(e.Ticket), "queue-bound",
		"route %s has %d waiting requests, limit %d", e.Ticket.Route, s.routes[e.Ticket.Route], routeLimit(e.Ticket))
	return effects
}

// victim returns the waiter to evict so that a ticket fits into a full route:
// the last waiter of the customer with the most queued tokens, if these exceed
// what the ticket's own customer would have queued. It returns nil if the
// ticket itself has to be rejected.
func (s *State) victim(t Ticket) *waiter {
	own := max(t.Tokens, minTokens)
	queued := map[string]float64{}
	last := map[string]*waiter{}
	for _, c := range s.pool(t.Pool).active {
		for _, w := range c.waiting {
			if w.ticket.Route == t.Route {
				queued[c.name] += w.tokens
				last[c.name] = w
			}
		}
	}
	own += queued[t.Customer]
	delete(queued, t.Customer)
	names := slices.SortedFunc(maps.Keys(queued), func(a, b string) int {
		return cmp.Or(cmp.Compare(queued[b], queued[a]), cmp.Compare(a, b))
	})
	if len(names) == 0 || queued[names[0]] <= own {
		return nil
	}
	return last[names[0]]
}

// remove removes a waiter from its queue.
func (s *State) remove(w *waiter) {
	p := s.pool(w.ticket.Pool)
	p.remove(p.customers[w.ticket.Customer], w)
	s.routes[w.ticket.Route]--
	if s.routes[w.ticket.Route] == 0 {
		delete(s.routes, w.ticket.Route)
	}
}

// abandon removes a waiting request. It has no effect on a request that has
// been started.
func (s *State) abandon(e Abandon) []Effect {
	p := s.pool(e.Ticket.Pool)
	c := p.customers[e.Ticket.Customer]
	if c == nil {
		return nil
	}
	i := slices.IndexFunc(c.waiting, func(w *waiter) bool { return w.id == e.ID })
	if i < 0 {
		return nil
	}
	s.remove(c.waiting[i])
	return []Effect{Reject{ID: e.ID, Reason: ReasonAbandoned, RetryAfter: minRetryAfter}}
}

// end releases the capacity of a running request and adapts the window to its
// latency.
func (s *State) end(e End, now time.Time) []Effect {
	r := s.running[e.ID]
	if r == nil {
		return nil
	}
	delete(s.running, e.ID)
	p := s.pool(r.pool)
	p.running--
	invariant.Check(p.running >= 0, "queue-running", "pool %s has %d running requests", r.pool, p.running)
	p.window.observe(e, r.tokens, now.Sub(r.started), now)
	return s.dispatch(r.pool, now)
}

// dispatch starts waiting requests while the pool has free capacity.
func (s *State) dispatch(name string, now time.Time) []Effect {
	p := s.pool(name)
	var effects []Effect
	for p.running < p.window.size() && len(p.active) > 0 {
		c := p.active[0]
		w := c.waiting[0]
		s.remove(w)
		if w.expired(now) {
			effects = append(effects, Reject{ID: w.id, Reason: ReasonDeadline, RetryAfter: minRetryAfter})
			continue
		}
		p.charge(c, w.tokens, now)
		p.running++
		s.running[w.id] = &run{pool: name, tokens: w.tokens, started: now}
		effects = append(effects, Start{ID: w.id})
	}
	return effects
}

// expire rejects the waiting requests whose deadline has passed.
func (s *State) expire(p *pool, now time.Time) []Effect {
	var expired []*waiter
	for _, c := range p.active {
		for _, w := range c.waiting {
			if w.expired(now) {
				expired = append(expired, w)
			}
		}
	}
	slices.SortFunc(expired, func(a, b *waiter) int { return cmp.Compare(a.id, b.id) })
	effects := make([]Effect, 0, len(expired))
	for _, w := range expired {
		s.remove(w)
		effects = append(effects, Reject{ID: w.id, Reason: ReasonDeadline, RetryAfter: minRetryAfter})
	}
	return effects
}

func routeLimit(t Ticket) int {
	if t.Limit > 0 {
		return t.Limit
	}
	return defaultLimit
}

func retryAfter(wait time.Duration) time.Duration {
	return min(max(wait, minRetryAfter), maxRetryAfter)
}
