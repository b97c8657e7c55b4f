package source

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/baobabdyke/baobabdyke/peer"
	"github.com/baobabdyke/baobabdyke/store"
)

// TestConfirmationIsNotOptimistic guards against a VM that counts as up to date
// although a change that another VM knows, or an outage of that VM, is unknown to it.
func TestConfirmationIsNotOptimistic(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := peer.NewMemory()
		watcher, follower := New(Options{Decoder: decoder}), New(Options{Decoder: decoder, Peers: network.Node("f", "f")})
		watcher.Register(network.Node("w", "w"))
		to := peer.Destination{VM: "w", Address: "w"}
		config := store.Object{Key: "config/main", Version: 2, Value: []byte("1")}
		for _, s := range []*Source{watcher, follower} {
			s.applySnapshot(Config, []store.Object{config}, 2, time.Now())
		}
		ask := func() { follower.ask(t.Context(), to, time.Second) }

		time.Sleep(3 * time.Second)
		ask()
		must.Eq(t, 3*time.Second, follower.Age(Config), must.Sprint("the watcher's state is as old"))

		watcher.applyEvents(Config, 2, nil, 3, time.Now())
		time.Sleep(time.Second)
		ask()
		must.Eq(t, time.Second, follower.Age(Config), must.Sprint("a read without changes confirms both"))

		config.Version, config.Value = 4, []byte("2")
		watcher.applyEvents(Config, 3, []store.Event{{Object: config}}, 4, time.Now())
		time.Sleep(time.Second)
		ask()
		must.Eq(t, 2*time.Second, follower.Age(Config), must.Sprint("the change is not known"))

		must.NoError(t, follower.PullFrom(t.Context(), follower.opts.Peers, to, Config))
		must.Eq(t, 2, follower.View().Config.Version)
		must.Between(t, time.Second, follower.Age(Config), 1010*time.Millisecond)
	})
}

// TestSlowResponseConfirmsNoNewerState guards against a VM that counts a response which took
// seconds for the store's state at its arrival, and so a change that it hasn't heard of for
// none.
func TestSlowResponseConfirmsNoNewerState(t *testing.T) {
	for _, delay := range []time.Duration{0, 300 * time.Millisecond, 3 * time.Second} {
		t.Run(delay.String(), func(t *testing.T) {
			lowest := maxAge
			runSource(t, func(f *feed, s *Source) {
				f.put("config/main", "5")
				f.put("targets/a", "1")
				<-s.Ready()
				f.set(func() { f.delay = delay })
				time.Sleep(20 * time.Second)
				for range 100 {
					time.Sleep(70 * time.Millisecond)
					lowest = min(lowest, s.Age(Config))
				}
			})
			must.GreaterEq(t, delay, lowest)
		})
	}
}

// TestGraceBeginsWithConfirmation guards against a target that is used for too long
// after its removal, because the VM takes its first read of the store for the end of
// an outage that ended before, when another VM confirmed its state.
func TestGraceBeginsWithConfirmation(t *testing.T) {
	for after, kept := range map[time.Duration]int{recoveryGrace / 2: 1, recoveryGrace: 0} {
		synctest.Test(t, func(t *testing.T) {
			network := peer.NewMemory()
			watcher, follower := New(Options{Decoder: decoder}), New(Options{Decoder: decoder, Peers: network.Node("f", "f")})
			watcher.Register(network.Node("w", "w"))
			target := store.Object{Key: "targets/a", Version: 2, Value: []byte("1")}
			for _, s := range []*Source{watcher, follower} {
				s.applySnapshot(Config, []store.Object{{Key: "config/main", Version: 1, Value: []byte("1")}}, 2, time.Now())
				s.applySnapshot(Targets, []store.Object{target}, 2, time.Now())
			}
			follower.markFailed(Targets, time.Now())
			time.Sleep(2 * time.Second)
			watcher.applyEvents(Targets, 2, nil, 2, time.Now())
			follower.ask(t.Context(), peer.Destination{VM: "w", Address: "w"}, time.Second)

			time.Sleep(after)
			target.Version = 3
			follower.applyEvents(Targets, 2, []store.Event{{Object: target, Deleted: true}}, 3, time.Now())
			must.MapLen(t, kept, follower.View().Targets)
		})
	}
}
