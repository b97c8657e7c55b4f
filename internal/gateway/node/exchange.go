package node

import (
	"context"
	"sync"
	"time"

	"github.com/baobabdyke/baobabdyke/internal/fleet/quota"
	"github.com/baobabdyke/baobabdyke/internal/fleet/roster"
	"github.com/baobabdyke/baobabdyke/internal/fleet/site"
	"github.com/baobabdyke/baobabdyke/internal/fleet/source"
	"github.com/baobabdyke/baobabdyke/internal/gateway/inbound"
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
	e.Spent, e.Refused = n.quota.Spent(), n.quota.Refused()
	share := n.quota.Share()
	e.Sharers, e.NoShare, e.Part = share.Members, !share.Has, share.Part
	e.Loads, e.Loaded = n.placer.Loads(time.Now())
	n.placer.PruneNotices(n.source.View(), time.Now())
	e.Names = n.source.Announcements(time.Now())
	e.Reads = n.placer.RecentlySent(time.Now())
	e.Watch = n.storeWatch()
	e.Suspects = n.quarantine.Reports(time.Now())
	e.Limits = n.limits.Reports(time.Now())
	n.admission.Report(e, time.Now())
	e.Duty = n.orders.LeaseStatus()
	e.Canary = n.canaryUpdate()
}

// A pullState records the kinds in which other VMs are ahead, so that this VM
// pulls them only if its own read does not catch up.
type pullState struct {
	mu sync.Mutex
	// behindSince is when this VM was first seen to be behind, by kind.
	behindSince map[int]time.Time
	// inProgress counts the running pulls of each kind.
	inProgress map[int]int
}

const (
	// maxPulls is the number of concurrent pulls of one kind. More of them would
	// saturate a slow link until all reach their timeouts.
	maxPulls = 2
	// pullTimeout and largePullTimeout bound a pull in a small and in a large fleet.
	// 500 KB take 0.4 s on the slowest links if no other VM pulls.
	pullTimeout      = time.Second
	largePullTimeout = 2500 * time.Millisecond
)

// begin returns the kinds of which another pull may start, and counts them as
// running. The caller must hold mu.
func (s *pullState) begin(kinds []int) []int {
	var out []int
	for _, kind := range kinds {
		if s.inProgress == nil {
			s.inProgress = map[int]int{}
		}
		if s.inProgress[kind] < maxPulls {
			s.inProgress[kind]++
			out = append(out, kind)
		}
	}
	return out
}

// end records the end of a pull.
func (s *pullState) end(kind int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inProgress[kind]--
}

// pullDelay is how long this VM's own read may take before it pulls from another
// VM.
const pullDelay = 150 * time.Millisecond

// applyUpdates processes new entries of other VMs.
func (n *Node) applyUpdates(from string, entries []roster.Entry) {
	now := time.Now()
	for _, e := range entries {
		n.source.MergeAnnouncements(e.Names, now)
		if e.State == roster.Ready {
			n.peerReady.Store(true)
		}
		n.peerConfig.Store(max(n.peerConfig.Load(), e.Marks[source.Config].Newest))
	}
	v := n.source.View()
	quarantined := false
	for _, e := range entries {
		n.quota.UpdatePeer(quota.Update{VM: e.VM, Born: e.Born, Spent: e.Spent, Refused: e.Refused, Members: e.Sharers, NoShare: e.NoShare, Part: e.Part})
		quarantined = n.quarantine.Merge(e.Suspects, now) || quarantined
		n.placer.ApplyUpdate(e, v, now)
		n.mergeCanary(e, now)
		n.admission.Merge(&e, now)
		for _, target := range n.limits.Merge(e.VM, e.Limits, now) {
			n.logLimit(target, e.VM, "", now)
		}
		if e.VM == from {
			n.pullNewer(e, now)
		}
	}
	if quarantined {
		// In a large fleet the next regular updates would come seconds later.
		n.roster.Trigger()
	}
	n.refreshBusy(now)
	n.shareLimits(now)
	n.updateWatching(now)
}

// shareLimits updates the VMs among which the limits of targets are divided: those that
// serve, and those that are silent but have a share.
func (n *Node) shareLimits(now time.Time) {
	var vms, silent []string
	if n.ready.Load() && !n.leaving.Load() {
		vms = append(vms, n.settings.VM)
	}
	alive := map[string]bool{}
	for _, m := range n.roster.Members() {
		if !m.Alive(now) {
			continue
		}
		alive[m.Entry.VM] = true
		if m.Entry.State == roster.Ready {
			vms = append(vms, m.Entry.VM)
		}
	}
	for _, vm := range n.quota.Sharers() {
		if !alive[vm] {
			silent = append(silent, vm)
		}
	}
	n.limits.SetVMs(vms, now)
	n.limits.SetSilent(silent, n.quota.MayUseShare(len(silent) > 0), now)
}

