package claim

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/baobabdyke/baobabdyke/store"
)

// testRequest returns the request of the tests, with the given digest.
func testRequest(digest string) Request {
	return Request{Customer: "hakata", Route: "hold", Key: "row-4-seat-7", Digest: digest}
}

// start runs the Task of a VM until the test ends or the returned function is called.
func start(t *testing.T, vm string, s store.Store) (*Task, func()) {
	t.Helper()
	task := NewTask(Options{Self: vm, Store: s, Clock: store.SystemClock{}, Seed: 1})
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
	return task, stop
}

func mustGrant(t *testing.T, task *Task, req Request) Ticket {
	t.Helper()
	r := task.Begin(t.Context(), req)
	granted, ok := r.(Granted)
	must.True(t, ok, must.Sprintf("result %#v", r))
	return granted.Ticket
}

func mustBe[R Result](t *testing.T, r Result) R {
	t.Helper()
	got, ok := r.(R)
	must.True(t, ok, must.Sprintf("result %#v", r))
	return got
}

// twoVMs runs a test in virtual time with an in-memory store and two VMs.
func twoVMs(t *testing.T, f func(t *testing.T, m *store.Memory, one, two *Task)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		m := store.NewMemory()
		one, _ := start(t, "vm-1", m.For("vm-1"))
		two, _ := start(t, "vm-2", m.For("vm-2"))
		f(t, m, one, two)
	})
}

func TestRepeatOnAnotherVM(t *testing.T) {
	twoVMs(t, func(t *testing.T, _ *store.Memory, one, two *Task) {
		ticket := mustGrant(t, one, testRequest("a"))
		mustBe[Pending](t, two.Begin(t.Context(), testRequest("a")))
		mustBe[Mismatch](t, two.Begin(t.Context(), testRequest("b")))
		response := Response{Status: 201, ContentType: "application/json", Body: []byte(`{"held":true}`)}
		must.NoError(t, one.Finish(t.Context(), ticket, response))
		must.Eq(t, response, mustBe[Repeated](t, two.Begin(t.Context(), testRequest("a"))).Response)
		must.Eq(t, response, mustBe[Repeated](t, one.Begin(t.Context(), testRequest("a"))).Response)
		mustBe[Mismatch](t, one.Begin(t.Context(), testRequest("b")))
	})
}

func TestTwoVMsAtOnce(t *testing.T) {
	twoVMs(t, func(t *testing.T, _ *store.Memory, one, two *Task) {
		results := make(chan Result, 20)
		for i := range 20 {
			go func() { results <- []*Task{one, two}[i%2].Begin(t.Context(), testRequest("a")) }()
		}
		granted := 0
		for range 20 {
			switch r := (<-results).(type) {
			case Granted:
				granted++
			case Pending:
			default:
				t.Fatalf("result %#v", r)
			}
		}
		must.Eq(t, 1, granted)
	})
}

func TestAbandonReleasesKey(t *testing.T) {
	twoVMs(t, func(t *testing.T, _ *store.Memory, one, two *Task) {
		ticket := mustGrant(t, one, testRequest("a"))
		must.NoError(t, one.Abandon(t.Context(), ticket))
		other := mustGrant(t, two, testRequest("b"))
		must.ErrorIs(t, one.Finish(t.Context(), ticket, Response{Status: 200}), errNotFound)
		must.NoError(t, one.Abandon(t.Context(), ticket))
		must.NoError(t, two.Finish(t.Context(), other, Response{Status: 200}))
	})
}

func TestLargeBodyIsDropped(t *testing.T) {
	twoVMs(t, func(t *testing.T, _ *store.Memory, one, two *Task) {
		ticket := mustGrant(t, one, testRequest("a"))
		large := Response{Status: 200, ContentType: "text/plain", Body: make([]byte, maxBodyBytes+1)}
		must.NoError(t, one.Finish(t.Context(), ticket, large))
		want := Response{Status: 200, ContentType: "text/plain", BodyDropped: true}
		must.Eq(t, want, mustBe[Repeated](t, two.Begin(t.Context(), testRequest("a"))).Response)
	})
}

