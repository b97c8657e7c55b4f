// Package roster implements membership and state exchange of a fleet by gossip:
// pairs of VMs exchange entries, each of which holds the state of one VM.
package roster

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/baobabdyke/baobabdyke/internal/fleet/canary"
	"github.com/baobabdyke/baobabdyke/internal/fleet/quarantine"
	"github.com/baobabdyke/baobabdyke/internal/fleet/source"
	"github.com/baobabdyke/baobabdyke/internal/fleet/throttle"
)

// A State is the lifecycle state of a VM.
type State uint8

// States of a VM.
const (
	Starting State = iota
	Ready
	Leaving
)

// A TargetLoad is the load that one VM has in flight at one target.
type TargetLoad struct {
	Target string `cbor:"1,keyasint"`
	// Running is the number of running requests. Prefill is the number of prompt
	// tokens of those that have had no response yet and are not late; Late is the
	// same for those that are late.
	Running int `cbor:"2,keyasint"`
	Prefill int `cbor:"3,keyasint"`
	// Failing is the percentage of recent requests that failed at the target.
	Failing int `cbor:"4,keyasint"`
	// Unreachable reports whether the target accepts no connections from the VM.
	Unreachable bool `cbor:"5,keyasint" json:"Dark"`
	// Answered is the time since the target last sent data to the VM, in
	// milliseconds plus one; 0 if that was long ago.
	Answered int `cbor:"6,keyasint"`
	Late     int `cbor:"7,keyasint,omitempty"`
}

// A CachedPrefix reports that an engine was sent the shared prefix segments of a
// prompt and therefore has them in its cache.
type CachedPrefix struct {
	// Family identifies the segments together with the weights version that they
	// were computed with.
	Family uint64 `cbor:"1,keyasint"`
	Target string `cbor:"2,keyasint"`
	// Kept reports whether the segments are also written to the KV cache store.
	Kept bool `cbor:"3,keyasint"`
	// AgeMS is the time since the segments were sent, in milliseconds.
	AgeMS int64 `cbor:"4,keyasint"`
}

// A LoadedWeights reports that a target was observed with a version of a model's
// weights.
type LoadedWeights struct {
	Target  string `cbor:"1,keyasint"`
	Born    int64  `cbor:"2,keyasint"`
	Model   string `cbor:"3,keyasint"`
	Version int64  `cbor:"4,keyasint"`
}

// A LeaseStatus is the status of the rollout lease as known to one VM.
type LeaseStatus struct {
	Held bool  `cbor:"1,keyasint"`
	Term int64 `cbor:"2,keyasint"`
	// Yielded is the last term that the VM has given up, or does not take over from:
	// it sends no more orders under it.
	Yielded int64 `cbor:"4,keyasint"`
	// ReturnedTo is the VM for which the VM released the lease, and which should
	// acquire it.
	ReturnedTo string `cbor:"5,keyasint,omitempty"`
	// Busy lists the targets that are draining for an order or executing one.
	Busy []string `cbor:"3,keyasint"`
}

// A StoreWatch reports whether a VM polls the object store, and how many
// milliseconds ago the store last responded to it.
type StoreWatch struct {
	Reads bool  `cbor:"1,keyasint"`
	AgeMS int64 `cbor:"2,keyasint"`
	// Failing reports whether the VM's last read of the store failed.
	Failing bool `cbor:"3,keyasint,omitempty"`
}

