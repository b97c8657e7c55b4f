package queue

import "time"

// An Event is what Step reacts to: Arrive, Abandon, End, SetCapacity or Tick.
type Event interface{ event() }

// Arrive is a request that asks to run. IDs grow with arrival.
type Arrive struct {
	ID     uint64
	Ticket Ticket
}

// Abandon is the end of a wait by the caller.
type Abandon struct {
	ID     uint64
	Ticket Ticket
}

// End is the end of a running request. FirstByte is the time to the first byte
// of its answer, zero for none.
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

// Tick lets deadlines pass.
type Tick struct{}

func (Arrive) event()      {}
func (Abandon) event()     {}
func (End) event()         {}
func (SetCapacity) event() {}
func (Tick) event()        {}

// An Effect is what a step asks its task to do: Start or Reject.
type Effect interface{ effect() }

// Start lets a waiting request run.
type Start struct{ ID uint64 }

// Reject ends the wait of a request that did not run.
type Reject struct {
	ID         uint64
	Reason     string
	RetryAfter time.Duration
}

func (Start) effect()  {}
func (Reject) effect() {}
