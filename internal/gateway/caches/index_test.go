package caches

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/shoenig/test/must"

	"github.com/baobabdyke/baobabdyke/internal/fleet/site"
	"github.com/baobabdyke/baobabdyke/internal/fleet/source"
)

func TestIndex(t *testing.T) {
	now := time.Unix(1000, 0)
	k := KeyOf("salt", "part")
	holds := func(x *Index, at time.Time) [2]bool {
		held, known := x.Holds("i", k, at)
		return [2]bool{held, known}
	}
	stored := Batch{Epoch: 1, Changes: []Change{{Stored: true, Key: k}}}
	for name, c := range map[string]struct {
		batches []Batch
		after   time.Duration
		want    [2]bool
	}{
		"nothing is known":               {nil, 0, [2]bool{false, false}},
		"stored":                         {[]Batch{stored}, 0, [2]bool{true, true}},
		"removed":                        {[]Batch{stored, {Epoch: 1, Changes: []Change{{Key: k}}}}, 0, [2]bool{false, true}},
		"empty after a restart":          {[]Batch{stored, {Epoch: 2}}, 0, [2]bool{false, true}},
		"empty after a gap":              {[]Batch{stored, {Epoch: 1, Gap: true}}, 0, [2]bool{false, true}},
		"unknown after a silent feed":    {[]Batch{stored}, feedTTL + 1, [2]bool{false, false}},
		"salts separate segments":        {[]Batch{{Epoch: 1, Changes: []Change{{Stored: true, Key: KeyOf("other", "part")}}}}, 0, [2]bool{false, true}},
		"an empty batch changes nothing": {[]Batch{stored, {Epoch: 1}}, 0, [2]bool{true, true}},
	} {
		t.Run(name, func(t *testing.T) {
			x := NewIndex()
			for _, b := range c.batches {
				x.Apply("i", b, now)
			}
			must.Eq(t, c.want, holds(x, now.Add(c.after)))
		})
	}
}

// A fakeFeed is a feed that fails while down is set.
type fakeFeed struct {
	mu    sync.Mutex
	down  bool
	reads int
}

func (f *fakeFeed) Events(ctx context.Context, _, _ string, after int64, wait time.Duration) (Batch, int64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return Batch{}, 0, errors.New("down")
	}
	f.reads++
	return Batch{Epoch: 1, Changes: []Change{{Stored: true, Key: Key(after)}}}, after + 1, nil
}

func TestReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cfg := &site.Config{Services: map[string]*site.Service{"llm": {Engine: &site.Engine{}}}}
		var view atomic.Pointer[source.View]
		view.Store(&source.View{
			Config:  cfg,
			Targets: map[string]*site.Target{"i": {ID: "i", Service: "llm"}, "app": {ID: "app", Service: "app"}},
		})
		x, feed := NewIndex(), &fakeFeed{}
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error)
		go func() {
			done <- NewReader(feed, x, view.Load, log.NewNopLogger()).Run(ctx)
		}()
		time.Sleep(2 * time.Second)
		must.Greater(t, 3, x.Size("i"))
		must.Eq(t, 0, x.Size("app"))
		feed.mu.Lock()
		feed.down = true
		feed.mu.Unlock()
		time.Sleep(feedTTL + time.Second)
		_, known := x.Holds("i", 1, time.Now())
		must.False(t, known)
		view.Store(&source.View{Config: cfg})
		time.Sleep(2 * refreshPeriod)
		must.Eq(t, 0, x.Size("i"))
		cancel()
		must.NoError(t, <-done)
	})
}
