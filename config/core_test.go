package config

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/baobabdyke/baobabdyke/vm"
)

var epoch = time.Unix(1000, 0)

func TestFreshness(t *testing.T) {
	recent := freshnessState{version: 3, confirmed: epoch}
	lagging := freshnessState{version: 3, confirmed: epoch, lagging: true, laggingSince: epoch, lastFresh: epoch.Add(time.Second)}
	resumed := freshnessState{version: 3, confirmed: epoch, lagging: true, laggingSince: epoch.Add(time.Minute), lastFresh: epoch}
	unconfirmed := freshnessState{version: 3}
	cases := []struct {
		name            string
		s               freshnessState
		reached, listed int
		after           time.Duration
		want            bool
	}{
		{"recently confirmed, no VM reachable", recent, 1, 9, maxConfirmationAge, true},
		{"confirmation too old, no VM reachable", recent, 1, 9, maxConfirmationAge + 1, false},
		{"confirmation too old, half reachable", recent, 5, 10, time.Hour, true},
		{"confirmation too old, fewer than half reachable", recent, 4, 9, time.Hour, false},
		{"confirmation too old, one of two VMs", recent, 1, 2, time.Hour, false},
		{"the only VM", recent, 1, 1, time.Hour, true},
		{"never confirmed, no VM reachable", unconfirmed, 1, 9, 0, false},
		{"never confirmed, all reachable", unconfirmed, 9, 9, 0, true},
		{"newer version learnt after a pause", resumed, 9, 9, time.Minute, false},
		{"newer version known", lagging, 9, 9, maxLagDuration, true},
		{"newer version missing for too long", lagging, 9, 9, maxLagDuration + 1, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			must.Eq(t, tc.want, tc.s.isFresh(tc.reached, tc.listed, epoch.Add(tc.after)))
		})
	}
}

// snapshotAt returns a snapshot with the version.
func snapshotAt(t *testing.T, version int64) *snapshot {
	t.Helper()
	cfg := sampleConfig(1)
	cfg.Version = version
	s, err := newSnapshot(cfg, emptySnapshot())
	must.NoError(t, err)
	return s
}

func TestObserve(t *testing.T) {
	at := func(s int) time.Time { return epoch.Add(time.Duration(s) * time.Second) }
	c := newCore()
	must.True(t, c.adopt(snapshotAt(t, 5), nil))
	must.True(t, c.freshnessState().confirmed.IsZero(), must.Sprint("adopting a version does not confirm it as the newest"))
	c.observe(5, at(1), "b", at(2))
	must.Eq(t, at(1), c.confirmed)
	c.observe(5, at(0), "c", at(3))
	must.Eq(t, at(1), c.confirmed, must.Sprint("an older confirmation changes nothing"))
	c.observe(5, at(9), "c", at(4))
	must.Eq(t, at(4), c.confirmed, must.Sprint("a confirmation is never in the future"))
	c.observe(4, at(5), "d", at(5))
	must.Eq(t, at(4), c.confirmed, must.Sprint("a report of an older version confirms nothing"))
	c.observe(7, at(6), "b", at(6))
	c.observe(8, at(7), "c", at(7))
	must.True(t, c.isLagging())
	must.Eq(t, at(6), c.laggingSince, must.Sprint("lagging since the first newer version was reported"))
	must.False(t, c.adopt(snapshotAt(t, 4), nil), must.Sprint("the version never decreases"))
	must.False(t, c.adopt(snapshotAt(t, 5), nil), must.Sprint("a version is not adopted twice"))
	must.True(t, c.adopt(snapshotAt(t, 8), nil))
	must.False(t, c.isLagging())
	must.Eq(t, at(7), c.confirmed, must.Sprint("the confirmation that was reported with the version"))
	must.True(t, c.adopt(snapshotAt(t, 9), nil))
	must.True(t, c.confirmed.IsZero(), must.Sprint("the confirmation applied to an older version"))
}

func TestPatchesSince(t *testing.T) {
	c := newCore()
	chain := func(versions ...int64) []VersionedPatch {
		var list []VersionedPatch
		for _, v := range versions {
			list = append(list, VersionedPatch{Version: v})
		}
		return list
	}
	mustSince := func(base int64, want int, wantComplete bool) {
		t.Helper()
		got, complete := c.patchesSince(base)
		must.Eq(t, wantComplete, complete)
		must.Len(t, want, got)
	}
	c.adopt(snapshotAt(t, 2), chain(1, 2))
	mustSince(0, 2, true)
	mustSince(2, 0, true)
	mustSince(3, 0, false)
	c.adopt(snapshotAt(t, 3), chain(2, 3))
	mustSince(1, 2, true)
	c.adopt(snapshotAt(t, 6), chain(5, 6))
	mustSince(3, 0, false)
	for v := int64(7); v < 7+2*maxKeptPatches; v++ {
		c.adopt(snapshotAt(t, v), chain(v))
	}
	mustSince(6+2*maxKeptPatches-maxKeptPatches, maxKeptPatches, true)
	mustSince(6+2*maxKeptPatches-maxKeptPatches-1, 0, false)
}

func TestReplayVerifiesRoots(t *testing.T) {
	base := snapshotAt(t, 1)
	p := withdrawalPatch(1, 0)
	cfg, err := Apply(base.view.Config, p)
	must.NoError(t, err)
	after, err := newSnapshot(cfg, base)
	must.NoError(t, err)
	good := VersionedPatch{Version: 2, Patch: p, Root: after.root}
	got, ok := replay(base, []VersionedPatch{good})
	must.True(t, ok)
	must.Eq(t, 2, got.version)
	for name, bad := range map[string]VersionedPatch{
		"another root": {Version: 2, Patch: p, Root: base.root},
		"a gap":        {Version: 3, Patch: p, Root: after.root},
		"another base": {Version: 2, Patch: withdrawalPatch(0, 0), Root: after.root},
	} {
		_, ok := replay(base, []VersionedPatch{bad})
		must.False(t, ok, must.Sprint(name))
	}
}

// TestReportedVersionCountsAtOnce checks that Fresh considers a newer version
// before Run has processed the report. Otherwise the heartbeat that reports it
// could make a VM fresh that was not fresh before.
func TestReportedVersionCountsAtOnce(t *testing.T) {
	m := NewManager(Options{Roster: singleVMRoster{}, Self: "vm"})
	must.True(t, m.Fresh())
	m.receiveReport(vm.Member{ID: "b"}, vm.VersionReport{Version: 9}, epoch)
	must.False(t, m.Fresh())
}
