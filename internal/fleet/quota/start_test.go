package quota

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/baobabdyke/baobabdyke/internal/fleet/roster"
	"github.com/baobabdyke/baobabdyke/internal/fleet/site"
	"github.com/baobabdyke/baobabdyke/internal/fleet/tally"
)

// A startLoad is a customer's traffic at a large fleet whose VMs have all started together
// startFill before it. Calls between VMs take time and some are lost.
type startLoad struct {
	vms, dataCentres int
	rate, burst      float64
	// usual is what the customer asks for at first, as a share of its rate, and surge the
	// factor by which it asks for more from surgeAt on.
	usual, surge float64
	surgeAt      time.Duration
	// lost is the share of the messages that are lost, and slow the share of the VMs whose calls
	// take up to slowWay each way; those of the others take up to startWay.
	lost, slow float64
	// replacedAt is when a relay is killed for good and another VM starts; 0 for never.
	replacedAt time.Duration
}

const (
	startStep = 10 * time.Millisecond
	startFill = 14 * time.Second
	startWay  = 30 * time.Millisecond
	slowWay   = 400 * time.Millisecond
	// callTimeout, relayFailures and relayPause are when a VM uses another relay, as in
	// package tally.
	callTimeout   = 500 * time.Millisecond
	relayFailures = 2
	relayPause    = 5 * time.Second
	// goneTimeout is how long after the loss of a relay the VMs know of it.
	goneTimeout = 3 * time.Second
)

// A startVM is one VM of a startFleet.
type startVM struct {
	*State
	name       string
	dataCentre int
	tally      *tally.Tally
	sender     tally.Sender
	born       int64
	rank       uint64
	slow, gone bool
	goneAt     time.Time
	// failures and failedAt are those of the calls to each relay.
	failures map[*startVM]int
	failedAt map[*startVM]time.Time
	// busy is whether a call to a relay is not answered yet, and nextReport when the next
	// one is due.
	busy       bool
	nextReport time.Time
	// heard is when the last update of each other VM arrived.
	heard map[string]time.Time
	// nextUpdate is when its next update to all VMs is due.
	nextUpdate time.Time
}

// A startFleet plays a startLoad.
type startFleet struct {
	startLoad
	customer *site.Customer
	random   *rand.Rand
	now      time.Time
	step     int64
	vms      []*startVM
	due      map[int64][]func()
	admitted []admission
	// asked and refused count the requests that were sent for the first time, and those
	// of them and of their repetitions that were refused.
	asked, refused int
	// tick is called in each step, if it is set.
	tick func()
}

func newStartFleet(l startLoad, seed uint64) *startFleet {
	f := &startFleet{startLoad: l, customer: customerOf(l.rate, l.burst), random: rand.New(rand.NewPCG(seed, 72)), now: epoch, due: map[int64][]func(){}}
	for range l.vms {
		f.add()
	}
	return f
}

// add starts a VM.
func (f *startFleet) add() {
	v := f.newVM(len(f.vms))
	v.AddCustomers([]site.Customer{*f.customer}, f.now)
	f.vms = append(f.vms, v)
}

// newVM returns a VM that starts now and knows no customers yet.
func (f *startFleet) newVM(i int) *startVM {
	v := &startVM{
		State: NewState(), name: name(i), born: int64(i + 1), rank: roster.Rank(name(i)), dataCentre: i % f.dataCentres, tally: tally.NewTally(int64(i + 1)), slow: f.random.Float64() < f.slow,
		heard: map[string]time.Time{}, failures: map[*startVM]int{}, failedAt: map[*startVM]time.Time{},
		nextReport: f.now.Add(f.upTo(tally.Period)), nextUpdate: f.now.Add(f.upTo(f.updateInterval())),
	}
	v.random = f.random.Float64
	return v
}

func (f *startFleet) upTo(d time.Duration) time.Duration {
	return time.Duration(f.random.Int64N(int64(d)))
}

func (f *startFleet) updateInterval() time.Duration {
	return time.Duration(float64(250*time.Millisecond) * float64(f.startLoad.vms) / roster.SmallFleetSize)
}

// after calls a function after a time.
func (f *startFleet) after(d time.Duration, run func()) {
	at := f.step + 1 + int64(d/startStep)
	f.due[at] = append(f.due[at], run)
}

// way returns the time that a message between two VMs takes.
func (f *startFleet) way(a, b *startVM) time.Duration {
	if a.slow || b.slow {
		return f.upTo(slowWay)
	}
	return f.upTo(startWay)
}

