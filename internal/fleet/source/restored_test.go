package source

import (
	"context"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/baobabdyke/baobabdyke/internal/fleet/site"
	"github.com/baobabdyke/baobabdyke/peer"
	"github.com/baobabdyke/baobabdyke/store"
)

// restore removes or adds objects without a trace in the history, as a store that
// comes back from an older copy does, and starts the next era. Values of "" remove.
func (f *feed) restore(objects map[string]string) {
	f.set(func() {
		f.at = store.VersionIn(store.Era(f.at)+1, 1)
		f.history, f.floor = nil, f.at
		for key, value := range objects {
			if value == "" {
				delete(f.objects, key)
				continue
			}
			f.objects[key] = store.Object{Key: key, Version: f.at, Value: []byte(value)}
		}
		for key, o := range f.objects {
			o.Version = f.at
			f.objects[key] = o
		}
	})
}

// leavingTarget decodes the time of a target's start, followed by "-" if it leaves.
func leavingTarget(id string, spec []byte) (*site.Target, error) {
	text, leaving := strings.CutSuffix(string(spec), "-")
	born, err := strconv.ParseInt(text, 10, 64)
	return &site.Target{ID: id, Born: born, Leaving: leaving}, err
}

// TestLeavingTargetInRestoredStore guards against requests to a target that has
// announced its end, because a restored store shows its entry from before.
func TestLeavingTargetInRestoredStore(t *testing.T) {
	d := decoder
	d.Target = leavingTarget
	runSourceWith(t, d, func(f *feed, s *Source) {
		f.put("config/main", "5")
		f.put("targets/a", "1-")
		f.put("targets/b", "1-")
		f.put("targets/c", "1")
		<-s.Ready()
		time.Sleep(time.Second)
		f.remove("targets/b")
		time.Sleep(time.Second)
		must.MapNotContainsKey(t, s.View().Targets, "b")

		f.restore(map[string]string{"targets/a": "1", "targets/b": "1"})
		time.Sleep(3 * time.Second)
		targets := s.View().Targets
		must.True(t, targets["a"].Leaving)
		must.True(t, targets["b"].Leaving)
		must.False(t, targets["c"].Leaving)

		f.put("targets/a", "2")
		f.put("targets/b", "2")
		time.Sleep(time.Second)
		targets = s.View().Targets
		must.False(t, targets["a"].Leaving, must.Sprint("a later start of the target"))
		must.False(t, targets["b"].Leaving)
	})
}

// TestTargetsAreKeptAfterRestoreWithoutOutage guards against targets that are dropped
// because a restored store lacks their entries until they have written them again,
// when no read had failed.
func TestTargetsAreKeptAfterRestoreWithoutOutage(t *testing.T) {
	runSource(t, func(f *feed, s *Source) {
		f.put("config/main", "5")
		f.put("targets/a", "1")
		f.put("targets/b", "1")
		<-s.Ready()
		time.Sleep(time.Second)
		f.restore(map[string]string{"targets/a": "", "targets/b": ""})
		time.Sleep(recoveryGrace - 100*time.Millisecond)
		must.MapLen(t, 2, s.View().Targets)
		f.put("targets/a", "1")
		time.Sleep(recoveryGrace)
		must.MapContainsKey(t, s.View().Targets, "a")
		must.MapNotContainsKey(t, s.View().Targets, "b")
	})
}

// TestPulledStateAfterRestore guards against targets that are kept for longer than
// the VM allows that has read the restored store, because another pulls from it late.
func TestPulledStateAfterRestore(t *testing.T) {
	runSource(t, func(f *feed, s *Source) {
		f.put("config/main", "5")
		f.put("targets/a", "1")
		<-s.Ready()
		time.Sleep(time.Second)
		network := peer.NewMemory()
		s.Register(network.Node("s", "s:1"))
		caller, to := network.Node("p", "p:1"), peer.Destination{VM: "s", Address: "s:1"}
		early, late := New(Options{Decoder: decoder}), New(Options{Decoder: decoder})
		pull := func(by *Source) int {
			for _, kind := range []int{Config, Targets} {
				must.NoError(t, by.PullFrom(context.Background(), caller, to, kind))
			}
			return len(by.View().Targets)
		}
		must.Eq(t, 1, pull(early))
		must.Eq(t, 1, pull(late))
		f.restore(map[string]string{"targets/a": ""})
		time.Sleep(time.Second)
		must.Eq(t, 1, pull(early))
		time.Sleep(recoveryGrace)
		must.Eq(t, 0, pull(late))
	})
}

