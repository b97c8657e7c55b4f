// Package roster lets the VMs of a fleet find each other and tells each what
// the others are doing, by exchanges of entries between pairs of VMs.
package roster

import (
	"slices"
	"strings"
	"time"

	"github.com/baobabdyke/baobabdyke/internal/fleet/source"
)

// A State is a step in the life of a VM.
type State uint8

// States of a VM.
const (
	Starting State = iota
	Ready
	Leaving
)

// A Load is what one VM has in flight at one target.
type TargetLoad struct {
	Target string `cbor:"1,keyasint"`
	// Running counts requests, Prefill the prompt tokens of those that have not
	// answered yet and are in time, Late of those that are late.
	Running int `cbor:"2,keyasint"`
	Prefill int `cbor:"3,keyasint"`
	// Failing is the share of late requests that failed there, in percent.
	Failing int `cbor:"4,keyasint"`
	// Dark tells that the target takes no connections from the VM.
	Unreachable bool `cbor:"5,keyasint"`
	// Answered is how many milliseconds ago, plus one, the target last sent
	// something to the VM; 0 if that was long ago.
	Answered int `cbor:"6,keyasint"`
	Late     int `cbor:"7,keyasint,omitempty"`
}

// A Read tells that an engine was sent shared parts of a prompt and so holds
// them now.
type CachedPrefix struct {
	// Family identifies the parts, with the weights that they were read for.
	Family uint64 `cbor:"1,keyasint"`
	Target string `cbor:"2,keyasint"`
	// Kept tells that the parts go to the store of KV cache too.
	Kept bool `cbor:"3,keyasint"`
	// AgeMS is how long ago the send was.
	AgeMS int64 `cbor:"4,keyasint"`
}

// A Loaded tells that a target was seen with a version of a model's weights.
type LoadedWeights struct {
	Target  string `cbor:"1,keyasint"`
	Born    int64  `cbor:"2,keyasint"`
	Model   string `cbor:"3,keyasint"`
	Version int64  `cbor:"4,keyasint"`
}

// A Duty is the right to give orders, as its holder knows it.
type LeaseStatus struct {
	Held bool  `cbor:"1,keyasint"`
	Term int64 `cbor:"2,keyasint"`
	// Yielded is the last term under which the VM will give no more orders.
	Yielded int64 `cbor:"4,keyasint"`
	// Busy are the targets that are about to carry out an order.
	Busy []string `cbor:"3,keyasint"`
}

// A Watch tells whether a VM reads the store, and how many milliseconds ago the
// store last answered it.
type StoreWatch struct {
	Reads bool  `cbor:"1,keyasint"`
	AgeMS int64 `cbor:"2,keyasint"`
}

// An Entry is what one VM tells of itself. Born tells its starts apart and Seq
// counts its tellings.
type Entry struct {
	VM         string                `cbor:"1,keyasint"`
	Born       int64                 `cbor:"2,keyasint"`
	Seq        uint64                `cbor:"3,keyasint"`
	Region     string                `cbor:"4,keyasint"`
	DataCentre string                `cbor:"5,keyasint"`
	Callers    string                `cbor:"6,keyasint"`
	Peers      string                `cbor:"7,keyasint"`
	State      State                 `cbor:"8,keyasint"`
	Marks      source.Positions      `cbor:"9,keyasint"`
	Loads      []TargetLoad          `cbor:"10,keyasint"`
	Spent      map[string]float64    `cbor:"11,keyasint"`
	Loaded     []LoadedWeights       `cbor:"12,keyasint"`
	Duty       LeaseStatus           `cbor:"13,keyasint"`
	Reads      []CachedPrefix        `cbor:"14,keyasint"`
	Names      []source.Announcement `cbor:"15,keyasint"`
	// Watch tells how the VM reads the store.
	Watch StoreWatch `cbor:"16,keyasint"`
}

// later tells whether e is a later telling of the same VM than o.
func (e *Entry) later(o *Entry) bool {
	if e.Born != o.Born {
		return e.Born > o.Born
	}
	return e.Seq > o.Seq
}

