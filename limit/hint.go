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
	for id := range a.shard.homes(s.self.ID) {
		if left := s.believed(a, id, now); !left.Zero() {
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
	share := s.layout.share(a.shard.homes(s.self.ID)[id])
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

// topOf returns what another VM holds at most when its bucket is full.
func (s *State) topOf(a *account, id string) Cost {
	return burstOf(a.limits).Scale(s.layout.share(a.shard.homes(s.self.ID)[id]))
}

// reachable returns what all other homes together hold at most.
func (s *State) reachable(a *account, now time.Time) Cost {
	var sum Cost
	for _, e := range s.estimates(a, now) {
		sum = sum.Plus(e.left)
	}
	return sum
}
