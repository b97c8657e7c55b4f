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
	// TermStart is when this VM noticed that it holds the lease in the present
	// term.
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
func Plan(s PlanInput) []PlannedOrder {
	wanted := assign(DesiredModels(s.View, s.Pool), s.Engines)
	var fills, swaps, others []PlannedOrder
	for _, e := range s.Engines {
		if !s.ready(e) {
			continue
		}
		o, ok := next(s.View, e, wanted[e.Target.Name])
		if !ok {
			continue
		}
		i := PlannedOrder{Engine: e, Order: o}
		switch {
		case !i.loads():
			others = append(others, i)
		case loaded(e.Report, o.Model) == nil:
			fills = append(fills, i)
		default:
			swaps = append(swaps, i)
		}
	}
	room := max(s.allowedAway()-s.away(), 0)
	swaps = swaps[:min(room, len(swaps))]
	return slices.Concat(fills, swaps, others)
}

// canReceive reports whether an engine may get an order: it is live, has no open
// order, and has reported since its last order ended. If the engine does not
// check fencing tokens, the orders of the previous lease holder must have ended
// as well.
func (s PlanInput) ready(e Engine) bool {
	if !e.Live || e.Report.Leaving {
		return false
	}
	if !e.Target.Fencing && s.Now.Before(s.TermStart.Add(waitOut)) {
		return false
	}
	last, ok := s.Sent[e.Target.Name]
	if !ok {
		return true
	}
	if last.Open || s.Now.Before(last.Again) {
		return false
	}
	return e.ReportedAt.After(last.Ends)
}

// maxUnavailable returns the number of engines of the pool that may be
// unavailable during a roll-out. It is zero at the start of a term, since a new
// lease holder does not know which engines are still filling their caches.
func (s PlanInput) allowedAway() int {
	if s.Now.Before(s.TermStart.Add(settleTime)) {
		return 0
	}
	return max(1, len(s.Engines)/awayPart)
}

// unavailable returns the number of engines that provide no capacity: those that
// are not live, are leaving, have no model or an open load, or have not settled
// after one.
func (s PlanInput) away() int {
	n := 0
	for _, e := range s.Engines {
		last := s.Sent[e.Target.Name]
		loading := last.Order.Kind == target.OrderLoad && (last.Open || s.Now.Before(last.Settled))
		if !e.Live || e.Report.Leaving || len(e.Report.Models) == 0 || loading {
			n++
		}
	}
	return n
}

// nextOrder returns the next order that an engine needs to reach the desired
// state.
func next(v *config.View, e Engine, wants []DesiredModel) (target.Order, bool) {
	r := e.Report
	for _, w := range wants {
		if !holds(r, w) {
			return target.Order{Kind: target.OrderLoad, Model: w.Model, Version: w.Version}, true
		}
	}
	for _, w := range wants {
		for _, a := range w.Adapters {
			if !slices.Contains(loaded(r, w.Model).Adapters, a) {
				return target.Order{Kind: target.OrderAdapter, Model: w.Model, Version: w.Version, Adapter: a}, true
			}
		}
	}
	if e.Target.Role != "" && e.Target.Role != r.Role {
		return target.Order{Kind: target.OrderRole, Role: e.Target.Role}, true
	}
	for _, l := range r.Models {
		unwanted := !slices.ContainsFunc(wants, func(w DesiredModel) bool { return w.Model == l.Model })
		// Models that are not in the configuration are managed by others.
		if unwanted && v.Model(l.Model) != nil {
			return target.Order{Kind: target.OrderUnload, Model: l.Model}, true
		}
	}
	return target.Order{}, false
}
