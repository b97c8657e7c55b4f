package rollout

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/shoenig/test/must"

	"github.com/baobabdyke/baobabdyke/internal/fleet/roster"
	"github.com/baobabdyke/baobabdyke/lease"
	"github.com/baobabdyke/baobabdyke/store"
)

// newDuty returns a Task that only takes the lease.
func newDuty(vm string, s store.Store, members ...roster.Member) *Task {
	return NewTask(Options{
		Self: lease.Holder{ID: vm, Incarnation: 1}, Store: s, Clock: store.SystemClock{}, Log: log.NewNopLogger(),
		HandoverDelay:  func() time.Duration { return 3 * time.Second },
		Members:        func() []roster.Member { return members },
		OnStatusChange: func() {},
	})
}

// TestGarbledLease puts something else in place of the lease while nobody, or
// another VM, holds it.
func TestGarbledLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := store.NewMemory()
		put, ok := s.Put(t.Context(), lease.Key(duty), []byte(`{"duty": 7}`), store.MustNotExist).(store.Done)
		must.True(t, ok)
		other := roster.Member{Entry: roster.Entry{VM: "b", Duty: roster.LeaseStatus{Term: 41}}}
		d := newDuty("a", s, other)
		d.recall(t.Context())

		d.entitled(t.Context())
		time.Sleep(6500 * time.Millisecond)
		must.False(t, d.entitled(t.Context()), must.Sprint("a holder may still act under the record before"))
		_, ok = s.Put(t.Context(), lease.Key(duty), []byte(`again`), put.Version).(store.Done)
		must.True(t, ok)
		time.Sleep(time.Second)
		must.False(t, d.entitled(t.Context()), must.Sprint("another record was written meanwhile"))
		for range 6 {
			time.Sleep(time.Second)
			must.False(t, d.entitled(t.Context()))
		}
		time.Sleep(time.Second)
		d.entitled(t.Context())
		held, term := d.holding()
		must.True(t, held)
		must.Greater(t, 41, term)
		r, err := lease.Read(t.Context(), s, lease.Key(duty), duty)
		must.NoError(t, err)
		must.Eq(t, "a", r.Lease.Holder)

		// The wait before the first order of a new holder has to pass too.
		must.False(t, d.entitled(t.Context()))
		deadline := time.Now().Add(10 * time.Second)
		for !d.entitled(t.Context()) {
			must.True(t, time.Now().Before(deadline), must.Sprint("orders stop for good"))
			time.Sleep(100 * time.Millisecond)
		}
	})
}
