package route_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/baobabdyke/baobabdyke/config"
	"github.com/baobabdyke/baobabdyke/internal/seed"
	"github.com/baobabdyke/baobabdyke/prefix"
	"github.com/baobabdyke/baobabdyke/route"
	"github.com/baobabdyke/baobabdyke/target"
)

const (
	measureVMs   = 8
	measureHomes = 3
	measureTime  = 180 * time.Second
	// measureWarmUp is left out of all figures: the engines start empty.
	measureWarmUp = 30 * time.Second
	measureFault  = 100 * time.Second
	measureAfter  = 10 * time.Second
	hashDepth     = 16
)

var measureStart = time.Unix(1_800_000_000, 0)

// A load is the shape of a deployment's requests: nested layers of prefixes.
type load struct {
	name      string
	engines   int
	cache     int
	rate      float64
	customers []float64
	base      int
	groups    int
	groupLen  [2]int
	leaves    int
	leafLen   [2]int
	tail      int
	output    [2]int
}

var loads = []load{
	{
		name: "hakata", engines: 10, cache: 500, rate: 22, customers: []float64{0.4, 0.3, 0.15, 0.1, 0.05},
		base: 12, groups: 24, groupLen: [2]int{2, 6}, leaves: 60, leafLen: [2]int{1, 4}, tail: 400, output: [2]int{5, 60},
	},
	{
		name: "saldo", engines: 12, cache: 600, rate: 10, customers: []float64{0.45, 0.25, 0.15, 0.1, 0.05},
		base: 10, groups: 40, groupLen: [2]int{10, 24}, leaves: 12, leafLen: [2]int{0, 2}, tail: 700, output: [2]int{20, 120},
	},
}

// An arrival is one request of a load.
type arrival struct {
	at       time.Duration
	customer int
	prompt   prefix.Prompt
	pieces   []uint64
	output   int
	vm       int
}

// arrivals returns the requests of a load. With moving, the popular prefixes
// are others every ten seconds.
func (l load) arrivals(rng *rand.Rand, moving bool) []arrival {
	var list []arrival
	groups := rand.NewZipf(rng, 1.3, 2, uint64(l.groups-1))
	leaves := rand.NewZipf(rng, 1.2, 3, uint64(l.leaves-1))
	for at := time.Duration(0); at < measureTime; at += time.Duration(rng.ExpFloat64() / l.rate * float64(time.Second)) {
		a := arrival{at: at, customer: pick(rng, l.customers), output: between(rng, l.output)}
		group, leaf := int(groups.Uint64()), int(leaves.Uint64())
		if moving {
			group = (group + 7*int(at/(10*time.Second))) % l.groups
		}
		a.fill(l, group, leaf)
		a.vm = (a.customer*3 + rng.IntN(measureHomes)) % measureVMs
		list = append(list, a)
	}
	return list
}

// fill sets the prompt of an arrival: the customer's base, a group and a leaf.
func (a *arrival) fill(l load, group, leaf int) {
	name := fmt.Sprintf("%s/%d", l.name, a.customer)
	a.layer(name, l.base)
	name = fmt.Sprintf("%s/%d", name, group)
	a.layer(name, length(name, l.groupLen))
	name = fmt.Sprintf("%s/%d", name, leaf)
	a.layer(name, length(name, l.leafLen))
	a.prompt.PieceTokens = modelPiece
	a.prompt.Tokens = len(a.pieces)*modelPiece + l.tail
}

func (a *arrival) layer(name string, n int) {
	for i := range n {
		k := xxhash.Sum64String(fmt.Sprintf("%s#%d", name, i))
		a.pieces = append(a.pieces, k)
		a.prompt.Keys = append(a.prompt.Keys, prefix.Key(k))
	}
}

func length(name string, bounds [2]int) int {
	return bounds[0] + int(xxhash.Sum64String(name)%uint64(bounds[1]-bounds[0]+1))
}

