package limit

import (
	"cmp"
	"slices"
	"time"
)

const (
	// remoteLevelTTL is the age at which a remote level is no longer used, since
	// refunds may have been made in the meantime.
	hintMemory = time.Second
	// retryPause is the time for which no transfers are requested from a VM that
	// did not respond or is not a holder.
	askAgain = time.Second
)

// An estimate is the highest level that another VM's bucket can have.
type estimate struct {
	vm   string
	left Cost
}

// estimates returns estimates for the other holders of an account, highest
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

// estimatedLevel returns the highest level that another VM's bucket can have:
// the last known level plus the refill since. Only refunds could add more.
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

// otherHolders returns the number of slots of a shard held by each other VM,
// according to the last read of the store. Before the first read it returns the
// VMs to which the slots are assigned.
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

// capOf returns the cap of another VM's bucket.
func (s *State) topOf(a *account, id string) Cost {
	return burstOf(a.limits).Scale(s.layout.share(s.homes(a.shard)[id]))
}

// reachable returns the sum of the estimates for all other holders.
func (s *State) reachable(a *account, now time.Time) Cost {
	var sum Cost
	for _, e := range s.estimates(a, now) {
		sum = sum.Plus(e.left)
	}
	return sum
}
