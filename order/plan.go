package order

import (
	"slices"
	"time"

	"github.com/baobabdyke/baobabdyke/config"
	"github.com/baobabdyke/baobabdyke/target"
)

// A Situation is what a plan is made from.
type PlanInput struct {
	View    *config.View
	Pool    string
	Engines []Engine
	// Sent is what this holder sent, by target.
	Sent map[string]Sent
	// Since is when this VM first held the present term.
	TermStart time.Time
	Now       time.Time
}

// A Sent is the last order to a target. Open tells that its outcome is not
// known; it can not be carried out any more after Ends.
type Sent struct {
	Order target.Order
	Open  bool
	Ends  time.Time
	// Again is the earliest time of the next order.
	Again time.Time
	// Settled is when the engine counts as capacity again.
	Settled time.Time
}

// Plan returns the orders to send now, at most one for each target and only to
// targets with no order open. Loads that take nothing away come first.
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

// ready tells whether an engine may get an order: it is alive, no order to it is
// open, its report is newer than the last one, and, if it does not check fencing
// numbers, the orders of an earlier holder have run out.
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

// allowedAway is the number of engines of the pool that may be away for the
// sake of a roll-out. A new holder does not know which caches still fill, and
// begins when all have settled.
func (s PlanInput) allowedAway() int {
	if s.Now.Before(s.TermStart.Add(settleTime)) {
		return 0
	}
	return max(1, len(s.Engines)/awayPart)
}

// away counts the engines that give no capacity: dead, empty, with an open load
// or with a cache that still fills.
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

// next returns the first order that brings an engine nearer to what is wanted.
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
		// Models that the configuration does not know are not this system's.
		if unwanted && v.Model(l.Model) != nil {
			return target.Order{Kind: target.OrderUnload, Model: l.Model}, true
		}
	}
	return target.Order{}, false
}
