package node

import (
	"testing"

	"github.com/shoenig/test/must"
)

// TestBoundedPulls checks that word from many VMs at once makes a VM pull from few
// of them.
func TestBoundedPulls(t *testing.T) {
	const config, targets = 0, 1
	var m marks
	begun := 0
	for range 20 {
		begun += len(m.begin([]int{config}))
	}
	must.Eq(t, mostPulls, begun)
	must.Len(t, 1, m.begin([]int{config, targets}), must.Sprint("kinds are counted apart"))
	m.ended(config)
	must.Len(t, 1, m.begin([]int{config}))
	must.Len(t, 0, m.begin([]int{config}))
}
