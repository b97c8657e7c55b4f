package store

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/shoenig/test/must"

	"github.com/baobabdyke/baobabdyke/internal/seed"
)

// An operation is one operation of a history: a read, or a conditional write of
// a value.
type operation struct {
	read   bool
	expect int64
	value  string
}

// A result is the result of an operation. An unknown write may have taken effect
// at any time after its start, or not at all.
type result struct {
	version int64
	value   string
	applied bool
	unknown bool
}

// An objectState is the state of one object in the model.
type objectState struct {
	version int64
	value   string
}

// register is the model of one object: a write takes effect if and only if its
// expected version is the current one. The model takes new versions from the
// results of operations. After an unknown write the version is -1 until the
// result of a later operation shows it.
var register = porcupine.NondeterministicModel{
	Init: func() []any { return []any{objectState{}} },
	Step: func(state, input, output any) []any {
		c, in, out := state.(objectState), input.(operation), output.(result)
		known := func(version int64) bool { return c.version == version || c.version == -1 }
		switch {
		case out.unknown && !known(in.expect):
			return []any{c}
		case out.unknown:
			return []any{c, objectState{version: -1, value: in.value}}
		case in.read && known(out.version) && c.value == out.value:
			return []any{objectState{version: out.version, value: c.value}}
		case in.read:
			return nil
		case out.applied && known(in.expect):
			return []any{objectState{version: out.version, value: in.value}}
		case !out.applied && known(out.version) && out.version != in.expect:
			return []any{objectState{version: out.version, value: c.value}}
		default:
			return nil
		}
	},
	Equal: func(a, b any) bool { return a == b },
}

// A history records the operations of several clients on one object.
type history struct {
	mu  sync.Mutex
	ops []porcupine.Operation
}

func (h *history) add(client int, in operation, out result, call int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	end := time.Now().UnixNano()
	if out.unknown {
		end = 1 << 62
	}
	h.ops = append(h.ops, porcupine.Operation{ClientId: client, Input: in, Output: out, Call: call, Return: end})
}

// write makes one conditional write that expects the version of a read before
// it.
func (h *history) write(client, n int, s Store) {
	call := time.Now().UnixNano()
	o, err := s.Get(context.Background(), "k")
	if err != nil && !errors.Is(err, ErrNotFound) {
		return
	}
	h.add(client, operation{read: true}, result{version: o.Version, value: string(o.Value)}, call)
	time.Sleep(time.Millisecond)
	in := operation{expect: o.Version, value: fmt.Sprintf("%d-%d", client, n)}
	call = time.Now().UnixNano()
	switch r := s.Put(context.Background(), "k", []byte(in.value), in.expect).(type) {
	case Done:
		h.add(client, in, result{version: r.Version, applied: true}, call)
	case Conflict:
		h.add(client, in, result{version: r.Current}, call)
	case Unknown:
		h.add(client, in, result{unknown: true}, call)
	}
}

// randomFaults returns a function that draws a fault for each write and a delay
// for each call.
func randomFaults() func(Call) Fault {
	var mu sync.Mutex
	r := rand.New(rand.NewPCG(seed.Value(), 0))
	return func(c Call) Fault {
		mu.Lock()
		defer mu.Unlock()
		f := Fault{Delay: time.Duration(r.IntN(4)) * time.Millisecond}
		if c.Kind != KindPut {
			return f
		}
		switch r.IntN(8) {
		case 0:
			f.LoseResponse = true
		case 1:
			f.LoseRequest = true
		case 2:
			f.LateWrite = time.Duration(r.IntN(5)) * time.Millisecond
		case 3:
			f.Refuse = true
		}
		return f
	}
}

func TestMemoryIsLinearizable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := NewMemory()
		m.SetFault(randomFaults())
		var h history
		var clients sync.WaitGroup
		for client := range 4 {
			clients.Go(func() {
				for n := range 10 {
					h.write(client, n, m)
				}
			})
		}
		clients.Wait()
		must.True(t, porcupine.CheckOperations(register.ToModel(), h.ops))
	})
}

func TestStaleReads(t *testing.T) {
	m := NewMemory()
	ctx := t.Context()
	m.Put(ctx, "k", []byte("1"), 0)
	m.Put(ctx, "k", []byte("2"), 1)
	m.Delete(ctx, "k", 2)
	want := map[int64]string{0: "", 1: "2", 2: "1", 3: ""}
	for stale, value := range want {
		m.SetFault(func(Call) Fault { return Fault{Stale: stale} })
		o, _ := m.Get(ctx, "k")
		must.Eq(t, value, string(o.Value), must.Sprintf("stale %d", stale))
		list, err := m.List(ctx, "")
		must.NoError(t, err)
		must.Eq(t, value != "", len(list) == 1)
	}
}

func TestWatchFaults(t *testing.T) {
	m := NewMemory()
	ctx := t.Context()
	events, err := m.For("vm-1").Watch(ctx, "", 0)
	must.NoError(t, err)
	m.MuteWatches("vm-1", true)
	m.Put(ctx, "a", nil, 0)
	m.MuteWatches("vm-1", false)
	m.Put(ctx, "b", nil, 0)
	must.Eq(t, "b", (<-events).Object.Key)
	m.CloseWatches()
	_, open := <-events
	must.False(t, open)
}

func TestHistoryIsBounded(t *testing.T) {
	m := NewMemory()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	version := MustNotExist
	for range 3 * maxHistoryBytes / MaxValueBytes {
		version = m.Put(ctx, "k", make([]byte, MaxValueBytes), version).(Done).Version
	}
	must.LessEq(t, maxHistoryBytes, m.historyBytes)
	events, err := m.Watch(ctx, "", 0)
	must.NoError(t, err)
	must.Eq(t, version, (<-events).Object.Version)
}
