package lease

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/baobabdyke/baobabdyke/store"
)

var (
	first  = Holder{ID: "vm-1", Incarnation: 1}
	second = Holder{ID: "vm-2", Incarnation: 1}
)

func always(Record) bool { return true }

func request(h Holder, holderGone func(Record) bool) Request {
	return Request{Name: "d", Self: h, TTL: time.Second, HolderGone: holderGone}
}

func mustHold(t *testing.T, r Result, h Holder, term int64) Record {
	t.Helper()
	held, ok := r.(Held)
	must.True(t, ok, must.Sprintf("result %#v", r))
	must.True(t, held.Record.Lease.HeldBy(h))
	must.Eq(t, term, held.Record.Lease.Term)
	return held.Record
}

func TestAcquire(t *testing.T) {
	restarted := Holder{ID: first.ID, Incarnation: 2}
	cases := []struct {
		name    string
		request Request
		term    int64
	}{
		{"held by another", request(second, nil), 0},
		{"held by a process that has ended", request(second, always), 2},
		{"held by the caller", request(first, nil), 1},
		{"held by an earlier incarnation", request(restarted, nil), 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := store.NewMemory()
			mustHold(t, Acquire(t.Context(), s, request(first, nil)), first, 1)
			got := Acquire(t.Context(), s, c.request)
			if c.term == 0 {
				must.Eq(t, first.ID, got.(Taken).Record.Lease.Holder)
				return
			}
			mustHold(t, got, c.request.Self, c.term)
		})
	}
}

func TestTermGrowsOverRelease(t *testing.T) {
	s := store.NewMemory()
	held := mustHold(t, Acquire(t.Context(), s, request(first, nil)), first, 1)
	held = mustHold(t, Renew(t.Context(), s, Key("d"), held, []byte("x")), first, 1)
	must.Eq(t, "", Release(t.Context(), s, Key("d"), held, nil).(Free).Record.Lease.Holder)
	next := mustHold(t, Acquire(t.Context(), s, request(second, nil)), second, 2)
	must.Eq(t, []byte("x"), next.Lease.Data)
	must.Eq(t, second.ID, Renew(t.Context(), s, Key("d"), held, nil).(Taken).Record.Lease.Holder)
	must.Eq(t, second.ID, Release(t.Context(), s, Key("d"), held, nil).(Taken).Record.Lease.Holder)
}

// faultFirstWrite applies a fault to the next write; all other calls succeed.
func faultFirstWrite(f store.Fault) func(store.Call) store.Fault {
	applied := false
	return func(c store.Call) store.Fault {
		if c.Kind != store.KindPut || applied {
			return store.Fault{}
		}
		applied = true
		return f
	}
}

func TestLostResponses(t *testing.T) {
	faults := map[string]store.Fault{
		"answer":  {LoseResponse: true},
		"request": {LoseRequest: true},
		"late":    {LateWrite: time.Second},
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := store.NewMemory()
				s.SetFault(faultFirstWrite(fault))
				held := mustHold(t, Acquire(t.Context(), s, request(first, nil)), first, 1)
				s.SetFault(faultFirstWrite(fault))
				held = mustHold(t, Renew(t.Context(), s, Key("d"), held, nil), first, 1)
				s.SetFault(faultFirstWrite(fault))
				_, free := Release(t.Context(), s, Key("d"), held, nil).(Free)
				must.True(t, free)
				time.Sleep(2 * time.Second)
				must.Eq(t, int64(1), read(t, s).Lease.Term)
				must.Eq(t, "", read(t, s).Lease.Holder)
			})
		})
	}
}

func read(t *testing.T, s store.Store) Record {
	t.Helper()
	r, err := Read(context.Background(), s, Key("d"), "d")
	must.NoError(t, err)
	return r
}

