package limit

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/baobabdyke/baobabdyke/invariant"
)

const (
	// askPatience is the time after which an ask without an answer is no
	// longer waited for.
	askPatience = 40 * time.Millisecond
	// gatherTime bounds the time that a request waits for a gather.
	gatherTime = 150 * time.Millisecond
	// maxRounds bounds how often one gather asks.
	maxRounds = 4
	// hintMemory is the age at which a hint is no longer believed, since
	// refunds may have come in.
	hintMemory = time.Second
	// askAgain is the pause before a VM that did not answer is asked again.
	askAgain = time.Second
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
	asked  time.Time
}

// missing returns what the gather lacks still.
func (g *gather) missing() Cost {
	m := g.cost.Minus(g.own)
	for _, p := range g.pieces {
		m = m.Minus(p.amount)
	}
	return m
}

// A pending is an ask that may still be answered. Slow tells that its gather
// does not wait for it any more.
type pending struct {
	gather  uint64
	to      string
	account *account
	at      time.Time
	slow    bool
}

// late tells whether what the ask brought may not be spent any more.
func (p *pending) late(now time.Time) bool { return now.Sub(p.at) > TransferLifetime }

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
	case a.level.Covers(cost):
		a.take(e.ID, cost)
		return s.admit(e.ID, e.Customer, cost)
	}
	g := &gather{id: e.ID, account: a, cost: cost, deadline: now.Add(gatherTime)}
	effects := s.relist(a.shard, now)
	if !a.shard.listing && !s.reachable(a, now).Plus(a.level).Covers(cost) {
		return append(effects, s.refuse(e.ID, s.retryAfter(a, cost.Minus(a.level), now))...)
	}
	g.own = a.holdBack(cost)
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
	missing := g.missing()
	if missing.Zero() {
		return s.complete(g, now)
	}
	first := g.account.shard.listing && g.account.shard.listed.IsZero()
	if (g.waiting > 0 || first) && now.Before(g.deadline) {
		return nil
	}
	if g.rounds < maxRounds && now.Before(g.deadline) {
		if effects := s.ask(g, missing, now); len(effects) > 0 {
			return effects
		}
	}
	return s.fail(g, missing, now)
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
	g.rounds++
	spare := a.room().Minus(a.level)
	var effects []Effect
	for _, e := range estimates {
		need := missing.Min(e.left)
		if need.Zero() {
			continue
		}
		effects = append(effects, s.send(g, e.vm, need, spare, now))
		missing = missing.Minus(need)
		spare = Cost{}
		if missing.Zero() {
			break
		}
	}
	return effects
}

// send makes one ask.
func (s *State) send(g *gather, to string, need, spare Cost, now time.Time) Effect {
	s.lastAsk++
	s.counts.Asks++
	s.asks[s.lastAsk] = &pending{gather: g.id, to: to, account: g.account, at: now}
	g.waiting++
	// What is asked for is taken off the hint until the answer tells more.
	h := g.account.hints[to]
	h.left = s.believed(g.account, to, now).Minus(need)
	h.at = now
	g.account.hints[to] = h
	return SendAsk{To: to, Ask: Ask{ID: s.lastAsk, Customer: g.account.customer, Need: need, Spare: spare}}
}

// complete admits a request whose cost is gathered.
func (s *State) complete(g *gather, now time.Time) []Effect {
	for _, p := range g.pieces {
		invariant.Hold(now.Sub(p.asked) <= TransferLifetime, "limit-transfer-age",
			"a piece of %v is spent", now.Sub(p.asked))
	}
	delete(s.gathers, g.id)
	s.counts.Gathered++
	g.account.spend(g.id, g.own, g.cost, now)
	return s.admit(g.id, g.account.customer, g.cost)
}

// fail refuses a request and sends back what it had gathered.
func (s *State) fail(g *gather, missing Cost, now time.Time) []Effect {
	delete(s.gathers, g.id)
	g.account.letGo(g.own, now)
	effects := s.refuse(g.id, s.retryAfter(g.account, missing, now))
	for _, p := range g.pieces {
		effects = append(effects, s.sendBack(g.account, p.from, p.ask, p.amount))
	}
	return effects
}

