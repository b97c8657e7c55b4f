// Package order sends orders to engines so that they load the models, adapters
// and versions that the configuration requires. A VM sends orders to a pool only
// while it holds the pool's lease.
//
// Each order carries the term of the lease as its fencing token. To protect
// engines that do not check the token, the lifetime of an order never exceeds that
// of the lease, and a new lease holder sends its first order to such an engine
// only after the longest possible order of the previous holder has ended.
package order

import (
	"time"

	"github.com/baobabdyke/baobabdyke/config"
	"github.com/baobabdyke/baobabdyke/target"
)

const (
	// maxLifetime is the longest time from sending an order until it has been
	// carried out.
	maxLifetime = 6 * time.Second
	// minLifetime is the shortest lifetime with which an order is sent.
	minLifetime = 2 * time.Second
	// takeoverDelay is how long a new lease holder waits before its first order
	// to a target that does not check fencing tokens.
	takeoverDelay = maxLifetime + 2*time.Second
	// settleTime is how long an engine counts as unavailable after a load, while
	// its prefix cache fills.
	settleTime = 5 * time.Second
	// refusedDelay is the delay before the next order to a target that refused
	// one.
	refusedDelay = 10 * time.Second
	// unavailableDivisor limits the engines that may be unavailable during a
	// roll-out to the size of the pool divided by it.
	unavailableDivisor = 5
	// loadSlots is the maximum number of concurrent loads over all VMs and pools.
	loadSlots = 2
	// loadGap is the least time between the starts of two loads in one slot.
	loadGap = 500 * time.Millisecond
)

// An Engine is the last known state of an engine. ReportedAt is when the report
// was taken, by this VM's clock. Live reports whether the engine is live or
// probing.
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

// A DesiredModel is a model version that a pool should have loaded, with its
// adapters.
type DesiredModel struct {
	Model    string
	Version  string
	Adapters []string
}

// A PlannedOrder is an order that should be sent to an engine.
type PlannedOrder struct {
	Engine Engine
	Order  target.Order
}

// isLoad reports whether the order loads weights from the weight store.
func (p PlannedOrder) isLoad() bool { return p.Order.Kind == target.OrderLoad }
