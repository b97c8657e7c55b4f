// Package model simulates, in virtual time, policies for choosing an engine,
// queues in front of a pool of engines, and rate limiters across VMs. Benchmarks
// compare them on the same loads.
package model

import (
	"math/rand/v2"
	"time"

	"github.com/baobabdyke/baobabdyke/config"
	"github.com/baobabdyke/baobabdyke/internal/workload"
	"github.com/baobabdyke/baobabdyke/prefix"
	"github.com/baobabdyke/baobabdyke/target"
)

const (
	// trialWarmUp is excluded from all metrics, since the engines start with
	// empty caches.
	trialWarmUp = 30 * time.Second
	trialFault  = 100 * time.Second
	// trialWindow is the length of the periods before and after the fault that
	// have hit rates of their own.
	trialWindow    = 10 * time.Second
	reportInterval = 250 * time.Millisecond
	reportLag      = 200 * time.Millisecond
	eventLag       = 300 * time.Millisecond
	snapshotLag    = 600 * time.Millisecond
	peerLag        = 2 * time.Millisecond
)

var trialStart = time.Unix(1_800_000_000, 0)

// Faults that a trial injects.
const (
	NoFault        = "calm"
	HalfLoad       = "half the load"
	HotPrefixMoves = "hot prefix moves"
	EngineLost     = "engine lost"
	EventsLost     = "events lost"
	VMsRestarted   = "VMs restarted"
)

// Faults returns all faults that a trial can inject.
func Faults() []string {
	return []string{NoFault, HalfLoad, HotPrefixMoves, EngineLost, EventsLost, VMsRestarted}
}

// A Trial is a simulation of one policy on one load with one fault.
type Trial struct {
	schedule        *Schedule
	seed            uint64
	load            workload.Load
	policy          string
	fault           string
	rng             *rand.Rand
	engines         []*Engine
	nodes           []*node
	route           *config.Route
	waiting         []func()
	snapshotPending map[string]bool
	result          Result
}

// NewTrial returns a trial of a policy on a load with a fault. Equal seeds give
// equal results.
func NewTrial(l workload.Load, policy, fault string, seed uint64) *Trial {
	if fault == HalfLoad {
		l.Rate /= 2
	}
	t := &Trial{
		schedule: NewSchedule(trialStart), seed: seed, load: l, policy: policy, fault: fault,
		rng: rand.New(rand.NewPCG(seed, 2)), snapshotPending: map[string]bool{},
	}
	t.route = &config.Route{Kind: config.RouteModel, Idempotent: true}
	t.result.ttftByCustomer = make([][]time.Duration, len(l.CustomerShares))
	for i := range l.Engines {
		e := NewEngine(t.schedule, i, l.CachePieces)
		e.OnEvent = t.broadcastEvent
		t.engines = append(t.engines, e)
	}
	t.startNodes()
	return t
}

// startNodes starts all VMs, which load snapshots of the engines' caches.
func (t *Trial) startNodes() {
	t.nodes = nil
	for range workload.VMs {
		n := &node{planner: newPlanner(t.policy), index: prefix.NewIndex(0, t.schedule.Now()), sentSinceReport: make([]int, len(t.engines))}
		for _, e := range t.engines {
			n.index.LoadSnapshot(e.Target.Name, e.Snapshot(), t.schedule.Now())
			n.states = append(n.states, target.State{Target: e.Target, Health: target.HealthLive, Reported: true, Report: e.Report(), ReportedAt: t.schedule.Now()})
		}
		t.nodes = append(t.nodes, n)
	}
}

// broadcastEvent delivers a cache event to all VMs after eventLag. With EventsLost,
// one event in ten is lost.
func (t *Trial) broadcastEvent(e *Engine, ev target.CacheEvent) {
	if t.fault == EventsLost && t.rng.Float64() < 0.1 {
		return
	}
	t.schedule.After(eventLag, func() {
		gap := false
		for _, n := range t.nodes {
			_, missed := n.index.Apply(e.Target.Name, ev, t.schedule.Now()).(prefix.Gap)
			gap = gap || missed
		}
		if gap && !t.snapshotPending[e.Target.Name] {
			t.snapshotPending[e.Target.Name] = true
			t.schedule.After(snapshotLag, func() { t.loadSnapshot(e) })
		}
	})
}

func (t *Trial) loadSnapshot(e *Engine) {
	t.snapshotPending[e.Target.Name] = false
	s := e.Snapshot()
	for _, n := range t.nodes {
		n.index.LoadSnapshot(e.Target.Name, s, t.schedule.Now())
	}
}

// pollReports reads the reports of all engines, delivers them after reportLag, and
// schedules the next poll.
func (t *Trial) pollReports() {
	for i, e := range t.engines {
		if e.down {
			continue
		}
		r := e.Report()
		t.schedule.After(reportLag, func() {
			for _, n := range t.nodes {
				n.states[i].Report, n.states[i].ReportedAt, n.states[i].Health = r, t.schedule.Now(), target.HealthLive
				n.sentSinceReport[i] = 0
				n.index.SetEvictionRate(e.Target.Name, r.CachePieces, r.EvictionRate)
			}
		})
	}
	t.schedule.After(reportInterval, t.pollReports)
}

// Run runs the trial to its end and returns its result. A trial runs once.
func (t *Trial) Run() Result {
	rng := rand.New(rand.NewPCG(t.seed, 1))
	t.pollReports()
	for _, a := range t.load.Arrivals(rng, t.fault == HotPrefixMoves) {
		t.schedule.After(a.At, func() { t.send(a, t.schedule.Now(), nil, false) })
	}
	t.schedule.After(trialFault, func() {
		switch t.fault {
		case EngineLost:
			t.engines[0].Crash()
		case VMsRestarted:
			t.startNodes()
		}
	})
	t.schedule.RunUntil(trialStart.Add(workload.Duration + time.Minute))
	return t.result
}
