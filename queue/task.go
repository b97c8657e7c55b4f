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
	// mailboxSize is the number of messages that wait for the task.
	mailboxSize = 64
	// tickEvery is how often deadlines of waiting requests are checked.
	tickEvery = 20 * time.Millisecond
)

// Options are what a Task needs. A nil Log is silent.
type Options struct {
	Clock store.Clock
	Log   log.Logger
}

// A Task owns a queue: its Run is the only goroutine that touches the state.
type Task struct {
	clock   store.Clock
	log     log.Logger
	mailbox chan any
	stopped chan struct{}
	lastID  atomic.Uint64
	counts  counters
}

type counters struct {
	entered, full, deadline, abandoned atomic.Int64
}

// A message of the mailbox is an Event, an arrival or a dumpRequest.
type arrival struct {
	Arrive
	reply chan Effect
}

type dumpRequest struct{ reply chan Dump }

// NewTask returns a Task that works while its Run does.
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

// Run owns the state until ctx ends. Whoever waits then is rejected. It may be
// called once.
func (t *Task) Run(ctx context.Context) error {
	defer close(t.stopped)
	s := NewState()
	waiting := map[uint64]chan Effect{}
	ticker := time.NewTicker(tickEvery)
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

// handle takes one message.
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

// apply passes effects to those who wait for them.
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

// Enter waits until the request may run or is rejected. When ctx ends first,
// the request does not run.
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
		return t.giveUp(a)
	}
}

// giveUp ends a wait. A request that was started in the meantime is ended.
func (t *Task) giveUp(a arrival) Outcome {
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
		t.counts.entered.Add(1)
		return Admitted{Release: func(firstByte time.Duration, failed bool) {
			t.post(End{ID: id, FirstByte: firstByte, Failed: failed})
		}}
	case Reject:
		t.count(e.Reason)
		_ = level.Debug(t.log).Log("msg", "request rejected", "reason", e.Reason, "retry_after", e.RetryAfter)
		return Rejected{Reason: e.Reason, RetryAfter: e.RetryAfter}
	}
	return Rejected{Reason: ReasonStopped, RetryAfter: minRetryAfter}
}

func (t *Task) count(reason string) {
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

// A TaskDump is the state of a Task for operators.
type TaskDump struct {
	Dump
	Admitted  int64 `json:"entered"`
	Full      int64 `json:"full"`
	Deadline  int64 `json:"deadline"`
	Abandoned int64 `json:"abandoned"`
}

// Dump returns the state for operators.
func (t *Task) Dump() any {
	d := TaskDump{
		Admitted: t.counts.entered.Load(), Full: t.counts.full.Load(),
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

// post sends a message to the task and tells whether it runs still.
func (t *Task) post(m any) bool {
	select {
	case t.mailbox <- m:
		return true
	case <-t.stopped:
		return false
	}
}
