package node

import (
	"testing"

	"github.com/shoenig/test/must"
)

// TestMaxPulls checks that a VM that learns from many VMs at once that it is
// behind pulls from only a few of them.
func TestMaxPulls(t *testing.T) {
	const config, targets = 0, 1
	var m pullState
	begun := 0
	for range 20 {
		begun += len(m.begin([]int{config}))
	}
	must.Eq(t, maxPulls, begun)
	must.Len(t, 1, m.begin([]int{config, targets}), must.Sprint("kinds are counted separately"))
	m.end(config)
	must.Len(t, 1, m.begin([]int{config}))
	must.Len(t, 0, m.begin([]int{config}))
}
