// Package queue holds the requests that wait for a target: bounded for each
// route, with fair shares of tokens among customers, and aware of deadlines.
//
// The customer that has used the fewest tokens of late has the next turn. Its
// own requests run by priority, then in the order of arrival. A pool's bound
// on running requests follows the latency of its answers.
package queue

import "time"

// A Ticket is one request that asks to run. Pool names the targets whose
// capacity it needs, Limit the largest number of waiting requests of its route.
type Ticket struct {
	Route    string
	Pool     string
	Customer string
	Tokens   float64
	Priority int
	Deadline time.Time
	Limit    int
}

// An Outcome is the result of waiting: Entered or Rejected.
type Outcome interface{ outcome() }

// Entered reports that the request may run. Leave must be called when the
// request has ended, and counts once; it tells how long the first byte took, zero for none.
type Admitted struct {
	Release func(firstByte time.Duration, failed bool)
}

// Rejected reports a request that did not run: the queue is full, the deadline
// cannot be met, or the context ended.
type Rejected struct {
	Reason     string
	RetryAfter time.Duration
}

func (Admitted) outcome() {}
func (Rejected) outcome() {}
