package queue_test

import (
	"context"
	"fmt"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/baobabdyke/baobabdyke/internal/seed"
	"github.com/baobabdyke/baobabdyke/queue"
)

func TestMain(m *testing.M) {
	if err := seed.SetRapid(); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func ticket(customer string, tokens float64) queue.Ticket {
	return queue.Ticket{Route: "seats", Pool: "kuroko", Customer: customer, Tokens: tokens, Limit: 8}
}

// busyState returns a state with capacity for one request, in which request 1
// runs.
func busyState() *queue.State {
	s := queue.NewState()
	s.Step(queue.SetCapacity{Pool: "kuroko", Capacity: 1}, start)
	s.Step(queue.Arrive{ID: 1, Ticket: ticket("first", 10)}, start)
	return s
}

// startOrder ends the running request and each one that starts next, and returns
// the IDs in the order in which they started.
func startOrder(s *queue.State, running uint64) []uint64 {
	var ids []uint64
	for {
		effects := s.Step(queue.End{ID: running}, start)
		if len(effects) == 0 {
			return ids
		}
		running = effects[0].(queue.Start).ID
		ids = append(ids, running)
	}
}

func arrive(s *queue.State, id uint64, t queue.Ticket) []queue.Effect {
	return s.Step(queue.Arrive{ID: id, Ticket: t}, start)
}

func mustReject(t *testing.T, id uint64, reason string, effects []queue.Effect) {
	t.Helper()
	must.SliceNotEmpty(t, effects)
	r, ok := effects[0].(queue.Reject)
	must.True(t, ok, must.Sprintf("got %#v", effects[0]))
	must.Eq(t, id, r.ID)
	must.Eq(t, reason, r.Reason)
	must.Positive(t, r.RetryAfter)
}

func TestOrder(t *testing.T) {
	t.Run("the customer with the lowest usage goes first", func(t *testing.T) {
		s := busyState()
		for id := uint64(2); id <= 5; id++ {
			arrive(s, id, ticket("many", 4000))
		}
		arrive(s, 6, ticket("few", 2000))
		arrive(s, 7, ticket("few", 2000))
		must.Eq(t, []uint64{2, 6, 7, 3, 4, 5}, startOrder(s, 1))
	})
	t.Run("a customer's requests run by priority", func(t *testing.T) {
		s := busyState()
		urgent := ticket("a", 10)
		urgent.Priority = 1
		arrive(s, 2, ticket("a", 10))
		arrive(s, 3, urgent)
		must.Eq(t, []uint64{3, 2}, startOrder(s, 1))
	})
	t.Run("usage decays over time", func(t *testing.T) {
		s := busyState()
		later := start.Add(time.Minute)
		s.Step(queue.End{ID: 1}, later)
		s.Step(queue.Arrive{ID: 2, Ticket: ticket("lately", 5)}, later)
		s.Step(queue.Arrive{ID: 3, Ticket: ticket("lately", 5)}, later)
		s.Step(queue.Arrive{ID: 4, Ticket: ticket("first", 5)}, later)
		must.Eq[[]queue.Effect](t, []queue.Effect{queue.Start{ID: 4}}, s.Step(queue.End{ID: 2}, later))
	})
	t.Run("priority does not count between customers", func(t *testing.T) {
		s := busyState()
		arrive(s, 2, ticket("plain", 4000))
		for id := uint64(3); id <= 5; id++ {
			urgent := ticket("urgent", 4000)
			urgent.Priority = 9
			arrive(s, id, urgent)
		}
		must.Eq(t, []uint64{2, 3, 4, 5}, startOrder(s, 1))
	})
}

func TestBound(t *testing.T) {
	t.Run("a full route rejects requests of the customer with the most tokens", func(t *testing.T) {
		s := busyState()
		for id := uint64(2); id <= 9; id++ {
			must.SliceEmpty(t, arrive(s, id, ticket("flood", 100)))
		}
		mustReject(t, 10, queue.ReasonFull, arrive(s, 10, ticket("flood", 100)))
		mustReject(t, 9, queue.ReasonFull, arrive(s, 11, ticket("calm", 100)))
	})
	t.Run("a request whose deadline cannot be met is rejected at once", func(t *testing.T) {
		s := busyState()
		s.Step(queue.End{ID: 1, FirstByte: time.Second}, start.Add(10*time.Second))
		now := start.Add(10 * time.Second)
		s.Step(queue.Arrive{ID: 2, Ticket: ticket("a", 10)}, now)
		s.Step(queue.Arrive{ID: 3, Ticket: ticket("a", 10)}, now)
		late := ticket("a", 10)
		late.Deadline = now.Add(15 * time.Second)
		mustReject(t, 4, queue.ReasonDeadline, s.Step(queue.Arrive{ID: 4, Ticket: late}, now))
		late.Deadline = now.Add(25 * time.Second)
		must.SliceEmpty(t, s.Step(queue.Arrive{ID: 5, Ticket: late}, now))
		mustReject(t, 5, queue.ReasonDeadline, s.Step(queue.Tick{}, late.Deadline))
	})
	t.Run("a pool without capacity starts no requests", func(t *testing.T) {
		s := queue.NewState()
		s.Step(queue.SetCapacity{Pool: "kuroko", Capacity: 0}, start)
		must.SliceEmpty(t, arrive(s, 1, ticket("a", 10)))
		must.Eq[[]queue.Effect](t, []queue.Effect{queue.Start{ID: 1}},
			s.Step(queue.SetCapacity{Pool: "kuroko", Capacity: 1}, start))
	})
}

// windowAfter ends requests with the given first-byte times and returns the
// window of the pool.
func windowAfter(failed bool, times ...time.Duration) int {
	s := queue.NewState()
	s.Step(queue.SetCapacity{Pool: "kuroko", Capacity: 10}, start)
	now := start
	for i, d := range times {
		s.Step(queue.Arrive{ID: uint64(i + 1), Ticket: ticket("a", 10)}, now)
		now = now.Add(d)
		s.Step(queue.End{ID: uint64(i + 1), FirstByte: d, Failed: failed && i > 0}, now)
	}
	return s.Dump().Pools[0].Window
}

func TestWindow(t *testing.T) {
	s := time.Second
	must.Eq(t, 10, windowAfter(false, s, s, 2*s))
	must.Eq(t, 9, windowAfter(false, s, 4*s))
	must.Eq(t, 8, windowAfter(false, s, 4*s, 5*s))
	must.Eq(t, 8, windowAfter(true, s, s, s))
	must.Eq(t, 10, windowAfter(false, s, 4*s, s, s, s, s, s, s, s, s, s, s, s))
}

// A machine is a rapid state machine that compares a queue with a model of its
// waiting and running requests.
type machine struct {
	s        *queue.State
	now      time.Time
	lastID   uint64
	waiting  map[uint64]queue.Ticket
	running  []uint64
	capacity int
}

func (m *machine) apply(t *rapid.T, effects []queue.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case queue.Start:
			ticket, waiting := m.waiting[e.ID]
			must.True(t, waiting, must.Sprint("started a request that was not waiting"))
			must.True(t, ticket.Deadline.IsZero() || m.now.Before(ticket.Deadline))
			m.running = append(m.running, e.ID)
			delete(m.waiting, e.ID)
		case queue.Reject:
			must.MapContainsKey(t, m.waiting, e.ID)
			delete(m.waiting, e.ID)
		}
	}
	must.LessEq(t, 20, len(m.waiting))
}

