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

// A fakeFeed is a feed that fails while down is set, and whose engine states notice.
type fakeFeed struct {
	mu     sync.Mutex
	down   bool
	reads  int
	notice site.Notice
}

func (f *fakeFeed) Events(ctx context.Context, _, _ string, after int64, wait time.Duration) (Batch, int64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return Batch{}, 0, errors.New("down")
	}
	f.reads++
	return Batch{Epoch: 1, Changes: []Change{{Stored: true, Key: Key(after)}}, Notice: f.notice}, after + 1, nil
}

// readerOptions returns the options of a reader of engines that state nothing.
func readerOptions(f Feed, x *Index, view func() *source.View) Options {
	return Options{
		Feed: f, Index: x, View: view, Log: log.NewNopLogger(),
		Leaving:   func(site.Incarnation) bool { return false },
		PauseLeft: func(site.Incarnation) time.Duration { return 0 },
		OnNotice:  func(site.Incarnation, site.Notice) {},
	}
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
			done <- NewReader(readerOptions(feed, x, view.Load)).Run(ctx)
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

// TestFeedOfLeavingEngineIsRead guards against reading the feed of an engine that has
// stated in its feed that it leaves.
func TestFeedOfLeavingEngineIsRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		view := &source.View{
			Config:  &site.Config{Services: map[string]*site.Service{"llm": {Engine: &site.Engine{}}}},
			Targets: map[string]*site.Target{"i": {ID: "i", Service: "llm", Born: 5}},
		}
		feed := &fakeFeed{notice: site.Notice{Leaving: true}}
		var left atomic.Pointer[site.Incarnation]
		o := readerOptions(feed, NewIndex(), func() *source.View { return view })
		o.OnNotice = func(engine site.Incarnation, n site.Notice) {
			if n.Leaving {
				left.Store(&engine)
			}
		}
		o.Leaving = func(engine site.Incarnation) bool { return left.Load() != nil && engine == *left.Load() }
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error)
		go func() { done <- NewReader(o).Run(ctx) }()
		reads := func() int {
			feed.mu.Lock()
			defer feed.mu.Unlock()
			return feed.reads
		}
		time.Sleep(3 * refreshPeriod)
		must.Eq(t, &site.Incarnation{ID: "i", Born: 5}, left.Load())
		before := reads()
		time.Sleep(10 * time.Second)
		must.Eq(t, before, reads())
		cancel()
		must.NoError(t, <-done)
	})
}

// TestFeedOfPausedEngineIsRead guards against reading the feed of an engine that has
// asked for a pause.
func TestFeedOfPausedEngineIsRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		view := &source.View{
			Config:  &site.Config{Services: map[string]*site.Service{"llm": {Engine: &site.Engine{}}}},
			Targets: map[string]*site.Target{"i": {ID: "i", Service: "llm"}},
		}
		feed := &fakeFeed{}
		until := time.Now().Add(5 * time.Second)
		o := readerOptions(feed, NewIndex(), func() *source.View { return view })
		o.PauseLeft = func(site.Incarnation) time.Duration { return time.Until(until) }
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error)
		go func() { done <- NewReader(o).Run(ctx) }()
		reads := func() int {
			feed.mu.Lock()
			defer feed.mu.Unlock()
			return feed.reads
		}
		time.Sleep(5*time.Second - 1)
		must.Zero(t, reads())
		time.Sleep(time.Second)
		must.Positive(t, reads())
		cancel()
		must.NoError(t, <-done)
	})
}