// An Entry is the state that one VM publishes about itself. Born, the time of its
// start, distinguishes its incarnations, and Seq counts its updates.
type Entry struct {
	VM         string `cbor:"1,keyasint"`
	Born       int64  `cbor:"2,keyasint"`
	Seq        uint64 `cbor:"3,keyasint"`
	Region     string `cbor:"4,keyasint"`
	DataCentre string `cbor:"5,keyasint"`
	Callers    string `cbor:"6,keyasint"`
	Peers      string `cbor:"7,keyasint"`
	State      State  `cbor:"8,keyasint"`
	// Marks holds the store versions up to which the VM has read each kind of
	// objects.
	Marks source.Positions `cbor:"9,keyasint"`
	Loads []TargetLoad     `cbor:"10,keyasint"`
	// Spent holds the amounts that the VM has admitted since its start, by customer.
	Spent map[string]float64 `cbor:"11,keyasint"`
	// Loaded holds the weights versions that the VM has observed on targets.
	Loaded []LoadedWeights `cbor:"12,keyasint"`
	// Duty is the status of the rollout lease as known to the VM.
	Duty LeaseStatus `cbor:"13,keyasint"`
	// Reads lists the shared prefixes that the VM has recently sent to engines.
	Reads []CachedPrefix `cbor:"14,keyasint"`
	// Names lists the announced weights versions.
	Names []source.Announcement `cbor:"15,keyasint"`
	// Watch is the state of the VM's polling of the object store.
	Watch StoreWatch `cbor:"16,keyasint"`
	// Suspects lists prompt segments that seem to crash engines.
	Suspects []quarantine.Report `cbor:"17,keyasint,omitempty"`
	// Limits lists the limits that the VM has read from the responses of targets.
	Limits []throttle.Report `cbor:"18,keyasint,omitempty"`
	// AgeMS is the age of the update in milliseconds when another VM passes it on. Without
	// it, the last update of a lost VM would make that count as alive wherever it arrives
	// late.
	AgeMS int64 `cbor:"19,keyasint,omitempty"`
	// Refused holds the amounts that the VM has refused since its start, by customer.
	Refused map[string]float64 `cbor:"20,keyasint,omitempty"`
	// Sharers is the number of VMs that share the customers' limits as far as the VM knows, and
	// NoShare reports whether it may not use its share while others are silent.
	Sharers int  `cbor:"21,keyasint,omitempty"`
	NoShare bool `cbor:"22,keyasint,omitempty"`
	// Canary is what the VM knows of orders that move traffic.
	Canary *canary.Update `cbor:"23,keyasint,omitempty" json:",omitempty"`
	// Asked holds what customers lately asked of the VM, by flow, in services that it refuses
	// requests of, and Waits how long its requests wait for their first tokens.
	Asked []AskedTokens `cbor:"24,keyasint,omitempty"`
	Waits []ClassWaits  `cbor:"25,keyasint,omitempty"`
	// Part is the part of the customers' limits that the VM may use while others are silent, or 0
	// for an equal part.
	Part float64 `cbor:"26,keyasint,omitempty"`
}

// AskedTokens is what a customer lately asked of a VM in one class of a service's requests.
type AskedTokens struct {
	// Flow is a hash of the service, the class and the customer.
	Flow uint32 `cbor:"1,keyasint"`
	// Tokens is a decayed sum of tokens.
	Tokens uint32 `cbor:"2,keyasint"`
}

// ClassWaits is how long the requests of a class lately waited for their first tokens.
type ClassWaits struct {
	// Class is a hash of the service and the class.
	Class uint32 `cbor:"1,keyasint"`
	// Sent is a decayed number of requests, and Waited the sum of their waits as parts of the
	// latest timely ones, both times 100.
	Sent   uint32 `cbor:"2,keyasint"`
	Waited uint32 `cbor:"3,keyasint"`
}

// isNewer reports whether e is a later update of the same VM than o.
func (e *Entry) isNewer(o *Entry) bool {
	if e.Born != o.Born {
		return e.Born > o.Born
	}
	return e.Seq > o.Seq
}

// SmallFleetSize is the number of VMs above which each VM sends updates less
// often, so that the rate at which a VM receives them does not grow with the
// fleet.
const SmallFleetSize = 16

const (
	// baseInterval is the time between two updates of a VM in a fleet of at most
	// SmallFleetSize VMs. It grows with the fleet, so that the rate at which a VM
	// receives updates does not.
	baseInterval = 250 * time.Millisecond
	// baseAliveTimeout is how long after its last update a VM counts as alive in a
	// small fleet.
	baseAliveTimeout = 1500 * time.Millisecond
	// removeTimeout is how long a silent VM is kept in the table and contacted
	// again.
	removeTimeout = 60 * time.Second
)

// A Member is another VM with its latest known entry. It is replaced rather than changed,
// so that it may be shared.
type Member struct {
	Entry Entry
	// Heard is when the VM sent its last entry that has arrived, from itself or through
	// another VM; after the time on the way.
	Heard time.Time
	// aliveTimeout is how long after Heard the VM counts as alive.
	aliveTimeout time.Duration
	// rank orders VMs at random, alike on all VMs.
	rank uint64
}

// newMember returns a Member.
func newMember(e Entry, heard time.Time, aliveTimeout time.Duration) *Member {
	return &Member{Entry: e, Heard: heard, aliveTimeout: aliveTimeout, rank: Rank(e.VM)}
}

// Rank returns the place of a VM in an order of VMs at random that is the same on all VMs.
func Rank(vm string) uint64 { return xxhash.Sum64String(vm) }

// Rank returns the place of the VM in the order of Rank.
func (m *Member) Rank() uint64 { return m.rank }

