package rollout

import (
	"context"
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
func newTask(vm string, s store.Store, members ...*roster.Member) *Task {
	return NewTask(Options{
		Self: lease.Holder{ID: vm, Incarnation: 1}, Store: s, Clock: store.SystemClock{}, Log: log.NewNopLogger(),
		HandoverDelay:  func() time.Duration { return 3 * time.Second },
		Members:        func() []*roster.Member { return members },
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
		other := &roster.Member{Entry: roster.Entry{VM: "b", Duty: roster.LeaseStatus{Term: 41}}}
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
		first.opts.Members = func() []*roster.Member { return []*roster.Member{&other} }
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

// A leaseFleet is a fleet of tasks with the lease, and the VMs that are silent: frozen,
// or cut off from the others and the store.
type leaseFleet struct {
	t      *testing.T
	store  *store.Memory
	tasks  []*Task
	tables []*roster.Table
	silent map[int]bool
	// cut holds the VMs that do not reach the store.
	cut       map[int]bool
	ticks     uint64
	orderer   int
	lastOrder time.Time
}

func newLeaseFleet(t *testing.T, vms ...string) *leaseFleet {
	t.Helper()
	f := &leaseFleet{t: t, store: store.NewMemory(), silent: map[int]bool{}, cut: map[int]bool{}, orderer: -1}
	for i, vm := range vms {
		task := newTask(vm, cutStore{Store: f.store, cut: func() bool { return f.cut[i] }})
		table := roster.NewTable(roster.Entry{VM: vm})
		task.opts.Members = table.Members
		f.tasks, f.tables = append(f.tasks, task), append(f.tables, table)
	}
	return f
}

// A cutStore is a Store that does not answer while cut reports true.
type cutStore struct {
	store.Store
	cut func() bool
}

// Get implements store.Store.
func (s cutStore) Get(ctx context.Context, key string) (store.Object, error) {
	if s.cut() {
		return store.Object{}, store.ErrUnavailable
	}
	return s.Store.Get(ctx, key)
}

// step runs one planning round of every VM that is not silent, in which each sends an
// order if it may, and checks that orders of different VMs are apart.
func (f *leaseFleet) step() {
	f.t.Helper()
	f.ticks++
	for i, task := range f.tasks {
		if f.silent[i] {
			continue
		}
		if task.mayOrder(f.t.Context()) && !time.Now().Before(task.noOrdersBefore) {
			if f.orderer >= 0 && f.orderer != i {
				must.GreaterEq(f.t, task.opts.HandoverDelay(), time.Since(f.lastOrder), must.Sprint("orders in turns"))
			}
			f.orderer, f.lastOrder = i, time.Now()
		}
		if f.ticks%5 != 0 {
			continue
		}
		e := roster.Entry{VM: task.opts.Self.ID, Born: 1, Seq: f.ticks, State: roster.Ready, Duty: task.LeaseStatus()}
		for j, table := range f.tables {
			if j != i && !f.silent[j] {
				table.Merge(e.VM, []roster.Entry{e}, time.Now())
			}
		}
	}
	time.Sleep(planInterval)
}

// run runs planning rounds for a time and returns the longest pause between orders.
func (f *leaseFleet) run(d time.Duration) time.Duration {
	f.t.Helper()
	pause := time.Duration(0)
	for end := time.Now().Add(d); time.Now().Before(end); {
		before := f.lastOrder
		f.step()
		if !before.IsZero() {
			pause = max(pause, f.lastOrder.Sub(before), time.Since(f.lastOrder))
		}
	}
	return pause
}

// TestHolderThatIsBackContinues guards against a rollout that pauses for the handover
// delay although its holder is back before the successor has sent an order.
func TestHolderThatIsBackContinues(t *testing.T) {
	for silence := 2 * time.Second; silence < 9*time.Second; silence += 300 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			f := newLeaseFleet(t, "a", "b", "c")
			f.run(3 * time.Second)
			must.Eq(t, 0, f.orderer)
			f.silent[0] = true
			f.run(silence)
			f.silent[0] = false
			pause := f.run(10 * time.Second)
			must.Less(t, silence+drainTimeout+2*claimInterval, pause, must.Sprintf("silent for %s", silence))
		})
	}
}

// TestVMWithoutStoreIsPassedOver guards against a rollout for which every VM waits for
// one that does not reach the store.
func TestVMWithoutStoreIsPassedOver(t *testing.T) {
	for _, holder := range []int{-1, 2} {
		synctest.Test(t, func(t *testing.T) {
			f := newLeaseFleet(t, "a", "b", "c")
			if holder >= 0 {
				f.silent[0], f.silent[1] = true, true
				f.run(3 * time.Second)
				must.Eq(t, holder, f.orderer)
				f.silent = map[int]bool{holder: true}
			}
			f.cut[0] = true
			f.run(10 * time.Second)
			must.Eq(t, 1, f.orderer)
		})
	}
}

// TestLeaseIsNotReturnedForEver guards against a rollout that stops because the VM to
// which the lease was returned cannot acquire it.
func TestLeaseIsNotReturnedForEver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newLeaseFleet(t, "a", "b", "c")
		f.run(3 * time.Second)
		f.silent[0] = true
		f.run(4500 * time.Millisecond)
		f.silent[0] = false
		for f.tasks[1].LeaseStatus().ReturnedTo != "a" {
			must.Less(t, uint64(200), f.ticks, must.Sprint("the lease is not returned"))
			f.step()
		}
		f.cut[0] = true
		f.run(20 * time.Second)
		must.Positive(t, f.orderer)
		must.Less(t, time.Second, time.Since(f.lastOrder))
	})
}
