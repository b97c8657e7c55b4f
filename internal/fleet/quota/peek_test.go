package quota

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestPeekIsTheDecision guards against a look at a limit that differs from the decision or
// that changes a later one: one of two alike VMs looks before each decision, also while another
// VM is silent.
func TestPeekIsTheDecision(t *testing.T) {
	looks, other := NewState(), NewState()
	c := customerOf(1000, 4000)
	random := rand.New(rand.NewPCG(8, 9))
	now, refused, spent := epoch, 0, 0.0
	for i := range 3000 {
		now = now.Add(time.Duration(random.IntN(60)) * time.Millisecond)
		if i%20 == 0 && i < 2000 {
			spent += float64(random.IntN(200))
			for _, s := range []*State{looks, other} {
				s.UpdatePeer(Update{VM: "vm-2", Born: 1, Spent: map[string]float64{c.Name: spent}}, now)
			}
		}
		cost := float64(random.IntN(120))
		before := fmt.Sprintf("%+v %+v", looks.spent, looks.refused)
		for range 3 {
			peeked := looks.Peek(c, cost, now)
			if i%500 == 0 {
				must.Eq(t, before, fmt.Sprintf("%+v %+v", looks.spent, looks.refused))
			}
			must.Eq(t, peeked, looks.Peek(c, cost, now))
		}
		peeked := looks.Peek(c, cost, now)
		decided := other.Admit(c, cost, now)
		must.Eq(t, decided, peeked)
		must.Eq(t, decided, looks.Admit(c, cost, now))
		if !decided.Admitted {
			refused++
		}
	}
	must.Between(t, 100, refused, 2900)
}
