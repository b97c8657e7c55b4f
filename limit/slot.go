package limit

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/baobabdyke/baobabdyke/invariant"
	"github.com/baobabdyke/baobabdyke/lease"
	"github.com/baobabdyke/baobabdyke/vm"
)

// tend does the next thing for this VM's slots of a shard.
func (s *State) tend(sh *shard, now time.Time) []Effect {
	have := len(sh.held)
	if s.leaving || !s.agreed || now.Before(s.begun) || (sh.wanted == 0 && have == 0) {
		return nil
	}
	effects := s.relist(sh, now)
	if have <= sh.wanted {
		sh.surplus = time.Time{}
	} else if sh.surplus.IsZero() {
		sh.surplus = now
	}
	if sh.writing > 0 || now.Before(sh.retryAt) || sh.listed.IsZero() {
		return effects
	}
	switch {
	case have < sh.wanted:
		if n, ok := s.takeable(sh); ok {
			effects = append(effects, s.takeSlot(sh, n))
		}
	case have > sh.wanted && now.Sub(sh.surplus) >= giveAfter:
		held := sh.numbers()
		sh.surplus = time.Time{}
		effects = append(effects, s.giveSlot(sh, held[len(held)-1], now))
	}
	return effects
}

// relist reads a shard's slots if what is known of them is too old.
func (s *State) relist(sh *shard, now time.Time) []Effect {
	age := now.Sub(sh.listed)
	lacking := sh.wrong || len(sh.held) < sh.wanted || s.unheld(sh)
	due := sh.listed.IsZero() || age >= relistEvery || (lacking && age >= relistSoon)
	if sh.listing || !due || now.Before(sh.listAt) {
		return nil
	}
	sh.listing = true
	return []Effect{ListShard{Shard: sh.id}}
}

// takeable returns a slot that belongs to nobody any more: it is free, its
// holder has provably ended, or it belongs to an earlier process of the same
// VM. Time proves nothing here.
func (s *State) takeable(sh *shard) (int, bool) {
	found := -1
	for n, sl := range sh.slots {
		if sh.held[n] != nil || !sl.known || !s.ended(sl.record.Lease) {
			continue
		}
		// Homes begin with different slots, so that they do not contend.
		if sh.homes > 0 && n%sh.homes == sh.rank {
			return n, true
		}
		if found < 0 {
			found = n
		}
	}
	return found, found >= 0
}

// unheld tells whether a slot was last seen without a holder, so that another
// VM will take it or has taken it.
func (s *State) unheld(sh *shard) bool {
	for n, sl := range sh.slots {
		if sh.held[n] == nil && s.ended(sl.record.Lease) {
			return true
		}
	}
	return false
}

// ended tells whether the holder of a slot provably does not spend any more.
func (s *State) ended(l lease.Lease) bool {
	switch {
	case l.Holder == "":
		return true
	case l.Holder == s.self.ID:
		return l.Incarnation <= s.self.Incarnation
	case s.removed[l.Holder]:
		return true
	}
	i, found := slices.BinarySearchFunc(s.live, l.Holder, func(m vm.Member, id string) int {
		return compareIDs(m.ID, id)
	})
	return found && s.live[i].Incarnation > l.Incarnation
}

// takeSlot starts the acquisition of a slot.
func (s *State) takeSlot(sh *shard, n int) Effect {
	old := sh.slots[n].record.Lease
	sh.writing++
	return TakeSlot{Shard: sh.id, Slot: n, Ended: lease.Holder{ID: old.Holder, Incarnation: old.Incarnation}}
}

// giveSlot stops spending a slot's share and starts its release, with what is
// left of it.
func (s *State) giveSlot(sh *shard, n int, now time.Time) Effect {
	held := sh.held[n].record.Record
	left := s.handOver(sh, n, now)
	s.drop(sh, n, now)
	sh.writing++
	return GiveSlot{Shard: sh.id, Slot: n, Record: held, Data: left.encode()}
}

// drop takes a slot's share out of force.
func (s *State) drop(sh *shard, n int, now time.Time) {
	if !sh.held[n].active {
		s.settling--
	}
	s.reshare(sh, now, func() { delete(sh.held, n) })
}

