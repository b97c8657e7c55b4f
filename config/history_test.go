package config

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/shoenig/test/must"

	"github.com/baobabdyke/baobabdyke/internal/seed"
)

// A submission is the input of one Submit in a history.
type submission struct {
	id   string
	base int64
}

// registerModel accepts a history of Submits if there is a sequential order
// that is consistent with their results. A Submit with an unknown outcome may
// have taken effect or not.
var registerModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{registerState{}} },
	Step: func(state, input, output any) []any {
		return state.(registerState).step(input.(submission), output.(PatchResult))
	},
	Equal: func(a, b any) bool { return a == b },
}

// A registerState holds the ids of the accepted patches in order. Their number
// is the version.
type registerState struct{ acceptedIDs string }

// step returns the possible states after a Submit.
func (s registerState) step(in submission, out PatchResult) []any {
	ids := strings.Fields(s.acceptedIDs)
	version := int64(len(ids))
	madeVersion := int64(0)
	for i, id := range ids {
		if id == in.id {
			madeVersion = int64(i + 1)
		}
	}
	after := registerState{acceptedIDs: s.acceptedIDs + in.id + " "}
	switch r := out.(type) {
	case PatchAccepted:
		if madeVersion > 0 && r.Version == madeVersion {
			return []any{s}
		}
		if madeVersion == 0 && in.base == version && r.Version == version+1 {
			return []any{after}
		}
	case PatchConflict:
		if madeVersion == 0 && r.Current == version && in.base != version {
			return []any{s}
		}
	case PatchNotSent:
		return []any{s}
	case PatchUnknown:
		if madeVersion == 0 && in.base == version {
			return []any{s, after}
		}
		return []any{s}
	}
	return nil
}

// TestHistory lets operators submit patches concurrently on five VMs, with a
// store that is slow, loses responses and is temporarily unavailable, and
// checks that the history is linearizable.
func TestHistory(t *testing.T) {
	kinds := map[string]int{}
	for run := range uint64(4) {
		t.Run(fmt.Sprint("run ", run), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHistory(t, seed.Value()+run)
				defer h.cluster.close()
				h.run(5, 25)
				must.True(t, porcupine.CheckOperations(registerModel.ToModel(), h.operations))
				h.mustConverge()
				for _, op := range h.operations {
					kinds[fmt.Sprintf("%T", op.Output)]++
				}
			})
		})
	}
	t.Log(kinds)
	for _, kind := range []PatchResult{PatchAccepted{}, PatchConflict{}, PatchUnknown{}, PatchNotSent{}} {
		must.Greater(t, 2, kinds[fmt.Sprintf("%T", kind)], must.Sprintf("%v", kinds))
	}
}

// A history records the Submits of operators.
type history struct {
	cluster *cluster
	seed    uint64
	clock   atomic.Int64

	mu         sync.Mutex
	operations []porcupine.Operation
}

func newHistory(t *testing.T, seed uint64) *history {
	h := &history{cluster: newCluster(t, 5), seed: seed}
	time.Sleep(8 * time.Second)
	h.cluster.store.configure(func(f *faultyStore) {
		f.latency = 5 * time.Millisecond
		f.rng = rand.New(rand.NewPCG(seed, 1))
	})
	return h
}

// run submits n patches for each operator, with each operator on its own VM.
func (h *history) run(operators, n int) {
	var work sync.WaitGroup
	for i := range operators {
		work.Go(func() { h.operate(i, n) })
	}
	work.Wait()
}

func (h *history) operate(operator, n int) {
	rng := rand.New(rand.NewPCG(h.seed, uint64(operator)+2))
	m := h.cluster.nodes[operator].manager
	var last Patch
	for i := range n {
		p := Patch{ID: fmt.Sprintf("p-%d-%d", operator, i), Base: m.Current().Version}
		p.Set.Models = []Model{{Name: p.ID, Versions: []string{"1"}, Piece: 1}}
		if i > 0 && rng.IntN(3) == 0 {
			p = last
		}
		last = p
		h.submit(operator, m, p, time.Duration(200+rng.IntN(1000))*time.Millisecond)
		time.Sleep(time.Duration(rng.IntN(2000)) * time.Millisecond)
	}
}

// submit records one Submit. If its outcome is unknown, it is recorded as
// never returning, since it may take effect later.
func (h *history) submit(operator int, m *Manager, p Patch, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	op := porcupine.Operation{ClientId: operator, Input: submission{id: p.ID, base: p.Base}, Call: h.clock.Add(1)}
	op.Output = m.Submit(ctx, p)
	op.Return = h.clock.Add(1)
	if _, unknown := op.Output.(PatchUnknown); unknown {
		op.Return = 1 << 40
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.operations = append(h.operations, op)
}

// mustConverge checks that all VMs adopt the version of the head.
func (h *history) mustConverge() {
	h.cluster.store.configure(func(f *faultyStore) { f.rng = nil })
	time.Sleep(10 * time.Second)
	o, err := h.cluster.store.Memory.Get(context.Background(), headKey)
	must.NoError(h.cluster.t, err)
	head, err := decodeHead(o)
	must.NoError(h.cluster.t, err)
	h.cluster.mustAdopt(h.cluster.nodes, head.Version, time.Second)
}
