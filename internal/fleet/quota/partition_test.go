package quota

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/baobabdyke/baobabdyke/internal/fleet/shares"
	"github.com/baobabdyke/baobabdyke/internal/fleet/site"
)

// A shareVM is one VM of a shareFleet.
type shareVM struct {
	name string
	*State
	registry *shares.Registry
	// nextRenewal is when it reads and writes the records next.
	nextRenewal time.Time
	started     time.Time
	// suspendedUntil is until when it does nothing.
	suspendedUntil time.Time
	// heard is when it last heard from each other VM.
	heard map[string]time.Time
	gone  bool
	// written is the version of its last record.
	written int64
}

// A shareFleet is a fleet whose VMs divide a limit, with the records in a store, and cuts
// between VMs and between VMs and the store.
type shareFleet struct {
	t        *testing.T
	customer *site.Customer
	random   *rand.Rand
	now      time.Time
	vms      []*shareVM
	records  map[string]shares.Record
	revision int64
	// side returns the side of a cut that a VM is on; VMs on different sides do not hear each
	// other. Those for which hasStore is false do not reach the store.
	side     func(vm int) int
	hasStore func(vm int) bool
	admitted []admission
	// asked is what the customer asks for, as a share of its rate; refused is the part of it
	// that was refused since the last reset.
	asked         float64
	sent, refused float64
}

const (
	shareStep = 50 * time.Millisecond
	// shareCost is the cost of a request.
	shareCost = 6000.0
)

// newShareFleet returns a fleet that has run for some time.
func newShareFleet(t *testing.T, vms int, seed uint64) *shareFleet {
	f := &shareFleet{
		t: t, customer: customerOf(300_000, 460_000), random: rand.New(rand.NewPCG(seed, 37)), now: epoch, records: map[string]shares.Record{},
		side: func(int) int { return 0 }, hasStore: func(int) bool { return true },
	}
	for range vms {
		f.add()
	}
	f.run(40 * time.Second)
	return f
}

// add starts a VM.
func (f *shareFleet) add() { f.vms = append(f.vms, f.newVM(name(len(f.vms)))) }

// newVM returns a process of a VM that starts now.
func (f *shareFleet) newVM(name string) *shareVM {
	v := &shareVM{name: name, State: NewState(), heard: map[string]time.Time{}, started: f.now, nextRenewal: f.now}
	v.registry = shares.NewRegistry(v.name, f.now)
	v.SetMembers(v.registry.Members(), f.now)
	v.AddCustomers([]site.Customer{*f.customer}, f.now)
	return v
}

// stop ends the process of a VM as planned.
func (f *shareFleet) stop(i int) {
	v := f.vms[i]
	v.gone = true
	if v.written == 0 || !f.hasStore(i) {
		return
	}
	f.revision++
	f.records[v.name] = v.registry.Stop(v.written).At(f.revision)
}

// kill ends the process of a VM.
func (f *shareFleet) kill(i int) { f.vms[i].gone = true }

// start starts the next process of a VM.
func (f *shareFleet) start(i int) { f.vms[i] = f.newVM(f.vms[i].name) }

func (v *shareVM) runs(now time.Time) bool { return !v.gone && !now.Before(v.suspendedUntil) }

// renew has a VM read the records, write its own and remove those of VMs that are gone.
func (f *shareFleet) renew(i int) {
	v := f.vms[i]
	pause := time.Second
	defer func() { v.nextRenewal = f.now.Add(pause/2 + time.Duration(f.random.Int64N(int64(pause)+1))) }()
	if !f.hasStore(i) {
		return
	}
	var list []shares.Record
	for _, vm := range slices.Sorted(maps.Keys(f.records)) {
		list = append(list, f.records[vm])
	}
	alive := func(vm string) bool { return f.now.Sub(v.heard[vm]) < 1500*time.Millisecond }
	removable := v.registry.Apply(list, f.revision, f.now, alive)
	v.SetMembers(v.registry.Members(), f.now)
	r, _ := v.registry.Next()
	f.revision++
	f.records[v.name], v.written = r.At(f.revision), f.revision
	v.registry.Renewed(f.now)
	v.SetMembers(v.registry.Members(), f.now)
	for _, g := range removable {
		f.revision++
		delete(f.records, g.VM)
	}
	pause = v.registry.Interval(alive)
}

