package limit

import (
	"maps"
	"slices"
	"time"

	"github.com/baobabdyke/baobabdyke/config"
)

const (
	// reconcileInterval is the interval at which slots are reconciled.
	reconcileInterval = 200 * time.Millisecond
	// evictInterval is the interval at which unused accounts are evicted.
	evictInterval = 2 * time.Second
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
	case TransferRequested:
		return s.grantTransfer(e, now)
	case TransferResult:
		return s.transferResult(e, now)
	case TransferReturned:
		s.transferReturned(e, now)
	case Tick:
		return s.tick(now)
	case LayoutAgreed:
		s.setLayout(e.Layout)
	case Configured:
		s.configure(e.View, now)
	case Membership:
		return s.membership(e, now)
	case SlotsListed:
		return s.slotsListed(e, now)
	case SlotWritten:
		return s.slotWritten(e, now)
	case ReleaseAll:
		return s.releaseAll(now)
	}
	return nil
}

// grantTransfer grants another VM the tokens that it needs, as far as available,
// and up to half of the rest as spare tokens. They are debited before the
// transfer is sent.
func (s *State) grantTransfer(e TransferRequested, now time.Time) []Effect {
	t := Transfer{ID: e.Request.ID}
	if a := s.account(e.Request.Customer, now); a != nil && a.shard.active() > 0 {
		need := e.Request.Need.sanitised().Min(a.level)
		spare := a.level.Minus(need).Scale(0.5).Min(e.Request.Spare.sanitised())
		key := transferKey{from: e.From, id: e.Request.ID}
		t.Given = a.transferOut(key, need.Plus(spare), now.Add(transitTime))
		t.Left = a.level.roundDown()
		t.Holder = true
		if !t.Given.IsZero() {
			s.counts.Transfers++
		}
	}
	return []Effect{SendTransfer{To: e.From, Transfer: t}}
}

// transferReturned accepts tokens that another VM did not spend or that its
// request did not use.
func (s *State) transferReturned(e TransferReturned, now time.Time) {
	if s.accounts[e.Return.Customer] == nil {
		return
	}
	a := s.account(e.Return.Customer, now)
	key, amount := transferKey{from: e.From, id: e.Return.ID}, e.Return.Amount.sanitised()
	if e.Return.Refund {
		a.acceptRefund(key, amount)
		return
	}
	a.acceptReturn(key, amount)
}

// tick runs the periodic work.
func (s *State) tick(now time.Time) []Effect {
	effects := s.expirePending(now)
	if now.Sub(s.lastReconcile) >= reconcileInterval {
		effects = append(effects, s.reconcileAll(now)...)
	}
	if now.Sub(s.lastEviction) >= evictInterval {
		s.evict(now)
		s.dropOrigins(now)
	}
	return effects
}

// evict drops full accounts that have not been used for evictAfter.
func (s *State) evict(now time.Time) {
	s.lastEviction = now
	for name, a := range s.accounts {
		if now.Sub(a.lastUsed) <= evictAfter {
			continue
		}
		a.advance(now)
		if a.isFull() {
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
func (s *State) setLayout(l Layout) {
	if s.layoutKnown {
		return
	}
	s.layoutKnown = true
	if l == s.layout {
		return
	}
	s.layout = l
	s.shards = nil
	for i := range l.Shards {
		s.shards = append(s.shards, newShard(i, l))
	}
	s.accounts = map[string]*account{}
	s.assignSlots()
}

// activate activates the slots for which all transfers of the previous holder
// have expired.
func (s *State) activate(now time.Time) {
	if s.inactiveSlots == 0 {
		return
	}
	for _, sh := range s.shards {
		for _, n := range sh.heldNumbers() {
			h := sh.held[n]
			if !h.active && !now.Before(h.activeFrom) {
				s.resizeAccounts(sh, h.activeFrom, func() { h.active = true })
				s.addInherited(sh, h)
				s.inactiveSlots--
			}
		}
	}
}

// addInherited adds the levels inherited with a newly active slot to the
// existing accounts. Accounts created later include them from the start.
func (s *State) addInherited(sh *shard, h *holding) {
	for _, a := range s.accounts {
		if a.shard == sh {
			whole := burstOf(a.limits).Scale(s.layout.share(1))
			a.level = a.level.Plus(h.inherited.level(a.customer, whole))
			a.clip()
		}
	}
}

// resizeAccounts applies a change to the active slots of a shard and resizes the
// accounts of the shard as of the given time.
func (s *State) resizeAccounts(sh *shard, at time.Time, change func()) {
	change()
	for _, a := range s.accounts {
		if a.shard == sh {
			s.resize(a, at)
		}
	}
}
