package node

import (
	"cmp"
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/baobabdyke/baobabdyke/internal/fleet/roster"
	"github.com/baobabdyke/baobabdyke/store"
)

const (
	// watchers is the number of VMs that read the store for the others.
	watchers = 4
	// leastWatchers is the number of others with a fresh word from the store below
	// which a VM reads the store itself.
	leastWatchers = 2
	// freshWord is how recently the store must have answered a watcher. A waiting
	// read takes 2.2 s without changes, and tellings come a little later.
	freshWord = 3 * time.Second
	// watchPeriod is the time between two choices of the watchers.
	watchPeriod = 200 * time.Millisecond
	// expectTime is how long a VM that was never heard of counts in the limits; it
	// is less than the time after which a share lapses.
	expectTime = 8 * time.Second
)

// chooseWatchers decides whether this VM reads the store.
func (n *Node) chooseWatchers(now time.Time) {
	members := n.roster.Members()
	for _, m := range members {
		// A VM that is registered and silent has a share of the limits until it lapses.
		if !m.Alive(now) && now.Sub(m.Heard) < expectTime {
			n.quota.AddPeer(m.Entry.VM, m.Entry.Born)
		}
	}
	self := roster.Entry{VM: n.settings.VM, Watch: roster.StoreWatch{Reads: n.watches.Load(), AgeMS: now.Sub(n.source.LastStoreAnswer()).Milliseconds()}}
	reads := watches(self, members, now)
	if n.watches.Swap(reads) != reads {
		_ = n.log.Log("msg", "watching", "store", reads)
	}
}

// watches tells whether a VM reads the store: if it ranks among the first, or if
// too few others have a fresh word from it.
func watches(self roster.Entry, members []roster.Member, now time.Time) bool {
	order := []string{}
	fresh := 0
	for _, m := range members {
		if !m.Alive(now) || m.Entry.State == roster.Leaving {
			continue
		}
		age := time.Duration(m.Entry.Watch.AgeMS)*time.Millisecond + now.Sub(m.Heard)
		if m.Entry.Watch.Reads && age < freshWord {
			fresh++
		}
		if !m.Entry.Watch.Reads || age < freshWord {
			order = append(order, m.Entry.VM)
		}
	}
	if fresh < leastWatchers {
		return true
	}
	before := func(vm string) bool {
		a, b := xxhash.Sum64String(vm), xxhash.Sum64String(self.VM)
		return cmp.Or(cmp.Compare(a, b), cmp.Compare(vm, self.VM)) < 0
	}
	rank := 0
	for _, vm := range order {
		if before(vm) {
			rank++
		}
	}
	return rank < watchers
}

// watchStore chooses the watchers until ctx ends, also while nobody is heard of.
func (n *Node) watchStore(ctx context.Context) error {
	for store.Sleep(ctx, watchPeriod) {
		n.chooseWatchers(time.Now())
	}
	return nil
}
