package model

import (
	"time"

	"github.com/baobabdyke/baobabdyke/queue"
)

// A Queue decides which request starts next.
type Queue interface {
	// Step applies an event and returns which requests start or are refused.
	Step(e queue.Event, now time.Time) []queue.Effect
}

// A FIFO is the baseline: one queue for all customers with a bounded length.
type FIFO struct {
	waiting  []uint64
	running  int
	capacity int
}

// NewFIFO returns an empty FIFO for a pool of the given capacity.
func NewFIFO(capacity int) *FIFO { return &FIFO{capacity: capacity} }

// Step implements Queue.
func (f *FIFO) Step(e queue.Event, _ time.Time) []queue.Effect {
	switch e := e.(type) {
	case queue.Arrive:
		if len(f.waiting) >= e.Ticket.Limit {
			return []queue.Effect{queue.Reject{ID: e.ID, Reason: queue.ReasonFull}}
		}
		f.waiting = append(f.waiting, e.ID)
	case queue.End:
		f.running--
	}
	var effects []queue.Effect
	for f.running < f.capacity && len(f.waiting) > 0 {
		effects = append(effects, queue.Start{ID: f.waiting[0]})
		f.waiting = f.waiting[1:]
		f.running++
	}
	return effects
}

// NewFair returns an empty queue of package queue for a pool of the given
// capacity.
func NewFair(capacity int, now time.Time) *queue.State {
	s := queue.NewState()
	s.Step(queue.SetCapacity{Pool: poolName, Capacity: capacity}, now)
	return s
}
