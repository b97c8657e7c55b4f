package node

import (
	"context"
	"sync"
	"time"

	"github.com/baobabdyke/baobabdyke/internal/fleet/roster"
	"github.com/baobabdyke/baobabdyke/peer"
)

// describe fills in the entry that this VM sends to the others.
func (n *Node) describe(e *roster.Entry) {
	e.State = roster.Starting
	if n.ready.Load() {
		e.State = roster.Ready
	}
	if n.leaving.Load() {
		e.State = roster.Leaving
	}
	e.Marks = n.source.Positions()
	e.Spent = n.quota.Spent()
	e.Loads, e.Loaded = n.placer.Loads(time.Now())
	e.Names = n.source.Announcements(time.Now())
	e.Reads = n.placer.Reads(time.Now())
	e.Watch = roster.StoreWatch{Reads: n.watches.Load(), AgeMS: time.Since(n.source.LastStoreAnswer()).Milliseconds()}
	e.Duty = n.orders.LeaseStatus()
}

// A pullState records which kinds other VMs are ahead in, so that this VM's own
// read has time to catch up before a pull.
type marks struct {
	mu sync.Mutex
	// behindSince is when this VM was first seen to be behind, by kind.
	ahead map[int]time.Time
	word  time.Time
	// inProgress counts the running pulls of each kind.
	pulling map[int]int
}

const (
	// maxPulls is the number of concurrent pulls of one kind in a large fleet,
	// where a large configuration saturates the links of VMs that many others
	// pull from.
	mostPulls = 2
	// pullTimeout and largePullTimeout bound a pull. 500 KB take 0.4 s on the
	// slowest links if no other VM pulls.
	pullTimeout      = time.Second
	largePullTimeout = 2500 * time.Millisecond
)

// begin returns the kinds of which another pull may start, and counts them as
// running. The caller must hold mu.
func (m *marks) begin(kinds []int) []int {
	var out []int
	for _, kind := range kinds {
		if m.pulling == nil {
			m.pulling = map[int]int{}
		}
		if m.pulling[kind] < mostPulls {
			m.pulling[kind]++
			out = append(out, kind)
		}
	}
	return out
}

// end records the end of a pull.
func (m *marks) ended(kind int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.pulling[kind]--
}

// pullDelay is how long this VM's own read may take before it pulls from another
// VM.
const pullDelay = 150 * time.Millisecond

// applyUpdates processes new entries of other VMs.
func (n *Node) heard(from string, fresh []roster.Entry) {
	now := time.Now()
	for _, e := range fresh {
		n.source.MergeAnnouncements(e.Names, now)
		if e.State == roster.Ready {
			n.told.Store(true)
		}
	}
	v := n.source.View()
	for _, e := range fresh {
		n.quota.UpdatePeer(e.VM, e.Born, e.Spent)
		n.placer.Hear(e, v, now)
		if e.VM == from {
			n.compare(e, now)
		}
	}
	n.refreshBusy(now)
	n.chooseWatchers(now)
}

// pullNewer pulls the kinds from a VM in which it is ahead of this one.
func (n *Node) compare(e roster.Entry, now time.Time) {
	behind := n.source.StaleKinds(e.Marks)
	n.mark.mu.Lock()
	if n.mark.ahead == nil {
		n.mark.ahead = map[int]time.Time{}
	}
	var pull []int
	for _, kind := range behind {
		since, ok := n.mark.ahead[kind]
		switch {
		case !n.watches.Load() || ok && now.Sub(since) >= pullDelay:
			pull = append(pull, kind)
			delete(n.mark.ahead, kind)
		case !ok:
			n.mark.ahead[kind] = now
		}
	}
	if len(behind) == 0 {
		clear(n.mark.ahead)
	}
	n.mark.word = now
	bounded := n.roster.Count() >= roster.SmallFleetSize
	if bounded {
		pull = n.mark.begin(pull)
	}
	n.mark.mu.Unlock()
	for _, kind := range pull {
		go n.pull(peer.Destination{VM: e.VM, Address: e.Peers}, kind, bounded)
	}
}

func (n *Node) pull(from peer.Destination, kind int, bounded bool) {
	timeout := pullTimeout
	if bounded {
		timeout = largePullTimeout
		defer n.mark.ended(kind)
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	if err := n.source.PullFrom(ctx, n.client, from, kind); err != nil {
		_ = n.log.Log("msg", "state not pulled", "from", from.VM, "kind", kind, "err", err)
	}
}

// siteChanged applies a new view of the site.
func (n *Node) siteChanged() {
	v := n.source.View()
	if v.Config != nil {
		n.quota.AddCustomers(v.Config.Customers)
	}
	n.roster.Trigger()
}

func (n *Node) dutyChanged() {
	n.refreshBusy(time.Now())
	n.roster.Trigger()
}

// refreshBusy collects the engines that any VM is about to send an order to.
func (n *Node) refreshBusy(now time.Time) {
	busy := map[string]bool{}
	for _, id := range n.orders.LeaseStatus().Busy {
		busy[id] = true
	}
	for _, m := range n.roster.Members() {
		if !m.Alive(now) {
			continue
		}
		for _, id := range m.Entry.Duty.Busy {
			busy[id] = true
		}
	}
	n.placer.SetBusy(busy)
}
