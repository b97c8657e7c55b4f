package limit

import (
	"cmp"
	"slices"
	"time"
)

const (
	// hintMemory is the age at which a hint is no longer believed, since
	// refunds may have come in.
	hintMemory = time.Second
	// askAgain is the pause before a VM that did not answer is asked again.
	askAgain = time.Second
)

// An estimate is what a VM is thought to hold at most.
type estimate struct {
	vm   string
	left Cost
}

// estimates returns the other homes of an account, those that hold the most
// first.
func (s *State) estimates(a *account, now time.Time) []estimate {
	var list []estimate
	for id := range s.homes(a.shard) {
		if left := s.believed(a, id, now); !left.IsZero() {
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
	share := s.layout.share(s.homes(a.shard)[id])
	top := s.topOf(a, id)
	h, known := a.hints[id]
	switch {
	case known && now.Before(h.back):
		return Cost{}
	case !known || now.Sub(h.at) > hintMemory:
		return top
	}
	return h.left.Plus(rateOf(a.limits).Scale(share * now.Sub(h.at).Seconds())).Min(top)
}

// homes returns the other VMs that hold slots of a shard as the store showed
// them, with the number of their slots; before the store was read, those that
// should hold them.
func (s *State) homes(sh *shard) map[string]int {
	if sh.others != nil {
		return sh.others
	}
	sh.others = map[string]int{}
	if sh.listed.IsZero() {
		homes := s.layout.homes(sh.id, s.candidates)
		for rank, c := range homes {
			sh.others[c.id] = s.layout.wanted(rank, len(homes))
		}
	}
	for _, sl := range sh.slots {
		if holder := sl.record.Lease.Holder; sl.known && holder != "" {
			sh.others[holder]++
		}
	}
	delete(sh.others, s.self.ID)
	return sh.others
}

// topOf returns what another VM holds at most when its bucket is full.
func (s *State) topOf(a *account, id string) Cost {
	return burstOf(a.limits).Scale(s.layout.share(s.homes(a.shard)[id]))
}

// reachable returns what all other homes together hold at most.
func (s *State) reachable(a *account, now time.Time) Cost {
	var sum Cost
	for _, e := range s.estimates(a, now) {
		sum = sum.Plus(e.left)
	}
	return sum
}