func (m *machine) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"arrive": func(t *rapid.T) {
			m.lastID++
			ticket := ticket(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "customer"), rapid.Float64Range(0, 9000).Draw(t, "tokens"))
			ticket.Limit, ticket.Priority = 20, rapid.IntRange(0, 2).Draw(t, "priority")
			if rapid.Bool().Draw(t, "deadline") {
				ticket.Deadline = m.now.Add(time.Duration(rapid.IntRange(1, 9000).Draw(t, "ms")) * time.Millisecond)
			}
			m.waiting[m.lastID] = ticket
			m.apply(t, m.s.Step(queue.Arrive{ID: m.lastID, Ticket: ticket}, m.now))
		},
		"end": func(t *rapid.T) {
			if len(m.running) == 0 {
				t.Skip()
			}
			id := m.running[0]
			m.running = m.running[1:]
			first := time.Duration(rapid.IntRange(0, 3000).Draw(t, "first byte")) * time.Millisecond
			m.apply(t, m.s.Step(queue.End{ID: id, FirstByte: first, Failed: rapid.Bool().Draw(t, "failed")}, m.now))
		},
		"abandon": func(t *rapid.T) {
			if m.lastID == 0 {
				t.Skip()
			}
			id := rapid.Uint64Range(1, m.lastID).Draw(t, "id")
			abandoned, waiting := m.waiting[id]
			if !waiting {
				abandoned = ticket("a", 1)
			}
			m.apply(t, m.s.Step(queue.Abandon{ID: id, Ticket: abandoned}, m.now))
			must.MapNotContainsKey(t, m.waiting, id)
		},
		"capacity": func(t *rapid.T) {
			m.capacity = rapid.IntRange(0, 5).Draw(t, "capacity")
			m.apply(t, m.s.Step(queue.SetCapacity{Pool: "kuroko", Capacity: m.capacity}, m.now))
		},
		"pass": func(t *rapid.T) {
			m.now = m.now.Add(time.Duration(rapid.IntRange(1, 5000).Draw(t, "ms")) * time.Millisecond)
		},
		"wait": func(t *rapid.T) {
			m.now = m.now.Add(time.Duration(rapid.IntRange(1, 5000).Draw(t, "ms")) * time.Millisecond)
			m.apply(t, m.s.Step(queue.Tick{}, m.now))
		},
		"": func(t *rapid.T) {
			waiting := 0
			for _, c := range m.s.Dump().Pools[0].Waiting {
				waiting += c.Requests
			}
			must.Eq(t, len(m.waiting), waiting)
			must.True(t, m.capacity == 0 || len(m.running) > 0 || len(m.waiting) == 0)
		},
	}
}

func TestMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &machine{s: queue.NewState(), now: start, waiting: map[uint64]queue.Ticket{}, capacity: 2}
		m.s.Step(queue.SetCapacity{Pool: "kuroko", Capacity: 2}, m.now)
		t.Repeat(m.actions())
	})
}

// runTask runs f with a running Task of capacity one, in virtual time.
func runTask(t *testing.T, f func(ctx context.Context, q *queue.Task)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		q := queue.NewTask(queue.Options{})
		done := make(chan error)
		go func() { done <- q.Run(ctx) }()
		q.SetCapacity("kuroko", 1)
		f(ctx, q)
		cancel()
		must.NoError(t, <-done)
	})
}

func TestTask(t *testing.T) {
	t.Run("the second request is admitted when the first ends", func(t *testing.T) {
		runTask(t, func(ctx context.Context, q *queue.Task) {
			first := q.Acquire(ctx, ticket("a", 10)).(queue.Admitted)
			time.AfterFunc(3*time.Second, func() { first.Release(time.Second, false); first.Release(0, true) })
			began := time.Now()
			q.Acquire(ctx, ticket("b", 10)).(queue.Admitted).Release(time.Second, false)
			must.Eq(t, 3*time.Second, time.Since(began))
			must.Eq(t, int64(2), q.Dump().(queue.TaskDump).Admitted)
		})
	})
	t.Run("a request whose context ends is removed", func(t *testing.T) {
		runTask(t, func(ctx context.Context, q *queue.Task) {
			first := q.Acquire(ctx, ticket("a", 10)).(queue.Admitted)
			shortCtx, cancel := context.WithTimeout(ctx, time.Second)
			defer cancel()
			must.Eq(t, queue.ReasonAbandoned, q.Acquire(shortCtx, ticket("b", 10)).(queue.Rejected).Reason)
			first.Release(0, false)
			must.Eq(t, 0, len(q.Dump().(queue.TaskDump).Pools[0].Waiting))
		})
	})
	t.Run("a request whose context ends as it starts does not count as running", func(t *testing.T) {
		runTask(t, func(ctx context.Context, q *queue.Task) {
			cancelled, cancel := context.WithCancel(ctx)
			cancel()
			if e, admitted := q.Acquire(cancelled, ticket("a", 10)).(queue.Admitted); admitted {
				e.Release(0, false)
			}
			synctest.Wait()
			must.Zero(t, q.Dump().(queue.TaskDump).Pools[0].Running)
		})
	})
	t.Run("a stopped queue rejects requests", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			cancel()
			q := queue.NewTask(queue.Options{})
			must.NoError(t, q.Run(ctx))
			must.Eq(t, queue.ReasonStopped, q.Acquire(t.Context(), ticket("a", 1)).(queue.Rejected).Reason)
		})
	})
}

func ExampleTask() {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	q := queue.NewTask(queue.Options{})
	go func() { _ = q.Run(ctx) }()
	switch outcome := q.Acquire(ctx, queue.Ticket{Route: "seats", Pool: "kuroko", Customer: "hakata", Tokens: 900}).(type) {
	case queue.Admitted:
		defer outcome.Release(40*time.Millisecond, false)
		fmt.Println("runs")
	case queue.Rejected:
		fmt.Println("not run:", outcome.Reason)
	}
	// Output: runs
}
