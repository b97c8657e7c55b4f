package quota

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/baobabdyke/baobabdyke/internal/fleet/site"
	"github.com/baobabdyke/baobabdyke/internal/fleet/tally"
)

// A largeLoad is a customer's traffic at a large fleet whose VMs pass on their updates
// through relays.
type largeLoad struct {
	vms int
	// interval is the time between two updates of a VM, and way the longest time that one
	// takes to another VM.
	interval, way time.Duration
	rate, burst   float64
	// asked is what the customer asks for, as a share of its rate, in requests of the
	// given cost.
	asked, cost float64
	// split is the part of the fleet that can't reach the other part from splitFrom on for
	// splitFor.
	split               float64
	splitFrom, splitFor time.Duration
	// noTotals leaves VMs without relays for totals, as while those are of a build that
	// does not know them.
	noTotals bool
}

// source names what VMs know of what the others admit.
func (d largeLoad) source() string {
	if d.noTotals {
		return "by updates alone"
	}
	return "by totals"
}

// relayed are the VMs of a fleet that report to relays, of which each has a block of them.
type relayed struct {
	tallies []*tally.Tally
	vms     int
}

const testRelays = 10

func newRelayed(vms int) *relayed {
	r := &relayed{vms: vms}
	for range testRelays {
		r.tallies = append(r.tallies, tally.NewTally(1))
	}
	return r
}

// relay returns the VM that is a relay.
func (r *relayed) relay(group int) int { return (group*r.vms + testRelays - 1) / testRelays }

// tick lets the VMs report whose time it is. Those that can't reach their relay report
// nothing.
func (r *relayed) tick(f *fleet, n int64, step time.Duration, reaches func(i, j int) bool) {
	periods := int64(tally.Period / step)
	for i := range f.states {
		group := i * testRelays / r.vms
		relay := r.relay(group)
		if (n+int64(i)*7)%periods != 0 || !reaches(i, relay) {
			continue
		}
		own := f.states[i].Report()
		own.Born = 1
		t := r.tallies[group]
		t.Record(name(i), own, f.now)
		for other, u := range r.tallies {
			if i == relay && other != group && reaches(i, r.relay(other)) {
				u.Record(name(i), t.Group(f.now), f.now)
				t.Record(name(r.relay(other)), u.Group(f.now), f.now)
			}
		}
		f.states[i].UpdateTotals(name(relay), t.Fleet(f.now), own, f.now, f.now)
	}
}

// play plays the load for a time and returns what was admitted, and the share of the
// requests that were refused.
func (d largeLoad) play(seed uint64, period time.Duration) (admitted []admission, refused float64) {
	const step = 20 * time.Millisecond
	r := rand.New(rand.NewPCG(seed, 1))
	c := customerOf(d.rate, d.burst)
	f := newFleet(d.vms, c)
	type update struct {
		from           int
		spent, refused map[string]float64
	}
	relays := newRelayed(d.vms)
	due := map[int64]map[int][]update{}
	phase := make([]time.Duration, d.vms)
	for i := range phase {
		phase[i] = time.Duration(r.Int64N(int64(d.interval)))
		f.states[i].random = r.Float64
	}
	asked, denied := 0, 0
	credit := 0.0
	for n := int64(0); time.Duration(n)*step < period; n++ {
		at := time.Duration(n) * step
		f.now = epoch.Add(at)
		split := at >= d.splitFrom && at < d.splitFrom+d.splitFor
		part := func(i int) bool { return float64(i) < d.split*float64(d.vms) }
		for i := range f.states {
			if (at+phase[i])%d.interval >= step {
				continue
			}
			spent, refused := f.states[i].Spent(), f.states[i].Refused(f.now)
			for j := range f.states {
				if i == j || split && part(i) != part(j) {
					continue
				}
				arrives := n + 1 + int64(r.Float64()*float64(d.way/step))
				if due[arrives] == nil {
					due[arrives] = map[int][]update{}
				}
				due[arrives][j] = append(due[arrives][j], update{i, spent, refused})
			}
		}
		if !d.noTotals {
			relays.tick(f, n, step, func(i, j int) bool { return !split || part(i) == part(j) })
		}
		for j, updates := range due[n] {
			for _, u := range updates {
				f.states[j].UpdatePeer(Update{VM: name(u.from), Born: 1, Spent: u.spent, Refused: u.refused}, f.now)
			}
		}
		delete(due, n)
		// The buckets fill for a while before the traffic begins.
		if at < period/4 {
			continue
		}
		for credit += d.asked * d.rate * step.Seconds() * 2 * r.Float64(); credit >= d.cost; credit -= d.cost {
			asked++
			if f.states[r.IntN(d.vms)].Admit(c, d.cost, f.now).Admitted {
				admitted = append(admitted, admission{f.now, d.cost})
			} else {
				denied++
			}
		}
	}
	return admitted, float64(denied) / float64(max(asked, 1))
}