func between(rng *rand.Rand, bounds [2]int) int { return bounds[0] + rng.IntN(bounds[1]-bounds[0]+1) }

func pick(rng *rand.Rand, shares []float64) int {
	x := rng.Float64()
	for i, s := range shares {
		if x -= s; x < 0 {
			return i
		}
	}
	return len(shares) - 1
}

// A node is one VM's knowledge.
type node struct {
	planner *route.Planner
	index   *prefix.Index
	states  []target.State
	sent    []int
	turn    int
}

// A trial is one way on one load under one fault.
type trial struct {
	schedule
	load    load
	way     string
	fault   string
	rng     *rand.Rand
	engines []*modelEngine
	nodes   []*node
	route   *config.Route
	waiting []func()
	pending map[string]bool
	result  result
}

// A result is what a trial shows.
type result struct {
	ttft    []time.Duration
	worst   [][]time.Duration
	prompt  int
	held    int
	wasted  int
	windows [2]struct{ prompt, held int }
}

func newTrial(l load, way, fault string) *trial {
	if fault == "half the load" {
		l.rate /= 2
	}
	t := &trial{load: l, way: way, fault: fault, rng: rand.New(rand.NewPCG(seed.Value(), 2)), pending: map[string]bool{}}
	t.now = measureStart
	t.route = &config.Route{Kind: config.RouteModel, Idempotent: true}
	t.result.worst = make([][]time.Duration, len(l.customers))
	for i := range l.engines {
		e := newModelEngine(&t.schedule, i, l.cache)
		e.emit = t.emit
		t.engines = append(t.engines, e)
	}
	t.startNodes()
	return t
}

// startNodes starts all VMs, which read the engines' snapshots.
func (t *trial) startNodes() {
	t.nodes = nil
	for range measureVMs {
		n := &node{planner: newPlanner(t.way), index: prefix.NewIndex(0, t.now), sent: make([]int, len(t.engines))}
		for _, e := range t.engines {
			n.index.Load(e.target.Name, e.snapshot(), t.now)
			n.states = append(n.states, target.State{Target: e.target, Life: target.LifeLive, Reported: true, Report: e.report(), At: t.now})
		}
		t.nodes = append(t.nodes, n)
	}
}

func newPlanner(way string) *route.Planner {
	if way == "ttft alone" {
		return route.NewPlanner(route.PlannerOptions{Waste: -1})
	}
	return route.NewPlanner(route.PlannerOptions{})
}

// emit sends a cache event to all VMs, late, and loses some of them.
func (t *trial) emit(e *modelEngine, ev target.CacheEvent) {
	if t.fault == "events lost" && t.rng.Float64() < 0.1 {
		return
	}
	t.after(modelEventLag, func() {
		gap := false
		for _, n := range t.nodes {
			_, missed := n.index.Apply(e.target.Name, ev, t.now).(prefix.Gap)
			gap = gap || missed
		}
		if gap && !t.pending[e.target.Name] {
			t.pending[e.target.Name] = true
			t.after(modelSnapshots, func() { t.snapshot(e) })
		}
	})
}

func (t *trial) snapshot(e *modelEngine) {
	t.pending[e.target.Name] = false
	s := e.snapshot()
	for _, n := range t.nodes {
		n.index.Load(e.target.Name, s, t.now)
	}
}

// reports reads all engines, and delivers what they say later.
func (t *trial) reports() {
	for i, e := range t.engines {
		if e.down {
			continue
		}
		r := e.report()
		t.after(modelLag, func() {
			for _, n := range t.nodes {
				n.states[i].Report, n.states[i].At, n.states[i].Life = r, t.now, target.LifeLive
				n.sent[i] = 0
				n.index.Pressure(e.target.Name, r.CachePieces, r.Evictions)
			}
		})
	}
	t.after(modelReport, t.reports)
}

