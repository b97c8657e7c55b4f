package config

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/baobabdyke/baobabdyke/vm"
)

// Current returns the configuration in force, which is never nil. Its version
// is 0 when there is none yet.
func (m *Manager) Current() *View { return m.view.Load() }

// Fresh tells whether keyed routes may be served: whether this VM can be
// trusted not to have missed the withdrawal of a key.
func (m *Manager) Fresh() bool {
	// The VMs in reach are read first: a heartbeat that adds to them has told
	// its version before.
	reached, listed := m.reachableVMs()
	now := m.opts.Clock.Now()
	s := m.state.Load().freshnessState
	if m.newestReported.Load() > s.version && !s.lagging {
		s.lagging, s.laggingSince = true, now
	}
	return s.isFresh(reached, listed, now)
}

// inReach returns the number of VMs in reach and of listed ones.
func (m *Manager) reachableVMs() (reached, listed int) {
	if c, ok := m.opts.Roster.(vm.Carrier); ok {
		return c.Reach()
	}
	return len(m.opts.Roster.Live()), m.opts.Roster.Listed()
}

// otherMembers returns the live VMs but this one.
func (m *Manager) otherMembers() []vm.Member {
	return slices.DeleteFunc(slices.Clone(m.opts.Roster.Live()), func(member vm.Member) bool {
		return member.ID == m.opts.Self
	})
}

// byDataCentre returns the other live VMs of this data centre, and those of
// every other one.
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

// watches tells whether this VM is one of the watchers of its data centre.
func (m *Manager) isWatcher() bool {
	return m.rank(m.opts.Roster.Self().DataCentre) < watchersPerDataCentre
}

// rank returns the place of this VM among the live VMs of a data centre, or of
// all when it is "", in the order of rendezvous hashing.
func (m *Manager) rank(dataCentre string) int {
	own := rendezvousScore(m.opts.Self)
	before := 0
	for _, member := range m.otherMembers() {
		if dataCentre != "" && member.DataCentre != dataCentre {
			continue
		}
		if score := rendezvousScore(member.ID); score > own || score == own && member.ID < m.opts.Self {
			before++
		}
	}
	return before
}

func rendezvousScore(id string) uint64 { return xxhash.Sum64String(headKey + "\x00" + id) }

// A Dump is the state of a Keeper for operators. Ages are in milliseconds, and
// -1 when the object API was never heard.
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

// Dump returns the state of the keeper for operators.
func (m *Manager) Dump() any {
	s := m.state.Load()
	age := s.age(m.opts.Clock.Now())
	d := Dump{
		Version: s.version, Root: s.snap.root, Fresh: m.Fresh(), Age: age.Milliseconds(),
		Lagging: s.lagging, Watching: m.isWatcher(), Patches: len(s.patches),
		Reads: m.reads.Load(), Writes: m.writes.Load(), Pulls: m.pulls.Load(), Pushes: m.pushes.Load(),
	}
	if age == vm.NoWord {
		d.Age = -1
	}
	return d
}