// Alive reports whether a new entry of the VM arrived recently.
func (m *Member) Alive(now time.Time) bool { return now.Sub(m.Heard) < m.aliveTimeout }

// intervalFactor returns the factor by which updates are less frequent in a fleet
// of the given size than in a small one.
func intervalFactor(vms int) float64 { return max(1, float64(vms)/SmallFleetSize) }

// aliveTimeout returns how long a VM counts as alive after its last update. Callers are
// directed to VMs that count as alive, so it is as short as updates of a large fleet permit:
// an update is up to one interval old, and takes three rounds to cross two relays and to
// reach the VMs that use the second.
func (t *Table) aliveTimeout() time.Duration {
	return max(time.Duration(float64(baseAliveTimeout)*min(intervalFactor(len(t.members)+1), maxAliveFactor)),
		time.Duration(aliveIntervals*float64(t.Interval())))
}

const (
	// maxAliveFactor bounds the factor by which VMs count as alive for longer than in a
	// small fleet where aliveIntervals does not ask for more.
	maxAliveFactor = 2.0
	// aliveIntervals is the least number of intervals for which VMs count as alive: one
	// for the update, 3/roundsPerUpdate for its way, and half of one for a lost round.
	aliveIntervals = 2.5
)

// Interval returns the time between two updates of this VM.
func (t *Table) Interval() time.Duration {
	return time.Duration(float64(baseInterval) * intervalFactor(len(t.members)+1))
}

// A version identifies one update of a VM.
type version struct {
	born int64
	seq  uint64
}

// A Table holds the latest entries of this VM and of the other VMs found so far. It
// is not safe for concurrent use.
type Table struct {
	self    Entry
	members map[string]*Member
	// sorted holds the members by id; nil if it has to be built anew, and outdated if
	// some of them were replaced since. It is replaced rather than changed, since Members
	// returns it.
	sorted   []*Member
	outdated bool
	// delivered holds, by peer, the latest version of each VM's entry that the peer is
	// known to have.
	delivered map[string]map[string]version
}

// NewTable returns a Table that contains only this VM.
func NewTable(self Entry) *Table {
	return &Table{self: self, members: map[string]*Member{}, delivered: map[string]map[string]version{}}
}

// UpdateSelf changes this VM's entry and increments its sequence number.
func (t *Table) UpdateSelf(update func(e *Entry)) {
	update(&t.self)
	t.self.Seq++
}

// AddRegistered adds a VM that was found in the object store. It does not count as
// alive until an entry of it arrives in an exchange.
func (t *Table) AddRegistered(e Entry, now time.Time) {
	if e.VM == t.self.VM {
		return
	}
	if m, ok := t.members[e.VM]; ok && m.Entry.Born >= e.Born {
		return
	}
	t.set(newMember(e, now.Add(-baseAliveTimeout), baseAliveTimeout))
}

// Merge adds the entries that a peer sent and returns those that were new.
func (t *Table) Merge(from string, entries []Entry, now time.Time) []Entry {
	known := t.delivered[from]
	if known == nil && !t.Large() {
		known = t.deliveredVersions(from)
	}
	fresh := entries[:0:0]
	for _, e := range entries {
		if e.VM == "" {
			continue
		}
		if v := (version{e.Born, e.Seq}); known != nil && known[e.VM].less(v) {
			known[e.VM] = v
		}
		if e.VM == t.self.VM {
			continue
		}
		m, ok := t.members[e.VM]
		if ok && e.Born != m.Entry.Born {
			// Its present incarnation has received nothing yet.
			delete(t.delivered, e.VM)
		}
		// The wall clock may have jumped back between two starts of a VM, so
		// another incarnation of a silent VM counts as newer whatever its Born is.
		restarted := ok && e.Born != m.Entry.Born && !m.Alive(now)
		if ok && !restarted && !e.isNewer(&m.Entry) {
			continue
		}
		heard := now.Add(-time.Duration(max(e.AgeMS, 0)) * time.Millisecond)
		e.AgeMS = 0
		t.set(newMember(e, heard, t.aliveTimeout()))
		fresh = append(fresh, e)
	}
	return fresh
}

func (v version) less(o version) bool {
	if v.born != o.born {
		return v.born < o.born
	}
	return v.seq < o.seq
}

func (t *Table) deliveredVersions(vm string) map[string]version {
	known, ok := t.delivered[vm]
	if !ok {
		known = map[string]version{}
		t.delivered[vm] = known
	}
	return known
}

