package node

import (
	"cmp"
	"slices"
	"time"

	"github.com/baobabdyke/baobabdyke/internal/fleet/roster"
	"github.com/baobabdyke/baobabdyke/internal/fleet/source"
	"github.com/baobabdyke/baobabdyke/peer"
)

// recorderCount is the number of VMs that record the origins of streams for the others. The
// second is there for the time until the loss of the first is noticed.
const recorderCount = 2

// recorders returns the other VMs that record the origins of streams, and whether this VM
// does: the first ones in an order that all VMs know.
func recorders(self string, members []*roster.Member, now time.Time) (others []peer.Destination, records bool) {
	type candidate struct {
		peer.Destination
		rank uint64
	}
	all := []candidate{{peer.Destination{VM: self}, roster.Rank(self)}}
	for _, m := range members {
		if m.Alive(now) && m.Entry.State != roster.Leaving {
			all = append(all, candidate{peer.Destination{VM: m.Entry.VM, Address: m.Entry.Peers}, m.Rank()})
		}
	}
	slices.SortFunc(all, func(a, b candidate) int { return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.VM, b.VM)) })
	for _, c := range all[:min(recorderCount, len(all))] {
		if c.VM == self {
			records = true
			continue
		}
		others = append(others, c.Destination)
	}
	return others, records
}

// targetsFresh reports whether the list of targets was confirmed within its bound.
func (n *Node) targetsFresh() bool {
	bound := n.bounds().Drain
	return bound == 0 || n.source.Age(source.Targets) < bound
}
