package limit

import (
	"slices"
	"time"

	"github.com/baobabdyke/baobabdyke/invariant"
)

const (
	// gatherTime bounds the time that a request waits for a gather.
	gatherTime = 150 * time.Millisecond
	// maxRounds bounds how often one gather asks.
	maxRounds = 4
)

// A gather is one request that waits for tokens of other VMs.
type gather struct {
	id       uint64
	account  *account
	cost     Cost
	own      Cost
	pieces   []piece
	waiting  int
	rounds   int
	deadline time.Time
}

// A piece is what one ask brought.
type piece struct {
	ask    uint64
	from   string
	amount Cost
	// spare is what came beyond the need and has no room here.
	spare Cost
	asked time.Time
}

// missing returns what the gather lacks still.
func (g *gather) missing() Cost {
	m := g.cost.Minus(g.own)
	for _, p := range g.pieces {
		m = m.Minus(p.amount)
	}
	return m
}

// reserve decides a request at once or starts a gather for it.
func (s *State) reserve(e Reserve, now time.Time) []Effect {
	if e.Customer == "" {
		s.counts.Admitted++
		return []Effect{Decide{ID: e.ID, Decision: Admitted{Reservation{ID: e.ID, Cost: e.Cost}}}}
	}
	cost := e.Cost.clean()
	a := s.account(e.Customer, now)
	switch {
	case a == nil:
		return s.refuse(e.ID, maxRetryAfter)
	case !burstOf(a.limits).Covers(cost):
		s.counts.TooLarge++
		return []Effect{Decide{ID: e.ID, Decision: TooLarge{Burst: burstOf(a.limits)}}}
	case a.level.Covers(cost) && !s.spread(a, cost, now):
		a.take(e.ID, cost)
		return append(s.admit(e.ID, e.Customer, cost), s.balance(a, now)...)
	}
	g := &gather{id: e.ID, account: a, cost: cost, deadline: now.Add(gatherTime)}
	effects := s.relist(a.shard, now)
	if !a.shard.listing && !s.reachable(a, now).Plus(a.level).Covers(cost) {
		return append(effects, s.refuse(e.ID, s.retryAfter(a, cost.Minus(a.level), now))...)
	}
	s.gathers[g.id] = g
	return append(effects, s.proceed(g, now)...)
}

func (s *State) admit(id uint64, customer string, cost Cost) []Effect {
	s.counts.Admitted++
	r := Reservation{ID: id, Customer: customer, Cost: cost}
	return []Effect{Decide{ID: id, Decision: Admitted{Reservation: r}}}
}

func (s *State) refuse(id uint64, after time.Duration) []Effect {
	s.counts.Refused++
	return []Effect{Decide{ID: id, Decision: Refused{RetryAfter: after}}}
}

// proceed ends a gather that has all or can get no more, and asks on otherwise.
func (s *State) proceed(g *gather, now time.Time) []Effect {
	stale := func(p piece) bool { return now.Sub(p.asked) > TransferLifetime }
	g.pieces = slices.DeleteFunc(g.pieces, stale)
	if g.missing().IsZero() {
		return s.complete(g, now)
	}
	first := g.account.shard.listing && g.account.shard.listed.IsZero()
	if (g.waiting > 0 || first) && now.Before(g.deadline) {
		return nil
	}
	if g.rounds < maxRounds && now.Before(g.deadline) {
		return s.round(g, now)
	}
	return s.fail(g, now)
}

// round takes what is missing from the own bucket and asks other VMs for the
// rest. The first round of a large request draws on all homes alike, so that
// none runs empty while another is full and wastes its refill.
func (s *State) round(g *gather, now time.Time) []Effect {
	a := g.account
	a.advance(now)
	g.rounds++
	if g.rounds == 1 && large(a, g.cost) {
		if effects := s.askAll(g, now); len(effects) > 0 {
			return effects
		}
	}
	g.own = g.own.Plus(a.holdBack(g.missing()))
	if g.missing().IsZero() {
		return s.complete(g, now)
	}
	if effects := s.ask(g, g.missing(), now); len(effects) > 0 {
		return effects
	}
	return s.fail(g, now)
}

// askAll takes from the own bucket and asks from the other homes what leaves
// the same part of a share with each.
func (s *State) askAll(g *gather, now time.Time) []Effect {
	own, parts := s.plan(g.account, g.cost, now)
	g.own = g.account.holdBack(own)
	var effects []Effect
	for _, p := range parts {
		effects = append(effects, s.send(g.account, g, p.vm, p.left, Cost{}, now))
	}
	return effects
}

// ask asks the VMs that are thought to hold the most until they cover what is
// missing.
func (s *State) ask(g *gather, missing Cost, now time.Time) []Effect {
	a := g.account
	estimates := s.estimates(a, now)
	var covered Cost
	for _, e := range estimates {
		covered = covered.Plus(e.left)
	}
	if !covered.Covers(missing) {
		return nil
	}
	spare := a.room().Minus(a.level)
	var effects []Effect
	for _, e := range estimates {
		need := missing.Min(e.left)
		if need.IsZero() {
			continue
		}
		effects = append(effects, s.send(a, g, e.vm, need, spare, now))
		missing = missing.Minus(need)
		spare = Cost{}
		if missing.IsZero() {
			break
		}
	}
	return effects
}

// complete admits a request whose cost is gathered.
func (s *State) complete(g *gather, now time.Time) []Effect {
	for _, p := range g.pieces {
		invariant.Check(now.Sub(p.asked) <= TransferLifetime, "limit-transfer-age",
			"a piece of %v is spent", now.Sub(p.asked))
	}
	delete(s.gathers, g.id)
	s.counts.Gathered++
	g.account.spend(g.id, g.own, now)
	s.spent[g.id] = &spending{own: g.own, pieces: g.pieces, at: now}
	effects := s.admit(g.id, g.account.customer, g.cost)
	for _, p := range g.pieces {
		effects = append(effects, s.sendBack(g.account, p.from, p.ask, p.spare))
	}
	return effects
}

// fail refuses a request and sends back what it had gathered.
func (s *State) fail(g *gather, now time.Time) []Effect {
	missing := g.missing()
	delete(s.gathers, g.id)
	g.account.letGo(g.own, now)
	effects := s.refuse(g.id, s.retryAfter(g.account, missing, now))
	for _, p := range g.pieces {
		effects = append(effects, s.sendBack(g.account, p.from, p.ask, p.amount.Plus(p.spare)))
	}
	return effects
}

func (s *State) sendBack(a *account, to string, ask uint64, amount Cost) Effect {
	s.counts.Returns++
	return SendReturn{To: to, Return: TransferReturn{ID: ask, Customer: a.customer, Amount: amount.grainsDown()}}
}
