package config

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/baobabdyke/baobabdyke/vm"
)

// Current returns the configuration in force, which is never nil. Its version
// is 0 when there is none yet.
func (k *Manager) Current() *View { return k.view.Load() }

// Fresh tells whether keyed routes may be served: whether this VM can be
// trusted not to have missed the withdrawal of a key.
func (k *Manager) Fresh() bool {
	// The VMs in reach are read first: a heartbeat that adds to them has told
	// its version before.
	reached, listed := k.inReach()
	now := k.opts.Clock.Now()
	s := k.state.Load().standing
	if k.claimed.Load() > s.version && !s.lagging {
		s.lagging, s.behind = true, now
	}
	return s.fresh(reached, listed, now)
}

// inReach returns the number of VMs in reach and of listed ones.
func (k *Manager) inReach() (reached, listed int) {
	if c, ok := k.opts.Roster.(vm.Carrier); ok {
		return c.Reachable()
	}
	return len(k.opts.Roster.Live()), k.opts.Roster.Listed()
}

// otherMembers returns the live VMs but this one.
func (k *Manager) otherMembers() []vm.Member {
	return slices.DeleteFunc(slices.Clone(k.opts.Roster.Live()), func(m vm.Member) bool {
		return m.ID == k.opts.Self
	})
}

// byDataCentre returns the other live VMs of this data centre, and those of
// every other one.
func (k *Manager) byDataCentre() (near []vm.Member, far [][]vm.Member) {
	self := k.opts.Roster.Self().DataCentre
	groups := map[string]int{}
	for _, m := range k.otherMembers() {
		if m.DataCentre == self {
			near = append(near, m)
			continue
		}
		i, ok := groups[m.DataCentre]
		if !ok {
			i = len(far)
			groups[m.DataCentre] = i
			far = append(far, nil)
		}
		far[i] = append(far[i], m)
	}
	return near, far
}

// watches tells whether this VM is one of the watchers of its data centre.
func (k *Manager) watches() bool {
	return k.rank(k.opts.Roster.Self().DataCentre) < watchersPerDataCentre
}

// rank returns the place of this VM among the live VMs of a data centre, or of
// all when it is "", in the order of rendezvous hashing.
func (k *Manager) rank(dataCentre string) int {
	own := rendezvous(k.opts.Self)
	before := 0
	for _, m := range k.otherMembers() {
		if dataCentre != "" && m.DataCentre != dataCentre {
			continue
		}
		if score := rendezvous(m.ID); score > own || score == own && m.ID < k.opts.Self {
			before++
		}
	}
	return before
}

func rendezvous(id string) uint64 { return xxhash.Sum64String(headKey + "\x00" + id) }

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
func (k *Manager) Dump() any {
	s := k.state.Load()
	age := s.age(k.opts.Clock.Now())
	d := Dump{
		Version: s.version, Root: s.snap.root, Fresh: k.Fresh(), Age: age.Milliseconds(),
		Lagging: s.lagging, Watching: k.watches(), Patches: len(s.patches),
		Reads: k.reads.Load(), Writes: k.writes.Load(), Pulls: k.pulls.Load(), Pushes: k.pushes.Load(),
	}
	if age == vm.AgeUnknown {
		d.Age = -1
	}
	return d
}
