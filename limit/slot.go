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
func (s *State) reconcile(sh *shard, now time.Time) []Effect {
	have := len(sh.held)
	if s.releasing || !s.layoutKnown || now.Before(s.startAt) || (sh.assigned == 0 && have == 0) {
		return nil
	}
	effects := s.relist(sh, now)
	if have <= sh.assigned {
		sh.surplusSince = time.Time{}
	} else if sh.surplusSince.IsZero() {
		sh.surplusSince = now
	}
	if sh.writes > 0 || now.Before(sh.nextWrite) || sh.listedAt.IsZero() {
		return effects
	}
	switch {
	case have < sh.assigned:
		if n, ok := s.availableSlot(sh); ok {
			effects = append(effects, s.acquireSlot(sh, n))
		}
	case have > sh.assigned && now.Sub(sh.surplusSince) >= surplusGrace:
		held := sh.heldNumbers()
		sh.surplusSince = time.Time{}
		effects = append(effects, s.releaseSlot(sh, held[len(held)-1], now))
	}
	return effects
}

// relist reads a shard's slots if the known records are too old.
func (s *State) relist(sh *shard, now time.Time) []Effect {
	age := now.Sub(sh.listedAt)
	lacking := sh.outdated || len(sh.held) < sh.assigned || s.hasUnheld(sh)
	due := sh.listedAt.IsZero() || age >= relistInterval || (lacking && age >= urgentRelistInterval)
	if sh.listing || !due || now.Before(sh.nextList) {
		return nil
	}
	sh.listing = true
	return []Effect{ListSlots{Shard: sh.id}}
}

// availableSlot returns a slot that can be acquired: it is free, its holder is
// proven to have ended, or its holder is an earlier process of this VM. A slot
// doesn't become available by the passage of time alone.
func (s *State) availableSlot(sh *shard) (int, bool) {
	found := -1
	for n, sl := range sh.slots {
		if sh.held[n] != nil || !sl.known || !s.holderEnded(sl.record.Lease) {
			continue
		}
		// Holders start with different slots, so that they don't contend.
		if sh.holders > 0 && n%sh.holders == sh.rank {
			return n, true
		}
		if found < 0 {
			found = n
		}
	}
	return found, found >= 0
}

// hasUnheld reports whether some slot had no holder, or one that has ended, when
// last read, so that another VM will acquire it or has done so.
func (s *State) hasUnheld(sh *shard) bool {
	for n, sl := range sh.slots {
		if sh.held[n] == nil && s.holderEnded(sl.record.Lease) {
			return true
		}
	}
	return false
}