// TestLargeFleetServesRate guards against refusals of a customer that keeps to its rate,
// because updates of a large fleet are older than a VM may be before it counts as
// spending its share.
func TestLargeFleetServesRate(t *testing.T) {
	for _, d := range []largeLoad{
		{vms: 77, interval: 1200 * time.Millisecond, way: 1200 * time.Millisecond, rate: 32000, burst: 38000, asked: 0.8, cost: 1500},
		{vms: 195, interval: 3050 * time.Millisecond, way: 3 * time.Second, rate: 32000, burst: 116000, asked: 0.8, cost: 1500},
		{vms: 195, interval: 3050 * time.Millisecond, way: 3 * time.Second, rate: 32000, burst: 32000, asked: 0.6, cost: 1500},
	} {
		for _, d.noTotals = range []bool{false, true} {
			t.Run(fmt.Sprintf("%d VMs, burst %.0f, %s", d.vms, d.burst, d.source()), func(t *testing.T) {
				_, refused := d.play(1, 40*time.Second)
				t.Logf("%.4f refused", refused)
				must.LessEq(t, 0.01, refused)
			})
		}
	}
}

// TestLargeFleetKeepsLimit checks the bound on admissions beyond the limit in a large
// fleet, connected and split: the rule of the users' machines, (rate × 8 s + burst) × 1.1 +
// 110,000 tokens in any 8 s.
func TestLargeFleetKeepsLimit(t *testing.T) {
	for name, d := range map[string]largeLoad{
		"connected":     {},
		"long prompts":  {rate: 108_000, burst: 390_000, cost: 9190},
		"split in half": {split: 0.5, splitFrom: 14 * time.Second, splitFor: 12 * time.Second},
		"a fifth apart": {split: 0.2, splitFrom: 14 * time.Second, splitFor: 12 * time.Second},
	} {
		d.vms, d.interval, d.way = 195, 3050*time.Millisecond, 3*time.Second
		if d.rate == 0 {
			d.rate, d.burst, d.cost = 32000, 116000, 4000
		}
		for _, d.noTotals = range []bool{false, true} {
			for _, d.asked = range []float64{1.5, 4, 8} {
				t.Run(fmt.Sprintf("%s, asks for %.1f of its rate, %s", name, d.asked, d.source()), func(t *testing.T) {
					d.assertKeepsLimit(t)
				})
			}
		}
	}
}

// assertKeepsLimit plays the load and checks what is admitted in any 8 s.
func (d largeLoad) assertKeepsLimit(t *testing.T) {
	all, _ := d.play(1, 36*time.Second)
	window, limit := 8*time.Second, (d.rate*8+d.burst)*1.1+110_000
	sum, from, most := 0.0, 0, 0.0
	for _, a := range all {
		sum += a.cost
		for a.at.Sub(all[from].at) > window {
			sum -= all[from].cost
			from++
		}
		most = max(most, sum)
	}
	t.Logf("%.0f of %.0f", most, limit)
	must.LessEq(t, limit, most)
}

// TestFleetThatGrowsLargeAgain guards against a bucket that fills at once because a fleet that
// was large before gets back what it never took for the others.
func TestFleetThatGrowsLargeAgain(t *testing.T) {
	c := customerOf(1000, 100_000)
	now := epoch
	s := NewState()
	s.AddCustomers([]site.Customer{*c}, now)
	spent := map[string]float64{}
	update := func(vms int) {
		for i := range vms {
			spent[name(i)] += 10
			s.UpdatePeer(Update{VM: name(i), Born: 1, Spent: map[string]float64{"c": spent[name(i)]}}, now)
		}
		s.RemoveExpired(now)
	}
	play := func(vms, seconds int) {
		for range seconds {
			now = now.Add(time.Second)
			update(vms)
		}
	}
	play(100, 20)
	must.True(t, s.large())
	play(20, 60)
	must.False(t, s.large())
	before := s.bucket(c, now).level
	play(100, 2)
	must.True(t, s.large())
	// The others spend as much as the rate.
	must.LessEq(t, before+3*c.Rate, s.bucket(c, now).level)
}

// TestUpdatesThatArriveTogether guards against a customer that is refused for seconds because
// two updates of a VM were held up and arrived a millisecond apart, so that it seemed to
// admit thousands of times as much as it does.
func TestUpdatesThatArriveTogether(t *testing.T) {
	for _, gap := range []time.Duration{0, time.Millisecond, 50 * time.Millisecond} {
		t.Run(gap.String(), func(t *testing.T) {
			c := customerOf(32_000, 116_000)
			now := epoch
			s := NewState()
			s.AddCustomers([]site.Customer{*c}, now)
			spent := 0.0
			update := func(n float64) {
				spent += n
				s.UpdatePeer(Update{VM: name(0), Born: 1, Spent: map[string]float64{"c": spent}}, now)
			}
			for range 10 {
				now = now.Add(3 * time.Second)
				update(1500)
				for i := range 194 {
					s.UpdatePeer(Update{VM: name(i + 1), Born: 1, Spent: map[string]float64{}}, now)
				}
			}
			must.True(t, s.large())
			now = now.Add(3 * time.Second)
			update(1500)
			now = now.Add(gap)
			update(6000)
			for range 30 {
				now = now.Add(100 * time.Millisecond)
				must.True(t, s.Admit(c, 10, now).Admitted, must.Sprint("after ", now.Sub(epoch)))
			}
		})
	}
}
