package node

import (
	"cmp"
	"context"
	"time"

	"github.com/baobabdyke/baobabdyke/internal/fleet/roster"
	"github.com/baobabdyke/baobabdyke/internal/fleet/source"
	"github.com/baobabdyke/baobabdyke/peer"
	"github.com/baobabdyke/baobabdyke/store"
)

const (
	// watcherCount is the number of VMs that poll the store for the others.
	watcherCount = 4
	// watchPeriod is the time between two elections of the watchers.
	watchPeriod = 200 * time.Millisecond
)

// updateWatching decides whether this VM polls the store.
func (n *Node) updateWatching(now time.Time) {
	members := n.roster.Members()
	self := roster.Entry{VM: n.settings.VM, Watch: n.storeWatch()}
	watches := shouldWatch(self, members, now)
	if n.watching.Swap(watches) != watches {
		_ = n.log.Log("msg", "store polling changed", "store", watches, "failing", self.Watch.Failing, "watchers", len(watcherAddresses(members, now)),
			"age", n.source.Age(source.Config))
	}
}

// storeWatch returns the state of this VM's polling of the store.
func (n *Node) storeWatch() roster.StoreWatch {
	return roster.StoreWatch{
		Reads: n.watching.Load(), Failing: n.source.StoreFailing(),
		AgeMS: time.Since(n.source.LastStoreResponse()).Milliseconds(),
	}
}

// shouldWatch reports whether a VM polls the store for the others: if it ranks among
// the first of those to which the store responds.
func shouldWatch(self roster.Entry, members []*roster.Member, now time.Time) bool {
	if self.Watch.Failing {
		return false
	}
	own := roster.Rank(self.VM)
	before := func(m *roster.Member) bool {
		return cmp.Or(cmp.Compare(m.Rank(), own), cmp.Compare(m.Entry.VM, self.VM)) < 0
	}
	rank := 0
	for _, m := range members {
		if m.Alive(now) && m.Entry.State != roster.Leaving && !m.Entry.Watch.Failing && before(m) {
			rank++
		}
	}
	return rank < watcherCount
}

// watcherAddresses returns the VMs that poll the store and to which it responds.
func watcherAddresses(members []*roster.Member, now time.Time) []peer.Destination {
	var out []peer.Destination
	for _, m := range members {
		if m.Alive(now) && m.Entry.Watch.Reads && !m.Entry.Watch.Failing {
			out = append(out, peer.Destination{VM: m.Entry.VM, Address: m.Entry.Peers})
		}
	}
	return out
}

// storeStatusChanged elects the watchers anew and tells the other VMs whether the
// store responds to this one.
func (n *Node) storeStatusChanged() {
	n.updateWatching(time.Now())
	n.roster.Trigger()
}

// runWatching repeats the election of the watchers until ctx ends, even if no
// updates arrive.
func (n *Node) runWatching(ctx context.Context) error {
	for store.Sleep(ctx, watchPeriod) {
		n.updateWatching(time.Now())
	}
	return nil
}
