// Package queue provides admission control for requests that wait for a
// target. The queue of each route is bounded, customers get fair shares of
// tokens, and deadlines are observed.
//
// The customer with the lowest recent token usage is served next. Its own
// requests run by priority, then in order of arrival. The number of requests
// that may run in a pool adapts to the pool's latency.
package queue

import "time"

// A Ticket describes one request to be admitted. Pool names the targets whose
// capacity it needs. Limit is the largest number of waiting requests of
// its route; zero selects the default.
type Ticket struct {
	Route    string
	Pool     string
	Customer string
	Tokens   float64
	Priority int
	Deadline time.Time
	Limit    int
}

// An Outcome is the result of waiting: Admitted or Rejected.
type Outcome interface{ outcome() }

// Admitted is the outcome of a request that may run. Release must be called
// when the request has ended; further calls have no effect. Its firstByte is
// the time to the first byte of the response, zero if there was none.
type Admitted struct {
	Release func(firstByte time.Duration, failed bool)
}

// Rejected is the outcome of a request that did not run: the queue was full,
// the deadline could not be met, the context ended, or the queue was stopped.
type Rejected struct {
	Reason     string
	RetryAfter time.Duration
}

func (Admitted) outcome() {}
func (Rejected) outcome() {}
