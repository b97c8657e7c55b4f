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
	// watcherCount is the number of VMs that poll the store for the others.
	watcherCount = 4
	// minOtherWatchers is the number of other VMs with a recent response from
	// the store below which a VM polls the store itself.
	minOtherWatchers = 2
	// watcherTimeout is how recently the store must have responded to a watcher.
	// A long poll takes 2.2 s if nothing changes, and the watcher's update
	// arrives a little later.
	watcherTimeout = 3 * time.Second
	// watchPeriod is the time between two elections of the watchers.
	watchPeriod = 200 * time.Millisecond
	// silentShareTime is how long a VM that was never heard from has a share of
	// the limits. It is less than the time after which a share expires.
	silentShareTime = 8 * time.Second
)

// updateWatching decides whether this VM polls the store, and reserves a share of
// the limits for VMs that were never heard from.
func (n *Node) updateWatching(now time.Time) {
	members := n.roster.Members()
	for _, m := range members {
		// A VM that is registered but silent has a share of the limits until it
		// expires.
		if !m.Alive(now) && now.Sub(m.Heard) < silentShareTime {
			n.quota.AddPeer(m.Entry.VM, m.Entry.Born)
		}
	}
	self := roster.Entry{VM: n.settings.VM, Watch: roster.StoreWatch{Reads: n.watching.Load(), AgeMS: now.Sub(n.source.LastStoreResponse()).Milliseconds()}}
	reads := shouldWatch(self, members, now)
	if n.watching.Swap(reads) != reads {
		_ = n.log.Log("msg", "store polling changed", "store", reads)
	}
}

// shouldWatch reports whether a VM polls the store: if it ranks among the first,
// or if too few others have a recent response from the store.
func shouldWatch(self roster.Entry, members []roster.Member, now time.Time) bool {
	ranked := []string{}
	recent := 0
	for _, m := range members {
		if !m.Alive(now) || m.Entry.State == roster.Leaving {
			continue
		}
		age := time.Duration(m.Entry.Watch.AgeMS)*time.Millisecond + now.Sub(m.Heard)
		if m.Entry.Watch.Reads && age < watcherTimeout {
			recent++
		}
		if !m.Entry.Watch.Reads || age < watcherTimeout {
			ranked = append(ranked, m.Entry.VM)
		}
	}
	if recent < minOtherWatchers {
		return true
	}
	before := func(vm string) bool {
		a, b := xxhash.Sum64String(vm), xxhash.Sum64String(self.VM)
		return cmp.Or(cmp.Compare(a, b), cmp.Compare(vm, self.VM)) < 0
	}
	rank := 0
	for _, vm := range ranked {
		if before(vm) {
			rank++
		}
	}
	return rank < watcherCount
}

// runWatching repeats the election of the watchers until ctx ends, even if no
// updates arrive.
func (n *Node) runWatching(ctx context.Context) error {
	for store.Sleep(ctx, watchPeriod) {
		n.updateWatching(time.Now())
	}
	return nil
}