// slotWritten ends the write of a slot. A slot is held only when the store
// has provably taken the write.
func (s *State) slotWritten(e SlotWritten, now time.Time) []Effect {
	sh := s.shards[e.Shard]
	sh.writing--
	if e.Record.Version > sh.slots[e.Slot].record.Version {
		sh.slots[e.Slot] = slot{record: e.Record, known: true}
		sh.others = nil
	}
	if !e.Held {
		if e.Record.Version > 0 {
			// The record shows who holds the slot, so another one can be tried.
			return s.tend(sh, now)
		}
		sh.retryAt = now.Add(writeRetry)
		sh.wrong = true
		return nil
	}
	l := e.Record.Lease
	invariant.Check(l.Holder == s.self.ID && l.Incarnation == s.self.Incarnation, "limit-slot",
		"slot %s is held by %s/%d", l.Name, l.Holder, l.Incarnation)
	invariant.Check(sh.held[e.Slot] == nil && len(sh.held) < s.layout.Slots, "limit-shares",
		"slot %s is taken twice", l.Name)
	sh.held[e.Slot] = &holding{record: e.Record, from: now.Add(closedFor), start: sh.begin(e.Slot, l, s.view.Version)}
	s.settling++
	if s.leaving {
		return []Effect{s.giveSlot(sh, e.Slot, now)}
	}
	return s.tend(sh, now)
}

// listed takes a shard's slots as the store shows them. A read may be stale,
// so nothing goes back to an earlier version.
func (s *State) listed(e Listed, now time.Time) []Effect {
	if e.Shard >= len(s.shards) {
		return nil // of the layout before the fleet's was known
	}
	sh := s.shards[e.Shard]
	sh.listing = false
	if e.Failed {
		sh.listAt = now.Add(writeRetry)
		return s.proceedAll(sh, now)
	}
	sh.listed, sh.wrong, sh.others = now, false, nil
	for n := range sh.slots {
		sh.slots[n].known = true
	}
	for _, r := range e.Slots {
		if r.Slot < len(sh.slots) && r.Version > sh.slots[r.Slot].record.Version {
			sh.slots[r.Slot].record = r
			s.lose(sh, r, now)
		}
	}
	return append(s.tend(sh, now), s.proceedAll(sh, now)...)
}

// lose drops a held slot that the store gives to another process: this one was
// taken for ended.
func (s *State) lose(sh *shard, r SlotRecord, now time.Time) {
	h := sh.held[r.Slot]
	if h == nil || r.Version <= h.record.Version {
		return
	}
	if r.Lease.Holder != s.self.ID || r.Lease.Incarnation != s.self.Incarnation {
		s.drop(sh, r.Slot, now)
	}
}

// proceedAll takes up the gathers that waited for the slots of a shard.
func (s *State) proceedAll(sh *shard, now time.Time) []Effect {
	var effects []Effect
	for _, id := range s.gatherIDs() {
		if g := s.gathers[id]; g.account.shard == sh {
			effects = append(effects, s.proceed(g, now)...)
		}
	}
	return effects
}

// membership takes the VMs that are thought alive.
func (s *State) membership(e Membership, now time.Time) []Effect {
	s.removed = e.Removed
	changed := !slices.EqualFunc(s.live, e.Live, func(a, b vm.Member) bool {
		return a.ID == b.ID && a.State == b.State
	})
	s.live = e.Live
	if s.begun.IsZero() {
		s.begun = now.Add(s.startDelay())
	}
	joined := !now.Before(s.begun.Add(joinTime))
	if changed || e.Listed != s.expected || joined != s.joined {
		s.expected = e.Listed
		s.joined = joined
		s.rank()
	}
	return s.tendAll(now)
}

// rank works out how many slots of each shard this VM should hold. Until the
// other VMs have had time to be heard of, it leaves slots to all that are
// listed: a VM that is alone at first must not take all of them.
func (s *State) rank() {
	s.candidates = candidates(s.live)
	for _, sh := range s.shards {
		homes := s.layout.homes(sh.id, s.candidates)
		number := len(homes)
		if !s.joined {
			number = max(number, min(s.expected, s.layout.Slots))
		}
		rank := slices.IndexFunc(homes, func(c candidate) bool { return c.id == s.self.ID })
		sh.wanted, sh.rank, sh.homes = 0, rank, number
		if rank >= 0 {
			sh.wanted = s.layout.wanted(rank, number)
		}
		sh.others = nil
	}
}

// startDelay spreads the first reads and writes of VMs that start together.
func (s *State) startDelay() time.Duration {
	window := time.Duration(len(s.live)) * startSpread
	if window == 0 {
		return 0
	}
	hash := xxhash.Sum64String(s.self.ID) + s.self.Incarnation
	return time.Duration(hash % uint64(window))
}

// tendAll does the next thing for this VM's slots of all shards.
func (s *State) tendAll(now time.Time) []Effect {
	s.tended = now
	var effects []Effect
	for _, sh := range s.shards {
		effects = append(effects, s.tend(sh, now)...)
	}
	return effects
}

// giveUp hands all slots back.
func (s *State) giveUp(now time.Time) []Effect {
	s.leaving = true
	var effects []Effect
	for _, sh := range s.shards {
		for _, n := range sh.numbers() {
			effects = append(effects, s.giveSlot(sh, n, now))
		}
	}
	return effects
}
