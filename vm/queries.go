package vm

import (
	"maps"
	"slices"
	"sort"

	"github.com/baobabdyke/baobabdyke/store"
)

// A view is an immutable copy of the membership for readers.
type view struct {
	self     Member
	live     []Member
	others   map[string]Update
	listed   map[string]store.VMRecord
	gone     map[string]struct{}
	outcomes []outcome
	up       int // others that are not Down and listed
}

// publish makes the state visible to readers.
func (t *Task) publish(m *members) {
	v := &view{
		self:     m.self,
		live:     []Member{m.self},
		others:   make(map[string]Update, len(m.others)),
		listed:   m.listed,
		gone:     m.gone,
		outcomes: slices.Clone(m.outcomes),
	}
	for id, k := range m.others {
		v.others[id] = k.Update
		if k.Health == Down {
			continue
		}
		v.live = append(v.live, k.Member)
		if _, listed := m.listed[id]; listed {
			v.up++
		}
	}
	sort.Slice(v.live, func(i, j int) bool { return v.live[i].ID < v.live[j].ID })
	t.view.Store(v)
}

// Self implements Roster.
func (t *Task) Self() Member { return t.view.Load().self }

// Live implements Roster. VMs that are Suspect are included.
func (t *Task) Live() []Member { return slices.Clone(t.view.Load().live) }

// Listed implements Roster. Before the first list it returns the number of VMs
// that are known.
func (t *Task) Listed() int { return t.view.Load().size() }

// size returns the number of listed VMs.
func (v *view) size() int {
	if len(v.listed) == 0 {
		return len(v.others) + 1
	}
	return len(v.listed)
}

// Removed implements Roster.
func (t *Task) Removed(id string) bool {
	_, gone := t.view.Load().gone[id]
	return gone
}

// Leaving tells whether the VM drains, or the platform lists it as leaving.
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

// Reach implements Carrier.
func (t *Task) Reachable() (reached, listed int) {
	v := t.view.Load()
	listed = v.size()
	others := v.up
	if len(v.listed) == 0 {
		others = len(v.live) - 1
	}
	return min(reach(v.outcomes, others, t.opts.Clock.Now()), listed), listed
}

// member returns the record of another VM.
func (t *Task) member(id string) (Member, bool) {
	u, ok := t.view.Load().others[id]
	return u.Member, ok
}

// A Dump is the membership for operators.
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

// Dump returns the membership for operators.
func (t *Task) Dump() any {
	v := t.view.Load()
	reached, listed := t.Reachable()
	d := Dump{Reached: reached, Listed: listed, Removed: len(v.gone)}
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
