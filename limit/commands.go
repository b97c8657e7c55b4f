package limit

import (
	"maps"
	"slices"
	"time"

	"github.com/baobabdyke/baobabdyke/config"
)

const (
	// reconcileInterval is the interval at which slots are reconciled.
	tendEvery = 200 * time.Millisecond
	// evictInterval is the interval at which unused accounts are evicted.
	evictEvery = 2 * time.Second
	// evictAfter is the time without use after which a full account is evicted.
	evictAfter = 10 * time.Second
)

// Step applies one event and returns the resulting effects. It is
// deterministic.
func (s *State) Step(e Event, now time.Time) []Effect {
	s.activate(now)
	switch e := e.(type) {
	case Reserve:
		return s.reserve(e, now)
	case Settle:
		return s.settle(e, now)
	case Asked:
		return s.asked(e, now)
	case Answered:
		return s.answered(e, now)
	case Returned:
		s.returned(e, now)
	case Tick:
		return s.tick(now)
	case Agreed:
		s.agree(e.Layout)
	case Configured:
		s.configure(e.View, now)
	case Membership:
		return s.membership(e, now)
	case Listed:
		return s.listed(e, now)
	case SlotWritten:
		return s.slotWritten(e, now)
	case GiveUp:
		return s.giveUp(now)
	}
	return nil
}

// grantTransfer grants another VM the tokens that it needs, as far as available,
// and up to half of the rest as spare tokens. They are debited before the
// transfer is sent.
func (s *State) asked(e Asked, now time.Time) []Effect {
	t := Transfer{ID: e.Ask.ID}
	if a := s.account(e.Ask.Customer, now); a != nil && a.shard.active() > 0 {
		need := e.Ask.Need.clean().Min(a.level)
		spare := a.level.Minus(need).Scale(0.5).Min(e.Ask.Spare.clean())
		key := askKey{from: e.From, id: e.Ask.ID}
		t.Given = a.hand(key, need.Plus(spare), now.Add(closedFor))
		t.Left = a.level.grainsDown()
		t.Home = true
		if !t.Given.IsZero() {
			s.counts.Transfers++
		}
	}
	return []Effect{SendTransfer{To: e.From, Transfer: t}}
}

// transferReturned accepts tokens that another VM did not spend or that its
// request did not use.
func (s *State) returned(e Returned, now time.Time) {
	if s.accounts[e.Return.Customer] == nil {
		return
	}
	a := s.account(e.Return.Customer, now)
	key, amount := askKey{from: e.From, id: e.Return.ID}, e.Return.Amount.clean()
	if e.Return.Refund {
		a.refund(key, amount)
		return
	}
	a.takeBack(key, amount)
}

// tick runs the periodic work.
func (s *State) tick(now time.Time) []Effect {
	effects := s.expire(now)
	if now.Sub(s.tended) >= tendEvery {
		effects = append(effects, s.tendAll(now)...)
	}
	if now.Sub(s.evicted) >= evictEvery {
		s.evict(now)
		s.forget(now)
	}
	return effects
}

// evict drops unused accounts that equal new ones.
func (s *State) evict(now time.Time) {
	s.evicted = now
	for name, a := range s.accounts {
		if now.Sub(a.used) <= evictAfter {
			continue
		}
		a.advance(now)
		if a.full() {
			delete(s.accounts, name)
		}
	}
}

// configure applies a new configuration. A customer whose rate changes keeps
// its level, and a new customer starts with an empty bucket, so that a change
// of the configuration alone never adds tokens.
func (s *State) configure(v *config.View, now time.Time) {
	old := s.view
	if v == nil || v.Version < old.Version || v == old {
		return
	}
	for _, name := range slices.Sorted(maps.Keys(s.accounts)) {
		if v.Customer(name) == nil {
			delete(s.accounts, name)
		}
	}
	if old.Version == 0 {
		s.view = v
		return
	}
	var added []string
	for i := range v.Customers {
		c := &v.Customers[i]
		before := old.Customer(c.Name)
		switch {
		case before == nil && len(s.shards[s.layout.Shard(c.Name)].held) > 0:
			added = append(added, c.Name)
		case before != nil && before.Rate != c.Rate:
			a := s.account(c.Name, now)
			a.limits = c.Rate
			s.resize(a, now)
		}
	}
	s.view = v
	for _, name := range added {
		a := s.account(name, now)
		a.level = Cost{}
		a.clip()
	}
}

// setLayout replaces the layout of the settings by the one that the fleet uses.
// No slots are held before.
func (s *State) agree(l Layout) {
	if s.agreed {
		return
	}
	s.agreed = true
	if l == s.layout {
		return
	}
	s.layout = l
	s.shards = nil
	for i := range l.Shards {
		s.shards = append(s.shards, newShard(i, l))
	}
	s.accounts = map[string]*account{}
	s.rank()
}

// activate activates the slots for which all transfers of the previous holder
// have expired.
func (s *State) activate(now time.Time) {
	if s.settling == 0 {
		return
	}
	for _, sh := range s.shards {
		for _, n := range sh.numbers() {
			h := sh.held[n]
			if !h.active && !now.Before(h.from) {
				s.reshare(sh, h.from, func() { h.active = true })
				s.addStart(sh, h)
				s.settling--
			}
		}
	}
}

// addInherited adds the levels inherited with a newly active slot to the
// existing accounts. Accounts created later include them from the start.
func (s *State) addStart(sh *shard, h *holding) {
	for _, a := range s.accounts {
		if a.shard == sh {
			whole := burstOf(a.limits).Scale(s.layout.share(1))
			a.level = a.level.Plus(h.start.level(a.customer, whole))
			a.clip()
		}
	}
}

// resizeAccounts applies a change to the active slots of a shard and resizes
// the accounts of the shard accordingly.
func (s *State) reshare(sh *shard, at time.Time, change func()) {
	change()
	for _, a := range s.accounts {
		if a.shard == sh {
			s.resize(a, at)
		}
	}
}
