package limit

import (
	"slices"
	"time"

	"github.com/baobabdyke/baobabdyke/invariant"
)

const (
	// gatherTimeout bounds the time that a request waits for tokens.
	gatherTimeout = 150 * time.Millisecond
	// maxGatherRounds bounds the rounds of transfer requests of one gather.
	maxGatherRounds = 4
)

// A gather collects tokens from other VMs for one waiting request.
type gather struct {
	id            uint64
	account       *account
	cost          Cost
	own           Cost
	contributions []contribution
	outstanding   int
	rounds        int
	deadline      time.Time
}

// A contribution is the tokens that another VM transferred for a gather.
type contribution struct {
	transferID uint64
	from       string
	amount     Cost
	// surplus is the part that neither the gather needs nor the bucket has room
	// for.
	surplus     Cost
	requestedAt time.Time
}

// missing returns the part of the cost that has not been collected yet.
func (g *gather) missing() Cost {
	m := g.cost.Minus(g.own)
	for _, c := range g.contributions {
		m = m.Minus(c.amount)
	}
	return m
}

// reserve decides on a request immediately or starts a gather for it.
func (s *State) reserve(e Reserve, now time.Time) []Effect {
	if e.Customer == "" {
		s.counts.Admitted++
		return []Effect{Decide{ID: e.ID, Decision: Admitted{Reservation{ID: e.ID, Cost: e.Cost}}}}
	}
	cost := e.Cost.sanitised()
	a := s.account(e.Customer, now)
	switch {
	case a == nil:
		return s.refuse(e.ID, maxRetryAfter)
	case !burstOf(a.limits).Covers(cost):
		s.counts.TooLarge++
		return []Effect{Decide{ID: e.ID, Decision: TooLarge{Burst: burstOf(a.limits)}}}
	case a.level.Covers(cost) && !s.shouldSpread(a, cost, now):
		a.take(e.ID, cost)
		return append(s.admit(e.ID, e.Customer, cost), s.balance(a, now)...)
	}
	g := &gather{id: e.ID, account: a, cost: cost, deadline: now.Add(gatherTimeout)}
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

// proceed completes a gather that has collected its cost, fails one that cannot
// get more in time, and otherwise waits for responses or starts another round.
func (s *State) proceed(g *gather, now time.Time) []Effect {
	expired := func(c contribution) bool { return now.Sub(c.requestedAt) > TransferLifetime }
	g.contributions = slices.DeleteFunc(g.contributions, expired)
	if g.missing().IsZero() {
		return s.complete(g, now)
	}
	firstRead := g.account.shard.listing && g.account.shard.listedAt.IsZero()
	if (g.outstanding > 0 || firstRead) && now.Before(g.deadline) {
		return nil
	}
	if g.rounds < maxGatherRounds && now.Before(g.deadline) {
		return s.startRound(g, now)
	}
	return s.fail(g, now)
}

// startRound takes what is missing from the own bucket and requests the rest
// from other VMs. The first round of a large request takes from all holders
// evenly, because a full bucket would waste its refill while another is empty.
func (s *State) startRound(g *gather, now time.Time) []Effect {
	a := g.account
	a.advance(now)
	g.rounds++
	if g.rounds == 1 && isLarge(a, g.cost) {
		if effects := s.requestFromAll(g, now); len(effects) > 0 {
			return effects
		}
	}
	g.own = g.own.Plus(a.holdForGather(g.missing()))
	if g.missing().IsZero() {
		return s.complete(g, now)
	}
	if effects := s.requestMissing(g, g.missing(), now); len(effects) > 0 {
		return effects
	}
	return s.fail(g, now)
}

// requestFromAll takes tokens from the own bucket and requests them from the
// other holders so that all buckets are left equally full.
func (s *State) requestFromAll(g *gather, now time.Time) []Effect {
	own, parts := s.plan(g.account, g.cost, now)
	g.own = g.account.holdForGather(own)
	var effects []Effect
	for _, p := range parts {
		effects = append(effects, s.requestTransfer(g.account, g, p.vm, p.level, Cost{}, now))
	}
	return effects
}

// requestMissing requests the missing tokens from the other holders with the
// highest estimated levels. It requests nothing if all of them together are
// estimated to hold less than that.
func (s *State) requestMissing(g *gather, missing Cost, now time.Time) []Effect {
	a := g.account
	estimates := s.estimates(a, now)
	var covered Cost
	for _, e := range estimates {
		covered = covered.Plus(e.level)
	}
	if !covered.Covers(missing) {
		return nil
	}
	spare := a.room().Minus(a.level)
	var effects []Effect
	for _, e := range estimates {
		need := missing.Min(e.level)
		if need.IsZero() {
			continue
		}
		effects = append(effects, s.requestTransfer(a, g, e.vm, need, spare, now))
		missing = missing.Minus(need)
		spare = Cost{}
		if missing.IsZero() {
			break
		}
	}
	return effects
}

// complete admits a request whose cost has been collected.
func (s *State) complete(g *gather, now time.Time) []Effect {
	for _, c := range g.contributions {
		invariant.Check(now.Sub(c.requestedAt) <= TransferLifetime, "limit-transfer-age",
			"transfer spent %v after its request", now.Sub(c.requestedAt))
	}
	delete(s.gathers, g.id)
	s.counts.Gathered++
	g.account.spendHeld(g.id, g.own, now)
	s.origins[g.id] = &origin{own: g.own, contributions: g.contributions, at: now}
	effects := s.admit(g.id, g.account.customer, g.cost)
	for _, c := range g.contributions {
		effects = append(effects, s.returnTokens(g.account, c.from, c.transferID, c.surplus))
	}
	return effects
}

// fail refuses a request and returns the collected tokens.
func (s *State) fail(g *gather, now time.Time) []Effect {
	missing := g.missing()
	delete(s.gathers, g.id)
	g.account.releaseHeld(g.own, now)
	effects := s.refuse(g.id, s.retryAfter(g.account, missing, now))
	for _, c := range g.contributions {
		effects = append(effects, s.returnTokens(g.account, c.from, c.transferID, c.amount.Plus(c.surplus)))
	}
	return effects
}

func (s *State) returnTokens(a *account, to string, transferID uint64, amount Cost) Effect {
	s.counts.Returns++
	return SendTransferReturn{To: to, Return: TransferReturn{ID: transferID, Customer: a.customer, Amount: amount.roundDown()}}
}