// EntriesFor returns the entries that a peer is not known to have.
func (t *Table) EntriesFor(peer string, now time.Time) []Entry {
	known := t.deliveredVersions(peer)
	out := []Entry{}
	if known[t.self.VM].less(version{t.self.Born, t.self.Seq}) {
		out = append(out, t.self)
	}
	for vm, m := range t.members {
		if vm != peer && m.Alive(now) && known[vm].less(version{m.Entry.Born, m.Entry.Seq}) {
			out = append(out, m.aged(now))
		}
	}
	return out
}

// aged returns the entry as it is passed on now.
func (m *Member) aged(now time.Time) Entry {
	e := m.Entry
	e.AgeMS = max(now.Sub(m.Heard).Milliseconds(), 0)
	return e
}

// An EntryVersion identifies one update of a given VM.
type EntryVersion struct {
	VM   string `cbor:"1,keyasint"`
	Born int64  `cbor:"2,keyasint"`
	Seq  uint64 `cbor:"3,keyasint"`
}

// Digest returns the versions of all entries that this VM could send.
func (t *Table) Digest(now time.Time) []EntryVersion {
	out := []EntryVersion{{t.self.VM, t.self.Born, t.self.Seq}}
	for _, m := range t.members {
		if m.Alive(now) {
			out = append(out, EntryVersion{m.Entry.VM, m.Entry.Born, m.Entry.Seq})
		}
	}
	return out
}

// Diff returns the entries that are missing from a peer with the given digest, and
// the VMs of which the peer has a newer entry than this one.
func (t *Table) Diff(digest []EntryVersion, now time.Time) (entries []Entry, want []string) {
	theirs := make(map[string]version, len(digest))
	for _, v := range digest {
		theirs[v.VM] = version{v.Born, v.Seq}
	}
	if theirs[t.self.VM].less(version{t.self.Born, t.self.Seq}) {
		entries = append(entries, t.self)
	}
	for vm, m := range t.members {
		if m.Alive(now) && theirs[vm].less(version{m.Entry.Born, m.Entry.Seq}) {
			entries = append(entries, m.aged(now))
		}
	}
	for _, v := range digest {
		m, ok := t.members[v.VM]
		if v.VM != t.self.VM && (!ok || (version{m.Entry.Born, m.Entry.Seq}).less(version{v.Born, v.Seq})) {
			want = append(want, v.VM)
		}
	}
	return entries, want
}

// EntriesOf returns the entries of the given VMs.
func (t *Table) EntriesOf(vms []string, now time.Time) []Entry {
	var out []Entry
	for _, vm := range vms {
		if vm == t.self.VM {
			out = append(out, t.self)
		} else if m, ok := t.members[vm]; ok {
			out = append(out, m.aged(now))
		}
	}
	return out
}

// Large reports whether the fleet is so large that VMs compare digests before they
// send each other entries.
func (t *Table) Large() bool { return len(t.members) >= SmallFleetSize }

// MarkDelivered records that a peer has received entries.
func (t *Table) MarkDelivered(peer string, entries []Entry) {
	known := t.deliveredVersions(peer)
	for _, e := range entries {
		if v := (version{e.Born, e.Seq}); known[e.VM].less(v) {
			known[e.VM] = v
		}
	}
}

// set adds a member or replaces it.
func (t *Table) set(m *Member) {
	if _, ok := t.members[m.Entry.VM]; !ok {
		t.sorted = nil
	}
	t.members[m.Entry.VM] = m
	t.outdated = true
}

// Members returns the other VMs in the table, sorted by id. The slice must not be changed.
func (t *Table) Members() []*Member {
	switch {
	case t.sorted != nil && t.outdated:
		current := make([]*Member, len(t.sorted))
		for i, m := range t.sorted {
			current[i] = t.members[m.Entry.VM]
		}
		t.sorted = current
	case t.sorted == nil:
		t.sorted = slices.SortedFunc(maps.Values(t.members), func(a, b *Member) int { return strings.Compare(a.Entry.VM, b.Entry.VM) })
	}
	t.outdated = false
	return t.sorted
}

// RemoveGone removes VMs that have been silent for removeTimeout, and silent ones
// whose address another VM now uses. It returns their ids.
func (t *Table) RemoveGone(now time.Time) []string {
	var removed []string
	used := map[string]bool{t.self.Peers: true}
	for _, m := range t.members {
		if m.Alive(now) {
			used[m.Entry.Peers] = true
		}
	}
	for vm, m := range t.members {
		if now.Sub(m.Heard) > removeTimeout || !m.Alive(now) && used[m.Entry.Peers] {
			delete(t.members, vm)
			delete(t.delivered, vm)
			removed = append(removed, vm)
			t.sorted = nil
		}
	}
	return removed
}
