package vm

import "time"

const (
	// reachWindow is how long the outcome of a probe counts for Reach.
	reachWindow = 3 * time.Second
	// maxOutcomes bounds the outcomes that are kept.
	maxOutcomes = 32
)

// An outcome is the result of one probe of another VM.
type outcome struct {
	id  string
	at  time.Time
	got bool
}

// note keeps the outcome of a probe.
func (m *members) note(id string, got bool, now time.Time) {
	if len(m.outcomes) == maxOutcomes {
		m.outcomes = m.outcomes[1:]
	}
	m.outcomes = append(m.outcomes, outcome{id: id, at: now, got: got})
}

// reach estimates the number of VMs in reach, this one included, from the last
// outcome of each VM within the window and the number of others that are not
// Down. Without an outcome, only this VM is in reach.
func reach(outcomes []outcome, others int, now time.Time) int {
	last := map[string]bool{}
	for _, o := range outcomes {
		if now.Sub(o.at) <= reachWindow {
			last[o.id] = o.got
		}
	}
	got := 0
	for _, ok := range last {
		if ok {
			got++
		}
	}
	if got == 0 {
		return 1
	}
	return 1 + (others*got+len(last)/2)/len(last)
}