// holderEnded reports whether the holder of a slot is proven to have stopped
// spending.
func (s *State) holderEnded(l lease.Lease) bool {
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
func (s *State) acquireSlot(sh *shard, n int) Effect {
	old := sh.slots[n].record.Lease
	sh.writes++
	return AcquireSlot{Shard: sh.id, Slot: n, Ended: lease.Holder{ID: old.Holder, Incarnation: old.Incarnation}}
}

// releaseSlot stops using a slot's share and starts the release of the slot,
// handing over the levels that are left.
func (s *State) releaseSlot(sh *shard, n int, now time.Time) Effect {
	held := sh.held[n].record.Record
	left := s.handOver(sh, n, now)
	s.drop(sh, n, now)
	sh.writes++
	return ReleaseSlot{Shard: sh.id, Slot: n, Record: held, Data: left.encode()}
}

// drop stops using a slot's share.
func (s *State) drop(sh *shard, n int, now time.Time) {
	if !sh.held[n].active {
		s.inactiveSlots--
	}
	s.resizeAccounts(sh, now, func() { delete(sh.held, n) })
}

// slotWritten processes the result of a slot write. A slot is held only if the
// write is proven to have succeeded.
func (s *State) slotWritten(e SlotWritten, now time.Time) []Effect {
	sh := s.shards[e.Shard]
	sh.writes--
	if e.Record.Version > sh.slots[e.Slot].record.Version {
		sh.slots[e.Slot] = slot{record: e.Record, known: true}
		sh.otherHolders = nil
	}
	if !e.Held {
		if e.Record.Version > 0 {
			// The holder of this slot is known now, so try another slot at once.
			return s.reconcile(sh, now)
		}
		sh.nextWrite = now.Add(storeRetryPause)
		sh.outdated = true
		return nil
	}
	l := e.Record.Lease
	invariant.Check(l.Holder == s.self.ID && l.Incarnation == s.self.Incarnation, "limit-slot",
		"slot %s is held by VM %s, incarnation %d", l.Name, l.Holder, l.Incarnation)
	invariant.Check(sh.held[e.Slot] == nil && len(sh.held) < s.layout.Slots, "limit-shares",
		"slot %s acquired twice", l.Name)
	sh.held[e.Slot] = &holding{record: e.Record, activeFrom: now.Add(transitTime), inherited: sh.startTerm(e.Slot, l, s.view.Version)}
	s.inactiveSlots++
	if s.releasing {
		return []Effect{s.releaseSlot(sh, e.Slot, now)}
	}
	return s.reconcile(sh, now)
}

// slotsListed processes the slots of a shard read from the store. A read may be
// stale, so records with older versions are ignored.
func (s *State) slotsListed(e SlotsListed, now time.Time) []Effect {
	if e.Shard >= len(s.shards) {
		return nil // read under the layout of the settings
	}
	sh := s.shards[e.Shard]
	sh.listing = false
	if e.Failed {
		sh.nextList = now.Add(storeRetryPause)
		return s.proceedAll(sh, now)
	}
	sh.listedAt, sh.outdated, sh.otherHolders = now, false, nil
	for n := range sh.slots {
		sh.slots[n].known = true
	}
	for _, r := range e.Slots {
		if r.Slot < len(sh.slots) && r.Version > sh.slots[r.Slot].record.Version {
			sh.slots[r.Slot].record = r
			s.dropLost(sh, r, now)
		}
	}
	return append(s.reconcile(sh, now), s.proceedAll(sh, now)...)
}

// dropLost drops a held slot that now belongs to another process, which happens
// if this process was considered ended.
func (s *State) dropLost(sh *shard, r SlotRecord, now time.Time) {
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
	if s.startAt.IsZero() {
		s.startAt = now.Add(s.startJitter())
	}
	graceOver := !now.Before(s.startAt.Add(joinGrace))
	if changed || e.Listed != s.listedVMs || e.ListUnread != s.listUnread || graceOver != s.joinGraceOver {
		s.listedVMs, s.listUnread = e.Listed, e.ListUnread
		s.joinGraceOver = graceOver
		s.assignSlots()
	}
	return s.reconcileAll(now)
}

// assignSlots computes how many slots of each shard this VM should hold. Until
// the other VMs have had time to appear in the membership, it counts all VMs
// that the platform lists, so that the first VM to start doesn't acquire all
// slots. It acquires none before it has read that list.
func (s *State) assignSlots() {
	s.candidates = candidates(s.live)
	for _, sh := range s.shards {
		preferred := s.layout.preferredHolders(sh.id, s.candidates)
		holders := len(preferred)
		if !s.joinGraceOver {
			holders = max(holders, min(s.listedVMs, s.layout.Slots))
		}
		rank := slices.IndexFunc(preferred, func(c candidate) bool { return c.id == s.self.ID })
		sh.assigned, sh.rank, sh.holders = 0, rank, holders
		if rank >= 0 && !s.awaitsList() {
			sh.assigned = s.layout.assignedSlots(rank, holders)
		}
		sh.otherHolders = nil
	}
}

// awaitsList reports whether this VM waits for the platform's list before it
// acquires slots.
func (s *State) awaitsList() bool { return s.listUnread && !s.joinGraceOver }

// startJitter returns the delay of this VM's first access to the store. It
// spreads the accesses of VMs that start together.
func (s *State) startJitter() time.Duration {
	window := time.Duration(len(s.live)) * startJitterPerVM
	if window == 0 {
		return 0
	}
	hash := xxhash.Sum64String(s.self.ID) + s.self.Incarnation
	return time.Duration(hash % uint64(window))
}

// reconcileAll reconciles the slots of all shards.
func (s *State) reconcileAll(now time.Time) []Effect {
	s.lastReconcile = now
	var effects []Effect
	for _, sh := range s.shards {
		effects = append(effects, s.reconcile(sh, now)...)
	}
	return effects
}

// releaseAll releases all slots.
func (s *State) releaseAll(now time.Time) []Effect {
	s.releasing = true
	var effects []Effect
	for _, sh := range s.shards {
		for _, n := range sh.heldNumbers() {
			effects = append(effects, s.releaseSlot(sh, n, now))
		}
	}
	return effects
}