// TestVMStopsBeforeFinish checks that the claim stays pending if a VM stops
// after it has sent the request: the request may have run.
func TestVMStopsBeforeFinish(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := store.NewMemory()
		one, stop := start(t, "vm-1", m)
		mustGrant(t, one, testRequest("a"))
		stop()
		two, _ := start(t, "vm-2", m)
		mustBe[Pending](t, two.Begin(t.Context(), testRequest("a")))
		mustBe[Unavailable](t, one.Begin(t.Context(), testRequest("c")))
	})
}

func TestStoreDownThirtyMinutes(t *testing.T) {
	twoVMs(t, func(t *testing.T, m *store.Memory, one, two *Task) {
		ticket := mustGrant(t, one, testRequest("a"))
		m.SetFault(store.Down())
		mustBe[Unavailable](t, two.Begin(t.Context(), testRequest("a")))
		mustBe[Unavailable](t, two.Begin(t.Context(), Request{Key: "another"}))
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		must.Error(t, one.Finish(ctx, ticket, Response{Status: 200}))
		time.Sleep(30 * time.Minute)
		m.SetFault(nil)
		time.Sleep(2 * backlogRetryDelay)
		must.Eq(t, 200, mustBe[Repeated](t, two.Begin(t.Context(), testRequest("a"))).Response.Status)
		mustGrant(t, two, Request{Key: "another"})
	})
}

func TestSlowStore(t *testing.T) {
	twoVMs(t, func(t *testing.T, m *store.Memory, one, two *Task) {
		m.SetFault(store.Slow(2 * time.Second))
		ticket := mustGrant(t, one, testRequest("a"))
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		mustBe[Unavailable](t, two.Begin(ctx, Request{Key: "impatient"}))
		must.NoError(t, one.Finish(t.Context(), ticket, Response{Status: 200}))
		time.Sleep(time.Minute)
		mustGrant(t, one, Request{Key: "impatient"})
	})
}

func TestStoreRateLimit(t *testing.T) {
	twoVMs(t, func(t *testing.T, m *store.Memory, one, two *Task) {
		m.SetRate(10)
		granted := map[string]int{}
		for i := range 200 {
			key := fmt.Sprint(i % 50)
			task := []*Task{one, two}[i/50%2]
			if k, ok := task.Begin(t.Context(), Request{Key: key}).(Granted); ok {
				granted[key]++
				must.Eq(t, 1, granted[key])
				_ = k
			}
		}
	})
}

func TestLostResponses(t *testing.T) {
	faults := map[string]store.Fault{
		"answer":  {LoseResponse: true},
		"request": {LoseRequest: true},
		"late":    {LateWrite: 40 * time.Millisecond},
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			twoVMs(t, func(t *testing.T, m *store.Memory, one, two *Task) {
				m.SetFault(faultEveryOtherWrite(fault))
				ticket := mustGrant(t, one, testRequest("a"))
				mustBe[Pending](t, two.Begin(t.Context(), testRequest("a")))
				must.NoError(t, one.Abandon(t.Context(), ticket))
				ticket = mustGrant(t, two, testRequest("a"))
				must.NoError(t, two.Finish(t.Context(), ticket, Response{Status: 200}))
				must.Eq(t, 200, mustBe[Repeated](t, one.Begin(t.Context(), testRequest("a"))).Response.Status)
			})
		})
	}
}

// faultEveryOtherWrite applies a fault to the first write and to every second one after it.
func faultEveryOtherWrite(f store.Fault) func(store.Call) store.Fault {
	writes := 0
	return func(c store.Call) store.Fault {
		if c.Kind != store.KindPut {
			return store.Fault{}
		}
		writes++
		if writes%2 == 1 {
			return f
		}
		return store.Fault{}
	}
}

// TestUnknownClaimIsAbandoned checks that a claim is abandoned later if it was
// refused although its write took effect. The store loses the response of every
// write.
func TestUnknownClaimIsAbandoned(t *testing.T) {
	twoVMs(t, func(t *testing.T, m *store.Memory, one, two *Task) {
		m.SetFault(func(c store.Call) store.Fault {
			wrote := m.Total().Writes > 0
			return store.Fault{LoseResponse: c.Kind == store.KindPut, Refuse: c.Kind == store.KindGet && wrote}
		})
		mustBe[Unavailable](t, one.Begin(t.Context(), testRequest("a")))
		m.SetFault(nil)
		mustBe[Pending](t, two.Begin(t.Context(), testRequest("a")))
		time.Sleep(time.Second)
		mustGrant(t, two, testRequest("a"))
	})
}