// run lets time pass.
func (f *shareFleet) run(d time.Duration) {
	exchange := int(250 * time.Millisecond / shareStep)
	credit := 0.0
	for n := 0; n < int(d/shareStep); n++ {
		f.now = f.now.Add(shareStep)
		for i, v := range f.vms {
			if v.runs(f.now) && !f.now.Before(v.nextRenewal) {
				f.renew(i)
			}
		}
		if n%exchange == 0 {
			f.exchange()
		}
		for credit += f.asked * f.customer.Rate * shareStep.Seconds(); credit >= shareCost; credit -= shareCost {
			f.request()
		}
	}
}

// exchange sends the updates of all VMs.
func (f *shareFleet) exchange() {
	for i, v := range f.vms {
		if !v.runs(f.now) {
			continue
		}
		u := Update{VM: v.name, Born: v.started.UnixNano(), Spent: v.Spent(), Refused: maps.Clone(v.refused), Members: v.Known(), NoShare: !v.HasShare(f.now), Part: v.Part()}
		v.RemoveExpired(f.now)
		for j, to := range f.vms {
			if i != j && to.runs(f.now) && f.side(i) == f.side(j) {
				to.UpdatePeer(u, f.now)
				to.heard[v.name] = f.now
			}
		}
	}
}

// request sends a request to one of the VMs.
func (f *shareFleet) request() {
	var up []*shareVM
	for _, v := range f.vms {
		if v.runs(f.now) {
			up = append(up, v)
		}
	}
	f.sent += shareCost
	if len(up) == 0 {
		f.refused += shareCost
		return
	}
	if up[f.random.IntN(len(up))].Admit(f.customer, shareCost, f.now).Admitted {
		f.admitted = append(f.admitted, admission{f.now, shareCost})
	} else {
		f.refused += shareCost
	}
}

// assertLimit checks what was admitted in any 8 s by the rule of the users' machines.
func (f *shareFleet) assertLimit() {
	f.t.Helper()
	const window = 8 * time.Second
	limit := (f.customer.Rate*window.Seconds()+f.customer.Burst)*1.1 + 110_000
	sum, from, most := 0.0, 0, 0.0
	for _, a := range f.admitted {
		sum += a.cost
		for a.at.Sub(f.admitted[from].at) > window {
			sum -= f.admitted[from].cost
			from++
		}
		most = max(most, sum)
	}
	f.t.Logf("%.2f million of %.2f", most/1e6, limit/1e6)
	must.LessEq(f.t, limit, most)
}

// divisions are ways in which the VMs of a fleet are cut off from each other.
var divisions = map[string]func(vm int) int{
	"each alone":  func(vm int) int { return vm },
	"halves":      func(vm int) int { return vm % 2 },
	"one apart":   func(vm int) int { return min(vm, 1) },
	"three apart": func(vm int) int { return min(vm, 3) },
}

// TestLongCutExceedsLimit guards against VMs on both sides of a cut that use the whole limit once
// the cut has lasted longer than some timeout, for all ways in which VMs reach each other and the
// store, while VMs start and while one of them was suspended, and when the cut heals.
func TestLongCutExceedsLimit(t *testing.T) {
	for name, side := range divisions {
		for store, hasStore := range map[string]func(vm int) bool{
			"the store is reached by all":     func(int) bool { return true },
			"the store is reached by none":    func(int) bool { return false },
			"the store is reached by some":    func(vm int) bool { return vm%3 == 0 },
			"the store is reached by one":     func(vm int) bool { return vm == 0 },
			"the store is reached by one too": func(vm int) bool { return vm == 1 },
		} {
			for _, length := range []time.Duration{12 * time.Second, 50 * time.Second, 15 * time.Minute} {
				t.Run(fmt.Sprintf("%s, %s, %s", name, store, length), func(t *testing.T) {
					f := newShareFleet(t, 8, 1)
					f.side, f.hasStore = side, hasStore
					f.run(2 * time.Second)
					f.asked = 7
					f.run(length / 3)
					f.add()
					f.vms[2].suspendedUntil = f.now.Add(length / 3)
					f.run(2 * length / 3)
					f.side, f.hasStore = func(int) int { return 0 }, func(int) bool { return true }
					f.run(20 * time.Second)
					f.assertLimit()
				})
			}
		}
	}
}

