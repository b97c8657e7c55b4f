package admission

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/baobabdyke/baobabdyke/internal/fleet/roster"
)

// A simClass is a class of generated requests.
type simClass struct {
	name     string
	priority int
	// perSecond is the rate of requests at load 1.
	perSecond              float64
	tokens, steps          int
	goal, deadline         time.Duration
	valueOnTime, valueLate float64
}

// A simCall is a request of a caller.
type simCall struct {
	class    *simClass
	customer int
	tokens   int
	vm       int
	// start is when the caller first sent the request, and returns how often it sent it again.
	start     time.Time
	returns   int
	impatient bool
	ticket    *Ticket
	sent      time.Time
	// read and steps are the progress at the engine.
	read, steps int
	first       time.Time
}

// A simEngine is an engine that reads prompts in chunks, the urgent ones first, gives each run
// that has been read one token a step, and preempts the newest of the least urgent runs when
// its memory is full. The more runs it has, the longer a step takes: in calm some 5 runs get a
// token every 28 ms, as was seen on the deployment with scarce capacity.
type simEngine struct {
	queue, running []*simCall
	// stepEnd is when the present step ends.
	stepEnd time.Time
}

const (
	simTick       = 5 * time.Millisecond
	simSlots      = 32
	simQueue      = 96
	simMemory     = 103_000
	simPrefill    = 92.0 // tokens a millisecond
	simChunk      = 4096
	simStep       = 3.0 // milliseconds, and simRunStep more for each run
	simRunStep    = 3.6
	simEngines    = 20
	simVMs        = 16
	simCustomers  = 16
	simReturnTime = 3
	// simCoolDown is the time at the end whose requests do not count.
	simCoolDown = 10 * time.Second
	// simUpdates is the time between two updates between VMs, which arrive when the next
	// ones are sent.
	simUpdates = time.Second
)

func byUrgency(a, b *simCall) int {
	return cmp.Or(cmp.Compare(a.class.priority, b.class.priority), a.sent.Compare(b.sent))
}

func (e *simEngine) memory() (total int) {
	for _, c := range e.running {
		total += c.tokens
	}
	return total
}

// start moves queued calls into free slots.
func (e *simEngine) start() {
	slices.SortStableFunc(e.queue, byUrgency)
	for len(e.queue) > 0 && len(e.running) < simSlots {
		c := e.queue[0]
		if e.memory()+c.tokens > simMemory {
			last := slices.MaxFunc(e.running, byUrgency)
			if last.class.priority <= c.class.priority {
				return
			}
			last.read, last.steps = 0, 0
			e.running = slices.DeleteFunc(e.running, func(r *simCall) bool { return r == last })
			e.queue = append(e.queue, last)
			continue
		}
		e.queue, e.running = e.queue[1:], append(e.running, c)
	}
}

// work simulates a tick and returns the calls that have ended.
func (e *simEngine) work(now time.Time) (ended []*simCall) {
	over := func(c *simCall) bool {
		if now.Sub(c.start) < c.class.deadline {
			return false
		}
		ended = append(ended, c)
		return true
	}
	e.queue, e.running = slices.DeleteFunc(e.queue, over), slices.DeleteFunc(e.running, over)
	e.start()
	for len(e.running) > 0 && !e.stepEnd.After(now) {
		ended = append(ended, e.step(now)...)
	}
	return ended
}

// step simulates a step and returns the calls that have ended.
func (e *simEngine) step(now time.Time) (ended []*simCall) {
	ms, chunk := simStep, simChunk
	e.running = slices.DeleteFunc(e.running, func(c *simCall) bool {
		if n := min(chunk, c.tokens-c.read); n > 0 {
			chunk, c.read = chunk-n, c.read+n
			ms += float64(n) / simPrefill
			return false
		} else if c.read < c.tokens {
			return false
		}
		ms += simRunStep
		if c.first.IsZero() {
			c.first = now
		}
		if c.steps++; c.steps < c.class.steps {
			return false
		}
		ended = append(ended, c)
		return true
	})
	e.stepEnd = now.Add(time.Duration(ms * float64(time.Millisecond)))
	return ended
}

// A simulation simulates VMs that receive requests at random in front of engines.
type simulation struct {
	classes []simClass
	load    func(at time.Duration) float64
	// heavy is the factor by which customer 0 asks for more than the others.
	heavy   float64
	off     bool
	seconds int
	// warmUp is the time that is not counted.
	warmUp time.Duration
	seed   uint64
}

// A tally is what became of the requests of a class or customer.
type tally struct {
	asked, refused, refusals, onTime, late float64
	askedTokens, servedTokens              float64
}

type simResult struct {
	// compliant and early are the first returns of callers that kept to Retry-After, and of others.
	compliant, early returns
	value            float64
	byClass          map[string]*tally
	byCustomer       map[string]map[int]*tally
}

// counts reports whether a call counts: it began after the warm-up, and can end before the
// simulation does.
func (s *simulation) counts(c *simCall) bool {
	at := c.start.Sub(simEpoch)
	return at >= s.warmUp && at < time.Duration(s.seconds)*time.Second-simCoolDown
}

func simTotal(running []int) (total int) {
	for _, n := range running {
		total += n
	}
	return total
}

// exchange tells all VMs what the others are asked for.
func exchange(vms []*State, now time.Time) {
	for i, from := range vms {
		e := &roster.Entry{VM: string(rune('A' + i)), Asked: from.Asked(now), Waits: from.Waits(now)}
		for j, to := range vms {
			if i != j {
				to.Merge(e, now)
			}
		}
	}
}

