package node

import (
	"testing"

	"github.com/shoenig/test/must"
)

// TestMaxPulls checks that a VM that learns from many VMs at once that it is
// behind pulls from only a few of them.
func TestMaxPulls(t *testing.T) {
	const config, targets = 0, 1
	var s pullState
	started := 0
	for range 20 {
		started += len(s.begin([]int{config}))
	}
	must.Eq(t, maxPulls, started)
	must.Len(t, 1, s.begin([]int{config, targets}), must.Sprint("kinds are counted separately"))
	s.end(config)
	must.Len(t, 1, s.begin([]int{config}))
	must.Len(t, 0, s.begin([]int{config}))
}