// TestManyStartBeyondCut guards against VMs that start beyond a cut and take those for gone that
// do not reach the store, although these divide the limit among themselves.
func TestManyStartBeyondCut(t *testing.T) {
	for _, length := range []time.Duration{20 * time.Second, 90 * time.Second, 20 * time.Minute} {
		t.Run(length.String(), func(t *testing.T) {
			f := newShareFleet(t, 8, 1)
			f.side = func(vm int) int { return vm / 8 }
			f.hasStore = func(vm int) bool { return vm >= 8 }
			for range 9 {
				f.add()
			}
			f.asked = 7
			f.run(length)
			f.side, f.hasStore = func(int) int { return 0 }, func(int) bool { return true }
			f.run(20 * time.Second)
			f.assertLimit()
		})
	}
}

// TestRandomCutsKeepLimit plays random cuts, starts, ends and suspensions, one after the other
// and overlapping.
func TestRandomCutsKeepLimit(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			f := newShareFleet(t, 6, seed)
			f.asked = 5
			sides, stores := make([]int, 100), make([]bool, 100)
			f.side, f.hasStore = func(vm int) int { return sides[vm] }, func(vm int) bool { return stores[vm] }
			for range 25 {
				for i := range sides {
					sides[i], stores[i] = f.random.IntN(1+f.random.IntN(3)), f.random.IntN(3) > 0
				}
				switch victim := f.vms[f.random.IntN(len(f.vms))]; f.random.IntN(5) {
				case 0:
					f.add()
				case 1:
					victim.suspendedUntil = f.now.Add(time.Duration(f.random.IntN(60)) * time.Second)
				case 2:
					if !victim.gone && len(f.vms) > 8 {
						victim.gone = true
					}
				}
				f.run(time.Duration(f.random.IntN(45)) * time.Second)
			}
			f.assertLimit()
		})
	}
}

// TestSharesOfGoneVMsAreFree checks what a customer within its rate is refused while VMs that do not
// return still have their shares, and after these are free.
func TestSharesOfGoneVMsAreFree(t *testing.T) {
	// The customer asks for 0.8 of its rate, so that the rest is enough without one VM of 8,
	// and a sixteenth of it is refused without two.
	for gone, most := range map[int]float64{0: 0.01, 1: 0.01, 2: 0.08} {
		t.Run(fmt.Sprintf("%d of 8", gone), func(t *testing.T) {
			f := newShareFleet(t, 8, 1)
			f.asked = 0.8
			f.run(20 * time.Second)
			for _, v := range f.vms[:gone] {
				v.gone = true
			}
			refusedIn := func(d time.Duration) float64 {
				f.sent, f.refused = 0, 0
				f.run(d)
				return f.refused / f.sent
			}
			first := refusedIn(45 * time.Second)
			later := refusedIn(60 * time.Second)
			t.Logf("refused: %.3f in the first 45 s, %.3f in the minute after it", first, later)
			must.LessEq(t, most, first)
			must.LessEq(t, 0.01, later)
		})
	}
	for every, asked := range map[time.Duration]float64{20 * time.Second: 0.5, time.Minute: 0.7} {
		t.Run(fmt.Sprintf("one replaced every %s", every), func(t *testing.T) {
			f := newShareFleet(t, 8, 1)
			f.asked = asked
			f.run(10 * time.Second)
			f.sent, f.refused = 0, 0
			for i := range 24 {
				f.vms[i].gone = true
				f.add()
				f.run(every)
			}
			t.Logf("%.3f refused, %d records", f.refused/f.sent, len(f.records))
			must.LessEq(t, 0.01, f.refused/f.sent)
			must.LessEq(t, 8+int(time.Minute/every), len(f.records))
		})
	}
	t.Run("after a cut", func(t *testing.T) {
		f := newShareFleet(t, 8, 1)
		f.side = divisions["halves"]
		f.asked = 7
		f.run(15 * time.Second)
		f.side = func(int) int { return 0 }
		f.asked = 0.8
		f.run(4 * time.Second)
		f.sent, f.refused = 0, 0
		f.run(20 * time.Second)
		must.LessEq(t, 0.01, f.refused/f.sent)
	})
}
