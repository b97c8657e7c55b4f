package lease

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/baobabdyke/baobabdyke/store"
)

// run starts a Task that tries to hold the lease "d", and returns it with a function
// that stops it.
func run(t *testing.T, s store.Store, h Holder) (*Task, func()) {
	t.Helper()
	task := NewTask(Options{Self: h, Store: s, Clock: store.SystemClock{}, Seed: 1})
	task.Add("d")
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = task.Run(ctx)
	}()
	stop := func() {
		cancel()
		<-done
	}
	t.Cleanup(stop)
	time.Sleep(time.Second)
	return task, stop
}

// term returns the term under which a task may act now, or zero if it may not.
func term(task *Task) int64 {
	g, _ := task.Held("d")
	return g.Term
}

// TestReleaseOnShutdown checks that another VM takes over soon after a graceful
// shutdown of the holder.
func TestReleaseOnShutdown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := store.NewMemory()
		one, stop := run(t, m, first)
		two, _ := run(t, m, second)
		must.Eq(t, 1, term(one))
		must.Eq(t, 0, term(two))
		stop()
		must.Eq(t, 0, term(one))
		time.Sleep(DefaultTTL / 3)
		must.Eq(t, 2, term(two))
	})
}

// TestPausedHolderResumes checks that a holder that was paused, and whose calls
// arrive late, does not act after another VM has taken over.
func TestPausedHolderResumes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := store.NewMemory()
		one, _ := run(t, m.For("vm-1"), first)
		two, _ := run(t, m.For("vm-2"), second)
		wake := time.Now().Add(time.Minute)
		m.SetFault(func(c store.Call) store.Fault {
			if c.From == "vm-1" {
				return store.Fault{Delay: time.Until(wake)}
			}
			return store.Fault{}
		})
		time.Sleep(time.Until(wake) - time.Millisecond)
		must.Eq(t, 0, term(one))
		must.Eq(t, 2, term(two))
		time.Sleep(time.Minute)
		must.Eq(t, 0, term(one))
		must.Eq(t, 2, term(two))
	})
}

func TestStoreDownThirtyMinutes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := store.NewMemory()
		one, _ := run(t, m.For("vm-1"), first)
		two, _ := run(t, m.For("vm-2"), second)
		m.SetFault(store.Down())
		time.Sleep(DefaultTTL)
		must.Eq(t, 0, term(one)+term(two))
		time.Sleep(30 * time.Minute)
		m.SetFault(nil)
		time.Sleep(2 * DefaultTTL)
		must.Eq(t, 1, term(one)+term(two))
	})
}

func TestSlowStoreKeepsTheHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := store.NewMemory()
		m.SetFault(store.Slow(2 * time.Second))
		one, _ := run(t, m.For("vm-1"), first)
		time.Sleep(10 * time.Second)
		for range 60 {
			must.Eq(t, 1, term(one))
			time.Sleep(time.Second)
		}
	})
}

func TestRemoveReleases(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := store.NewMemory()
		one, _ := run(t, m, first)
		one.Remove("d")
		must.Eq(t, "", read(t, m).Lease.Holder)
		one.Add("d")
		time.Sleep(time.Second)
		must.Eq(t, 2, term(one))
		must.Eq(t, []Status{{Name: "d", Holder: "vm-1", Term: 2, Held: true, Remaining: "11s"}}, one.Dump().([]Status))
	})
}
