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

// An attempt is one Submit of a history.
type attempt struct {
	id   string
	base int64
}

// registerModel accepts a history of Submits if they can be put in one order
// that agrees with their results. An unknown outcome may have had its effect or
// not.
var registerModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{registerState{}} },
	Step: func(state, input, output any) []any {
		return state.(registerState).step(input.(attempt), output.(PatchResult))
	},
	Equal: func(a, b any) bool { return a == b },
}

// A registerState holds the ids of the accepted patches in order: the version
// is their number.
type registerState struct{ accepted string }

// step returns the states that may follow.
func (s registerState) step(in attempt, out PatchResult) []any {
	ids := strings.Fields(s.accepted)
	version := int64(len(ids))
	made := int64(0)
	for i, id := range ids {
		if id == in.id {
			made = int64(i + 1)
		}
	}
	after := registerState{accepted: s.accepted + in.id + " "}
	switch r := out.(type) {
	case PatchAccepted:
		if made > 0 && r.Version == made {
			return []any{s}
		}
		if made == 0 && in.base == version && r.Version == version+1 {
			return []any{after}
		}
	case PatchConflict:
		if made == 0 && r.Current == version && in.base != version {
			return []any{s}
		}
	case PatchNotSent:
		return []any{s}
	case PatchUnknown:
		if made == 0 && in.base == version {
			return []any{s, after}
		}
		return []any{s}
	}
	return nil
}

// TestHistory lets operators race on five VMs over a store that is slow, loses
// answers and is away at times, and checks the history of their patches.
func TestHistory(t *testing.T) {
	kinds := map[string]int{}
	for run := range uint64(4) {
		t.Run(fmt.Sprint("run ", run), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHistory(t, seed.Value()+run)
				defer h.cluster.close()
				h.run(5, 25)
				must.True(t, porcupine.CheckOperations(registerModel.ToModel(), h.operations))
				h.mustEnd()
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
	h.cluster.store.set(func(f *faulty) {
		f.slow = 5 * time.Millisecond
		f.chance = rand.New(rand.NewPCG(seed, 1))
	})
	return h
}

// run lets operators submit n patches each, one operator on every VM.
func (h *history) run(operators, n int) {
	var work sync.WaitGroup
	for i := range operators {
		work.Go(func() { h.operate(i, n) })
	}
	work.Wait()
}

func (h *history) operate(operator, n int) {
	rng := rand.New(rand.NewPCG(h.seed, uint64(operator)+2))
	k := h.cluster.nodes[operator].keeper
	var last Patch
	for i := range n {
		p := Patch{ID: fmt.Sprintf("p-%d-%d", operator, i), Base: k.Current().Version}
		p.Set.Models = []Model{{Name: p.ID, Versions: []string{"1"}, Piece: 1}}
		if i > 0 && rng.IntN(3) == 0 {
			p = last
		}
		last = p
		h.submit(operator, k, p, time.Duration(200+rng.IntN(1000))*time.Millisecond)
		time.Sleep(time.Duration(rng.IntN(2000)) * time.Millisecond)
	}
}

// submit records one Submit. One with an unknown outcome never returns.
func (h *history) submit(operator int, k *Manager, p Patch, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	op := porcupine.Operation{ClientId: operator, Input: attempt{id: p.ID, base: p.Base}, Call: h.clock.Add(1)}
	op.Output = k.Submit(ctx, p)
	op.Return = h.clock.Add(1)
	if _, unknown := op.Output.(PatchUnknown); unknown {
		op.Return = 1 << 40
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.operations = append(h.operations, op)
}

// mustEnd checks that all VMs come to the version of the head.
func (h *history) mustEnd() {
	h.cluster.store.set(func(f *faulty) { f.chance = nil })
	time.Sleep(10 * time.Second)
	o, err := h.cluster.store.Memory.Get(context.Background(), headKey)
	must.NoError(h.cluster.t, err)
	head, err := decodeHead(o)
	must.NoError(h.cluster.t, err)
	h.cluster.mustReach(h.cluster.nodes, head.Version, time.Second)
}
