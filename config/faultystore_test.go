package config

import (
	"context"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/baobabdyke/baobabdyke/store"
)

// A faultyStore is a store that can be unavailable or slow, or lose responses.
type faultyStore struct {
	*store.Memory
	mu            sync.Mutex
	down          bool
	latency       time.Duration
	losePrefix    string // the next Put of a key with this prefix loses its response
	watchesSilent bool   // watches deliver no events
	hiddenVM      string // the VM with this id gets no objects and no events

	hiddenVMs  map[string]bool // further VMs that get no objects and no events
	callBudget int             // every so many calls, the store is unavailable for 1 s

	downAfterLoss bool
	rng           *rand.Rand // draws the faults of Put; nil for none
	downUntil     time.Time  // the store is unavailable until then
	reads         int
	writes        int
}

func (f *faultyStore) configure(change func(*faultyStore)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(f)
}

// simulateCall counts a call and waits for the latency of the store. It
// returns an error if the store is unavailable.
func (f *faultyStore) simulateCall(ctx context.Context, count *int) error {
	f.mu.Lock()
	*count++
	if f.callBudget > 0 && *count%f.callBudget == 0 {
		f.downUntil = time.Now().Add(time.Second)
	}
	down, slow := f.down || time.Now().Before(f.downUntil), f.latency
	f.mu.Unlock()
	if down {
		return store.ErrUnavailable
	}
	store.Sleep(ctx, slow)
	return ctx.Err()
}

func (f *faultyStore) Get(ctx context.Context, key string) (store.Object, error) {
	if err := f.simulateCall(ctx, &f.reads); err != nil {
		return store.Object{}, err
	}
	return f.Memory.Get(ctx, key)
}

func (f *faultyStore) Put(ctx context.Context, key string, value []byte, expect int64) store.WriteResult {
	if err := f.simulateCall(ctx, &f.writes); err != nil {
		return store.NotSent{Err: err}
	}
	var before, after bool
	if key == headKey {
		before, after = f.drawFault()
	}
	if before {
		return store.Unknown{Err: store.ErrUnavailable}
	}
	result := f.Memory.Put(ctx, key, value, expect)
	if after {
		return store.Unknown{Err: store.ErrUnavailable}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.losePrefix != "" && strings.HasPrefix(key, f.losePrefix) {
		f.losePrefix = ""
		f.down = f.down || f.downAfterLoss
		return store.Unknown{Err: store.ErrUnavailable}
	}
	return result
}

func (f *faultyStore) Watch(ctx context.Context, prefix string, after int64) (<-chan store.Event, error) {
	if err := f.simulateCall(ctx, &f.reads); err != nil {
		return nil, err
	}
	return f.Memory.Watch(ctx, prefix, after)
}

// A vmStore is the store as accessed by one VM.
type vmStore struct {
	*faultyStore
	id string
}

func (s *vmStore) isHidden() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.hiddenVM == s.id || s.hiddenVMs[s.id]
}

func (s *vmStore) isSilent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.watchesSilent || s.hiddenVM == s.id || s.hiddenVMs[s.id]
}

func (s *vmStore) Get(ctx context.Context, key string) (store.Object, error) {
	if s.isHidden() {
		store.Sleep(ctx, 100*time.Millisecond)
		return store.Object{}, store.ErrUnavailable
	}
	return s.faultyStore.Get(ctx, key)
}

func (s *vmStore) Watch(ctx context.Context, prefix string, after int64) (<-chan store.Event, error) {
	from, err := s.faultyStore.Watch(ctx, prefix, after)
	if err != nil {
		return nil, err
	}
	to := make(chan store.Event)
	go func() {
		defer close(to)
		for e := range from {
			if s.isSilent() {
				continue
			}
			select {
			case to <- e:
			case <-ctx.Done():
				return
			}
		}
	}()
	return to, nil
}

// drawFault returns the fault of one Put: the request is lost before the write
// takes effect, or the response is lost after it, or there is no fault. After
// some faults the store is unavailable for a second.
func (f *faultyStore) drawFault() (before, after bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.rng == nil {
		return false, false
	}
	n := f.rng.IntN(10)
	if n < 2 {
		f.downUntil = time.Now().Add(time.Second)
	}
	return n == 0, n == 1 || n == 2
}
