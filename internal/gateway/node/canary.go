package node

import (
	"context"
	"expvar"
	"time"

	"github.com/baobabdyke/baobabdyke/internal/fleet/canary"
	"github.com/baobabdyke/baobabdyke/internal/fleet/roster"
	"github.com/baobabdyke/baobabdyke/internal/fleet/source"
	"github.com/baobabdyke/baobabdyke/lease"
	"github.com/baobabdyke/baobabdyke/platform"
)

// movesTraffic reports whether orders move traffic between versions of targets.
func (n *Node) movesTraffic() bool {
	g := n.settings.Gateway
	return g.TrafficMoves || platform.ReadContracts(g.Contracts).TrafficMoves
}

// kinds returns the kinds of objects to read.
func (n *Node) kinds() (k [4]string) {
	k[source.Config], k[source.Targets], k[source.WeightVersions] = platform.KindConfig, platform.KindTargets, platform.KindWeights
	if n.movesTraffic() {
		k[source.Orders] = platform.KindOrders
	}
	return k
}

// buildCanary builds what carries out orders that move traffic.
func (n *Node) buildCanary(objects Objects, born int64) {
	n.gate = canary.NewGate(canary.Options{
		VM: n.settings.VM, Log: n.log,
		Share:    func() float64 { return n.bounds().Canary.Share },
		OnChange: n.roster.Trigger,
	})
	n.placer.SetGate(n.gate)
	n.canary = canary.NewTask(canary.TaskOptions{
		Self:         lease.Holder{ID: n.settings.VM, Incarnation: uint64(born)},
		Gate:         n.gate,
		Store:        objects,
		Clock:        n.clock,
		Log:          n.log,
		View:         n.source.View,
		OrdersAge:    func() time.Duration { return n.source.Age(source.Orders) },
		Peers:        n.canaryPeers,
		Serves:       func() bool { return n.ready.Load() && !n.leaving.Load() },
		StoreFailing: n.source.StoreFailing,
		UpdateDelay:  n.roster.UpdateDelay,
		OnChange:     n.roster.Trigger,
		Key:          func(service string) string { return platform.KindOrders + "/" + service },
		Decode:       platform.DecodeOrder,
		WithStatus:   platform.WithOrderStatus,
	})
	metrics.Set(n.settings.VM+".canary", expvar.Func(func() any { return n.gate.Counters() }))
}

// runCanary carries out orders that move traffic until ctx ends.
func (n *Node) runCanary(ctx context.Context) error {
	if n.canary == nil {
		return nil
	}
	return n.canary.Run(ctx)
}

// canaryPeers returns the other VMs with what they reported of orders.
func (n *Node) canaryPeers() []canary.Peer {
	now := time.Now()
	members := n.roster.Members()
	out := make([]canary.Peer, 0, len(members))
	for _, m := range members {
		p := canary.Peer{
			VM: m.Entry.VM, Alive: m.Alive(now), Heard: m.Heard, Ready: m.Entry.State == roster.Ready, StoreFailing: m.Entry.Watch.Failing,
		}
		if m.Entry.Canary != nil {
			p.Update = *m.Entry.Canary
		}
		out = append(out, p)
	}
	return out
}

// canaryUpdate returns what this VM knows of orders, or nil.
func (n *Node) canaryUpdate() *canary.Update {
	if n.canary == nil {
		return nil
	}
	if u := n.canary.Update(time.Now()); u.Holder || len(u.Reports) > 0 {
		return &u
	}
	return nil
}

// mergeCanary applies what another VM tells of orders.
func (n *Node) mergeCanary(e roster.Entry, now time.Time) {
	if n.gate != nil && e.Canary != nil {
		n.gate.Merge(e.VM, e.Born, e.Canary.Reports, now)
	}
}