// relays returns the relays of a data centre as the VMs know them.
func (f *startFleet) relays(dataCentre int) (out []*startVM) {
	for _, v := range f.vms {
		if v.dataCentre == dataCentre && (!v.gone || f.now.Sub(v.goneAt) < goneTimeout) {
			out = append(out, v)
		}
	}
	slices.SortFunc(out, func(a, b *startVM) int { return cmp.Compare(a.rank, b.rank) })
	return out[:2]
}

// call sends a message to a relay, which handles it, and passes on the response. Done is
// called with whether there was one.
func call[T any](f *startFleet, from, to *startVM, handle func() T, done func(resp T, ok bool)) {
	there, back := f.way(from, to), f.way(to, from)
	arrives := !to.gone && f.random.Float64() >= f.lost
	inTime := arrives && there+back < callTimeout && f.random.Float64() >= f.lost
	var resp T
	if arrives {
		f.after(there, func() { resp = handle() })
	}
	if !inTime {
		back = callTimeout - there
	}
	f.after(there+max(back, 0), func() {
		if inTime {
			delete(from.failures, to)
		} else {
			from.failures[to]++
			from.failedAt[to] = f.now
		}
		done(resp, inTime)
	})
}

func (f *startFleet) usable(from, relay *startVM) bool {
	return from.failures[relay] < relayFailures || f.now.Sub(from.failedAt[relay]) >= relayPause
}

// report lets a VM report to a relay, or exchange sums with the other ones if it is one.
func (f *startFleet) report(v *startVM) {
	v.busy = true
	end := func() { v.busy, v.nextReport = false, f.now.Add(tally.Period*3/4+f.upTo(tally.Period/2)) }
	own, sent := v.Report(), f.now
	own.Born = v.born
	relays := f.relays(v.dataCentre)
	if !slices.Contains(relays, v) {
		slices.SortFunc(relays, func(a, b *startVM) int { return cmp.Compare(a.rank^v.rank, b.rank^v.rank) })
		for _, r := range relays {
			if !f.usable(v, r) {
				continue
			}
			own = v.sender.Complete(own, r.name, sent)
			call(f, v, r, func() tally.Report {
				r.tally.Record(v.name, own, f.now)
				total := r.tally.Fleet(f.now)
				if !own.IsKnownTo(r.born) {
					total.Levels = r.Levels(r.name, total, f.now)
				}
				return total
			}, func(total tally.Report, ok bool) {
				if ok {
					v.sender.Acknowledge(own, r.name, r.born, sent)
					v.UpdateTotals(r.name, total, own, sent, f.now)
				}
				end()
			})
			return
		}
		end()
		return
	}
	own = v.sender.Complete(own, v.name, sent)
	v.sender.Acknowledge(own, v.name, v.born, sent)
	v.tally.Record(v.name, own, f.now)
	group := v.tally.Group(f.now)
	waiting := 1
	finish := func() {
		if waiting--; waiting == 0 {
			v.UpdateTotals(v.name, v.tally.Fleet(f.now), own, sent, f.now)
			end()
		}
	}
	for d := range f.dataCentres {
		for _, r := range f.relays(d) {
			if r == v || !f.usable(v, r) {
				continue
			}
			waiting++
			call(f, v, r, func() tally.Report {
				r.tally.Record(v.name, group, f.now)
				return r.tally.Group(f.now)
			}, func(sum tally.Report, ok bool) {
				if ok && sum.VMs > 0 {
					v.tally.Record(r.name, sum, sent)
				}
				finish()
			})
		}
	}
	f.after(0, finish)
}

// update sends a VM's update to all others.
func (f *startFleet) update(v *startVM) {
	v.nextUpdate = f.now.Add(f.updateInterval())
	u := Update{VM: v.name, Born: v.born, Spent: v.Spent(), Refused: v.Refused(f.now), Members: v.Known(), NoShare: !v.HasShare(f.now)}
	v.RemoveExpired(f.now)
	for _, to := range f.vms {
		if to != v {
			f.after(f.upTo(f.updateInterval()), func() {
				to.UpdatePeer(u, f.now)
				to.heard[u.VM] = f.now
			})
		}
	}
}

// request sends a request to any VM, and once again if it is refused.
func (f *startFleet) request(cost float64, repeated bool) {
	v := f.vms[f.random.IntN(len(f.vms))]
	for v.gone {
		v = f.vms[f.random.IntN(len(f.vms))]
	}
	if v.buckets["c"] == nil {
		// Without a configuration it serves nobody.
		return
	}
	d := v.Admit(f.customer, cost, f.now)
	if d.Admitted {
		f.admitted = append(f.admitted, admission{f.now, cost})
		return
	}
	f.refused++
	if !repeated {
		f.after(d.RetryAfter, func() { f.request(cost, true) })
	}
}