var simEpoch = time.Unix(1000, 0)

func (s *simulation) run() simResult {
	random := rand.New(rand.NewPCG(s.seed, 7))
	out := simResult{byClass: map[string]*tally{}, byCustomer: map[string]map[int]*tally{}}
	for i := range s.classes {
		out.byClass[s.classes[i].name], out.byCustomer[s.classes[i].name] = &tally{}, map[int]*tally{}
		for c := range simCustomers {
			out.byCustomer[s.classes[i].name][c] = &tally{}
		}
	}
	vms := make([]*State, simVMs)
	for i := range vms {
		vms[i] = NewState(random.Float64)
	}
	engines := make([]simEngine, simEngines)
	fleet, reported := 0, 0
	running := make([]int, simVMs)
	later := map[time.Duration][]*simCall{}
	due := make([]float64, len(s.classes))
	customers := s.heavy + simCustomers - 1
	for at := time.Duration(0); at < time.Duration(s.seconds)*time.Second; at += simTick {
		now := simEpoch.Add(at)
		if at%simUpdates == 0 {
			exchange(vms, now)
			fleet, reported = reported, simTotal(running)
		}
		calls := later[at]
		delete(later, at)
		for i := range s.classes {
			class := &s.classes[i]
			due[i] += random.ExpFloat64() * s.load(at) * class.perSecond * simTick.Seconds()
			for ; due[i] >= 1; due[i]-- {
				customer := 0
				if random.Float64()*customers >= s.heavy {
					customer = 1 + random.IntN(simCustomers-1)
				}
				c := &simCall{class: class, customer: customer, start: now, impatient: random.IntN(3) == 0, tokens: int(float64(class.tokens) * (0.5 + random.Float64()))}
				calls = append(calls, c)
				if s.counts(c) {
					out.each(c, func(t *tally) { t.asked++; t.askedTokens += float64(c.tokens) })
				}
			}
		}
		for _, c := range calls {
			c.vm = random.IntN(simVMs)
			e := &engines[random.IntN(simEngines)]
			if o := &engines[random.IntN(simEngines)]; len(o.queue)+len(o.running) < len(e.queue)+len(e.running) {
				e = o
			}
			after := simTick
			admitted := s.off
			if !s.off {
				left := c.class.deadline - now.Sub(c.start)
				ticket, d := vms[c.vm].Admit(Request{
					Service: "llm", Class: c.class.name, Priority: c.class.priority, Customer: string(rune('a' + c.customer)),
					Tokens: float64(c.tokens), Goal: c.class.goal, TimeLeft: left, Queues: true, Load: Load{Own: running[c.vm], Fleet: float64(fleet), VMs: simVMs, Slots: simEngines * simSlots},
				}, now)
				c.ticket, admitted, after = ticket, d.Admitted, d.RetryAfter
			}
			if c.returns == 1 {
				out.returned(c, admitted)
			}
			if admitted && len(e.queue) >= simQueue {
				admitted = false
				s.end(vms[c.vm], c, Refused, now)
			}
			if admitted {
				c.sent = now
				running[c.vm]++
				e.queue = append(e.queue, c)
				continue
			}
			if s.counts(c) {
				out.each(c, func(t *tally) { t.refusals++ })
			}
			if c.impatient {
				after = simTick
			}
			if c.returns++; c.returns <= 1 || c.impatient && c.returns <= simReturnTime {
				later[at+max(after.Truncate(simTick), simTick)] = append(later[at+max(after.Truncate(simTick), simTick)], c)
			} else if s.counts(c) {
				out.each(c, func(t *tally) { t.refused++ })
			}
		}
		for i := range engines {
			for _, c := range engines[i].work(now) {
				running[c.vm]--
				s.finish(&out, vms, c, now)
			}
			for _, c := range engines[i].running {
				if !c.first.IsZero() && c.ticket != nil {
					vms[c.vm].FirstToken(c.ticket, now)
				}
			}
		}
	}
	out.value /= (time.Duration(s.seconds)*time.Second - simCoolDown - s.warmUp).Seconds()
	return out
}

func (s *simulation) end(vm *State, c *simCall, o Outcome, now time.Time) {
	if c.ticket != nil {
		vm.End(c.ticket, o, now)
	}
}

func (s *simulation) finish(out *simResult, vms []*State, c *simCall, now time.Time) {
	served := c.steps >= c.class.steps
	if served {
		s.end(vms[c.vm], c, Answered, now)
	} else {
		s.end(vms[c.vm], c, Other, now)
	}
	if !s.counts(c) {
		return
	}
	out.each(c, func(t *tally) {
		switch {
		case served && c.first.Sub(c.start) <= c.class.goal:
			t.onTime++
			t.servedTokens += float64(c.tokens)
		case served:
			t.late++
			t.servedTokens += float64(c.tokens)
		}
	})
	switch {
	case served && c.first.Sub(c.start) <= c.class.goal:
		out.value += c.class.valueOnTime
	case served:
		out.value += c.class.valueLate
	}
}

// returns counts returning callers.
type returns struct{ asked, admitted float64 }

func (r *simResult) returned(c *simCall, admitted bool) {
	to := &r.compliant
	if c.impatient {
		to = &r.early
	}
	to.asked++
	if admitted {
		to.admitted++
	}
}

func (r *simResult) each(c *simCall, f func(*tally)) {
	f(r.byClass[c.class.name])
	f(r.byCustomer[c.class.name][c.customer])
}