func (t *trial) run() result {
	rng := rand.New(rand.NewPCG(seed.Value(), 1))
	t.reports()
	for _, a := range t.load.arrivals(rng, t.fault == "hot prefix moves") {
		t.after(a.at, func() { t.send(a, t.now, nil, false) })
	}
	t.after(measureFault, func() {
		switch t.fault {
		case "engine lost":
			t.engines[0].lose()
		case "VMs restarted":
			t.startNodes()
		}
	})
	t.schedule.run(measureStart.Add(measureTime + time.Minute))
	return t.result
}

// send places one request, again when an engine is lost.
func (t *trial) send(a arrival, begun time.Time, excluded []string, followed bool) {
	n := t.nodes[a.vm]
	i, id, placed := t.choose(n, a, begun, excluded, followed)
	if !placed {
		return
	}
	e := t.engines[i]
	if e.down {
		n.planner.Done(t.now, id, true)
		n.states[i].Life = target.LifeFailing
		t.send(a, begun, append(excluded, e.target.Name), followed)
		return
	}
	n.sent[i]++
	w := &task{pieces: a.pieces, tokens: a.prompt.Tokens, output: a.output}
	w.done = func() { n.planner.Done(t.now, id, false) }
	w.first = func(held int) {
		if held < 0 {
			n.planner.Done(t.now, id, true)
			n.states[i].Life = target.LifeFailing
			t.send(a, begun, append(excluded, e.target.Name), followed)
			return
		}
		n.planner.First(id)
		n.index.Expect(e.target.Name, e.incarnation(), "w1", a.prompt.Keys, t.now)
		t.record(a, e, held, t.now.Sub(begun))
		t.wake()
	}
	e.enter(w)
}

// choose returns the engine for a request by the way of the trial.
func (t *trial) choose(n *node, a arrival, begun time.Time, excluded []string, followed bool) (i int, id uint64, placed bool) {
	switch t.way {
	case "round robin":
		for {
			n.turn++
			if i = (n.turn + a.vm) % len(t.engines); n.usable(i, excluded) {
				return i, 0, true
			}
		}
	case "least loaded":
		return n.least(t, excluded), 0, true
	case "prefix hash":
		return n.hashed(t, a, excluded), 0, true
	}
	held := n.index.Held(nil, a.prompt.Keys, t.now)
	held = slices.DeleteFunc(held, func(h prefix.Holding) bool {
		i := slices.IndexFunc(n.states, func(s target.State) bool { return s.Target.Name == h.Engine })
		return n.states[i].Report.Incarnation != h.Incarnation
	})
	r := route.Request{Route: t.route, Prompt: a.prompt, Excluded: excluded, Followed: followed}
	plan := n.planner.Plan(t.now, r, n.states, held)
	if plan.State == nil {
		t.follow(a, begun, excluded, plan)
		return 0, 0, false
	}
	if t.way == "chosen" {
		t.announce(n, plan, a)
	}
	return slices.IndexFunc(n.states, func(s target.State) bool { return s.Target == plan.State.Target }), plan.ID, true
}

// announce tells the other VMs of a long prefill.
func (t *trial) announce(n *node, plan route.Plan, a arrival) {
	told, ok := route.AnnouncementOf(plan, a.prompt)
	if !ok {
		return
	}
	t.after(modelPeer, func() {
		for _, other := range t.nodes {
			if other != n {
				other.index.Announce(told, t.now)
			}
		}
	})
}

// follow sends a request when the prefill that it follows is done, or late.
func (t *trial) follow(a arrival, begun time.Time, excluded []string, plan route.Plan) {
	sent := false
	again := func() {
		if !sent {
			sent = true
			t.send(a, begun, excluded, true)
		}
	}
	if plan.Ready == nil {
		t.after(100*time.Millisecond, again)
		return
	}
	t.after(plan.Until.Sub(t.now), again)
	t.waiting = append(t.waiting, func() {
		select {
		case <-plan.Ready:
			again()
		default:
			if !sent {
				t.waiting = append(t.waiting, nil)
			}
		}
	})
}

