package node

import (
	"testing"

	"github.com/shoenig/test/must"
)

// TestMaxPulls checks that a VM that learns from many VMs at once that it is
// behind pulls from only a few of them.
func TestBoundedPulls(t *testing.T) {
	const config, targets = 0, 1
	var m marks
	begun := 0
	for range 20 {
		begun += len(m.begin([]int{config}))
	}
	must.Eq(t, mostPulls, begun)
	must.Len(t, 1, m.begin([]int{config, targets}), must.Sprint("kinds are counted separately"))
	m.ended(config)
	must.Len(t, 1, m.begin([]int{config}))
	must.Len(t, 0, m.begin([]int{config}))
}