// SmallFleet is the number of VMs from which on tellings come less often, so that
// what a VM hears does not grow with the fleet.
const SmallFleetSize = 16

const (
	// period is the time between two tellings of a VM in a fleet of SmallFleet VMs
	// or fewer; it grows with the fleet, so that what a VM hears does not.
	period = 250 * time.Millisecond
	// aliveTime is how long after its last new telling a VM counts as alive, in a
	// small fleet.
	aliveTime = 1500 * time.Millisecond
	// forgetTime is how long a silent VM is remembered and asked again.
	forgetTime = 60 * time.Second
)

// A Member is another VM as this one knows it.
type Member struct {
	Entry Entry
	// Heard is when a new telling of the VM last came, directly or not.
	Heard time.Time
	// patience is how long the VM counts as alive after that.
	patience time.Duration
}

// Alive tells whether the VM was heard of recently.
func (m *Member) Alive(now time.Time) bool { return now.Sub(m.Heard) < m.patience }

// slowness is how much longer than in a small fleet tellings take in one of so
// many VMs.
func slowness(vms int) float64 { return max(1, float64(vms)/SmallFleetSize) }

// patience returns how long a VM counts as alive after its last telling.
func (t *Table) patience() time.Duration {
	return time.Duration(float64(aliveTime) * min(slowness(len(t.members)+1), mostSlowness))
}

// mostSlowness bounds how much longer VMs count as alive in a large fleet, since
// callers are sent to them.
const mostSlowness = 2.0

// Period returns the time between two tellings.
func (t *Table) Period() time.Duration {
	return time.Duration(float64(period) * slowness(len(t.members)+1))
}

// stamp identifies one telling.
type stamp struct {
	born int64
	seq  uint64
}

// A Table is the knowledge of one VM about the fleet. It is not safe for
// concurrent use.
type Table struct {
	self    Entry
	members map[string]*Member
	// sent is the latest telling of each VM that a peer is known to have.
	sent map[string]map[string]stamp
}

// NewTable returns a Table that knows only this VM.
func NewTable(self Entry) *Table {
	return &Table{self: self, members: map[string]*Member{}, sent: map[string]map[string]stamp{}}
}

// Tell replaces what this VM tells of itself.
func (t *Table) Tell(update func(e *Entry)) {
	update(&t.self)
	t.self.Seq++
}

// Learn takes in a VM that was found elsewhere than in an exchange. It counts as
// silent until it is heard of.
func (t *Table) Learn(e Entry, now time.Time) {
	if e.VM == t.self.VM {
		return
	}
	if m, ok := t.members[e.VM]; ok && m.Entry.Born >= e.Born {
		return
	}
	t.members[e.VM] = &Member{Entry: e, Heard: now.Add(-aliveTime), patience: aliveTime}
}

// Merge takes in the entries that a peer told and returns those that were new.
func (t *Table) Merge(from string, entries []Entry, now time.Time) []Entry {
	known := t.sentTo(from)
	fresh := entries[:0:0]
	for _, e := range entries {
		if e.VM == "" {
			continue
		}
		if s := (stamp{e.Born, e.Seq}); known[e.VM].less(s) {
			known[e.VM] = s
		}
		if e.VM == t.self.VM {
			continue
		}
		m, ok := t.members[e.VM]
		// The time of day may have jumped back between two starts of a VM, so
		// that another start of a silent VM counts as later whatever it says.
		restarted := ok && e.Born != m.Entry.Born && !m.Alive(now)
		if ok && !restarted && !e.later(&m.Entry) {
			continue
		}
		t.members[e.VM] = &Member{Entry: e, Heard: now, patience: t.patience()}
		fresh = append(fresh, e)
	}
	return fresh
}

func (s stamp) less(o stamp) bool {
	if s.born != o.born {
		return s.born < o.born
	}
	return s.seq < o.seq
}

func (t *Table) sentTo(vm string) map[string]stamp {
	known, ok := t.sent[vm]
	if !ok {
		known = map[string]stamp{}
		t.sent[vm] = known
	}
	return known
}