// TestLateSnapshotIsIgnored guards against a snapshot that arrives after a later state
// was pulled from another VM and takes its place.
func TestLateSnapshotIsIgnored(t *testing.T) {
	s := New(Options{Decoder: decoder})
	target := func(id string, version int64) store.Object {
		return store.Object{Key: "targets/" + id, Version: version, Value: []byte("1")}
	}
	earlier, later := store.VersionIn(0, 9), store.VersionIn(1, 3)
	s.applySnapshot(Config, []store.Object{{Key: "config/main", Version: 1, Value: []byte("1")}}, later, time.Now())
	s.applySnapshot(Targets, []store.Object{target("a", later)}, later, time.Now())
	s.applySnapshot(Targets, []store.Object{target("b", earlier)}, earlier, time.Now())
	must.MapContainsKey(t, s.View().Targets, "a")
	must.MapNotContainsKey(t, s.View().Targets, "b")
	must.Eq(t, later, s.Positions()[Targets].At)
}

// TestRepeatedLossOfHistoryBacksOff guards against reads without a pause of a store
// that loses its history again at once.
func TestRepeatedLossOfHistoryBacksOff(t *testing.T) {
	runSource(t, func(f *feed, s *Source) {
		f.put("config/main", "5")
		<-s.Ready()
		f.set(func() { f.latency, f.floor = time.Millisecond, store.VersionIn(9, 0) })
		time.Sleep(5 * time.Second)
		f.set(func() { f.calls = 0 })
		time.Sleep(10 * time.Second)
		calls := 0
		f.set(func() { calls = f.calls })
		// A snapshot and its changes for each kind and shortest pause.
		must.LessEq(t, 2*int(kinds)*int(10*time.Second/(maxRetryDelay/2)), calls)

		f.set(func() { f.floor = 0 })
		time.Sleep(2 * maxRetryDelay)
		f.put("config/main", "6")
		time.Sleep(2 * maxRetryDelay)
		must.Eq(t, 6, s.View().Config.Version)
	})
}

// TestReplacedEntryOfLeavingTarget guards against requests to a target that has announced
// its end, because a restored store shows it after its entry was replaced by that of
// another writer or of its next start.
func TestReplacedEntryOfLeavingTarget(t *testing.T) {
	for _, replacement := range []string{"odd", "2"} {
		d := decoder
		d.Target = leavingTarget
		runSourceWith(t, d, func(f *feed, s *Source) {
			f.put("config/main", "5")
			f.put("targets/a", "1-")
			<-s.Ready()
			time.Sleep(time.Second)
			f.put("targets/a", replacement)
			time.Sleep(time.Second)
			f.restore(map[string]string{"targets/a": "1"})
			time.Sleep(time.Second)
			a := s.View().Targets["a"]
			f.put("targets/a", "2")
			time.Sleep(time.Second)
			must.True(t, a.Leaving, must.Sprint(replacement))
			must.False(t, s.View().Targets["a"].Leaving)
		})
	}
}

// TestLastRestore guards against a restore that counts as older than it is, because each
// kind and each pull shows it again.
func TestLastRestore(t *testing.T) {
	runSource(t, func(f *feed, s *Source) {
		f.put("config/main", "5")
		f.put("targets/a", "1")
		<-s.Ready()
		version, _ := s.LastRestore()
		must.Zero(t, version)
		for era := int64(1); era <= 2; era++ {
			f.restore(nil)
			time.Sleep(5 * time.Second)
			version, age := s.LastRestore()
			must.Eq(t, store.VersionIn(era, 1), version)
			must.Between(t, 4900*time.Millisecond, age, 5*time.Second)
		}
	})
}
