package config

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/baobabdyke/baobabdyke/vm"
)

// Current returns the configuration in force, which is never nil. Its version
// is 0 if no configuration has been adopted yet.
func (m *Manager) Current() *View { return m.view.Load() }

// Fresh reports whether routes that require a key may be served. This is so if
// the VM cannot have missed the withdrawal of a key.
func (m *Manager) Fresh() bool {
	// Read the reachable VMs before newestReported: a heartbeat updates
	// newestReported before it counts its sender as reachable.
	reached, listed := m.reachableVMs()
	now := m.opts.Clock.Now()
	s := m.state.Load().freshnessState
	if m.newestReported.Load() > s.version && !s.lagging {
		s.lagging, s.laggingSince = true, now
	}
	return s.isFresh(reached, listed, now)
}

// reachableVMs returns the number of reachable VMs and the number of listed
// VMs.
func (m *Manager) reachableVMs() (reached, listed int) {
	if c, ok := m.opts.Roster.(vm.Carrier); ok {
		return c.Reachable()
	}
	return len(m.opts.Roster.Live()), m.opts.Roster.Listed()
}

// otherMembers returns the live VMs except this one.
func (m *Manager) otherMembers() []vm.Member {
	return slices.DeleteFunc(slices.Clone(m.opts.Roster.Live()), func(member vm.Member) bool {
		return member.ID == m.opts.Self
	})
}

// peersByDataCentre returns the other live VMs of this data centre, and the
// live VMs of each other data centre.
func (m *Manager) peersByDataCentre() (local []vm.Member, remote [][]vm.Member) {
	self := m.opts.Roster.Self().DataCentre
	groups := map[string]int{}
	for _, member := range m.otherMembers() {
		if member.DataCentre == self {
			local = append(local, member)
			continue
		}
		i, ok := groups[member.DataCentre]
		if !ok {
			i = len(remote)
			groups[member.DataCentre] = i
			remote = append(remote, nil)
		}
		remote[i] = append(remote[i], member)
	}
	return local, remote
}

// isWatcher reports whether this VM is one of those that watch the head in its
// data centre.
func (m *Manager) isWatcher() bool {
	return m.rank(m.opts.Roster.Self().DataCentre) < watchersPerDataCentre
}

// rank returns the number of live VMs in a data centre that precede this VM in
// the order of rendezvous hashing. If dataCentre is "", it counts those of all
// data centres.
func (m *Manager) rank(dataCentre string) int {
	own := rendezvousScore(m.opts.Self)
	preceding := 0
	for _, member := range m.otherMembers() {
		if dataCentre != "" && member.DataCentre != dataCentre {
			continue
		}
		if score := rendezvousScore(member.ID); score > own || score == own && member.ID < m.opts.Self {
			preceding++
		}
	}
	return preceding
}

func rendezvousScore(id string) uint64 { return xxhash.Sum64String(headKey + "\x00" + id) }

// A Dump is the state of a Manager for operators. Age is in milliseconds, or
// -1 if the object store has not confirmed the version in force.
type Dump struct {
	Version  int64  `json:"version"`
	Root     string `json:"root"`
	Fresh    bool   `json:"fresh"`
	Age      int64  `json:"age"`
	Lagging  bool   `json:"lagging"`
	Watching bool   `json:"watching"`
	Patches  int    `json:"patches"`
	Reads    int64  `json:"reads"`
	Writes   int64  `json:"writes"`
	Pulls    int64  `json:"pulls"`
	Pushes   int64  `json:"pushes"`
}

// Dump returns the state of the manager for operators.
func (m *Manager) Dump() any {
	s := m.state.Load()
	age := s.age(m.opts.Clock.Now())
	d := Dump{
		Version: s.version, Root: s.snap.root, Fresh: m.Fresh(), Age: age.Milliseconds(),
		Lagging: s.lagging, Watching: m.isWatcher(), Patches: len(s.patches),
		Reads: m.reads.Load(), Writes: m.writes.Load(), Pulls: m.pulls.Load(), Pushes: m.pushes.Load(),
	}
	if age == vm.AgeUnknown {
		d.Age = -1
	}
	return d
}
