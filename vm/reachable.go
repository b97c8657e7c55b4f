package vm

import "time"

const (
	// outcomeWindow is how long the outcome of a probe counts for Reachable.
	outcomeWindow = 3 * time.Second
	// maxOutcomes is the maximum number of outcomes kept.
	maxOutcomes = 32
)

// An outcome is the result of one probe of another VM.
type outcome struct {
	id        string
	at        time.Time
	responded bool
}

// recordOutcome records the outcome of a probe, in place of the oldest one if
// there are maxOutcomes.
func (m *membership) recordOutcome(id string, responded bool, now time.Time) {
	if len(m.outcomes) == maxOutcomes {
		m.outcomes = m.outcomes[1:]
	}
	m.outcomes = append(m.outcomes, outcome{id: id, at: now, responded: responded})
}

// estimateReachable estimates the number of reachable VMs, including this one,
// from the last outcome of each VM within the window and the number of other VMs
// that are not Down. Without a successful outcome it returns 1.
func estimateReachable(outcomes []outcome, others int, now time.Time) int {
	last := map[string]bool{}
	for _, o := range outcomes {
		if now.Sub(o.at) <= outcomeWindow {
			last[o.id] = o.responded
		}
	}
	reachable := 0
	for _, ok := range last {
		if ok {
			reachable++
		}
	}
	if reachable == 0 {
		return 1
	}
	return 1 + (others*reachable+len(last)/2)/len(last)
}
