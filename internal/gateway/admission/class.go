package admission

import "time"

// A class is the state of the requests of a class.
type class struct {
	waits
	// patience is the time left of requests that are sent for the first time.
	patience time.Duration
}

const (
	// returnFactor is how much more often callers are admitted who come back when they were
	// told to.
	returnFactor = 2.0
	// hopelessFactor is the same for requests that have missed their latency goal already.
	// They take as much work as others.
	hopelessFactor = 0.5
	// returnSlack is how much later than told a caller may come back.
	returnSlack = 0.1
)

// adjust returns the share of requests like r that are admitted, of a share for all. No id
// links the tries of a caller, but its deadline does: the time left is shorter by the time
// since its first try. Where callers of a class choose deadlines freely, some are taken for
// others.
func (c *class) adjust(share float64, r *Request) float64 {
	c.patience = max(c.patience, r.TimeLeft)
	if share >= 1 {
		return share
	}
	goal := float64(r.goal())
	switch elapsed := float64(c.patience - r.TimeLeft); {
	case elapsed > goal:
		return share * hopelessFactor
	case elapsed >= minRetryGoals*goal && elapsed <= (maxRetryGoals+returnSlack)*goal:
		return min(share*returnFactor, 1)
	}
	return share
}
