package rollout

import (
	"math"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/baobabdyke/baobabdyke/internal/fake"
	"github.com/baobabdyke/baobabdyke/lease"
	"github.com/baobabdyke/baobabdyke/platform"
	"github.com/baobabdyke/baobabdyke/store"
)

// direct calls a handler without a network.
type direct struct{ handler http.Handler }

func (d direct) RoundTrip(r *http.Request) (*http.Response, error) {
	w := httptest.NewRecorder()
	d.handler.ServeHTTP(w, r)
	return w.Result(), nil
}

// order waits until a task may send orders and returns its term.
func order(t *testing.T, task *Task) int64 {
	t.Helper()
	deadline := time.Now().Add(30 * time.Second)
	for !task.mayOrder(t.Context()) || time.Now().Before(task.noOrdersBefore) {
		must.True(t, time.Now().Before(deadline), must.Sprint("no order is sent"))
		time.Sleep(planInterval)
	}
	return task.tracker.Record.Lease.Term
}

// TestNoOrdersOfTwoHoldersAfterRestore guards against orders of two VMs in turn, or
// under terms that do not increase, when the object store is restored from a copy that
// does not show the holder of the rollout lease.
func TestNoOrdersOfTwoHoldersAfterRestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := fake.NewSiteStore()
		objects := func() *platform.Objects { return platform.NewObjectsOver("store", direct{s}) }
		a, b := newTask("a", objects()), newTask("b", objects())
		empty := s.Copy()
		first := order(t, a)
		byFirst := s.Copy()
		time.Sleep(5 * time.Second)
		second := order(t, b)
		must.Greater(t, first, second)

		// The copy shows a as the holder, and b has been cut off since.
		last := time.Now()
		s.Restore(byFirst, 0)
		third := order(t, a)
		must.Greater(t, second, third)
		must.GreaterEq(t, leaseTTL+a.opts.HandoverDelay(), time.Since(last))

		// The copy shows no holder, as seen by a VM that starts again.
		last = time.Now()
		s.Restore(empty, 0)
		b = newTask("b", objects())
		b.recoverLease(t.Context())
		fourth := order(t, b)
		must.Greater(t, third, fourth)
		must.GreaterEq(t, leaseTTL+b.opts.HandoverDelay(), time.Since(last))
	})
}

// TestHolderContinuesAfterRestore guards against a rollout that pauses because the
// restored object store shows another holder than the one that has held the lease
// without interruption.
func TestHolderContinuesAfterRestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := fake.NewSiteStore()
		objects := platform.NewObjectsOver("store", direct{s})
		empty := s.Copy()
		other := newTask("b", objects)
		order(t, other)
		shown := s.Copy()
		time.Sleep(5 * time.Second)
		task := newTask("a", objects)
		term := order(t, task)
		for _, older := range []*fake.SiteStoreCopy{s.Copy(), shown, empty} {
			// The right to act ends while the store is away, but other VMs cannot have
			// acquired the lease yet.
			s.SetFaults(fake.SiteStoreFaults{ErrorStatus: http.StatusBadGateway})
			time.Sleep(time.Until(task.tracker.ValidUntil))
			s.SetFaults(fake.SiteStoreFaults{})
			s.Restore(older, 0)
			for range 20 {
				must.True(t, task.mayOrder(t.Context()))
				must.False(t, time.Now().Before(task.noOrdersBefore))
				time.Sleep(planInterval)
			}
			next := task.tracker.Record.Lease.Term
			must.Greater(t, term, next)
			term = next
			r, err := lease.Read(t.Context(), objects, lease.Key(leaseName), leaseName)
			must.NoError(t, err)
			must.Eq(t, "a", r.Lease.Holder)
		}
	})
}

