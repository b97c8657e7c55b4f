package lease

import (
	"slices"
	"strings"
	"time"
)

// Names returns the names of the leases that the task tries to hold, sorted.
func (t *Task) Names() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	names := make([]string, 0, len(t.names))
	for name := range t.names {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// A Grant is the right to act as the holder of a lease for the Remaining time. To
// act later, call Held again.
type Grant struct {
	Term      int64
	Remaining time.Duration
}

// Held returns the current right to act as the holder of a lease. It reports false
// if the process does not hold the lease or the right has ended.
func (t *Task) Held(name string) (Grant, bool) {
	t.mu.Lock()
	c := t.candidates[name]
	t.mu.Unlock()
	if c == nil {
		return Grant{}, false
	}
	tracker := c.current()
	left := tracker.Remaining(t.opts.Clock.Now())
	if left <= 0 {
		return Grant{}, false
	}
	return Grant{Term: tracker.Record.Lease.Term, Remaining: left}, true
}

// A Status is the status of one lease in a Dump.
type Status struct {
	Name      string `json:"duty"`
	Holder    string `json:"holder"`
	Term      int64  `json:"term"`
	Held      bool   `json:"held"`
	Remaining string `json:"left"`
}

// Dump returns the status of the leases that the task tries to hold, sorted by name.
func (t *Task) Dump() any {
	t.mu.Lock()
	candidates := make([]*candidate, 0, len(t.candidates))
	for _, c := range t.candidates {
		candidates = append(candidates, c)
	}
	t.mu.Unlock()
	now := t.opts.Clock.Now()
	list := make([]Status, 0, len(candidates))
	for _, c := range candidates {
		tracker := c.current()
		left := tracker.Remaining(now)
		l := tracker.Record.Lease
		list = append(list, Status{Name: c.name, Holder: l.Holder, Term: l.Term, Held: left > 0, Remaining: left.String()})
	}
	slices.SortFunc(list, func(a, b Status) int { return strings.Compare(a.Name, b.Name) })
	return list
}
