package hedge

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// A workload is what the simulated callers send. Engines read one prompt after the other and
// need a time of their own for each response.
type workload struct {
	vms, engines int
	// rate is the number of requests a second of each VM, as a function of time.
	rate func(at time.Duration) float64
	// factor is how much slower than usual an engine is.
	factor func(engine int, at time.Duration) float64
	// tail returns what a response takes beyond the usual.
	tail func(random *rand.Rand, tokens int) time.Duration
}

const (
	simulated = 180 * time.Second
	// learning is the time that is not measured, in which samples are collected.
	learning = 60 * time.Second
	// tokensPerMS is the prefill rate of an engine.
	tokensPerMS = 92.1
)

// A call is one simulated request.
type call struct {
	vm, number int
	route      string
	// read is what an engine that holds the prefix has to read.
	tokens, read int
	at           time.Duration
	done         bool
	first        *run
	second       *run
	took         time.Duration
}

// A run is a call at one engine.
type run struct {
	call    *call
	engine  int
	attempt *Attempt
	// work is what it takes of the engine's time, and own the time until the first event
	// after that.
	work, own time.Duration
	ended     bool
}

type simEvent struct {
	at    time.Duration
	order int
	do    func()
}

type eventHeap []simEvent

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].order < h[j].order
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(e any)   { *h = append(*h, e.(simEvent)) } //nolint:errcheck,forcetypeassert // only events are pushed
func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	*h = (*h)[:last]
	return e
}

// A simulation plays a workload in virtual time.
type simulation struct {
	workload
	now     time.Duration
	events  eventHeap
	order   int
	states  []*State
	queues  [][]*run
	busy    []bool
	calls   []*call
	hedges  []time.Duration
	tokens  int
	sent    []int
	wins    int
	denials map[Denial]int
}

func (s *simulation) at(at time.Duration, do func()) {
	s.order++
	heap.Push(&s.events, simEvent{at, s.order, do})
}

func (s *simulation) clock() time.Time { return epoch.Add(s.now) }

// play returns the simulation of a workload; hedges are off with empty rules.
func play(w workload, r Rules) *simulation {
	s := &simulation{workload: w, queues: make([][]*run, w.engines), busy: make([]bool, w.engines), sent: make([]int, w.vms), denials: map[Denial]int{}}
	for vm := range w.vms {
		s.states = append(s.states, NewState(r))
		random := rand.New(rand.NewPCG(uint64(vm), 17))
		at := time.Duration(0)
		for number := 0; ; number++ {
			at += time.Duration(random.ExpFloat64() / w.rate(at) * float64(time.Second))
			if at >= simulated {
				break
			}
			c := &call{vm: vm, number: number, route: "b", tokens: 826, read: 628, at: at}
			if random.Float64() < 252.0/613 {
				c.route, c.tokens, c.read = "a", 9190, 2890
			}
			prefix := random.IntN(10_000)
			s.calls = append(s.calls, c)
			s.at(at, func() { s.arrive(c, prefix) })
		}
	}
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(simEvent) //nolint:errcheck,forcetypeassert // only events are pushed
		s.now = e.at
		e.do()
	}
	return s
}

// holder returns one of the engines that hold a prefix.
func (s *simulation) holder(prefix, n int) int {
	return (prefix*7919 + n*(1+prefix%max(s.engines-1, 1))) % s.engines
}

func (s *simulation) arrive(c *call, prefix int) {
	c.first = s.send(c, s.holder(prefix, 0), true)
	if c.first.attempt.Usual > 0 {
		s.at(s.now+c.first.attempt.Usual, func() { s.expire(c, s.holder(prefix, 1)) })
	}
}

func (s *simulation) send(c *call, engine int, first bool) *run {
	// The time of a response depends on the request and the engine alone, so that
	// simulations with and without hedges differ by nothing else.
	random := rand.New(rand.NewPCG(uint64(c.vm)<<32+uint64(c.number), uint64(engine)))
	x := &run{call: c, engine: engine, attempt: &Attempt{Route: c.route, Target: fmt.Sprintf("e-%d", engine), Size: c.read, Tokens: c.tokens}}
	x.work = time.Duration(float64(c.read) / tokensPerMS * float64(time.Millisecond))
	x.own = time.Duration(30 * math.Exp(0.3*random.NormFloat64()) * float64(time.Millisecond))
	if s.tail != nil {
		x.own += s.tail(random, c.read)
	}
	s.states[c.vm].Sent(x.attempt, first, s.clock())
	s.queues[engine] = append(s.queues[engine], x)
	s.serve(engine)
	return x
}

