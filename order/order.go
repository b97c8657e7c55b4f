// Package order brings engines to the models, adapters and versions that the
// configuration wants, under a lease for each pool of targets.
//
// The term of the lease goes with each order as its fencing number. For targets
// that do not check it, a holder sends nothing that could outlive its lease, and
// its successor waits out the longest order before its first.
package order

import (
	"time"

	"github.com/baobabdyke/baobabdyke/config"
	"github.com/baobabdyke/baobabdyke/target"
)

const (
	// maxLifetime is the longest that an order may be on its way and be carried
	// out.
	maxLifetime = 6 * time.Second
	// minLifetime is the shortest lifetime worth sending an order with.
	minLifetime = 2 * time.Second
	// waitOut is how long a new holder waits before its first order to a target
	// that does not check fencing numbers.
	waitOut = maxLifetime + 2*time.Second
	// settleTime is the time that an engine counts as away after a load, while
	// its prefix cache fills.
	settleTime = 5 * time.Second
	// refusedWait is the pause before a target is asked again after it refused.
	refusedWait = 10 * time.Second
	// awayPart is the part of a pool that may be away during a roll-out.
	awayPart = 5
	// loadSlots is the number of loads at once over all VMs.
	loadSlots = 2
	// loadGap is the least time between two loads of one slot.
	loadGap = 500 * time.Millisecond
)

// An Engine is what a VM knows of one engine. At is when its report was taken,
// by this VM's clock.
type Engine struct {
	Target     *config.Target
	Report     target.Report
	ReportedAt time.Time
	Live       bool
}

// EnginesOf returns the engines among the states of targets.
func EnginesOf(states []target.State) []Engine {
	engines := make([]Engine, 0, len(states))
	for i := range states {
		s := &states[i]
		if s.Target.Kind != config.TargetEngine {
			continue
		}
		live := s.Reported && (s.Health == target.HealthLive || s.Health == target.HealthProbing)
		engines = append(engines, Engine{Target: s.Target, Report: s.Report, ReportedAt: s.ReportedAt.Add(-target.ReportLag), Live: live})
	}
	return engines
}

// A Want is one model that a pool should hold.
type DesiredModel struct {
	Model    string
	Version  string
	Adapters []string
}

// An Intent is an order that should be sent to an engine.
type PlannedOrder struct {
	Engine Engine
	Order  target.Order
}

// loads tells whether the order reads the weight store.
func (i PlannedOrder) loads() bool { return i.Order.Kind == target.OrderLoad }
