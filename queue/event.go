package queue

import "time"

// An Event is an input of State.Step: Arrive, Abandon, End, SetCapacity or
// Tick.
type Event interface{ event() }

// Arrive is the arrival of a request. IDs increase in order of arrival.
type Arrive struct {
	ID     uint64
	Ticket Ticket
}

// Abandon is the caller's cancellation of a waiting request.
type Abandon struct {
	ID     uint64
	Ticket Ticket
}

// End is the end of a running request. FirstByte is the time to the first byte
// of its response, zero if there was none.
type End struct {
	ID        uint64
	FirstByte time.Duration
	Failed    bool
}

// SetCapacity sets the largest number of running requests of a pool.
type SetCapacity struct {
	Pool     string
	Capacity int
}

// Tick rejects the waiting requests whose deadline has passed. It is sent
// periodically.
type Tick struct{}

func (Arrive) event()      {}
func (Abandon) event()     {}
func (End) event()         {}
func (SetCapacity) event() {}
func (Tick) event()        {}

// An Effect is an action that State.Step requests: Start or Reject.
type Effect interface{ effect() }

// Start admits a waiting request.
type Start struct{ ID uint64 }

// Reject rejects a request.
type Reject struct {
	ID         uint64
	Reason     string
	RetryAfter time.Duration
}

func (Start) effect()  {}
func (Reject) effect() {}
