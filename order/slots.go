package order

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/baobabdyke/baobabdyke/lease"
	"github.com/baobabdyke/baobabdyke/store"
)

// slotTTL is the time after which another VM may acquire the load slot of a VM
// that has ended without releasing it. It is longer than any load.
const slotTTL = 2*maxLifetime + loadGap

// slots limits the number of concurrent loads from the weight store over all VMs.
// Each load needs one slot, which is a lease in the object store.
type slots struct {
	self  lease.Holder
	store store.Store
	clock store.Clock

	mu       sync.Mutex
	trackers [loadSlots]lease.Tracker
	busy     [loadSlots]bool
}

// A slot is one load slot that this VM holds. acquiredAt is when its acquisition
// started.
type slot struct {
	index      int
	record     lease.Record
	acquiredAt time.Time
}

func newSlots(self lease.Holder, store store.Store, clock store.Clock) *slots {
	return &slots{self: self, store: store, clock: clock}
}

// acquire tries to acquire a slot.
func (s *slots) acquire(ctx context.Context) (slot, bool) {
	for n := range loadSlots {
		if !s.reserve(n) {
			continue
		}
		start := s.clock.Now()
		r := lease.Acquire(ctx, s.store, lease.Request{
			Name:       fmt.Sprintf("load/%d", n),
			Self:       s.self,
			TTL:        slotTTL,
			HolderGone: func(r lease.Record) bool { return s.hasExpired(n, r) },
		})
		if held, ok := r.(lease.Held); ok {
			return slot{index: n, record: held.Record, acquiredAt: start}, true
		}
		s.unreserve(n)
	}
	return slot{}, false
}

// release releases a slot.
func (s *slots) release(ctx context.Context, held slot) {
	lease.Release(ctx, s.store, "", held.record, nil)
	s.unreserve(held.index)
}

// reserve marks a slot as busy within this VM, and reports whether it was free.
// It is needed since a lease does not exclude other loads of the same VM.
func (s *slots) reserve(n int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.busy[n] {
		return false
	}
	s.busy[n] = true
	return true
}

func (s *slots) unreserve(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.busy[n] = false
}

func (s *slots) hasExpired(n int, r lease.Record) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.trackers[n].Expired(r, s.clock.Now())
}