// serve lets an engine read the next prompt.
func (s *simulation) serve(engine int) {
	if s.busy[engine] {
		return
	}
	for len(s.queues[engine]) > 0 {
		x := s.queues[engine][0]
		s.queues[engine] = s.queues[engine][1:]
		if x.ended {
			continue
		}
		s.busy[engine] = true
		slow := s.factorAt(engine)
		s.at(s.now+time.Duration(slow*float64(x.work)), func() {
			s.busy[engine] = false
			s.at(s.now+time.Duration(s.factorAt(engine)*float64(x.own)), func() { s.answer(x) })
			s.serve(engine)
		})
		return
	}
}

func (s *simulation) factorAt(engine int) float64 {
	if s.factor == nil {
		return 1
	}
	return s.factor(engine, s.now)
}

func (s *simulation) expire(c *call, second int) {
	if c.done {
		return
	}
	state := s.states[c.vm]
	target := fmt.Sprintf("e-%d", second)
	d := state.Decide(c.first.attempt, s.clock())
	if d == None && (second == c.first.engine || slices.Contains(state.Overdue(s.clock()), target)) {
		d = "no second target"
	}
	if d == None {
		d = state.Start(c.first.attempt, s.clock())
	}
	if d != None {
		s.denials[d]++
		return
	}
	s.hedges = append(s.hedges, s.now)
	s.tokens += c.tokens
	c.second = s.send(c, second, false)
}

// answer passes on the first of the answers to a call and cancels the other run.
func (s *simulation) answer(x *run) {
	c, state := x.call, s.states[x.call.vm]
	if c.done || x.ended {
		return
	}
	c.done, c.took = true, s.now-c.at
	state.Answered(x.attempt, s.clock())
	loser := c.second
	if x == c.second {
		loser = c.first
		state.Overtaken(c.first.attempt, s.clock())
		s.wins++
	}
	if c.second != nil {
		state.Settle(x == c.second, s.clock())
		loser.ended = true
		state.Ended(loser.attempt, false, s.clock())
	}
	state.Ended(x.attempt, false, s.clock())
}

// A figures is what callers see of a simulation after the learning time.
type figures struct {
	quantiles [4]time.Duration
	calls     int
}

var shownQuantiles = [4]float64{0.5, 0.95, 0.99, 0.999}

// figures returns the times to the first event of the calls between two times.
func (s *simulation) figures(from, to time.Duration) (f figures) {
	var all []time.Duration
	for _, c := range s.calls {
		if c.at >= from && c.at < to {
			all = append(all, c.took)
		}
	}
	slices.Sort(all)
	f.calls = len(all)
	for i, q := range shownQuantiles {
		f.quantiles[i] = all[int(q*float64(len(all)-1))].Round(time.Millisecond)
	}
	return f
}

// hedgesIn returns the number of hedges between two times.
func (s *simulation) hedgesIn(from, to time.Duration) (n int) {
	for _, at := range s.hedges {
		if at >= from && at < to {
			n++
		}
	}
	return n
}

// mustKeepLimit checks that the extra work of the whole fleet is within the limit.
func (s *simulation) mustKeepLimit(t *testing.T, r Rules) (requests, tokens float64) {
	t.Helper()
	total := 0
	for _, c := range s.calls {
		total += c.tokens
	}
	requests, tokens = float64(len(s.hedges))/float64(len(s.calls)), float64(s.tokens)/float64(total)
	must.LessEq(t, r.Requests, requests)
	must.LessEq(t, r.Tokens, tokens)
	return requests, tokens
}

// The disturbance of a simulation lasts from disturbed to calm. Hedges are judged from settled
// on: a VM needs 1.3 s of responses to see that all are slower, and may have saved up two
// hedges until then.
const (
	disturbed = 90 * time.Second
	settled   = 93 * time.Second
	calm      = 150 * time.Second
)

