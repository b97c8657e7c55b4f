package limit

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/baobabdyke/baobabdyke/invariant"
	"github.com/baobabdyke/baobabdyke/lease"
	"github.com/baobabdyke/baobabdyke/vm"
)

// reconcile takes the next step towards holding the assigned number of slots of
// a shard.
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

// relist reads a shard's slots if the known records are too old.
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

// availableSlot returns a slot that can be acquired: it is free, its holder is
// proven to have ended, or its holder is an earlier process of this VM. A slot
// doesn't become available by the passage of time alone.
func (s *State) takeable(sh *shard) (int, bool) {
	found := -1
	for n, sl := range sh.slots {
		if sh.held[n] != nil || !sl.known || !s.ended(sl.record.Lease) {
			continue
		}
		// Holders start with different slots, so that they don't contend.
		if sh.homes > 0 && n%sh.homes == sh.rank {
			return n, true
		}
		if found < 0 {
			found = n
		}
	}
	return found, found >= 0
}

// hasUnheld reports whether some slot had no holder when last read, so that
// another VM will acquire it or has done so.
func (s *State) unheld(sh *shard) bool {
	for n, sl := range sh.slots {
		if sh.held[n] == nil && s.ended(sl.record.Lease) {
			return true
		}
	}
	return false
}

// ended reports whether the holder of a slot is proven to have stopped spending.
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

// acquireSlot starts the acquisition of a slot.
func (s *State) takeSlot(sh *shard, n int) Effect {
	old := sh.slots[n].record.Lease
	sh.writing++
	return TakeSlot{Shard: sh.id, Slot: n, Ended: lease.Holder{ID: old.Holder, Incarnation: old.Incarnation}}
}

// releaseSlot stops using a slot's share and starts the release of the slot,
// handing over the levels that are left.
func (s *State) giveSlot(sh *shard, n int, now time.Time) Effect {
	held := sh.held[n].record.Record
	left := s.handOver(sh, n, now)
	s.drop(sh, n, now)
	sh.writing++
	return GiveSlot{Shard: sh.id, Slot: n, Record: held, Data: left.encode()}
}

// drop stops using a slot's share.
func (s *State) drop(sh *shard, n int, now time.Time) {
	if !sh.held[n].active {
		s.settling--
	}
	s.reshare(sh, now, func() { delete(sh.held, n) })
}

// slotWritten processes the result of a slot write. A slot is held only if the
// write is proven to have succeeded.
func (s *State) slotWritten(e SlotWritten, now time.Time) []Effect {
	sh := s.shards[e.Shard]
	sh.writing--
	if e.Record.Version > sh.slots[e.Slot].record.Version {
		sh.slots[e.Slot] = slot{record: e.Record, known: true}
		sh.others = nil
	}
	if !e.Held {
		if e.Record.Version > 0 {
			// The holder of this slot is known now, so try another slot at once.
			return s.tend(sh, now)
		}
		sh.retryAt = now.Add(writeRetry)
		sh.wrong = true
		return nil
	}
	l := e.Record.Lease
	invariant.Check(l.Holder == s.self.ID && l.Incarnation == s.self.Incarnation, "limit-slot",
		"slot %s is held by VM %s, incarnation %d", l.Name, l.Holder, l.Incarnation)
	invariant.Check(sh.held[e.Slot] == nil && len(sh.held) < s.layout.Slots, "limit-shares",
		"slot %s acquired twice", l.Name)
	sh.held[e.Slot] = &holding{record: e.Record, from: now.Add(closedFor), start: sh.begin(e.Slot, l, s.view.Version)}
	s.settling++
	if s.leaving {
		return []Effect{s.giveSlot(sh, e.Slot, now)}
	}
	return s.tend(sh, now)
}

// slotsListed processes the slots of a shard read from the store. A read may be
// stale, so records with older versions are ignored.
func (s *State) listed(e Listed, now time.Time) []Effect {
	if e.Shard >= len(s.shards) {
		return nil // read under the layout of the settings
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

// dropLost drops a held slot that now belongs to another process, which happens
// if this process was considered ended.
func (s *State) lose(sh *shard, r SlotRecord, now time.Time) {
	h := sh.held[r.Slot]
	if h == nil || r.Version <= h.record.Version {
		return
	}
	if r.Lease.Holder != s.self.ID || r.Lease.Incarnation != s.self.Incarnation {
		s.drop(sh, r.Slot, now)
	}
}

// proceedAll proceeds with the gathers that waited for the slots of a shard.
func (s *State) proceedAll(sh *shard, now time.Time) []Effect {
	var effects []Effect
	for _, id := range s.gatherIDs() {
		if g := s.gathers[id]; g.account.shard == sh {
			effects = append(effects, s.proceed(g, now)...)
		}
	}
	return effects
}

// membership applies a change of the membership.
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

// assignSlots computes how many slots of each shard this VM should hold. Until
// the other VMs have had time to appear in the membership, it counts all VMs
// that the platform lists, so that the first VM to start doesn't acquire all
// slots.
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

// startJitter returns the delay of this VM's first access to the store. It
// spreads the accesses of VMs that start together.
func (s *State) startDelay() time.Duration {
	window := time.Duration(len(s.live)) * startSpread
	if window == 0 {
		return 0
	}
	hash := xxhash.Sum64String(s.self.ID) + s.self.Incarnation
	return time.Duration(hash % uint64(window))
}

// reconcileAll reconciles the slots of all shards.
func (s *State) tendAll(now time.Time) []Effect {
	s.tended = now
	var effects []Effect
	for _, sh := range s.shards {
		effects = append(effects, s.tend(sh, now)...)
	}
	return effects
}

// releaseAll releases all slots.
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