func TestRetention(t *testing.T) {
	twoVMs(t, func(t *testing.T, _ *store.Memory, one, two *Task) {
		ticket := mustGrant(t, one, testRequest("a"))
		must.NoError(t, one.Finish(t.Context(), ticket, Response{Status: 200, Body: []byte("x")}))
		time.Sleep(bodyRetention - time.Second)
		must.Eq(t, "x", string(mustBe[Repeated](t, two.Begin(t.Context(), testRequest("a"))).Response.Body))
		time.Sleep(DefaultRetention - bodyRetention)
		must.Eq(t, Response{Status: 200, BodyDropped: true}, mustBe[Repeated](t, two.Begin(t.Context(), testRequest("a"))).Response)
		time.Sleep(2 * time.Second)
		mustGrant(t, two, testRequest("a"))
	})
}

func TestFullShard(t *testing.T) {
	now := time.UnixMilli(0)
	r := newRecord()
	refused := 0
	for i := range 20000 {
		o := begin{key: hashOf(fmt.Sprint(i)), id: strings.Repeat("x", 26)}
		out, _ := applyBegin(&r, o, now)
		if _, isFull := out.(full); isFull {
			refused++
			continue
		}
		_, _ = applyFinish(&r, finish{key: o.key, id: o.id, response: Response{Status: 200, Body: make([]byte, 1024)}})
		if i%200 == 0 {
			dropBodies(&r)
		}
	}
	must.Positive(t, refused)
	dropBodies(&r)
	must.LessEq(t, maxRecordBytes, r.size)
	must.LessEq(t, r.size, len(r.encode()))
	next, _, outcomes := step(r, []op{begin{key: hashOf("new"), id: "n"}}, now.Add(2*time.Hour), time.Hour)
	must.Eq(t, []outcome{granted{}}, outcomes)
	must.MapLen(t, 1, next.entries)
}

func FuzzDecode(f *testing.F) {
	r := newRecord()
	r.set(entry{Key: hashOf("a"), ID: "x", At: 1, State: stateRan, Status: 200, Body: []byte("b")})
	f.Add(r.encode())
	f.Add(newRecord().encode())
	f.Fuzz(func(t *testing.T, data []byte) {
		r, err := decode(1, data)
		if err != nil {
			return
		}
		again, err := decode(1, r.encode())
		must.NoError(t, err)
		must.Eq(t, len(r.entries), len(again.entries))
		must.Eq(t, r.size, again.size)
	})
}

// TestFinishAfterStaleRead checks that the response is stored although the first
// read returns the shard without the claim. The worker, and with it the newest
// known version, is gone after its idle timeout.
func TestFinishAfterStaleRead(t *testing.T) {
	twoVMs(t, func(t *testing.T, m *store.Memory, one, two *Task) {
		ticket := mustGrant(t, one, testRequest("a"))
		time.Sleep(2 * workerIdleTimeout)
		must.Eq(t, 0, one.Dump().(Dump).Shards)
		reads := int64(0)
		m.SetFault(func(c store.Call) store.Fault {
			if c.Kind == store.KindGet {
				reads++
			}
			return store.Fault{Stale: max(0, 2-reads)}
		})
		must.NoError(t, one.Finish(t.Context(), ticket, Response{Status: 200}))
		mustBe[Repeated](t, two.Begin(t.Context(), testRequest("a")))
	})
}

func TestWorkerWithJobsIsKept(t *testing.T) {
	task := NewTask(Options{Clock: store.SystemClock{}})
	w := &worker{shard: 1, jobs: make(chan job, 1)}
	task.workers[1] = w
	w.jobs <- job{}
	must.False(t, task.removeWorker(w))
	<-w.jobs
	must.True(t, task.removeWorker(w))
}