// Requests are long and short, as many a second each over all customers.
const (
	longCost, shortCost     = 9196.0, 1146.0
	longsPerS, shortsPerS   = 252.0, 361.0
	meanCost                = (longCost*longsPerS + shortCost*shortsPerS) / (longsPerS + shortsPerS)
	startRate, startBurst   = 617_905.0, 617_905.0
	startVMs, startCentres  = 72, 3
	startSurge, startLength = 7.5, 14 * time.Second
)

// run plays the load for a time after startFill.
func (f *startFleet) run(length time.Duration) {
	credit := 0.0
	begin := epoch.Add(startFill)
	for f.now.Before(begin.Add(length)) {
		f.now = f.now.Add(startStep)
		f.step++
		for _, run := range f.due[f.step] {
			run()
		}
		delete(f.due, f.step)
		at := f.now.Sub(begin)
		if f.replacedAt > 0 && at >= f.replacedAt {
			f.replacedAt = 0
			lost := f.relays(0)[0]
			lost.gone, lost.goneAt = true, f.now
			f.add()
		}
		if f.tick != nil {
			f.tick()
		}
		for _, v := range f.vms {
			if v.gone {
				continue
			}
			if !f.now.Before(v.nextUpdate) {
				f.update(v)
			}
			if !v.busy && !f.now.Before(v.nextReport) && v.UsesTotals() {
				f.report(v)
			}
		}
		if at < 0 {
			continue
		}
		asked := f.usual * f.rate * startStep.Seconds()
		if at >= f.surgeAt {
			asked *= f.surge
		}
		for credit += asked * 2 * f.random.Float64(); credit >= meanCost; credit -= meanCost {
			f.asked++
			cost := shortCost
			if f.random.Float64() < longsPerS/(longsPerS+shortsPerS) {
				cost = longCost
			}
			f.request(cost, false)
		}
	}
}

// mostIn returns the most that was admitted in any window, and the start of that window
// after the first request.
func mostIn(all []admission, window time.Duration) (most float64, start time.Duration) {
	sum, from := 0.0, 0
	for _, a := range all {
		sum += a.cost
		for a.at.Sub(all[from].at) > window {
			sum -= all[from].cost
			from++
		}
		if sum > most {
			most, start = sum, all[from].at.Sub(all[0].at)
		}
	}
	return most, start
}

// startFaults are the faults with which a start is played.
var startFaults = map[string]startLoad{
	"calm":                    {},
	"calls lost":              {lost: 0.045},
	"some VMs slow":           {lost: 0.045, slow: 0.2},
	"all VMs slow":            {lost: 0.045, slow: 1},
	"relay replaced":          {lost: 0.045, slow: 0.2, replacedAt: 3 * time.Second},
	"relay replaced, surging": {lost: 0.045, slow: 0.2, replacedAt: 900 * time.Millisecond},
}

// play plays the load with a customer that asks for a share of its rate at first.
func (l startLoad) play(usual, surge float64, seed uint64) *startFleet {
	l.vms, l.dataCentres, l.rate, l.burst = startVMs, startCentres, startRate, startBurst
	l.usual, l.surge, l.surgeAt = usual, surge, time.Second
	f := newStartFleet(l, seed)
	f.run(startLength)
	return f
}

// TestLargeFleetKeepsLimitAfterStart checks the rule of the users' machines, (rate × 8 s + burst)
// × 1.1 + 110,000 tokens in any 8 s, for a fleet that has started together and a customer
// that asks for several times its usual soon after. It guards against VMs that all use what is
// left of a bucket before they learn of each other, and against amounts that are in no total.
func TestLargeFleetKeepsLimitAfterStart(t *testing.T) {
	limit := (startRate*8+startBurst)*1.1 + 110_000
	for name, l := range startFaults {
		for i, usual := range []float64{0.25, 0.5, 0.8} {
			t.Run(fmt.Sprintf("%s, usual %.2f", name, usual), func(t *testing.T) {
				f := l.play(usual, startSurge, uint64(i+1))
				most, from := mostIn(f.admitted, 8*time.Second)
				t.Logf("%.0f of %.0f, from %s on", most, limit, from)
				must.LessEq(t, limit, most)
			})
		}
	}
}

// TestLargeFleetServesRateAfterStart checks what a customer within its rate is refused after a
// start.
func TestLargeFleetServesRateAfterStart(t *testing.T) {
	for _, name := range []string{"calm", "calls lost", "some VMs slow"} {
		for _, usual := range []float64{0.25, 0.5} {
			t.Run(fmt.Sprintf("%s, usual %.2f", name, usual), func(t *testing.T) {
				f := startFaults[name].play(usual, 1, 1)
				t.Logf("%d of %d refused", f.refused, f.asked)
				must.LessEq(t, 0.01, float64(f.refused)/float64(f.asked))
			})
		}
	}
}