// pullNewer pulls the kinds from a VM in which it is ahead of this one. A VM that polls
// the store gives its own read pullDelay to catch up.
func (n *Node) pullNewer(e roster.Entry, now time.Time) {
	behind := n.source.StaleKinds(e.Marks)
	n.pulls.mu.Lock()
	if n.pulls.behindSince == nil {
		n.pulls.behindSince = map[int]time.Time{}
	}
	var due []int
	for _, kind := range behind {
		since, ok := n.pulls.behindSince[kind]
		switch {
		case !n.watching.Load() || kind == source.Config && n.source.HasNewerConfig(e.Marks) || ok && now.Sub(since) >= pullDelay:
			due = append(due, kind)
			delete(n.pulls.behindSince, kind)
		case !ok:
			n.pulls.behindSince[kind] = now
			// The next update of that VM may be seconds away.
			time.AfterFunc(pullDelay, func() { n.pullNewer(e, time.Now()) })
		}
	}
	if len(behind) == 0 {
		clear(n.pulls.behindSince)
	}
	due = n.pulls.begin(due)
	n.pulls.mu.Unlock()
	timeout := pullTimeout
	if n.roster.Count() >= roster.SmallFleetSize {
		timeout = largePullTimeout
	}
	for _, kind := range due {
		go n.pull(peer.Destination{VM: e.VM, Address: e.Peers}, kind, timeout)
	}
}

func (n *Node) pull(from peer.Destination, kind int, timeout time.Duration) {
	defer n.pulls.end(kind)
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	start := time.Now()
	if err := n.source.PullFrom(ctx, n.client, from, kind); err != nil {
		_ = n.log.Log("msg", "state not pulled", "from", from.VM, "kind", kind, "took", time.Since(start), "err", err)
	}
}

// siteChanged applies a new view of the site.
func (n *Node) siteChanged() {
	v := n.source.View()
	if v.Config != nil {
		n.quota.AddCustomers(v.Config.Customers)
		n.callers.SetLimits(inbound.Limits{Idle: v.Config.Limits.IdleTimeout, Header: v.Config.Limits.HeaderTimeout}, time.Now())
	}
	if n.canary != nil {
		n.canary.Sync(time.Now())
	}
	n.roster.Trigger()
}

// recordNotice processes what a target states about further requests in the response to
// a request that was sent at the given time. The request id is empty unless it is a
// caller's request.
func (n *Node) recordNotice(target site.Incarnation, notice site.Notice, requestID string, sent time.Time) {
	now := time.Now()
	// Only the response to a caller's request shows that a limit has ended.
	if requestID != "" || notice.Limit.Stated {
		if n.limits.Record(target, notice.Limit, sent, now) {
			n.logLimit(target, "", requestID, now)
			n.roster.Trigger()
		}
	}
	leaves, pauses := n.placer.RecordNotice(target, notice, now)
	if leaves {
		_ = n.log.Log("msg", "target says that it leaves", "target", target.ID, "born", target.Born, "id", requestID)
	}
	if !pauses {
		return
	}
	if ok, leftOut := n.noticeLog.Allow(now); ok {
		_ = n.log.Log("msg", "target asks for a pause", "target", target.ID, "born", target.Born, "id", requestID,
			"seconds", notice.Pause.Seconds(), "leftout", leftOut)
	}
}

// logLimit logs a changed limit of a target, which this VM has read from the response to
// a request or another VM has reported.
func (n *Node) logLimit(target site.Incarnation, from, requestID string, now time.Time) {
	if ok, leftOut := n.noticeLog.Allow(now); ok {
		perSecond, share := n.limits.Limit(target)
		_ = n.log.Log("msg", "limit of target changed", "target", target.ID, "born", target.Born, "from", from, "id", requestID,
			"limit", perSecond, "share", share, "leftout", leftOut)
	}
}

func (n *Node) leaseChanged() {
	n.refreshBusy(time.Now())
	n.roster.Trigger()
}

// refreshBusy collects the engines that are draining for an order of any VM or
// executing one.
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
