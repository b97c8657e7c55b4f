package source

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/shoenig/test/must"

	"github.com/baobabdyke/baobabdyke/peer"
	"github.com/baobabdyke/baobabdyke/store"
)

// drainBound is the time after its removal until which a target may be sent requests.
const drainBound = 2 * time.Second

// runBounded is runSource with drainBound.
func runBounded(t *testing.T, script func(t *testing.T, f *feed, s *Source)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := newFeed()
		s := New(Options{Feed: f, Decoder: decoder, Log: log.NewNopLogger(), Bounds: func() Bounds {
			return Bounds{Config: drainBound, Targets: drainBound}
		}})
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		done := make(chan error, 1)
		go func() { done <- s.Run(ctx) }()
		f.put("config/main", "5")
		f.put("targets/a", "1")
		f.put("targets/b", "1")
		<-s.Ready()
		time.Sleep(5 * time.Second)
		script(t, f, s)
		cancel()
		must.NoError(t, <-done)
	})
}

// TestCutReadsDelayRemoval guards against a target that stays in use after its removal
// because the store cuts off the reads that wait for changes, or single reads fail.
func TestCutReadsDelayRemoval(t *testing.T) {
	for _, c := range []struct {
		name string
		// fail has calls fail once, with a pause to the next time.
		fail   func(f *feed)
		pauses []time.Duration
	}{
		{
			"waiting reads are cut off",
			func(f *feed) { f.set(func() { f.cuts++ }) },
			[]time.Duration{10 * time.Millisecond, 90 * time.Millisecond, 450 * time.Millisecond, 1400 * time.Millisecond},
		},
		{
			"reads fail for a moment",
			func(f *feed) {
				f.set(func() { f.down = store.ErrUnavailable })
				time.Sleep(200 * time.Millisecond)
				f.set(func() { f.down = nil })
			},
			[]time.Duration{450 * time.Millisecond, 1400 * time.Millisecond},
		},
	} {
		for _, pause := range c.pauses {
			t.Run(fmt.Sprintf("%s each %s", c.name, pause), func(t *testing.T) {
				runBounded(t, func(t *testing.T, f *feed, s *Source) {
					for range 20 {
						c.fail(f)
						time.Sleep(pause)
					}
					c.fail(f)
					f.remove("targets/a")
					for start := time.Now(); time.Since(start) < drainBound; {
						time.Sleep(pause)
						c.fail(f)
					}
					must.MapNotContainsKey(t, s.View().Targets, "a")
					must.MapContainsKey(t, s.View().Targets, "b")
				})
			})
		}
	}
}

// TestCutOffVMDelaysRemoval guards against a target that stays in use after its removal
// because another VM was cut off from the store, whose entries could not expire.
func TestCutOffVMDelaysRemoval(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := peer.NewMemory()
		options := Options{Decoder: decoder, Bounds: func() Bounds { return Bounds{Config: drainBound, Targets: drainBound} }}
		cutOff, sound := New(options), New(options)
		cutOff.Register(network.Node("c", "c:1"))
		target := store.Object{Key: "targets/a", Version: 2, Value: []byte("1")}
		for _, s := range []*Source{cutOff, sound} {
			s.applySnapshot(Config, []store.Object{{Key: "config/main", Version: 1, Value: []byte("1")}}, 2, time.Now())
			s.applySnapshot(Targets, []store.Object{target}, 2, time.Now())
		}
		cutOff.markFailed(Targets, time.Now())
		for range 20 {
			time.Sleep(250 * time.Millisecond)
			sound.applyEvents(Targets, 2, nil, 2, time.Now())
		}
		target.Version = 3
		cutOff.applyEvents(Targets, 2, []store.Event{{Object: target, Deleted: true}}, 3, time.Now())
		must.NoError(t, sound.PullFrom(t.Context(), network.Node("s", "s:1"), peer.Destination{VM: "c", Address: "c:1"}, Targets))
		must.MapLen(t, 0, sound.View().Targets)
	})
}

// TestFailedReadsOfOneVMDelayRemoval guards against a target that stays in use after its
// removal because the reads of this VM fail while another one confirms its state.
func TestFailedReadsOfOneVMDelayRemoval(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(Options{Decoder: decoder})
		target := store.Object{Key: "targets/a", Version: 2, Value: []byte("1")}
		s.applySnapshot(Targets, []store.Object{target}, 2, time.Now())
		since := time.Now()
		for range 10 {
			time.Sleep(250 * time.Millisecond)
			// What another VM knew a moment ago, and then what it knows.
			s.confirm(s.tables[Targets], time.Now().Add(-100*time.Millisecond))
			s.markFailed(Targets, since)
		}
		time.Sleep(100 * time.Millisecond)
		s.confirm(s.tables[Targets], time.Now())
		target.Version = 3
		s.applyEvents(Targets, 2, []store.Event{{Object: target, Deleted: true}}, 3, time.Now())
		must.MapLen(t, 0, s.View().Targets)
	})
}

// TestExpiredEntriesAreKept guards against targets that are dropped because their entries
// expired in an outage of the store, as a VM sees it that reads the store or pulls from one.
func TestExpiredEntriesAreKept(t *testing.T) {
	for _, outage := range []time.Duration{1500 * time.Millisecond, 3 * time.Second, 10 * time.Second} {
		for name, begin := range map[string]func(f *feed){
			"refusing": func(f *feed) { f.down = errors.New("turned away") },
			"silent":   func(f *feed) { f.silent = true },
			"cutting":  func(f *feed) { f.cuts, f.down = f.cuts+1, store.ErrUnavailable },
		} {
			t.Run(fmt.Sprintf("%s for %s", name, outage), func(t *testing.T) {
				runBounded(t, func(t *testing.T, f *feed, s *Source) {
					network := peer.NewMemory()
					s.Register(network.Node("s", "s:1"))
					caller, to := network.Node("p", "p:1"), peer.Destination{VM: "s", Address: "s:1"}
					follower := New(Options{Decoder: decoder, Peers: caller})
					pull := func() {
						for _, kind := range []int{Config, Targets} {
							must.NoError(t, follower.PullFrom(context.Background(), caller, to, kind))
						}
					}
					pull()
					f.set(func() { begin(f) })
					time.Sleep(outage)
					f.remove("targets/a")
					f.set(func() { f.down, f.silent = nil, false })
					for end := time.Now().Add(recoveryGrace - expireInterval); time.Now().Before(end); {
						time.Sleep(100 * time.Millisecond)
						follower.ask(t.Context(), to, time.Second)
						pull()
						must.MapLen(t, 2, s.View().Targets)
						must.MapLen(t, 2, follower.View().Targets)
					}
					f.put("targets/a", "1")
					time.Sleep(recoveryGrace)
					must.MapLen(t, 2, s.View().Targets)
				})
			})
		}
	}
}
