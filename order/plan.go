package order

import (
	"slices"
	"time"

	"github.com/baobabdyke/baobabdyke/config"
	"github.com/baobabdyke/baobabdyke/target"
)

// A PlanInput is the input of Plan.
type PlanInput struct {
	View    *config.View
	Pool    string
	Engines []Engine
	// Sent holds the last order of the present term to each target, by name.
	Sent map[string]Sent
	// TermStart is when this VM first found that it holds the lease in the
	// present term.
	TermStart time.Time
	Now       time.Time
}

// A Sent is the last order to a target. Open reports whether the order is still
// in progress. The order cannot be carried out after Ends.
type Sent struct {
	Order target.Order
	Open  bool
	Ends  time.Time
	// Again is the earliest time for the next order.
	Again time.Time
	// Settled is when the engine counts as available again.
	Settled time.Time
}

// Plan returns the orders to send now, at most one per target and only to targets
// without an open order. Loads that replace no other version come first.
func Plan(in PlanInput) []PlannedOrder {
	desired := assign(DesiredModels(in.View, in.Pool), in.Engines)
	var additions, replacements, others []PlannedOrder
	for _, e := range in.Engines {
		if !in.canReceive(e) {
			continue
		}
		o, ok := nextOrder(in.View, e, desired[e.Target.Name])
		if !ok {
			continue
		}
		p := PlannedOrder{Engine: e, Order: o}
		switch {
		case !p.isLoad():
			others = append(others, p)
		case findModel(e.Report, o.Model) == nil:
			additions = append(additions, p)
		default:
			replacements = append(replacements, p)
		}
	}
	allowed := max(in.maxUnavailable()-in.unavailable(), 0)
	replacements = replacements[:min(allowed, len(replacements))]
	return slices.Concat(additions, replacements, others)
}

// canReceive reports whether an engine may get an order: it is live, has no open
// order, and has reported since its last order ended. If the engine does not
// check fencing tokens, the orders of the previous lease holder must have ended
// as well.
func (in PlanInput) canReceive(e Engine) bool {
	if !e.Live || e.Report.Leaving {
		return false
	}
	if !e.Target.Fencing && in.Now.Before(in.TermStart.Add(takeoverDelay)) {
		return false
	}
	last, ok := in.Sent[e.Target.Name]
	if !ok {
		return true
	}
	if last.Open || in.Now.Before(last.Again) {
		return false
	}
	return e.ReportedAt.After(last.Ends)
}

// maxUnavailable returns the number of engines of the pool that may be
// unavailable during a roll-out. It is zero at the start of a term, since the loads
// of the previous lease holder are not recorded, and some engines may still be
// filling their caches.
func (in PlanInput) maxUnavailable() int {
	if in.Now.Before(in.TermStart.Add(settleTime)) {
		return 0
	}
	return max(1, len(in.Engines)/unavailableDivisor)
}

// unavailable returns the number of engines that provide no capacity: those that
// are not live, are leaving, have no model or an open load, or have not settled
// after one.
func (in PlanInput) unavailable() int {
	n := 0
	for _, e := range in.Engines {
		last := in.Sent[e.Target.Name]
		loading := last.Order.Kind == target.OrderLoad && (last.Open || in.Now.Before(last.Settled))
		if !e.Live || e.Report.Leaving || len(e.Report.Models) == 0 || loading {
			n++
		}
	}
	return n
}

// nextOrder returns the next order that an engine needs to reach the desired
// state.
func nextOrder(v *config.View, e Engine, desired []DesiredModel) (target.Order, bool) {
	r := e.Report
	for _, d := range desired {
		if !hasVersion(r, d) {
			return target.Order{Kind: target.OrderLoad, Model: d.Model, Version: d.Version}, true
		}
	}
	for _, d := range desired {
		for _, a := range d.Adapters {
			if !slices.Contains(findModel(r, d.Model).Adapters, a) {
				return target.Order{Kind: target.OrderAdapter, Model: d.Model, Version: d.Version, Adapter: a}, true
			}
		}
	}
	if e.Target.Role != "" && e.Target.Role != r.Role {
		return target.Order{Kind: target.OrderRole, Role: e.Target.Role}, true
	}
	for _, l := range r.Models {
		undesired := !slices.ContainsFunc(desired, func(d DesiredModel) bool { return d.Model == l.Model })
		// Models that are not in the configuration are managed by others.
		if undesired && v.Model(l.Model) != nil {
			return target.Order{Kind: target.OrderUnload, Model: l.Model}, true
		}
	}
	return target.Order{}, false
}