// TestUnknownIsResolvedLater checks that a process that does not know whether it
// holds the lease finds out by a later Acquire.
func TestUnknownIsResolvedLater(t *testing.T) {
	s := store.NewMemory()
	s.SetFault(func(c store.Call) store.Fault {
		return store.Fault{LoseResponse: c.Kind == store.KindPut, Refuse: c.Kind == store.KindGet && s.Total().Writes > 0}
	})
	_, unknown := Acquire(t.Context(), s, request(first, nil)).(Unknown)
	must.True(t, unknown)
	s.SetFault(nil)
	_, taken := Acquire(t.Context(), s, request(second, nil)).(Taken)
	must.True(t, taken)
	mustHold(t, Acquire(t.Context(), s, request(first, nil)), first, 1)
}

// TestStaleReadKeepsTheHolder checks that a holder is not misled by a stale read. It
// renews with an outdated version, so that the write conflicts and the following
// read returns the record from before its own term.
func TestStaleReadKeepsTheHolder(t *testing.T) {
	s := store.NewMemory()
	mustHold(t, Acquire(t.Context(), s, request(second, nil)), second, 1)
	held := mustHold(t, Acquire(t.Context(), s, request(first, always)), first, 2)
	mustHold(t, Renew(t.Context(), s, "", held, nil), first, 2)
	reads := 0
	s.SetFault(func(c store.Call) store.Fault {
		if c.Kind == store.KindGet {
			reads++
		}
		return store.Fault{Stale: int64(max(0, 3-reads))}
	})
	mustHold(t, Renew(t.Context(), s, "", held, nil), first, 2)
}

func TestOldTermsAreRefused(t *testing.T) {
	l := Lease{Name: "d", Holder: first.ID, Incarnation: 2, Term: 2, Nonce: "n"}
	self := Holder{ID: first.ID, Incarnation: 2}
	earlier := Holder{ID: first.ID, Incarnation: 1}
	for _, e := range []Event{
		Extend{Self: self, Term: 1, Nonce: "m"},
		GiveBack{Self: self, Term: 1, Nonce: "m"},
		Extend{Self: earlier, Term: 2, Nonce: "m"},
		GiveBack{Self: earlier, Term: 2, Nonce: "m"},
		Take{Self: earlier, Nonce: "m"},
	} {
		must.Eq(t, Effect(Refuse{}), Step(Record{Lease: l, Version: 1}, e))
	}
}

func TestStoreDown(t *testing.T) {
	s := store.NewMemory()
	held := mustHold(t, Acquire(t.Context(), s, request(first, nil)), first, 1)
	s.SetFault(store.Down())
	for _, r := range []Result{
		Acquire(t.Context(), s, request(second, always)),
		Renew(t.Context(), s, Key("d"), held, nil),
		Release(t.Context(), s, Key("d"), held, nil),
	} {
		_, ok := r.(NotSent)
		must.True(t, ok, must.Sprintf("result %#v", r))
	}
	s.SetFault(nil)
	must.True(t, read(t, s).Lease.HeldBy(first))
}

func FuzzDecode(f *testing.F) {
	f.Add(Encode(Lease{Name: "d", Holder: "vm-1", Term: 3, Data: []byte{1}}))
	f.Add([]byte(`{"term":-1}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		l, err := Decode(data)
		if err != nil {
			return
		}
		again, err := Decode(Encode(l))
		must.NoError(t, err)
		must.Eq(t, string(Encode(l)), string(Encode(again)))
	})
}

// TestPendingWrite checks that the result is Unknown while a delayed write may still
// take effect. The write is not repeated, since HolderGone reports false by then.
func TestPendingWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := store.NewMemory()
		mustHold(t, Acquire(t.Context(), s, request(second, nil)), second, 1)
		s.SetFault(faultFirstWrite(store.Fault{LateWrite: time.Second}))
		calls := 0
		_, unknown := Acquire(t.Context(), s, request(first, func(Record) bool { calls++; return calls == 1 })).(Unknown)
		must.True(t, unknown)
		time.Sleep(2 * time.Second)
		must.True(t, read(t, s).Lease.HeldBy(first))
	})
}
