package config

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/baobabdyke/baobabdyke/vm"
)

var epoch = time.Unix(1000, 0)

func TestStandingFresh(t *testing.T) {
	young := standing{version: 3, confirmed: epoch}
	behind := standing{version: 3, confirmed: epoch, lagging: true, behind: epoch, good: epoch.Add(time.Second)}
	woken := standing{version: 3, confirmed: epoch, lagging: true, behind: epoch.Add(time.Minute), good: epoch}
	never := standing{version: 3}
	cases := []struct {
		name            string
		s               standing
		reached, listed int
		after           time.Duration
		want            bool
	}{
		{"young word, nobody in reach", young, 1, 9, wordLimit, true},
		{"old word, nobody in reach", young, 1, 9, wordLimit + 1, false},
		{"old word, half in reach", young, 5, 10, time.Hour, true},
		{"old word, fewer than half in reach", young, 4, 9, time.Hour, false},
		{"old word, alone of two", young, 1, 2, time.Hour, false},
		{"the only VM", young, 1, 1, time.Hour, true},
		{"never a word, nobody in reach", never, 1, 9, 0, false},
		{"never a word, all in reach", never, 9, 9, 0, true},
		{"a newer version is known after a pause", woken, 9, 9, time.Minute, false},
		{"a newer version is known", behind, 9, 9, behindLimit, true},
		{"a newer version is missing for long", behind, 9, 9, behindLimit + 1, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			must.Eq(t, tc.want, tc.s.fresh(tc.reached, tc.listed, epoch.Add(tc.after)))
		})
	}
}

// versioned returns a snapshot of the version.
func versioned(t *testing.T, version int64) *snapshot {
	t.Helper()
	cfg := sample(1)
	cfg.Version = version
	s, err := newSnapshot(cfg, emptySnapshot())
	must.NoError(t, err)
	return s
}

func TestHear(t *testing.T) {
	at := func(s int) time.Time { return epoch.Add(time.Duration(s) * time.Second) }
	c := newCore()
	must.True(t, c.adopt(versioned(t, 5), nil))
	must.True(t, c.standing().confirmed.IsZero(), must.Sprint("having a version does not make it the newest"))
	c.hear(5, at(1), "b", at(2))
	must.Eq(t, at(1), c.confirmed)
	c.hear(5, at(0), "c", at(3))
	must.Eq(t, at(1), c.confirmed, must.Sprint("an older word changes nothing"))
	c.hear(5, at(9), "c", at(4))
	must.Eq(t, at(4), c.confirmed, must.Sprint("a word is never from the future"))
	c.hear(4, at(5), "d", at(5))
	must.Eq(t, at(4), c.confirmed, must.Sprint("a word of an older version confirms nothing"))
	c.hear(7, at(6), "b", at(6))
	c.hear(8, at(7), "c", at(7))
	must.True(t, c.lagging())
	must.Eq(t, at(6), c.behind, must.Sprint("behind since the first newer version"))
	must.False(t, c.adopt(versioned(t, 4), nil), must.Sprint("never lower"))
	must.False(t, c.adopt(versioned(t, 5), nil), must.Sprint("never again"))
	must.True(t, c.adopt(versioned(t, 8), nil))
	must.False(t, c.lagging())
	must.Eq(t, at(7), c.confirmed, must.Sprint("the word that came with the version"))
	must.True(t, c.adopt(versioned(t, 9), nil))
	must.True(t, c.confirmed.IsZero(), must.Sprint("the word was of an older version"))
}

func TestKeepPatches(t *testing.T) {
	c := newCore()
	chain := func(versions ...int64) []VersionedPatch {
		var list []VersionedPatch
		for _, v := range versions {
			list = append(list, VersionedPatch{Version: v})
		}
		return list
	}
	mustSince := func(have int64, want int, all bool) {
		t.Helper()
		got, whole := c.since(have)
		must.Eq(t, all, whole)
		must.Len(t, want, got)
	}
	c.adopt(versioned(t, 2), chain(1, 2))
	mustSince(0, 2, true)
	mustSince(2, 0, true)
	mustSince(3, 0, false)
	c.adopt(versioned(t, 3), chain(2, 3))
	mustSince(1, 2, true)
	c.adopt(versioned(t, 6), chain(5, 6))
	mustSince(3, 0, false)
	for v := int64(7); v < 7+2*patchesKept; v++ {
		c.adopt(versioned(t, v), chain(v))
	}
	mustSince(6+2*patchesKept-patchesKept, patchesKept, true)
	mustSince(6+2*patchesKept-patchesKept-1, 0, false)
}

func TestReplayChecksRoots(t *testing.T) {
	base := versioned(t, 1)
	p := withdraw(1, 0)
	cfg, err := Apply(base.view.Config, p)
	must.NoError(t, err)
	after, err := newSnapshot(cfg, base)
	must.NoError(t, err)
	good := VersionedPatch{Version: 2, Patch: p, Root: after.root}
	got, whole := replay(base, []VersionedPatch{good})
	must.True(t, whole)
	must.Eq(t, 2, got.version)
	for name, bad := range map[string]VersionedPatch{
		"another root": {Version: 2, Patch: p, Root: base.root},
		"a gap":        {Version: 3, Patch: p, Root: after.root},
		"another base": {Version: 2, Patch: withdraw(0, 0), Root: after.root},
	} {
		_, whole := replay(base, []VersionedPatch{bad})
		must.False(t, whole, must.Sprint(name))
	}
}

// TestClaimCountsAtOnce hears of a newer version before the task has seen it:
// a VM that was not fresh before does not become so by the same heartbeat.
func TestClaimCountsAtOnce(t *testing.T) {
	k := NewManager(Options{Roster: alone{}, Self: "vm"})
	must.True(t, k.Fresh())
	k.heard(vm.Member{ID: "b"}, vm.VersionReport{Version: 9}, epoch)
	must.False(t, k.Fresh())
}
