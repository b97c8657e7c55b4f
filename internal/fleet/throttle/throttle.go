// Package throttle keeps the requests that all VMs together send to a target within the
// limit that the target states.
//
// The VMs agree on a limit by exchanging what each of them has read from the target's
// responses. A few of them, chosen by rendezvous hashing, have a share of it, and the others
// send the target nothing. A VM that is silent keeps its share as long as package shares says so,
// since it may be alive beyond a cut. No share is smaller than one request per second, unless the limit
// is, so that shares can be used in a fleet of any size.
package throttle

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/baobabdyke/baobabdyke/internal/fleet/site"
)

const (
	// minShare is the least share, in requests per second, of a limit that is divided.
	minShare = 1.0
	// minLimit replaces lower limits. A target that is sent nothing could not state that
	// its limit has ended.
	minLimit = 0.1
	// maxTokens is how many requests a VM may send at once after it sent none for a while.
	maxTokens = 1.0
	// handoverDelay is how long a VM waits before it uses a share that becomes its own
	// because other VMs seem to have gone. They may be using it still.
	handoverDelay = 2 * time.Second
	// uncertainty is the difference between the ages of two reports that may be due to the
	// time that they took, through other VMs of a large fleet.
	uncertainty = 2 * time.Second
	// retention is how long the end of a limit is reported, and how long a limit is kept
	// while its target is not listed.
	retention = 30 * time.Second
	// maxAge is the age up to which reports of other VMs are used.
	maxAge = 24 * time.Hour
)

// A Report is the limit that a VM has read from a target's responses.
type Report struct {
	Target string `cbor:"1,keyasint"`
	Born   int64  `cbor:"2,keyasint"`
	// PerSecond is 0 if the target has ceased to state a limit.
	PerSecond float64 `cbor:"3,keyasint"`
	// AgeMS is the time since the response arrived, in milliseconds.
	AgeMS int64 `cbor:"4,keyasint"`
}

// isValid reports whether the report can be true.
func (r *Report) isValid() bool {
	return r.PerSecond >= 0 && r.PerSecond <= math.MaxFloat64 && r.AgeMS >= 0 && r.AgeMS <= maxAge.Milliseconds()
}

// A reading is a limit, or 0 for none, as of the arrival of a response.
type reading struct {
	perSecond float64
	at        time.Time
}

// A throttled is the state of a target that states a limit, or did so recently.
type throttled struct {
	// own is what this VM has read itself; its time is zero if it has read nothing. peers
	// is what other VMs have reported.
	own   reading
	peers map[string]reading
	// perSecond is the limit in force; 0 if there is none.
	perSecond float64
	// share is this VM's part of the limit in requests per second; 0 if it has none.
	share float64
	// tokens is the number of requests that may be sent as of refilledAt, which is in the
	// future during the handoverDelay.
	tokens     float64
	refilledAt time.Time
	listedAt   time.Time
}

// A Table holds the limits of all targets. It is safe for concurrent use.
type Table struct {
	self string

	mu      sync.Mutex
	targets map[site.Incarnation]*throttled
	// vms are the VMs that serve, as far as this one hears, among which limits are divided, and
	// silent those that it does not hear from and that may use their shares all the same.
	// mayNotUse is whether this VM may not use its own.
	vms, silent []string
	mayNotUse   bool
}

// NewTable returns a Table of the VM self.
func NewTable(self string) *Table {
	return &Table{self: self, targets: map[site.Incarnation]*throttled{}}
}

// Record records what a response to a request that was sent at the given time states. It
// reports whether the limit in force has changed.
func (t *Table) Record(target site.Incarnation, l site.Limit, sent, now time.Time) (changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.targets[target]
	if l.Stated && !l.Valid || !ok && !l.Stated {
		return false
	}
	if !ok {
		s = &throttled{peers: map[string]reading{}, listedAt: now}
		t.targets[target] = s
	}
	value := 0.0
	if l.Stated {
		value = max(l.PerSecond, minLimit)
	}
	if value == 0 && s.perSecond == 0 {
		return false
	}
	// A response to a request that was sent before the latest reading may be the older one.
	if sent.Before(s.newest()) && !stricter(value, s.perSecond) {
		return false
	}
	s.own = reading{value, now}
	before := s.perSecond
	t.apply(s, target, 0, now)
	return s.perSecond != before
}

// Merge adds the reports of another VM. Those that it does not repeat stay, since it may
// have been restarted. It returns the targets whose limits have changed.
func (t *Table) Merge(vm string, reports []Report, now time.Time) []site.Incarnation {
	t.mu.Lock()
	defer t.mu.Unlock()
	var changed []site.Incarnation
	for _, r := range reports {
		if !r.isValid() {
			continue
		}
		target := site.Incarnation{ID: r.Target, Born: r.Born}
		s, ok := t.targets[target]
		if !ok {
			s = &throttled{peers: map[string]reading{}, listedAt: now}
			t.targets[target] = s
		}
		s.peers[vm] = reading{r.PerSecond, now.Add(-time.Duration(r.AgeMS) * time.Millisecond)}
		before := s.perSecond
		t.apply(s, target, 0, now)
		if s.perSecond != before {
			changed = append(changed, target)
		}
	}
	return changed
}

// SetVMs replaces the VMs that serve, among which limits are divided.
func (t *Table) SetVMs(vms []string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if slices.Equal(t.vms, vms) {
		return
	}
	t.vms = vms
	for target, s := range t.targets {
		t.apply(s, target, handoverDelay, now)
	}
}

