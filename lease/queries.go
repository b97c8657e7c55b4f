package lease

import (
	"slices"
	"strings"
	"time"
)

// Wants returns the duties that the task tries to hold, sorted.
func (t *Task) Names() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	duties := make([]string, 0, len(t.wanted))
	for duty := range t.wanted {
		duties = append(duties, duty)
	}
	slices.Sort(duties)
	return duties
}

// A Grant is the right to act as the holder of a duty. Left is for how long;
// who acts later must ask again.
type Grant struct {
	Term      int64
	Remaining time.Duration
}

// Held returns the right to act on a duty, as of now. It reports false if the
// process does not hold the duty or its time is over.
func (t *Task) Held(duty string) (Grant, bool) {
	t.mu.Lock()
	c := t.candidates[duty]
	t.mu.Unlock()
	if c == nil {
		return Grant{}, false
	}
	w := c.current()
	left := w.Remaining(t.opts.Clock.Now())
	if left <= 0 {
		return Grant{}, false
	}
	return Grant{Term: w.Record.Lease.Term, Remaining: left}, true
}

// A Duty is one duty in a Dump.
type Status struct {
	Name      string `json:"duty"`
	Holder    string `json:"holder"`
	Term      int64  `json:"term"`
	Held      bool   `json:"held"`
	Remaining string `json:"left"`
}

// Dump returns the duties that the task tries to hold, sorted by name.
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
		w := c.current()
		left := w.Remaining(now)
		l := w.Record.Lease
		list = append(list, Status{Name: c.duty, Holder: l.Holder, Term: l.Term, Held: left > 0, Remaining: left.String()})
	}
	slices.SortFunc(list, func(a, b Status) int { return strings.Compare(a.Name, b.Name) })
	return list
}