// For returns the entries that a peer is not known to have, and notes that it
// has them if sent is true.
func (t *Table) For(peer string, now time.Time) []Entry {
	known := t.sentTo(peer)
	out := []Entry{}
	add := func(e *Entry) {
		s := stamp{e.Born, e.Seq}
		if known[e.VM].less(s) {
			out = append(out, *e)
		}
	}
	add(&t.self)
	for vm, m := range t.members {
		if vm != peer && m.Alive(now) {
			add(&m.Entry)
		}
	}
	return out
}

// A Stamp names one telling of a VM.
type Stamp struct {
	VM   string `cbor:"1,keyasint"`
	Born int64  `cbor:"2,keyasint"`
	Seq  uint64 `cbor:"3,keyasint"`
}

// Digest returns the stamps of all that this VM could tell.
func (t *Table) Digest(now time.Time) []Stamp {
	out := []Stamp{{t.self.VM, t.self.Born, t.self.Seq}}
	for _, m := range t.members {
		if m.Alive(now) {
			out = append(out, Stamp{m.Entry.VM, m.Entry.Born, m.Entry.Seq})
		}
	}
	return out
}

// Beyond returns what a VM with a digest does not know, and the VMs of which it
// knows more than this one.
func (t *Table) Beyond(digest []Stamp, now time.Time) (entries []Entry, want []string) {
	theirs := make(map[string]stamp, len(digest))
	for _, s := range digest {
		theirs[s.VM] = stamp{s.Born, s.Seq}
	}
	compare := func(e *Entry) {
		mine := stamp{e.Born, e.Seq}
		if theirs[e.VM].less(mine) {
			entries = append(entries, *e)
		}
	}
	compare(&t.self)
	for _, m := range t.members {
		if m.Alive(now) {
			compare(&m.Entry)
		}
	}
	for _, s := range digest {
		m, ok := t.members[s.VM]
		if s.VM != t.self.VM && (!ok || (stamp{m.Entry.Born, m.Entry.Seq}).less(stamp{s.Born, s.Seq})) {
			want = append(want, s.VM)
		}
	}
	return entries, want
}

// Of returns the entries of some VMs.
func (t *Table) Of(vms []string) []Entry {
	var out []Entry
	for _, vm := range vms {
		if vm == t.self.VM {
			out = append(out, t.self)
		} else if m, ok := t.members[vm]; ok {
			out = append(out, m.Entry)
		}
	}
	return out
}

// Large tells whether the fleet is so large that VMs compare digests before they
// tell each other entries.
func (t *Table) Large() bool { return len(t.members) >= SmallFleetSize }

// Delivered notes that a peer has taken in entries.
func (t *Table) Delivered(peer string, entries []Entry) {
	known := t.sentTo(peer)
	for _, e := range entries {
		if s := (stamp{e.Born, e.Seq}); known[e.VM].less(s) {
			known[e.VM] = s
		}
	}
}

// Members returns the other VMs that are remembered, sorted by id.
func (t *Table) Members() []Member {
	out := make([]Member, 0, len(t.members))
	for _, m := range t.members {
		out = append(out, *m)
	}
	slices.SortFunc(out, func(a, b Member) int { return strings.Compare(a.Entry.VM, b.Entry.VM) })
	return out
}

// Forget drops VMs that have been silent for long, and those whose address
// another VM has taken over. It returns their ids.
func (t *Table) Forget(now time.Time) []string {
	var gone []string
	for vm, m := range t.members {
		if now.Sub(m.Heard) > forgetTime || t.replaced(m, now) {
			delete(t.members, vm)
			delete(t.sent, vm)
			gone = append(gone, vm)
		}
	}
	return gone
}

func (t *Table) replaced(old *Member, now time.Time) bool {
	if old.Alive(now) {
		return false
	}
	if old.Entry.Peers == t.self.Peers {
		return true
	}
	for _, m := range t.members {
		if m != old && m.Alive(now) && m.Entry.Peers == old.Entry.Peers {
			return true
		}
	}
	return false
}