// slowMoments makes each engine 2.5 times as slow for 15% of the time, in moments of 600 ms.
func slowMoments(engine int, at time.Duration) float64 {
	moment := at / (600 * time.Millisecond)
	if rand.New(rand.NewPCG(uint64(engine), uint64(moment))).Float64() < 0.15 {
		return 2.5
	}
	return 1
}

// heavyTail lets one response in a hundred take longer, in proportion to its size.
func heavyTail(random *rand.Rand, tokens int) time.Duration {
	if random.Float64() > 0.01 {
		return 0
	}
	pareto := math.Pow(1-random.Float64(), -1/1.5)
	return min(time.Duration(pareto*float64(tokens)/10*float64(time.Millisecond)), 5*time.Second)
}

// slow makes some engines slower while it lasts.
func slow(by float64, engines func(engine int) bool) func(int, time.Duration) float64 {
	return func(engine int, at time.Duration) float64 {
		if engines(engine) && at >= disturbed && at < calm {
			return by
		}
		return 1
	}
}

// TestLatencies plays loads of 12 VMs with and without hedges. It guards against hedges that
// cut no tail where one engine is slow, that go on where they are of no use, that make
// anything slower, or that exceed the limit.
func TestLatencies(t *testing.T) {
	limits := Rules{Requests: 0.05, Tokens: 0.05, Quantile: 0.95}
	normal := func(time.Duration) float64 { return 8.5 }
	for _, c := range []struct {
		name string
		load workload
		// helps reports whether hedges are to cut the tail, and stops whether they are to
		// stop in the disturbance.
		helps, stops bool
	}{
		{name: "calm", load: workload{engines: 18, rate: normal}},
		{name: "one engine is six times as slow", helps: true, load: workload{
			engines: 18, rate: normal, factor: slow(6, func(engine int) bool { return engine == 0 }),
		}},
		{name: "all engines are three times as slow", stops: true, load: workload{
			engines: 18, rate: normal, factor: slow(3, func(int) bool { return true }),
		}},
		{name: "moments of 600 ms", load: workload{engines: 18, rate: normal, factor: slowMoments}},
		{name: "heavy tails by size", helps: true, load: workload{engines: 18, rate: normal, tail: heavyTail}},
		{name: "overload", stops: true, load: workload{engines: 3, rate: func(at time.Duration) float64 {
			if at >= disturbed && at < calm {
				return 2 * 8.5
			}
			return 8.5
		}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			c.load.vms = 12
			without, with := play(c.load, Rules{}), play(c.load, limits)
			must.SliceEmpty(t, without.hedges)
			requests, tokens := with.mustKeepLimit(t, limits)
			before, after := without.figures(learning, simulated), with.figures(learning, simulated)
			t.Logf("%d calls, first event at %v: without %v, with %v", before.calls, shownQuantiles, before.quantiles, after.quantiles)
			t.Logf("%d hedges (%d won), %.4f of the requests, %.4f of the tokens, %d once settled; denied %v",
				len(with.hedges), with.wins, requests, tokens, with.hedgesIn(settled, calm), with.denials)
			for i := range shownQuantiles {
				must.LessEq(t, noSlower(before.quantiles[i]), after.quantiles[i])
			}
			if c.helps {
				must.Less(t, before.quantiles[3], after.quantiles[3])
				must.GreaterEq(t, minWon*float64(len(with.hedges)), float64(with.wins))
			}
			if c.stops {
				permitted := limits.Requests * float64(with.callsIn(settled, calm))
				must.LessEq(t, stopShare*permitted, float64(with.hedgesIn(settled, calm)))
			}
		})
	}
}

// stopShare is the part of the limit that may be used while hedges make things worse: some
// are needed to notice when they are of use again.
const stopShare = 0.1

// noSlower returns up to what a time may grow with hedges, as their extra work takes a share
// of the engines' time of up to the limit.
func noSlower(d time.Duration) time.Duration { return d + d/20 + time.Millisecond }

// callsIn returns the number of calls between two times.
func (s *simulation) callsIn(from, to time.Duration) (n int) {
	for _, c := range s.calls {
		if c.at >= from && c.at < to {
			n++
		}
	}
	return n
}
