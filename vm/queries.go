package vm

import (
	"maps"
	"slices"
	"sort"

	"github.com/baobabdyke/baobabdyke/store"
)

// A view is an immutable copy of the membership for readers.
type view struct {
	self       Member
	live       []Member
	others     map[string]Update
	listed     map[string]store.VMRecord
	removedIDs map[string]struct{}
	outcomes   []outcome
	listRead   bool
	listedUp   int // number of other VMs that are listed and not Down
}

// publish replaces the view of readers with a copy of m.
func (t *Task) publish(m *membership) {
	v := &view{
		self:       m.self,
		live:       []Member{m.self},
		others:     make(map[string]Update, len(m.others)),
		listed:     m.listed,
		listRead:   m.listRead,
		removedIDs: m.removedIDs,
		outcomes:   slices.Clone(m.outcomes),
	}
	for id, s := range m.others {
		v.others[id] = s.Update
		if s.Health == Down {
			continue
		}
		v.live = append(v.live, s.Member)
		if _, listed := m.listed[id]; listed {
			v.listedUp++
		}
	}
	sort.Slice(v.live, func(i, j int) bool { return v.live[i].ID < v.live[j].ID })
	t.view.Store(v)
}

// Self implements Roster.
func (t *Task) Self() Member { return t.view.Load().self }

// Live implements Roster. VMs that are Suspect are included.
func (t *Task) Live() []Member { return slices.Clone(t.view.Load().live) }

// Listed implements Roster. If no VM is listed it returns the number of known VMs.
func (t *Task) Listed() int {
	v := t.view.Load()
	if !v.listRead {
		return 0
	}
	return v.fleetSize()
}

// fleetSize returns the number of listed VMs, or of known ones if none is listed.
func (v *view) fleetSize() int {
	if len(v.listed) == 0 {
		return len(v.others) + 1
	}
	return len(v.listed)
}

// Removed implements Roster.
func (t *Task) Removed(id string) bool {
	_, removed := t.view.Load().removedIDs[id]
	return removed
}

// Leaving reports whether the VM is draining or stopped, or is listed by the
// platform as leaving.
func (t *Task) Leaving(id string) bool {
	v := t.view.Load()
	if v.listed[id].State == store.VMLeaving {
		return true
	}
	state := v.others[id].Member.State
	if id == v.self.ID {
		state = v.self.State
	}
	return state == StateDraining || state == StateStopped
}

// Reachable implements Carrier.
func (t *Task) Reachable() (reachable, listed int) {
	v := t.view.Load()
	listed = v.fleetSize()
	others := v.listedUp
	if len(v.listed) == 0 {
		others = len(v.live) - 1
	}
	return min(estimateReachable(v.outcomes, others, t.opts.Clock.Now()), listed), listed
}

// member returns the record of another VM.
func (t *Task) member(id string) (Member, bool) {
	u, ok := t.view.Load().others[id]
	return u.Member, ok
}

// A Dump is the state of the membership for operators.
type Dump struct {
	Self    DumpMember   `json:"self"`
	Reached int          `json:"reached"`
	Listed  int          `json:"listed"`
	Others  []DumpMember `json:"others"`
	Removed int          `json:"removed"`
}

// A DumpMember is one VM in a Dump.
type DumpMember struct {
	ID          string   `json:"id"`
	Incarnation uint64   `json:"incarnation"`
	Region      string   `json:"region"`
	DataCentre  string   `json:"datacentre"`
	Caller      string   `json:"caller"`
	Peer        string   `json:"peer"`
	State       string   `json:"state"`
	Config      int64    `json:"config"`
	Health      string   `json:"health"`
	Accusers    []string `json:"accusers,omitempty"`
	Listed      string   `json:"listed"`
}

// Dump returns the state of the membership for operators.
func (t *Task) Dump() any {
	v := t.view.Load()
	reachable, listed := t.Reachable()
	d := Dump{Reached: reachable, Listed: listed, Removed: len(v.removedIDs)}
	d.Self = v.dump(Update{Member: v.self})
	for _, id := range slices.Sorted(maps.Keys(v.others)) {
		d.Others = append(d.Others, v.dump(v.others[id]))
	}
	return d
}

func (v *view) dump(u Update) DumpMember {
	return DumpMember{
		ID: u.Member.ID, Incarnation: u.Member.Incarnation, Region: u.Member.Region,
		DataCentre: u.Member.DataCentre, Caller: u.Member.Caller, Peer: u.Member.Peer,
		State: u.Member.State, Config: u.Member.Config, Health: u.Health.String(),
		Accusers: u.Accusers, Listed: v.listed[u.Member.ID].State,
	}
}
