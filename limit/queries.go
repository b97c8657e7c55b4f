package limit

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// warmTimeout is the time after which a starting VM no longer waits for its
// slots.
const warmTimeout = 5 * time.Second

// Bounds of Refused.RetryAfter.
const (
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 60 * time.Second
)

// retryAfter estimates the time until the fleet holds the missing amount.
func (s *State) retryAfter(a *account, missing Cost, now time.Time) time.Duration {
	shortfall := missing.Minus(s.reachable(a, now))
	seconds := max(refillSeconds(shortfall.Requests, a.limits.Requests), refillSeconds(shortfall.Tokens, a.limits.Tokens))
	if seconds >= maxRetryAfter.Seconds() {
		return maxRetryAfter
	}
	return max(minRetryAfter, time.Duration(seconds*float64(time.Second)))
}

func refillSeconds(amount, rate float64) float64 {
	switch {
	case amount <= tolerance:
		return 0
	case rate <= 0:
		return maxRetryAfter.Seconds()
	}
	return amount / rate
}

// Holders returns the IDs of the other VMs that are known to hold slots.
func (s *State) Holders() []string {
	seen := map[string]bool{}
	for _, sh := range s.shards {
		for _, sl := range sh.slots {
			if h := sl.record.Lease.Holder; h != "" && h != s.self.ID {
				seen[h] = true
			}
		}
	}
	return slices.Sorted(maps.Keys(seen))
}

// Warm reports whether all slots that this VM can acquire are active, or whether
// it has waited for them for warmTimeout, for example because the store is slow.
func (s *State) Warm(now time.Time) bool {
	if s.startAt.IsZero() || now.Before(s.startAt) {
		return false
	}
	if now.Sub(s.startAt) >= warmTimeout {
		return true
	}
	if s.awaitsList() {
		return false
	}
	for _, sh := range s.shards {
		_, more := s.availableSlot(sh)
		lacking := sh.listedAt.IsZero() || sh.active() < len(sh.held) || (more && len(sh.held) < sh.assigned)
		if sh.assigned > 0 && lacking {
			return false
		}
	}
	return s.layoutKnown
}

// PendingWrites returns the number of slot writes in progress.
func (s *State) PendingWrites() int {
	n := 0
	for _, sh := range s.shards {
		n += sh.writes
	}
	return n
}

// Busy reports whether responses of other VMs are awaited.
func (s *State) Busy() bool { return len(s.pending) > 0 || len(s.gathers) > 0 }

// HeldSlots returns the number of slots that this VM holds.
func (s *State) HeldSlots() int {
	n := 0
	for _, sh := range s.shards {
		n += len(sh.held)
	}
	return n
}

func (s *State) gatherIDs() []uint64 {
	return slices.Sorted(maps.Keys(s.gathers))
}

func compareIDs(a, b string) int { return cmp.Compare(a, b) }

// A Dump is the limit state of a VM in a form for operators.
type Dump struct {
	Layout   Layout        `json:"layout"`
	Slots    []SlotDump    `json:"slots"`
	Accounts []AccountDump `json:"accounts"`
	Gathers  int           `json:"gathers"`
	Counts   Counts        `json:"counts"`
}

// A SlotDump is one slot as known to this VM. Mine reports whether this process
// holds it, and Active whether its share is also in use.
type SlotDump struct {
	Shard  int    `json:"shard"`
	Slot   int    `json:"slot"`
	Holder string `json:"holder"`
	Term   int64  `json:"term"`
	Mine   bool   `json:"mine"`
	Active bool   `json:"active"`
}

// An AccountDump is the state of this VM's bucket for one customer: its level
// and cap, the amount held by gathers, and the amount in transit to other VMs.
type AccountDump struct {
	Customer  string `json:"customer"`
	Level     Cost   `json:"level"`
	Cap       Cost   `json:"cap"`
	Held      Cost   `json:"held"`
	InTransit Cost   `json:"closed"`
}

// Dump returns the state in a form for operators.
func (s *State) Dump(now time.Time) Dump {
	d := Dump{
		Layout: s.layout, Slots: []SlotDump{}, Accounts: []AccountDump{},
		Gathers: len(s.gathers), Counts: s.counts,
	}
	for _, sh := range s.shards {
		for n, sl := range sh.slots {
			if !sl.known {
				continue
			}
			h := sh.held[n]
			d.Slots = append(d.Slots, SlotDump{
				Shard: sh.id, Slot: n, Holder: sl.record.Lease.Holder, Term: sl.record.Lease.Term,
				Mine: h != nil, Active: h != nil && h.active,
			})
		}
	}
	for _, name := range slices.Sorted(maps.Keys(s.accounts)) {
		a := s.accounts[name]
		a.advance(now)
		d.Accounts = append(d.Accounts, AccountDump{Customer: name, Level: a.level, Cap: a.cap, Held: a.held, InTransit: a.inTransitSum})
	}
	return d
}
