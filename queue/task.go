package queue

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/baobabdyke/baobabdyke/store"
)

const (
	// mailboxSize is the number of messages that can be pending for the task.
	mailboxSize = 64
	// tickInterval is the interval at which the deadlines of waiting requests
	// are checked.
	tickInterval = 20 * time.Millisecond
)

// Options configure a Task. With a nil Clock the system clock is used, with a
// nil Log nothing is logged.
type Options struct {
	Clock store.Clock
	Log   log.Logger
}

// A Task owns a queue. Only the goroutine of Run accesses the state; the other
// methods are safe for concurrent use.
type Task struct {
	clock   store.Clock
	log     log.Logger
	mailbox chan any
	stopped chan struct{}
	lastID  atomic.Uint64
	counts  counters
}

type counters struct {
	admitted, full, deadline, abandoned atomic.Int64
}

// An arrival is an Arrive event with the channel for its effect. The messages
// in a Task's mailbox are arrivals, dumpRequests and other Events.
type arrival struct {
	Arrive
	reply chan Effect
}

type dumpRequest struct{ reply chan Dump }

// NewTask returns a Task that serves requests while its Run is running.
func NewTask(o Options) *Task {
	if o.Log == nil {
		o.Log = log.NewNopLogger()
	}
	if o.Clock == nil {
		o.Clock = store.SystemClock{}
	}
	return &Task{
		clock: o.Clock, log: log.With(o.Log, "part", "queue"),
		mailbox: make(chan any, mailboxSize), stopped: make(chan struct{}),
	}
}

// Run processes events until ctx ends, and then rejects all waiting requests.
// It may be called only once.
func (t *Task) Run(ctx context.Context) error {
	defer close(t.stopped)
	s := NewState()
	waiting := map[uint64]chan Effect{}
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case m := <-t.mailbox:
			t.handle(s, waiting, m)
		case <-ticker.C:
			t.apply(waiting, s.Step(Tick{}, t.clock.Now()))
		}
	}
}

// handle processes one message.
func (t *Task) handle(s *State, waiting map[uint64]chan Effect, m any) {
	switch m := m.(type) {
	case arrival:
		waiting[m.ID] = m.reply
		t.apply(waiting, s.Step(m.Arrive, t.clock.Now()))
	case Event:
		t.apply(waiting, s.Step(m, t.clock.Now()))
	case dumpRequest:
		m.reply <- s.Dump()
	}
}

// apply sends each effect to the caller that waits for it.
func (t *Task) apply(waiting map[uint64]chan Effect, effects []Effect) {
	for _, e := range effects {
		var id uint64
		switch e := e.(type) {
		case Start:
			id = e.ID
		case Reject:
			id = e.ID
		}
		waiting[id] <- e
		delete(waiting, id)
	}
}

// Acquire waits until the request may run or is rejected. If ctx ends first,
// the request is rejected.
func (t *Task) Acquire(ctx context.Context, ticket Ticket) Outcome {
	a := arrival{
		Arrive: Arrive{ID: t.lastID.Add(1), Ticket: ticket},
		reply:  make(chan Effect, 1),
	}
	if !t.post(a) {
		return Rejected{Reason: ReasonStopped, RetryAfter: minRetryAfter}
	}
	select {
	case e := <-a.reply:
		return t.outcome(a.ID, e)
	case <-t.stopped:
		return Rejected{Reason: ReasonStopped, RetryAfter: minRetryAfter}
	case <-ctx.Done():
		return t.abandon(a)
	}
}

// abandon cancels a waiting request, or ends it if it has been started in the
// meantime.
func (t *Task) abandon(a arrival) Outcome {
	t.counts.abandoned.Add(1)
	if t.post(Abandon{ID: a.ID, Ticket: a.Ticket}) {
		select {
		case e := <-a.reply:
			if _, started := e.(Start); started {
				t.post(End{ID: a.ID})
			}
		case <-t.stopped:
		}
	}
	return Rejected{Reason: ReasonAbandoned, RetryAfter: minRetryAfter}
}

func (t *Task) outcome(id uint64, e Effect) Outcome {
	switch e := e.(type) {
	case Start:
		t.counts.admitted.Add(1)
		return Admitted{Release: func(firstByte time.Duration, failed bool) {
			t.post(End{ID: id, FirstByte: firstByte, Failed: failed})
		}}
	case Reject:
		t.countRejection(e.Reason)
		_ = level.Debug(t.log).Log("msg", "request rejected", "reason", e.Reason, "retry_after", e.RetryAfter)
		return Rejected{Reason: e.Reason, RetryAfter: e.RetryAfter}
	}
	return Rejected{Reason: ReasonStopped, RetryAfter: minRetryAfter}
}

func (t *Task) countRejection(reason string) {
	switch reason {
	case ReasonFull:
		t.counts.full.Add(1)
	case ReasonDeadline:
		t.counts.deadline.Add(1)
	}
}

// SetCapacity sets the largest number of running requests of a pool.
func (t *Task) SetCapacity(pool string, n int) {
	t.post(SetCapacity{Pool: pool, Capacity: n})
}

// A TaskDump is the state of a Task in a form for operators, with the number
// of requests by outcome.
type TaskDump struct {
	Dump
	Admitted  int64 `json:"entered"`
	Full      int64 `json:"full"`
	Deadline  int64 `json:"deadline"`
	Abandoned int64 `json:"abandoned"`
}

// Dump returns the state as a TaskDump.
func (t *Task) Dump() any {
	d := TaskDump{
		Admitted: t.counts.admitted.Load(), Full: t.counts.full.Load(),
		Deadline: t.counts.deadline.Load(), Abandoned: t.counts.abandoned.Load(),
	}
	req := dumpRequest{reply: make(chan Dump, 1)}
	if !t.post(req) {
		return d
	}
	select {
	case d.Dump = <-req.reply:
	case <-t.stopped:
	}
	return d
}

// post sends a message to the task. It reports false if the task has stopped.
func (t *Task) post(m any) bool {
	select {
	case t.mailbox <- m:
		return true
	case <-t.stopped:
		return false
	}
}
