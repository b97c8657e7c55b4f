package limit

import (
	"cmp"
	"slices"
	"time"
)

const (
	// remoteLevelTTL is the age at which a remote level is no longer used, since
	// refunds may have been made in the meantime.
	remoteLevelTTL = time.Second
	// retryPause is the time for which no transfers are requested from a VM that
	// did not respond or is not a holder.
	retryPause = time.Second
)

// An estimate is the highest level that another VM's bucket can have.
type estimate struct {
	vm    string
	level Cost
}

// estimates returns estimates for the other holders of an account, highest
// first.
func (s *State) estimates(a *account, now time.Time) []estimate {
	var list []estimate
	for id := range s.otherHolders(a.shard) {
		if level := s.estimatedLevel(a, id, now); !level.IsZero() {
			list = append(list, estimate{vm: id, level: level})
		}
	}
	weight := func(e estimate) float64 {
		return e.level.Tokens/max(a.limits.TokenBurst, 1) + e.level.Requests/max(a.limits.RequestBurst, 1)
	}
	slices.SortFunc(list, func(x, y estimate) int {
		return cmp.Or(cmp.Compare(weight(y), weight(x)), cmp.Compare(x.vm, y.vm))
	})
	return list
}

// estimatedLevel returns the highest level that another VM's bucket can have:
// the last known level plus the refill since. Only refunds could add more.
func (s *State) estimatedLevel(a *account, id string, now time.Time) Cost {
	share := s.layout.share(s.otherHolders(a.shard)[id])
	limit := s.capOf(a, id)
	remote, known := a.remote[id]
	switch {
	case known && now.Before(remote.retryAt):
		return Cost{}
	case !known || now.Sub(remote.at) > remoteLevelTTL:
		return limit
	}
	return remote.level.Plus(rateOf(a.limits).Scale(share * now.Sub(remote.at).Seconds())).Min(limit)
}

// otherHolders returns the number of slots of a shard held by each other VM,
// according to the last read of the store. Before the first read it returns the
// VMs to which the slots are assigned.
func (s *State) otherHolders(sh *shard) map[string]int {
	if sh.otherHolders != nil {
		return sh.otherHolders
	}
	sh.otherHolders = map[string]int{}
	if sh.listedAt.IsZero() {
		preferred := s.layout.preferredHolders(sh.id, s.candidates)
		for rank, c := range preferred {
			sh.otherHolders[c.id] = s.layout.assignedSlots(rank, len(preferred))
		}
	}
	for _, sl := range sh.slots {
		if holder := sl.record.Lease.Holder; sl.known && holder != "" {
			sh.otherHolders[holder]++
		}
	}
	delete(sh.otherHolders, s.self.ID)
	return sh.otherHolders
}

// capOf returns the cap of another VM's bucket.
func (s *State) capOf(a *account, id string) Cost {
	return burstOf(a.limits).Scale(s.layout.share(s.otherHolders(a.shard)[id]))
}

// reachable returns the sum of the estimates for all other holders.
func (s *State) reachable(a *account, now time.Time) Cost {
	var sum Cost
	for _, e := range s.estimates(a, now) {
		sum = sum.Plus(e.level)
	}
	return sum
}
