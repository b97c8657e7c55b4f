package source

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/baobabdyke/baobabdyke/peer"
	"github.com/baobabdyke/baobabdyke/store"
)

// CallConfirm is the call that asks another VM up to which version it has read each
// kind, and how recently. The request is a ConfirmRequest and the response a
// ConfirmResponse.
const CallConfirm = "/source/Confirm"

// A ConfirmRequest is the request of CallConfirm.
type ConfirmRequest struct{}

// A ConfirmResponse is the response to a ConfirmRequest, by kind.
type ConfirmResponse struct {
	Positions Positions `cbor:"1,keyasint"`
	// AgeMS is the time since the VM last knew its state to be complete, in
	// milliseconds.
	AgeMS [kinds]int64 `cbor:"2,keyasint"`
}

// A change must be in force everywhere within the bound of its kind, also if all
// watchers lose the store at once, without noticing. The bound is divided so: the
// state of a watcher is up to 1/4 old, that of a VM that asks one another 1/8, and a
// VM whose state is older than 1/2 reads the store itself, for which the rest is
// left.
const (
	pollFraction        = 4
	askFraction         = 8
	unconfirmedFraction = 2
	// defaultBound is the bound of a kind without one.
	defaultBound = 10 * time.Second
	// maxPollWait bounds the time that a poll of the store waits for a change, and
	// so the time after which a silent connection is noticed.
	maxPollWait = 2200 * time.Millisecond
	// minPollWait is the shortest time that a read can wait for a change.
	minPollWait = time.Millisecond
	// maxAge bounds an age that is sent to other VMs.
	maxAge = time.Hour
)

// age returns the time since the table was last known to have all changes.
func (t *table) age(now time.Time) time.Duration { return min(now.Sub(t.confirmed), maxAge) }

// bound returns the time within which a change of a kind must be in force.
func (s *Source) bound(kind int) time.Duration {
	if s.opts.Bounds != nil {
		if b := s.opts.Bounds()[kind]; b > 0 {
			return b
		}
	}
	return defaultBound
}

// pollWait returns how long a watcher's poll waits for a change. The older the state is
// already, the shorter it waits.
func (s *Source) pollWait(kind int) time.Duration {
	longest := min(s.bound(kind)/pollFraction, maxPollWait)
	return max(longest-s.Age(kind), minPollWait)
}

// Age returns the time since the state of a kind was last known to be complete.
func (s *Source) Age(kind int) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tables[kind].age(time.Now())
}

// isUnconfirmed reports whether the state of a kind is so old that this VM has to
// read the store itself, and logs when that changes.
func (s *Source) isUnconfirmed(kind int) bool {
	limit := s.bound(kind) / unconfirmedFraction
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.tables[kind]
	age := t.age(time.Now())
	if age < limit {
		return false
	}
	if !t.selfReading {
		t.selfReading = true
		s.log("msg", "state unconfirmed", "kind", s.opts.Decoder.Kinds[kind], "age", age, "limit", limit)
	}
	return true
}

func (s *Source) handleConfirm() ConfirmResponse {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out ConfirmResponse
	now := time.Now()
	out.Positions = s.positions()
	for kind, t := range s.tables {
		out.AgeMS[kind] = t.age(now).Milliseconds()
	}
	return out
}

// follow asks the watchers in turn whether this VM has all changes, until ctx ends.
func (s *Source) follow(ctx context.Context) {
	if s.opts.Watchers == nil {
		return
	}
	for round := 0; ; round++ {
		interval := s.askInterval()
		if !store.Sleep(ctx, interval*3/4+rand.N(interval/2)) {
			return
		}
		if s.opts.Watching() {
			continue
		}
		if watchers := s.opts.Watchers(); len(watchers) > 0 {
			s.ask(ctx, watchers[round%len(watchers)], interval)
		}
	}
}

// askInterval returns the mean time between two questions to the watchers.
func (s *Source) askInterval() time.Duration {
	shortest := defaultBound
	for kind := range kinds {
		shortest = min(shortest, s.bound(kind))
	}
	return shortest / askFraction
}

// ask asks a VM up to when it has all changes. What this VM has as well is then
// confirmed.
func (s *Source) ask(ctx context.Context, to peer.Destination, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var resp ConfirmResponse
	sent := time.Now()
	if err := s.opts.Peers.Call(ctx, to, CallConfirm, ConfirmRequest{}, &resp); err != nil {
		// The next watcher is asked in its place, and the store if none responds.
		s.log("msg", "state not confirmed", "by", to.VM, "err", err)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	own := s.positions()
	for kind, t := range s.tables {
		theirs := resp.Positions[kind]
		if kind == Orders && theirs.At == 0 {
			// A VM of an earlier build, or without this part, reads no orders.
			continue
		}
		if t.at < theirs.At && t.hash != theirs.Hash || own[kind].Newest < theirs.Newest {
			continue
		}
		s.confirm(t, sent.Add(-time.Duration(resp.AgeMS[kind])*time.Millisecond))
		if age := t.age(time.Now()); t.selfReading && age < s.bound(kind)/unconfirmedFraction {
			t.selfReading = false
			s.log("msg", "state confirmed", "kind", s.opts.Decoder.Kinds[kind], "by", to.VM, "age", age)
		}
	}
}