func (s *State) sendBack(a *account, to string, ask uint64, amount Cost) Effect {
	s.counts.Returns++
	return SendReturn{To: to, Return: Return{ID: ask, Customer: a.customer, Amount: amount}}
}

// answered takes the answer to an ask. What a gather does not need is kept as
// far as there is room, and the rest is sent back.
func (s *State) answered(e Answered, now time.Time) []Effect {
	p := s.asks[e.ID]
	if p == nil {
		s.counts.Late++
		return nil
	}
	delete(s.asks, e.ID)
	g := s.gathers[p.gather]
	if g != nil && !p.slow {
		g.waiting--
	}
	var effects []Effect
	switch {
	case e.Failed:
		s.unheard(p, now)
	case p.late(now):
		s.counts.Late++
	default:
		effects = s.receive(p, g, e, now)
	}
	if g != nil {
		effects = append(effects, s.proceed(g, now)...)
	}
	return effects
}

// receive takes a transfer that came in time.
func (s *State) receive(p *pending, g *gather, e Answered, now time.Time) []Effect {
	a := p.account
	given := e.Transfer.Given.clean()
	a.hints[p.to] = hint{left: e.Transfer.Left.clean(), at: now}
	if !e.Transfer.Home {
		a.hints[p.to] = hint{at: now, back: now.Add(askAgain)}
		a.shard.wrong = true
	}
	if g != nil {
		part := given.Min(g.missing())
		given = given.Minus(part)
		if !part.Zero() {
			g.pieces = append(g.pieces, piece{ask: e.ID, from: p.to, amount: part, asked: p.at})
		}
	}
	if given.Zero() {
		return nil
	}
	a.advance(now)
	if rest := a.keep(given); !rest.Zero() {
		return []Effect{s.sendBack(a, p.to, e.ID, rest)}
	}
	return nil
}

// unheard notes that a VM did not answer.
func (s *State) unheard(p *pending, now time.Time) {
	s.counts.Unheard++
	p.account.hints[p.to] = hint{at: now, back: now.Add(askAgain)}
}

// expire ends waiting for slow answers and forgets asks that are too old.
func (s *State) expire(now time.Time) []Effect {
	var effects []Effect
	for _, id := range slices.Sorted(maps.Keys(s.asks)) {
		p := s.asks[id]
		if !p.slow && now.Sub(p.at) >= askPatience {
			p.slow = true
			s.unheard(p, now)
			if g := s.gathers[p.gather]; g != nil {
				g.waiting--
			}
		}
		if p.late(now) {
			delete(s.asks, id)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(s.gathers)) {
		effects = append(effects, s.proceed(s.gathers[id], now)...)
	}
	return effects
}

// An estimate is what a VM is thought to hold at most.
type estimate struct {
	vm   string
	left Cost
}

// estimates returns the other homes of an account, those that hold the most
// first.
func (s *State) estimates(a *account, now time.Time) []estimate {
	var list []estimate
	for id := range a.shard.homes(s.self.ID) {
		if left := s.believed(a, id, now); !left.Zero() {
			list = append(list, estimate{vm: id, left: left})
		}
	}
	worth := func(e estimate) float64 {
		return e.left.Tokens/max(a.limits.TokenBurst, 1) + e.left.Requests/max(a.limits.RequestBurst, 1)
	}
	slices.SortFunc(list, func(x, y estimate) int {
		return cmp.Or(cmp.Compare(worth(y), worth(x)), cmp.Compare(x.vm, y.vm))
	})
	return list
}

// believed returns what another VM holds at most: what it held when last heard
// of, refilled since. Refunds apart, a VM cannot hold more.
func (s *State) believed(a *account, id string, now time.Time) Cost {
	share := s.layout.share(a.shard.homes(s.self.ID)[id])
	top := burstOf(a.limits).Scale(share)
	h, known := a.hints[id]
	switch {
	case known && now.Before(h.back):
		return Cost{}
	case !known || now.Sub(h.at) > hintMemory:
		return top
	}
	return h.left.Plus(rateOf(a.limits).Scale(share * now.Sub(h.at).Seconds())).Min(top)
}

// reachable returns what all other homes together hold at most.
func (s *State) reachable(a *account, now time.Time) Cost {
	var sum Cost
	for _, e := range s.estimates(a, now) {
		sum = sum.Plus(e.left)
	}
	return sum
}
