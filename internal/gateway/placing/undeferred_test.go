package placing

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/baobabdyke/baobabdyke/internal/fleet/roster"
)

// TestUndeferred guards against requests that admission control has admitted and that wait
// behind less urgent ones, because some first tokens were late.
func TestUndeferred(t *testing.T) {
	v := engineView(4)
	p := newPlacer()
	for i := range largeFleetSize {
		p.ApplyUpdate(roster.Entry{VM: fmt.Sprint(i)}, v, epoch)
	}
	p.deferredShare = maxDeferredShare
	late := func(undeferred bool) (n int) {
		for range 100 {
			r := Request{Service: "llm", Model: "m", Tokens: 1000, Goal: 500 * time.Millisecond, TimeLeft: 4 * time.Second, Undeferred: undeferred}
			if mustChoose(t, p, v, r, epoch).Late {
				n++
			}
		}
		return n
	}
	must.Greater(t, 50, late(false))
	must.Eq(t, 0, late(true))
}
