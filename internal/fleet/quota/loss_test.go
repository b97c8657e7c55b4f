package quota

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/baobabdyke/baobabdyke/internal/seed"
)

const (
	// recoveryBound is how long after a loss, or a start, a quarter of the service must be back.
	recoveryBound = 12 * time.Second
	// downTime is how long a VM is down that starts again.
	downTime = 1300 * time.Millisecond
)

// An ending ends the process of a VM.
type ending func(f *shareFleet, vm int)

// endings are the ways in which processes end, by the number of the VM where they are mixed.
var endings = map[string]ending{
	"stopped": (*shareFleet).stop,
	"killed":  (*shareFleet).kill,
	"mixed": func(f *shareFleet, vm int) {
		if vm%2 == 0 {
			f.stop(vm)
		} else {
			f.kill(vm)
		}
	},
}

// lose ends VMs for good.
func (f *shareFleet) lose(vms ...int) {
	for _, vm := range vms {
		f.kill(vm)
	}
}

// restartInTurn ends and starts VMs one after the other.
func (f *shareFleet) restartInTurn(end ending, vms []int) {
	for _, vm := range vms {
		end(f, vm)
		f.run(downTime)
		f.start(vm)
		f.run(downTime)
	}
}

// restartAtOnce ends and starts VMs together.
func (f *shareFleet) restartAtOnce(end ending, vms []int) {
	for _, vm := range vms {
		end(f, vm)
	}
	f.run(downTime)
	for _, vm := range vms {
		f.start(vm)
	}
}

// replaceInTurn ends VMs one after the other and starts others.
func (f *shareFleet) replaceInTurn(end ending, vms []int) {
	for _, vm := range vms {
		end(f, vm)
		f.add()
		f.run(2 * downTime)
	}
}

// running returns the number of VMs that run.
func (f *shareFleet) running() int {
	n := 0
	for _, v := range f.vms {
		if v.runs(f.now) {
			n++
		}
	}
	return n
}

// numbers returns the numbers of VMs from one to before another.
func numbers(from, to int) []int {
	var out []int
	for i := from; i < to; i++ {
		out = append(out, i)
	}
	return out
}

// assertServed checks that a customer that asks for a part of its rate gets what lost VMs leave.
func (f *shareFleet) assertServed(lost, of int) {
	f.t.Helper()
	f.run(recoveryBound)
	f.sent, f.refused = 0, 0
	f.run(10 * time.Second)
	most := max(1-(1-float64(lost)/float64(of))/f.asked, 0) + 0.02
	f.t.Logf("%.3f refused, %d VMs, %d records", f.refused/f.sent, f.running(), len(f.records))
	must.LessEq(f.t, most, f.refused/f.sent)
	f.assertLimit()
}

// TestLostVMRefusesCustomersOfOthers guards against VMs that refuse customers within their limits, because
// a VM that is lost for good does not know of the processes that have started since. A lost VM must cost
// no more than its own part.
func TestLostVMRefusesCustomersOfOthers(t *testing.T) {
	const vms = 8
	for _, lost := range []int{1, 2} {
		others := numbers(lost, vms)
		for name, end := range endings {
			for how, restart := range map[string]func(f *shareFleet){
				"restarted in turn": func(f *shareFleet) { f.restartInTurn(end, others) },
				"restarted at once": func(f *shareFleet) { f.restartAtOnce(end, others) },
				"restarted twice": func(f *shareFleet) {
					f.restartInTurn(end, others)
					f.restartAtOnce(end, others)
				},
				"killed at once afterwards": func(f *shareFleet) {
					f.restartInTurn(end, others)
					f.restartAtOnce((*shareFleet).kill, others)
				},
				"half of them replaced": func(f *shareFleet) {
					f.restartInTurn(end, others[:len(others)/2])
					f.replaceInTurn((*shareFleet).stop, others[len(others)/2:])
				},
				"all of them replaced as planned": func(f *shareFleet) {
					f.replaceInTurn((*shareFleet).stop, others)
				},
			} {
				t.Run(fmt.Sprintf("%d lost, the others %s, %s", lost, name, how), func(t *testing.T) {
					f := newShareFleet(t, vms, 1)
					f.asked = 0.4
					f.run(10 * time.Second)
					f.lose(numbers(0, lost)...)
					f.run(time.Second)
					restart(f)
					f.assertServed(lost, vms)
				})
			}
		}
	}
}

