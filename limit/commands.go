package limit

import (
	"maps"
	"slices"
	"time"

	"github.com/baobabdyke/baobabdyke/config"
)

const (
	// tendEvery is how often the slots are looked after.
	tendEvery = 200 * time.Millisecond
	// evictEvery is how often unused accounts are looked for.
	evictEvery = 2 * time.Second
	// evictAfter is the time without use after which a full account is
	// forgotten.
	evictAfter = 10 * time.Second
)

// Step applies one event and returns what has to be done. It is deterministic.
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

// asked gives another VM what it needs, and half of what remains up to its
// spare room. The debit comes before the transfer is sent.
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

// returned takes back what another VM did not spend, or not use.
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

// tick lets time pass.
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

// evict forgets the accounts that would be the same if they were made anew.
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

// configure puts new rates into force. A customer that is new or whose rate
// changes keeps its level, so that a change never gives out anything at once.
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

// agree takes the layout of the fleet into use, in place of the one of the
// settings. Nothing is held before.
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

// activate counts the slots whose former holder's transfers have lapsed.
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

// addStart adds what a slot that becomes active held at its taking to the
// accounts that there are; later ones count it in when they are made.
func (s *State) addStart(sh *shard, h *holding) {
	for _, a := range s.accounts {
		if a.shard == sh {
			whole := burstOf(a.limits).Scale(s.layout.share(1))
			a.level = a.level.Plus(h.start.level(a.customer, whole))
			a.clip()
		}
	}
}

// reshare changes the active slots of a shard and the shares of its accounts
// at a time.
func (s *State) reshare(sh *shard, at time.Time, change func()) {
	change()
	for _, a := range s.accounts {
		if a.shard == sh {
			s.resize(a, at)
		}
	}
}
