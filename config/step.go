package config

import (
	"time"

	"github.com/baobabdyke/baobabdyke/invariant"
)

const (
	// wordLimit is the age up to which the knowledge that the version in force
	// is the newest counts as fresh.
	wordLimit = 3 * time.Second
	// behindLimit is how long a VM may know of a newer version without having
	// it in force.
	behindLimit = 3 * time.Second
	// goodLimit is the age up to which a VM that hears of a newer version counts
	// as fresh from before.
	goodLimit = 2 * time.Second
	// patchesKept is the number of patches that are kept for other VMs.
	patchesKept = 64
	// maxPatchBytes is the largest patch that is kept for other VMs; they pull
	// the chunks of larger ones.
	maxPatchBytes = 64 << 10
)

// A core is the pure state of a Keeper: what is in force and what is known of
// newer versions. It does no input or output and reads no clock.
type core struct {
	snap *snapshot
	// patches lead to the version in force, the newest last.
	patches []VersionedPatch
	// confirmed is when the object API last named the version in force as the
	// newest.
	confirmed time.Time
	// wanted is the newest version heard of, at wantedWord by the object API,
	// and since behind by this VM.
	wanted     int64
	wantedWord time.Time
	behind     time.Time
	// good is when the VM last found itself fresh.
	good time.Time
	// source is the VM that may have the wanted version, or "" for the store.
	source string
}

func newCore() *core { return &core{snap: emptySnapshot()} }

// hear takes the word that version was the newest at the given time. Source is
// the VM that has it in force, or "" if the object API said so itself.
func (c *core) hear(version int64, at time.Time, source string, now time.Time) {
	if at.After(now) {
		at = now
	}
	switch {
	case version < c.snap.version:
	case version == c.snap.version:
		c.confirmed = later(c.confirmed, at)
	case version > c.wanted:
		if !c.lagging() {
			c.behind = now
		}
		c.wanted, c.wantedWord, c.source = version, at, source
	case version == c.wanted:
		c.wantedWord = later(c.wantedWord, at)
		if source != "" {
			c.source = source
		}
	}
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// adopt puts a snapshot in force unless it is older than the present one. It
// returns whether the version rose.
func (c *core) adopt(s *snapshot, patches []VersionedPatch) bool {
	if s.version <= c.snap.version {
		return false
	}
	before := c.snap.version
	c.keep(before, s.version, patches)
	c.snap = s
	c.confirmed = time.Time{}
	if c.wanted == s.version {
		c.confirmed = c.wantedWord
	}
	invariant.Check(c.snap.version > before, "config-version",
		"version %d follows %d", c.snap.version, before)
	return true
}

// keep stores the patches that lead from a version to another. A gap drops the
// older ones.
func (c *core) keep(from, to int64, patches []VersionedPatch) {
	var chain []VersionedPatch
	for _, p := range patches {
		if p.Version == from+1 && p.Version <= to {
			chain = append(chain, p)
			from = p.Version
		}
	}
	if from != to {
		c.patches = nil
		return
	}
	c.patches = append(c.patches, chain...)
	if extra := len(c.patches) - patchesKept; extra > 0 {
		c.patches = append([]VersionedPatch(nil), c.patches[extra:]...)
	}
}

// since returns the patches that lead from a version to the present one, and
// whether all are there.
func (c *core) since(have int64) ([]VersionedPatch, bool) {
	n := c.snap.version - have
	if n < 0 || n > int64(len(c.patches)) {
		return nil, false
	}
	return c.patches[int64(len(c.patches))-n:], true
}

// lagging tells whether a newer version is known.
func (c *core) lagging() bool { return c.wanted > c.snap.version }

// A standing is what freshness depends on, besides the VMs in reach.
type standing struct {
	version   int64
	confirmed time.Time
	lagging   bool
	behind    time.Time
	// good is when this VM last found itself fresh.
	good time.Time
}

func (c *core) standing() standing {
	return standing{
		version: c.snap.version, confirmed: c.confirmed, lagging: c.lagging(), behind: c.behind,
		good: c.good,
	}
}

// fresh tells whether keyed routes may be served: no newer version has been
// known for long, or was heard of by a VM that was not fresh before, as after a
// pause; and either the word of the object API is young or at least
// half of the listed VMs, and one besides this VM, are in reach. The latter
// holds in an outage of the object API, during which no key is withdrawn.
func (s standing) fresh(reached, listed int, now time.Time) bool {
	if s.lagging && (now.Sub(s.behind) > behindLimit || now.Sub(s.good) > goodLimit) {
		return false
	}
	if s.heard(now) {
		return true
	}
	if listed <= 1 {
		return true
	}
	return reached >= 2 && 2*reached >= listed
}

// heard tells whether the word of the object API is young.
func (s standing) heard(now time.Time) bool {
	return !s.confirmed.IsZero() && now.Sub(s.confirmed) <= wordLimit
}
