package rollout

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/shoenig/test/must"

	"github.com/baobabdyke/baobabdyke/internal/fleet/roster"
	"github.com/baobabdyke/baobabdyke/internal/fleet/site"
	"github.com/baobabdyke/baobabdyke/lease"
	"github.com/baobabdyke/baobabdyke/store"
)

// newTask returns a Task that can only acquire the lease.
func newTask(vm string, s store.Store, members ...roster.Member) *Task {
	return NewTask(Options{
		Self: lease.Holder{ID: vm, Incarnation: 1}, Store: s, Clock: store.SystemClock{}, Log: log.NewNopLogger(),
		HandoverDelay:  func() time.Duration { return 3 * time.Second },
		Members:        func() []roster.Member { return members },
		OnStatusChange: func() {},
		Leaving:        func(site.Incarnation) bool { return false },
		Paused:         func(site.Incarnation) bool { return false },
		OnNotice:       func(site.Incarnation, site.Notice) {},
	})
}

// TestCorruptLease overwrites the lease record with values that cannot be decoded,
// while another VM may hold the lease. The record is replaced only once it has
// been unchanged for long enough, with a term above every known one.
func TestCorruptLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := store.NewMemory()
		put, ok := s.Put(t.Context(), lease.Key(leaseName), []byte(`{"duty": 7}`), store.MustNotExist).(store.Done)
		must.True(t, ok)
		other := roster.Member{Entry: roster.Entry{VM: "b", Duty: roster.LeaseStatus{Term: 41}}}
		task := newTask("a", s, other)
		task.recoverLease(t.Context())

		task.mayOrder(t.Context())
		time.Sleep(6500 * time.Millisecond)
		must.False(t, task.mayOrder(t.Context()), must.Sprint("a holder may still act under the previous record"))
		_, ok = s.Put(t.Context(), lease.Key(leaseName), []byte(`again`), put.Version).(store.Done)
		must.True(t, ok)
		time.Sleep(time.Second)
		must.False(t, task.mayOrder(t.Context()), must.Sprint("another record was written in the meantime"))
		for range 6 {
			time.Sleep(time.Second)
			must.False(t, task.mayOrder(t.Context()))
		}
		time.Sleep(time.Second)
		task.mayOrder(t.Context())
		held, term := task.leaseTerm()
		must.True(t, held)
		must.Greater(t, 41, term)
		r, err := lease.Read(t.Context(), s, lease.Key(leaseName), leaseName)
		must.NoError(t, err)
		must.Eq(t, "a", r.Lease.Holder)

		// A new holder also waits for the handover delay before its first order.
		must.False(t, task.mayOrder(t.Context()))
		deadline := time.Now().Add(10 * time.Second)
		for !task.mayOrder(t.Context()) {
			must.True(t, time.Now().Before(deadline), must.Sprint("no order is sent any more"))
			time.Sleep(100 * time.Millisecond)
		}
	})
}

// TestHandoverDelayAfterUnseenTerm guards against a VM that continues under the lease
// without the handover delay although another VM held it since.
func TestHandoverDelayAfterUnseenTerm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := store.NewMemory()
		var other roster.Member
		first, second := newTask("a", s), newTask("b", s)
		first.opts.Members = func() []roster.Member { return []roster.Member{other} }
		must.True(t, first.mayOrder(t.Context()))
		for range 10 {
			time.Sleep(claimInterval)
			second.mayOrder(t.Context())
		}
		held, term := second.leaseTerm()
		must.True(t, held)
		must.Eq(t, 2, term)

		other.Entry = roster.Entry{VM: "b", Born: 1, Duty: roster.LeaseStatus{Term: 2, Yielded: 2}}
		must.False(t, first.mayOrder(t.Context()))
		held, term = first.leaseTerm()
		must.True(t, held)
		must.Eq(t, 3, term)
	})
}

// TestOddLease guards against a lease record of another writer that ends a VM, or after
// which no VM acquires the lease again.
func TestOddLease(t *testing.T) {
	for name, record := range map[string]string{
		"the last term":     `{"duty":"orders","holder":"x","incarnation":1,"term":9223372036854775807,"length":2000000000}`,
		"term out of range": `{"duty":"orders","holder":"x","incarnation":1,"term":1e30,"length":2000000000}`,
		"no length":         `{"duty":"orders","holder":"x","incarnation":1,"term":7,"length":0}`,
		"a huge length":     `{"duty":"orders","holder":"x","incarnation":1,"term":7,"length":9223372036854775807}`,
		"an hour":           `{"duty":"orders","holder":"x","incarnation":1,"term":7,"length":3600000000000}`,
		"negative length":   `{"duty":"orders","holder":"x","incarnation":1,"term":7,"length":-1}`,
		"another name":      `{"duty":"other","holder":"x","incarnation":1,"term":7,"length":2000000000}`,
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := store.NewMemory()
				_, ok := s.Put(t.Context(), lease.Key(leaseName), []byte(record), store.MustNotExist).(store.Done)
				must.True(t, ok)
				task := newTask("a", s)
				task.recoverLease(t.Context())
				deadline := time.Now().Add(20 * time.Second)
				for !task.mayOrder(t.Context()) {
					must.True(t, time.Now().Before(deadline), must.Sprint("the lease is not acquired"))
					time.Sleep(100 * time.Millisecond)
				}
				_, term := task.leaseTerm()
				must.Positive(t, term)
			})
		})
	}
}
