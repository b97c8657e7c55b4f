package order

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/baobabdyke/baobabdyke/lease"
	"github.com/baobabdyke/baobabdyke/store"
)

// slotLength is the time after which the load slot of a VM that has gone may be
// taken. It is longer than any load.
const slotLength = 2*maxLifetime + loadGap

// slots are the rights to read the weight store, shared by all VMs: a load runs
// only under one of them.
type slots struct {
	self  lease.Holder
	store store.Store
	clock store.Clock

	mu      sync.Mutex
	watches [loadSlots]lease.Tracker
	busy    [loadSlots]bool
}

// A slot is a right to one load, taken at a time.
type slot struct {
	n      int
	record lease.Record
	taken  time.Time
}

func newSlots(self lease.Holder, store store.Store, clock store.Clock) *slots {
	return &slots{self: self, store: store, clock: clock}
}

// take tries to get a slot.
func (s *slots) take(ctx context.Context) (slot, bool) {
	for n := range loadSlots {
		if !s.reserve(n) {
			continue
		}
		asked := s.clock.Now()
		r := lease.Acquire(ctx, s.store, lease.Request{
			Name:       fmt.Sprintf("load/%d", n),
			Self:       s.self,
			TTL:        slotLength,
			HolderGone: func(r lease.Record) bool { return s.lapsed(n, r) },
		})
		if held, ok := r.(lease.Held); ok {
			return slot{n: n, record: held.Record, taken: asked}, true
		}
		s.free(n)
	}
	return slot{}, false
}

// give hands a slot back.
func (s *slots) give(ctx context.Context, k slot) {
	lease.Release(ctx, s.store, "", k.record, nil)
	s.free(k.n)
}

// reserve keeps the loads of this VM apart, since the store knows only the VM.
func (s *slots) reserve(n int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.busy[n] {
		return false
	}
	s.busy[n] = true
	return true
}

func (s *slots) free(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.busy[n] = false
}

func (s *slots) lapsed(n int, r lease.Record) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.watches[n].Expired(r, s.clock.Now())
}
