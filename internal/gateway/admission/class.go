package admission

import "time"

// A class is the state of the requests of a class.
type class struct {
	waits
	// firstTimeLeft is the time left of requests that are sent for the first time.
	firstTimeLeft time.Duration
}

const (
	// returnFactor is how much more often callers are admitted who come back after the
	// Retry-After that they were given.
	returnFactor = 2.0
	// lateFactor is the same for requests that have missed their latency goal already.
	// They take as much work as others.
	lateFactor = 0.5
	// returnSlack is how much later than Retry-After a caller may come back, as a part of the
	// latency goal.
	returnSlack = 0.1
)

// adjust returns the share of requests like r that are admitted, of a share for all. No id
// links the tries of a caller, but its deadline does: the time left is shorter by the time
// since its first try. Where callers of a class choose deadlines freely, some are taken for
// others.
func (c *class) adjust(share float64, r *Request) float64 {
	c.firstTimeLeft = max(c.firstTimeLeft, r.TimeLeft)
	if share >= 1 {
		return share
	}
	goal := float64(r.goal())
	switch elapsed := float64(c.firstTimeLeft - r.TimeLeft); {
	case elapsed > goal:
		return share * lateFactor
	case elapsed >= minRetryGoals*goal && elapsed <= (maxRetryGoals+returnSlack)*goal:
		return min(share*returnFactor, 1)
	}
	return share
}