// wake lets the requests go on whose prefill is done.
func (t *trial) wake() {
	list := t.waiting
	t.waiting = nil
	for _, check := range list {
		before := len(t.waiting)
		check()
		for i := before; i < len(t.waiting); i++ {
			if t.waiting[i] == nil {
				t.waiting[i] = check
			}
		}
	}
}

func (n *node) usable(i int, excluded []string) bool {
	return n.states[i].Life == target.LifeLive && !slices.Contains(excluded, n.states[i].Target.Name)
}

func (n *node) least(t *trial, excluded []string) int {
	best, least := 0, 1<<30
	for j := range t.engines {
		i := (j + n.turn) % len(t.engines)
		if x := n.states[i].Report.Queued + n.states[i].Report.Running + n.sent[i]; n.usable(i, excluded) && x < least {
			best, least = i, x
		}
	}
	n.turn++
	return best
}

func (n *node) hashed(t *trial, a arrival, excluded []string) int {
	best, most := 0, uint64(0)
	k := a.pieces[min(len(a.pieces), hashDepth)-1]
	for i, e := range t.engines {
		if h := xxhash.Sum64String(fmt.Sprintf("%s/%d", e.target.Name, k)); n.usable(i, excluded) && h > most {
			best, most = i, h
		}
	}
	return best
}

// record counts the first token of a request.
func (t *trial) record(a arrival, e *modelEngine, held int, ttft time.Duration) {
	r := &t.result
	if a.at < measureWarmUp {
		return
	}
	r.ttft = append(r.ttft, ttft)
	r.worst[a.customer] = append(r.worst[a.customer], ttft)
	r.prompt += a.prompt.Tokens
	r.held += held
	most := held
	for _, other := range t.engines {
		if other != e && !other.down {
			most = max(most, other.leading(a.pieces)*modelPiece)
		}
	}
	r.wasted += most - held
	begun := t.now.Sub(measureStart) - measureFault
	if begun > -measureAfter && begun <= measureAfter {
		w := &r.windows[0]
		if begun > 0 {
			w = &r.windows[1]
		}
		w.prompt += a.prompt.Tokens
		w.held += held
	}
}

func percentile(list []time.Duration, p float64) float64 {
	slices.Sort(list)
	return list[int(p*float64(len(list)-1))].Seconds() * 1000
}

func BenchmarkMeasureWays(b *testing.B) {
	for _, l := range loads {
		for _, fault := range []string{"calm", "half the load", "hot prefix moves", "engine lost", "events lost", "VMs restarted"} {
			for _, way := range []string{"round robin", "least loaded", "prefix hash", "ttft alone", "unannounced", "chosen"} {
				b.Run(fmt.Sprintf("%s/%s/%s", l.name, fault, way), func(b *testing.B) {
					var r result
					for range b.N {
						r = newTrial(l, way, fault).run()
					}
					r.show(b)
				})
			}
		}
	}
}

func (r result) show(b *testing.B) {
	worst := 0.0
	for _, list := range r.worst {
		worst = max(worst, percentile(list, 0.99))
	}
	share := func(held, prompt int) float64 { return 100 * float64(held) / float64(max(1, prompt)) }
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(share(r.held, r.prompt), "hit%")
	b.ReportMetric(percentile(r.ttft, 0.5), "p50-ms")
	b.ReportMetric(percentile(r.ttft, 0.95), "p95-ms")
	b.ReportMetric(percentile(r.ttft, 0.99), "p99-ms")
	b.ReportMetric(worst, "worst-p99-ms")
	b.ReportMetric(share(r.wasted, r.prompt), "wasted%")
	b.ReportMetric(share(r.windows[0].held, r.windows[0].prompt), "before%")
	b.ReportMetric(share(r.windows[1].held, r.windows[1].prompt), "after%")
	b.ReportMetric(float64(len(r.ttft)), "requests")
}
