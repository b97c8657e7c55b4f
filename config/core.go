package config

import (
	"time"

	"github.com/baobabdyke/baobabdyke/invariant"
)

const (
	// maxConfirmationAge is the maximum age of the last confirmation that the
	// version in force is the newest, for this VM to count as fresh.
	maxConfirmationAge = 3 * time.Second
	// maxLagDuration is how long a VM may know of a newer version without
	// having it in force and still count as fresh.
	maxLagDuration = 3 * time.Second
	// maxFreshnessGap is the maximum time since a VM was last fresh for it to
	// stay fresh when it learns of a newer version.
	maxFreshnessGap = 2 * time.Second
	// maxKeptPatches is the number of recent patches kept for other VMs to
	// pull.
	maxKeptPatches = 64
	// maxKeptPatchBytes is the size of the largest patch that is kept for
	// other VMs and pushed to them. They pull the chunks of versions made by
	// larger patches.
	maxKeptPatchBytes = 64 << 10
)

// A core is the state of a Manager without input or output: the version in
// force and what is known of newer versions. It does not read the clock.
type core struct {
	snap *snapshot
	// patches are the consecutive patches up to the version in force, oldest
	// first.
	patches []VersionedPatch
	// confirmed is when the object store last reported the version in force as
	// the newest.
	confirmed time.Time
	// wanted is the newest version known, wantedConfirmed is when the object
	// store last reported it as the newest, and laggingSince is when this VM
	// first learnt of a version newer than its own.
	wanted          int64
	wantedConfirmed time.Time
	laggingSince    time.Time
	// lastFresh is when this VM was last fresh.
	lastFresh time.Time
	// source is the VM to fetch the wanted version from, or "" for the object
	// store.
	source string
}

func newCore() *core { return &core{snap: emptySnapshot()} }

// observe records that version was the newest at the given time. Source is the
// VM that has it in force, or "" if the object store itself reported it.
func (c *core) observe(version int64, at time.Time, source string, now time.Time) {
	if at.After(now) {
		at = now
	}
	switch {
	case version < c.snap.version:
	case version == c.snap.version:
		c.confirmed = later(c.confirmed, at)
	case version > c.wanted:
		if !c.isLagging() {
			c.laggingSince = now
		}
		c.wanted, c.wantedConfirmed, c.source = version, at, source
	case version == c.wanted:
		c.wantedConfirmed = later(c.wantedConfirmed, at)
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

// adopt puts a snapshot in force if it is newer than the present one. It
// reports whether the version increased.
func (c *core) adopt(s *snapshot, patches []VersionedPatch) bool {
	if s.version <= c.snap.version {
		return false
	}
	before := c.snap.version
	c.appendPatches(before, s.version, patches)
	c.snap = s
	c.confirmed = time.Time{}
	if c.wanted == s.version {
		c.confirmed = c.wantedConfirmed
	}
	invariant.Check(c.snap.version > before, "config-version",
		"version %d follows %d", c.snap.version, before)
	return true
}

// appendPatches stores the patches that lead from one version to another. If
// they are incomplete, it drops all stored patches.
func (c *core) appendPatches(from, to int64, patches []VersionedPatch) {
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
	if extra := len(c.patches) - maxKeptPatches; extra > 0 {
		c.patches = append([]VersionedPatch(nil), c.patches[extra:]...)
	}
}

// patchesSince returns the patches that lead from the base version to the
// version in force, and whether all of them are stored.
func (c *core) patchesSince(base int64) ([]VersionedPatch, bool) {
	n := c.snap.version - base
	if n < 0 || n > int64(len(c.patches)) {
		return nil, false
	}
	return c.patches[int64(len(c.patches))-n:], true
}

// isLagging reports whether a newer version than the one in force is known.
func (c *core) isLagging() bool { return c.wanted > c.snap.version }

// A freshnessState holds the inputs of isFresh except for the reachable VMs.
type freshnessState struct {
	version      int64
	confirmed    time.Time
	lagging      bool
	laggingSince time.Time
	// lastFresh is when this VM was last fresh.
	lastFresh time.Time
}

func (c *core) freshnessState() freshnessState {
	return freshnessState{
		version: c.snap.version, confirmed: c.confirmed, lagging: c.isLagging(), laggingSince: c.laggingSince,
		lastFresh: c.lastFresh,
	}
}

// isFresh reports whether routes that require a key may be served. A VM is not
// fresh if it has lagged behind a newer version for too long, or if it was not
// fresh shortly before it learnt of one, as after a pause. Otherwise it is fresh
// if the object store has confirmed its version recently, or if at least half of
// the listed VMs and at least one other VM are reachable. The second condition
// applies in an outage of the object store, during which no key can be
// withdrawn.
func (s freshnessState) isFresh(reached, listed int, now time.Time) bool {
	if s.lagging && (now.Sub(s.laggingSince) > maxLagDuration || now.Sub(s.lastFresh) > maxFreshnessGap) {
		return false
	}
	if s.recentlyConfirmed(now) {
		return true
	}
	if listed <= 1 {
		return true
	}
	return reached >= 2 && 2*reached >= listed
}

// recentlyConfirmed reports whether the object store has recently confirmed
// the version in force as the newest.
func (s freshnessState) recentlyConfirmed(now time.Time) bool {
	return !s.confirmed.IsZero() && now.Sub(s.confirmed) <= maxConfirmationAge
}