// TestOddTermInRestoredStore guards against two holders with one fencing token, or a
// lower one after a higher one, because the term of a record of another writer seems to
// be of a later era.
func TestOddTermInRestoredStore(t *testing.T) {
	for _, odd := range []int64{store.VersionIn(0, store.MaxRevision), store.VersionIn(7, 1), math.MaxInt64 - 1} {
		synctest.Test(t, func(t *testing.T) {
			s := fake.NewSiteStore()
			objects := func() *platform.Objects { return platform.NewObjectsOver("store", direct{s}) }
			record := lease.Encode(lease.Lease{Name: leaseName, Holder: "x", Incarnation: 1, Term: odd, TTL: leaseTTL, Nonce: "n"})
			_, ok := objects().Put(t.Context(), lease.Key(leaseName), record, store.MustNotExist).(store.Done)
			must.True(t, ok)
			shown := s.Copy()
			term := int64(0)
			for _, vm := range []string{"a", "b", "c"} {
				next := order(t, newTask(vm, objects()))
				must.Greater(t, term, next, must.Sprintf("odd term %d", odd))
				term = next
				s.Restore(shown, 0)
			}
		})
	}
}

// TestRolloutLongAfterRestore guards against a rollout that waits for a holder whose lease
// ended long before, because the store was restored in between, and against one that does
// not wait although the record may have changed since.
func TestRolloutLongAfterRestore(t *testing.T) {
	for name, c := range map[string]struct {
		shown             bool
		learned           time.Duration
		restored, changed bool
		want              time.Duration
	}{
		"a record from before":    {shown: true, learned: 10 * time.Second, want: 0},
		"no record":               {learned: 10 * time.Second, want: 0},
		"learned late":            {shown: true, learned: 2 * time.Second, want: 3 * time.Second},
		"restored again":          {shown: true, learned: 10 * time.Second, restored: true, want: 5 * time.Second},
		"a late write in between": {shown: true, learned: 10 * time.Second, changed: true, want: 5 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := fake.NewSiteStore()
				objects := platform.NewObjectsOver("store", direct{s})
				if c.shown {
					r := lease.Acquire(t.Context(), objects, lease.Request{Name: leaseName, Self: lease.Holder{ID: "a"}, TTL: leaseTTL})
					must.True(t, r.(lease.Held).Record.Lease.Term > 0)
				}
				s.Restore(s.Copy(), 0)
				_, seen, err := objects.Snapshot(t.Context(), platform.KindConfig)
				must.NoError(t, err)
				learned := time.Now()
				if c.restored {
					s.Restore(s.Copy(), 0)
				}
				if c.changed {
					s.Put("lease", leaseName, lease.Lease{Name: leaseName, Holder: "a", Term: 1, TTL: leaseTTL, Nonce: "late"})
				}
				time.Sleep(c.learned)
				task := newTask("a", objects)
				task.opts.LastRestore = func() (int64, time.Duration) { return seen, time.Since(learned) }
				start := time.Now()
				order(t, task)
				must.Between(t, c.want, time.Since(start), c.want+planInterval)
			})
		})
	}
}

// TestRestartWithinWait guards against orders of two VMs in turn, because a VM that has
// taken over the rollout lease is started again before it has waited for the orders of
// the holder before.
func TestRestartWithinWait(t *testing.T) {
	for name, restored := range map[string]bool{"taken over": false, "not shown by the copy": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := fake.NewSiteStore()
				objects := platform.NewObjectsOver("store", direct{s})
				a, b := newTask("a", objects), newTask("b", objects)
				order(t, a)
				shown := s.Copy()
				time.Sleep(5 * time.Second)
				second := order(t, b)
				validUntil := b.tracker.ValidUntil
				if restored {
					s.Restore(shown, 0)
				}
				for a.tracker.Record.Lease.Term <= second {
					a.mayOrder(t.Context())
					time.Sleep(planInterval)
				}
				time.Sleep(500 * time.Millisecond)
				a = newTask("a", objects)
				a.opts.Self.Incarnation, a.tracker.Self.Incarnation = 2, 2
				a.recoverLease(t.Context())
				order(t, a)
				must.GreaterEq(t, a.opts.HandoverDelay(), time.Since(validUntil))

				// A holder that has sent orders continues at once.
				time.Sleep(claimInterval)
				for range 20 {
					must.True(t, a.mayOrder(t.Context()))
					time.Sleep(planInterval)
				}
				a = newTask("a", objects)
				a.opts.Self.Incarnation, a.tracker.Self.Incarnation = 3, 3
				a.recoverLease(t.Context())
				must.True(t, a.mayOrder(t.Context()))
				must.False(t, time.Now().Before(a.noOrdersBefore))
			})
		})
	}
}