// SetSilent replaces the VMs that are not heard from and may use their shares all the same, and
// sets whether this VM may use its own.
func (t *Table) SetSilent(vms []string, mayUse bool, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if slices.Equal(t.silent, vms) && t.mayNotUse == !mayUse {
		return
	}
	t.silent, t.mayNotUse = vms, !mayUse
	for target, s := range t.targets {
		t.apply(s, target, handoverDelay, now)
	}
}

// IsInUse reports whether any target states a limit, or did so recently.
func (t *Table) IsInUse() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.targets) > 0
}

// Wait returns the time until a request may be sent to a target: 0 if it may be sent now. A
// VM without a share of the target's limit returns the time after which another VM may send
// the next request.
func (t *Table) Wait(target site.Incarnation, now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.targets[target]
	if !ok || s.perSecond == 0 {
		return 0
	}
	if s.share == 0 {
		return seconds(1 / s.perSecond)
	}
	s.refill(now)
	if s.tokens >= 1 {
		return 0
	}
	return max(s.refilledAt.Sub(now), 0) + seconds((1-s.tokens)/s.share)
}

// Limit returns the limit in force of a target and this VM's share of it; 0 if there is
// none.
func (t *Table) Limit(target site.Incarnation) (perSecond, share float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.targets[target]
	if !ok {
		return 0, 0
	}
	return s.perSecond, s.share
}

// Spend records that a request is sent to a target.
func (t *Table) Spend(target site.Incarnation, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s, ok := t.targets[target]; ok && s.share > 0 {
		s.refill(now)
		s.tokens--
	}
}

// Reports returns what this VM has read itself, for other VMs.
func (t *Table) Reports(now time.Time) []Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Report
	for target, s := range t.targets {
		if !s.own.at.IsZero() {
			out = append(out, Report{target.ID, target.Born, s.own.perSecond, now.Sub(s.own.at).Milliseconds()})
		}
	}
	return out
}

// Prune removes what is no longer needed. Listed reports whether a target is listed.
func (t *Table) Prune(listed func(site.Incarnation) bool, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for target, s := range t.targets {
		if listed(target) {
			s.listedAt = now
		}
		ended := s.perSecond == 0 && now.Sub(s.newest()) > retention
		if ended || now.Sub(s.listedAt) > retention {
			delete(t.targets, target)
		}
	}
}

// newest returns the time of the newest reading.
func (s *throttled) newest() time.Time {
	newest := s.own.at
	for _, r := range s.peers {
		if r.at.After(newest) {
			newest = r.at
		}
	}
	return newest
}

// stricter reports whether limit a is lower than limit b, where 0 is none.
func stricter(a, b float64) bool { return a > 0 && (b == 0 || a < b) }

// apply recomputes the limit in force and this VM's share of it. A share that it did not
// have before is used after delay.
func (t *Table) apply(s *throttled, target site.Incarnation, delay time.Duration, now time.Time) {
	before := s.perSecond
	s.putInForce()
	if before == 0 {
		delay = 0
	}
	hadShare := s.share > 0
	s.refill(now)
	s.share = t.shareOf(target, s.perSecond)
	switch {
	case s.share == 0:
		s.tokens = 0
	case !hadShare:
		s.tokens, s.refilledAt = 0, now.Add(delay)
	}
}

// putInForce puts the strictest of the newest readings in force.
func (s *throttled) putInForce() {
	oldest := s.newest().Add(-uncertainty)
	s.perSecond = 0
	if !s.own.at.Before(oldest) {
		s.perSecond = s.own.perSecond
	}
	for _, r := range s.peers {
		if !r.at.Before(oldest) && stricter(r.perSecond, s.perSecond) {
			s.perSecond = r.perSecond
		}
	}
	if s.perSecond > 0 {
		return
	}
	// Earlier readings must not count again when the report of the end is dropped.
	if s.own.at.Before(oldest) {
		s.own = reading{}
	}
	for vm, r := range s.peers {
		if r.at.Before(oldest) {
			delete(s.peers, vm)
		}
	}
}

// shareOf returns this VM's share of a target's limit.
func (t *Table) shareOf(target site.Incarnation, perSecond float64) float64 {
	if perSecond == 0 || t.mayNotUse {
		return 0
	}
	own, listed, ahead := rank(t.self, target), false, 0
	count := len(t.vms)
	for _, vm := range t.vms {
		switch {
		case vm == t.self:
			listed = true
		case rank(vm, target) > own:
			ahead++
		}
	}
	for _, vm := range t.silent {
		if slices.Contains(t.vms, vm) {
			continue
		}
		count++
		if rank(vm, target) > own {
			ahead++
		}
	}
	shares := max(1, int(min(perSecond/minShare, float64(count))))
	if !listed || ahead >= shares {
		return 0
	}
	return perSecond / float64(shares)
}

// rank returns the rendezvous hash of a VM for a target. All VMs compute the same value.
func rank(vm string, target site.Incarnation) uint64 { return xxhash.Sum64String(vm + "/" + target.ID) }

// refill adds the tokens that the share has earned.
func (s *throttled) refill(now time.Time) {
	if s.share == 0 || !now.After(s.refilledAt) {
		return
	}
	s.tokens = min(maxTokens, s.tokens+s.share*now.Sub(s.refilledAt).Seconds())
	s.refilledAt = now
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