// TestRestartsBeyondCutExceedLimit guards against processes that take over the share of the process before,
// or the shares of VMs that were stopped as planned, while VMs beyond a cut use them too.
func TestRestartsBeyondCutExceedLimit(t *testing.T) {
	for name, side := range divisions {
		for store, hasStore := range map[string]func(vm int) bool{
			"the store is reached by all":  func(int) bool { return true },
			"the store is reached by some": func(vm int) bool { return vm%3 == 0 },
			"the store is reached by one":  func(vm int) bool { return vm == 0 },
			"the store is reached by odd":  func(vm int) bool { return vm%2 == 1 },
		} {
			for how, end := range endings {
				t.Run(fmt.Sprintf("%s, %s, %s", name, store, how), func(t *testing.T) {
					f := newShareFleet(t, 8, 1)
					f.side, f.hasStore = side, hasStore
					f.run(2 * time.Second)
					f.asked = 7
					f.run(5 * time.Second)
					f.restartInTurn(end, []int{0, 1, 3})
					f.replaceInTurn(end, []int{2})
					f.run(40 * time.Second)
					f.restartInTurn(end, []int{0, 4, 5})
					f.run(10 * time.Second)
					f.side, f.hasStore = func(int) int { return 0 }, func(int) bool { return true }
					f.run(20 * time.Second)
					f.assertLimit()
				})
			}
		}
	}
}

// TestNewVMsBesideLostOnesExceedLimit guards against VMs that use more than what those leave that seem to be
// lost, and are only cut off from them and from the store.
func TestNewVMsBesideLostOnesExceedLimit(t *testing.T) {
	for name, end := range endings {
		for _, cut := range []int{1, 4, 6} {
			t.Run(fmt.Sprintf("%d of 8 cut off, the others %s", cut, name), func(t *testing.T) {
				f := newShareFleet(t, 8, 1)
				f.side = func(vm int) int { return max(0, min(cut-vm, 1)) }
				f.hasStore = func(vm int) bool { return vm >= cut }
				f.asked = 7
				f.run(2 * time.Second)
				for _, vm := range numbers(cut, 8) {
					end(f, vm)
				}
				for range 12 {
					f.add()
				}
				f.run(20 * time.Second)
				f.restartInTurn(end, numbers(8, 12))
				f.run(40 * time.Second)
				f.side, f.hasStore = func(int) int { return 0 }, func(int) bool { return true }
				f.run(20 * time.Second)
				f.assertLimit()
			})
		}
	}
}

// TestRandomRestartsExceedLimit guards against sums of shares above the limit, as cuts, stops, kills, starts,
// replacements and suspensions come one after the other and overlap. A process that starts reaches the
// store.
func TestRandomRestartsExceedLimit(t *testing.T) {
	for n := range uint64(randomRestarts) {
		t.Run(fmt.Sprint("seed ", seed.Value()+n), func(t *testing.T) {
			playRandomRestarts(t, seed.Value()+n, true)
		})
	}
}

// TestStartsWithoutStoreExceedLimit is TestRandomRestartsExceedLimit with processes that start without the
// store. They do not know who else shares the limits.
func TestStartsWithoutStoreExceedLimit(t *testing.T) {
	for n := range uint64(randomRestarts) {
		t.Run(fmt.Sprint("seed ", seed.Value()+n), func(t *testing.T) {
			playRandomRestarts(t, seed.Value()+n, false)
		})
	}
}

// randomRestarts is the number of random plays.
const randomRestarts = 12

// playRandomRestarts plays random disturbances of a fleet of which a customer asks too much.
func playRandomRestarts(t *testing.T, seed uint64, startWithStore bool) {
	f := newShareFleet(t, 6, seed)
	f.asked = 5
	sides, stores := make([]int, 200), make([]bool, 200)
	f.side, f.hasStore = func(vm int) int { return sides[vm] }, func(vm int) bool { return stores[vm] }
	for range 40 {
		// In a third of the time nothing is cut, so that the next cut meets a fleet at rest.
		cut := f.random.IntN(3) > 0
		for i := range sides {
			sides[i], stores[i] = 0, true
			if cut {
				sides[i], stores[i] = f.random.IntN(1+f.random.IntN(3)), f.random.IntN(3) > 0
			}
		}
		for range f.random.IntN(4) {
			f.disturb(func(vm int) bool { return !startWithStore || stores[vm] })
			f.run(time.Duration(f.random.IntN(3000)) * time.Millisecond)
		}
		f.run(time.Duration(f.random.IntN(40)) * time.Second)
	}
	f.assertLimit()
}

// disturb stops, kills, suspends or starts a VM, or adds one.
func (f *shareFleet) disturb(mayStart func(vm int) bool) {
	vm := f.random.IntN(len(f.vms))
	switch what := f.random.IntN(8); {
	case f.vms[vm].gone:
		if mayStart(vm) {
			f.start(vm)
		}
	case what == 0 && f.running() < 12 && mayStart(len(f.vms)):
		f.add()
	case what == 1:
		f.vms[vm].suspendedUntil = f.now.Add(time.Duration(f.random.IntN(60)) * time.Second)
	case what < 5 && f.running() > 2:
		f.stop(vm)
	case what < 7 && f.running() > 2:
		f.kill(vm)
	}
}
