// Package model runs ways of choosing an engine, and of ordering a line, on
// models of the systems that are served. All of it is in virtual time.
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
	// trialWarmUp is left out of all figures: the engines start empty.
	trialWarmUp = 30 * time.Second
	trialFault  = 100 * time.Second
	// trialWindow is the time before and after the fault that is shown apart.
	trialWindow = 10 * time.Second
	reportEvery = 250 * time.Millisecond
	reportLag   = 200 * time.Millisecond
	eventLag    = 300 * time.Millisecond
	snapshotLag = 600 * time.Millisecond
	peerLag     = 2 * time.Millisecond
)

var trialStart = time.Unix(1_800_000_000, 0)

// The faults of a trial.
const (
	Calm           = "calm"
	HalfLoad       = "half the load"
	HotPrefixMoves = "hot prefix moves"
	EngineLost     = "engine lost"
	EventsLost     = "events lost"
	VMsRestarted   = "VMs restarted"
)

// Faults returns all faults of a trial.
func Faults() []string {
	return []string{Calm, HalfLoad, HotPrefixMoves, EngineLost, EventsLost, VMsRestarted}
}

// A Trial is one way on one load under one fault.
type Trial struct {
	schedule *Schedule
	seed     uint64
	load     workload.Load
	way      string
	fault    string
	rng      *rand.Rand
	engines  []*Engine
	nodes    []*node
	route    *config.Route
	waiting  []func()
	pending  map[string]bool
	result   Result
}

// NewTrial returns a trial of a way on a load under a fault. Equal seeds give
// equal results.
func NewTrial(l workload.Load, way, fault string, seed uint64) *Trial {
	if fault == HalfLoad {
		l.Rate /= 2
	}
	t := &Trial{
		schedule: NewSchedule(trialStart), seed: seed, load: l, way: way, fault: fault,
		rng: rand.New(rand.NewPCG(seed, 2)), pending: map[string]bool{},
	}
	t.route = &config.Route{Kind: config.RouteModel, Idempotent: true}
	t.result.worst = make([][]time.Duration, len(l.CustomerShares))
	for i := range l.Engines {
		e := NewEngine(t.schedule, i, l.CachePieces)
		e.Emit = t.emit
		t.engines = append(t.engines, e)
	}
	t.startNodes()
	return t
}

// startNodes starts all VMs, which read the engines' snapshots.
func (t *Trial) startNodes() {
	t.nodes = nil
	for range workload.VMs {
		n := &node{planner: newPlanner(t.way), index: prefix.NewIndex(0, t.schedule.Now()), sent: make([]int, len(t.engines))}
		for _, e := range t.engines {
			n.index.LoadSnapshot(e.Target.Name, e.Snapshot(), t.schedule.Now())
			n.states = append(n.states, target.State{Target: e.Target, Health: target.HealthLive, Reported: true, Report: e.Report(), ReportedAt: t.schedule.Now()})
		}
		t.nodes = append(t.nodes, n)
	}
}

// emit sends a cache event to all VMs, late, and loses some of them.
func (t *Trial) emit(e *Engine, ev target.CacheEvent) {
	if t.fault == EventsLost && t.rng.Float64() < 0.1 {
		return
	}
	t.schedule.After(eventLag, func() {
		gap := false
		for _, n := range t.nodes {
			_, missed := n.index.Apply(e.Target.Name, ev, t.schedule.Now()).(prefix.Gap)
			gap = gap || missed
		}
		if gap && !t.pending[e.Target.Name] {
			t.pending[e.Target.Name] = true
			t.schedule.After(snapshotLag, func() { t.snapshot(e) })
		}
	})
}

func (t *Trial) snapshot(e *Engine) {
	t.pending[e.Target.Name] = false
	s := e.Snapshot()
	for _, n := range t.nodes {
		n.index.LoadSnapshot(e.Target.Name, s, t.schedule.Now())
	}
}

// reports reads all engines, and delivers what they say later.
func (t *Trial) reports() {
	for i, e := range t.engines {
		if e.down {
			continue
		}
		r := e.Report()
		t.schedule.After(reportLag, func() {
			for _, n := range t.nodes {
				n.states[i].Report, n.states[i].ReportedAt, n.states[i].Health = r, t.schedule.Now(), target.HealthLive
				n.sent[i] = 0
				n.index.SetEvictionRate(e.Target.Name, r.CachePieces, r.EvictionRate)
			}
		})
	}
	t.schedule.After(reportEvery, t.reports)
}

// Run runs the trial to its end and returns what it showed. A trial runs once.
func (t *Trial) Run() Result {
	rng := rand.New(rand.NewPCG(t.seed, 1))
	t.reports()
	for _, a := range t.load.Arrivals(rng, t.fault == HotPrefixMoves) {
		t.schedule.After(a.At, func() { t.send(a, t.schedule.Now(), nil, false) })
	}
	t.schedule.After(trialFault, func() {
		switch t.fault {
		case EngineLost:
			t.engines[0].Lose()
		case VMsRestarted:
			t.startNodes()
		}
	})
	t.schedule.RunUntil(trialStart.Add(workload.Duration + time.Minute))
	return t.result
}
