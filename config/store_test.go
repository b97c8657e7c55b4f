package config

import (
	"context"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/baobabdyke/baobabdyke/store"
)

// A faulty is a store that can be down, slow, or lose answers.
type faulty struct {
	*store.Memory
	mu     sync.Mutex
	down   bool
	slow   time.Duration
	lose   string // keys with this prefix lose the answer of their next Put
	silent bool   // watches send nothing
	hide   string // the VM with this id gets no answer

	hideFrom map[string]bool // nor do these
	budget   int             // calls before the store refuses for a second

	downAfterLoss bool
	chance        *rand.Rand // draws faults of Put
	away          time.Time  // down until then
	reads         int
	writes        int
}

func (f *faulty) set(change func(*faulty)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(f)
}

// delay waits like a slow store and tells whether it is down.
func (f *faulty) delay(ctx context.Context, count *int) error {
	f.mu.Lock()
	*count++
	if f.budget > 0 && *count%f.budget == 0 {
		f.away = time.Now().Add(time.Second)
	}
	down, slow := f.down || time.Now().Before(f.away), f.slow
	f.mu.Unlock()
	if down {
		return store.ErrUnavailable
	}
	store.Sleep(ctx, slow)
	return ctx.Err()
}

func (f *faulty) Get(ctx context.Context, key string) (store.Object, error) {
	if err := f.delay(ctx, &f.reads); err != nil {
		return store.Object{}, err
	}
	return f.Memory.Get(ctx, key)
}

func (f *faulty) Put(ctx context.Context, key string, value []byte, expect int64) store.WriteResult {
	if err := f.delay(ctx, &f.writes); err != nil {
		return store.NotSent{Err: err}
	}
	var before, after bool
	if key == headKey {
		before, after = f.luck()
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
	if f.lose != "" && strings.HasPrefix(key, f.lose) {
		f.lose = ""
		f.down = f.down || f.downAfterLoss
		return store.Unknown{Err: store.ErrUnavailable}
	}
	return result
}

func (f *faulty) Watch(ctx context.Context, prefix string, after int64) (<-chan store.Event, error) {
	if err := f.delay(ctx, &f.reads); err != nil {
		return nil, err
	}
	return f.Memory.Watch(ctx, prefix, after)
}

// A client is the store as one VM reaches it.
type client struct {
	*faulty
	id string
}

func (s *client) hidden() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.hide == s.id || s.hideFrom[s.id]
}

func (s *client) quiet() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.silent || s.hide == s.id || s.hideFrom[s.id]
}

func (s *client) Get(ctx context.Context, key string) (store.Object, error) {
	if s.hidden() {
		store.Sleep(ctx, 100*time.Millisecond)
		return store.Object{}, store.ErrUnavailable
	}
	return s.faulty.Get(ctx, key)
}

func (s *client) Watch(ctx context.Context, prefix string, after int64) (<-chan store.Event, error) {
	from, err := s.faulty.Watch(ctx, prefix, after)
	if err != nil {
		return nil, err
	}
	to := make(chan store.Event)
	go func() {
		defer close(to)
		for e := range from {
			if s.quiet() {
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

// luck returns the fault of one Put: lost before it took effect, after it, or
// none. A store that loses an answer may be away for a while after it.
func (f *faulty) luck() (before, after bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.chance == nil {
		return false, false
	}
	n := f.chance.IntN(10)
	if n < 2 {
		f.away = time.Now().Add(time.Second)
	}
	return n == 0, n == 1 || n == 2
}
