package order

import (
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/baobabdyke/baobabdyke/config"
	"github.com/baobabdyke/baobabdyke/store"
	"github.com/baobabdyke/baobabdyke/target"
)

func TestRollOutKeepsCapacity(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFakeFleet(1, 10, true)
		fleet.start(t, "vm-1", store.NewMemory(), nil)
		time.Sleep(20 * time.Second)
		must.Eq(t, 0, fleet.orders())
		fleet.configure(1, "v2")
		start := time.Now()
		for fleet.versions()["v2"] < 10 {
			time.Sleep(100 * time.Millisecond)
			must.LessEq(t, 2, settling(fleet))
			must.Less(t, 3*time.Minute, time.Since(start))
		}
		must.LessEq(t, loadSlots, fleet.maxLoading)
		time.Sleep(time.Minute)
		must.Eq(t, 10, fleet.orders())
	})
}

// settling returns the number of engines whose last load ended less than
// settleTime ago.
func settling(fleet *fakeFleet) int {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	n := 0
	for _, e := range fleet.engines {
		if k := len(e.loadedAt); k > 0 && time.Since(e.loadedAt[k-1]) < settleTime {
			n++
		}
	}
	return n
}

func TestLostOrderExecutedOnce(t *testing.T) {
	faults := map[string]fault{
		"answer": {loseResponse: true},
		"order":  {loseOrder: true},
		"late":   {lateArrival: 4 * time.Second},
	}
	changes := map[string]func(*fakeFleet){
		"load":    func(fleet *fakeFleet) { fleet.configure(1, "v2") },
		"adapter": func(fleet *fakeFleet) { fleet.view.Routes[0].Adapters = []string{"a"} },
		"role":    func(fleet *fakeFleet) { fleet.engines[fleet.names[0]].target.Role = "prefill" },
	}
	for name, f := range faults {
		for kind, configure := range changes {
			t.Run(name+" "+kind, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					fleet := newFakeFleet(1, 1, false)
					sent := 0
					fleet.fault = func(string, target.Order) fault {
						sent++
						if sent == 1 {
							return f
						}
						return fault{}
					}
					configure(fleet)
					fleet.start(t, "vm-1", store.NewMemory(), nil)
					time.Sleep(time.Minute)
					must.Eq(t, 1, fleet.orders())
				})
			})
		}
	}
}

func TestConcurrentLoadsBoundedBySlots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := store.NewMemory()
		fleet := newFakeFleet(4, 4, true)
		for i, vm := range []string{"vm-1", "vm-2"} {
			fleet.start(t, vm, m, func(o *Options) {
				o.Candidate = func(pool string) bool { return pool == poolName(i) || pool == poolName(i+2) }
			})
		}
		time.Sleep(20 * time.Second)
		fleet.configure(4, "v2")
		time.Sleep(5 * time.Minute)
		must.Eq(t, map[string]int{"v2": 16}, fleet.versions())
		must.Eq(t, loadSlots, fleet.maxLoading)
	})
}

// pauseVM blocks the store calls of a VM until the given time, as if the VM were
// paused.
func pauseVM(m *store.Memory, vm string, until time.Time) {
	m.SetFault(func(c store.Call) store.Fault {
		if c.From == vm {
			return store.Fault{Delay: time.Until(until)}
		}
		return store.Fault{}
	})
}

// TestHolderPausedBeforeLeaseCheck pauses the lease holder between its plan and
// its lease check, for so long that another VM takes over. The old holder must
// not send its order.
func TestHolderPausedBeforeLeaseCheck(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := store.NewMemory()
		fleet := newFakeFleet(1, 1, false)
		var resumeAt atomic.Pointer[time.Time]
		resumeAt.Store(new(time.Time))
		fleet.start(t, "vm-1", m.For("vm-1"), func(o *Options) {
			o.States = func(pool string) []target.State {
				states := fleet.states(pool)
				time.Sleep(time.Until(*resumeAt.Load()))
				return states
			}
		})
		time.Sleep(10 * time.Second)
		fleet.start(t, "vm-2", m.For("vm-2"), nil)
		end := time.Now().Add(time.Minute)
		resumeAt.Store(&end)
		fleet.configure(1, "v2")
		pauseVM(m, "vm-1", end)
		time.Sleep(2 * time.Minute)
		must.Eq(t, 1, fleet.orders())
		o, _ := fleet.firstOrder("engine-0-0")
		must.Eq(t, 2, o.FencingToken)
	})
}

// TestHolderPausedAfterLeaseCheck delays an order of a paused lease holder until
// after the order of its successor. An engine that checks fencing tokens must
// refuse the late order; on any other engine the successor must repair the state.
func TestHolderPausedAfterLeaseCheck(t *testing.T) {
	for _, fencing := range []bool{false, true} {
		t.Run(fmt.Sprintf("fencing %v", fencing), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				m := store.NewMemory()
				fleet := newFakeFleet(1, 1, fencing)
				resumeAt := time.Now().Add(2 * time.Minute)
				fleet.fault = func(_ string, o target.Order) fault {
					if o.FencingToken == 1 {
						pauseVM(m, "vm-1", resumeAt)
						return fault{delay: time.Until(resumeAt)}
					}
					return fault{}
				}
				fleet.configure(1, "v2")
				fleet.start(t, "vm-1", m.For("vm-1"), nil)
				time.Sleep(15 * time.Second)
				fleet.configure(1, "v3")
				fleet.start(t, "vm-2", m.For("vm-2"), nil)
				time.Sleep(time.Until(resumeAt) - time.Second)
				must.Eq(t, map[string]int{"v3": 1}, fleet.versions())
				time.Sleep(time.Minute)
				must.Eq(t, map[string]int{"v3": 1}, fleet.versions())
				must.Eq(t, fencing, fleet.orders() == 1)
			})
		})
	}
}

func TestSuccessorWaitsForOldOrders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := store.NewMemory()
		fleet := newFakeFleet(1, 2, false)
		fleet.engines["engine-0-1"].target.Fencing = true
		fleet.configure(1, "v2")
		stop := fleet.start(t, "vm-1", m.For("vm-1"), nil)
		stop()
		start := time.Now()
		fleet.start(t, "vm-2", m.For("vm-2"), nil)
		time.Sleep(time.Minute)
		_, unfenced := fleet.firstOrder("engine-0-0")
		_, fenced := fleet.firstOrder("engine-0-1")
		must.Less(t, takeoverDelay, fenced.Sub(start))
		must.Greater(t, takeoverDelay, unfenced.Sub(start))
	})
}

func TestPlan(t *testing.T) {
	now := time.Unix(1000, 0)
	fleet := newFakeFleet(1, 4, true)
	input := func(change func(*PlanInput)) PlanInput {
		in := PlanInput{View: fleet.view, Pool: poolName(0), Engines: EnginesOf(fleet.states(poolName(0))), Now: now, TermStart: now.Add(-time.Minute)}
		for i := range in.Engines {
			in.Engines[i].ReportedAt = now
		}
		change(&in)
		return in
	}
	fleet.configure(1, "v2")
	cases := []struct {
		name   string
		change func(*PlanInput)
		want   int
	}{
		{"one of four at a time", func(*PlanInput) {}, 1},
		{"none while one is not live", func(in *PlanInput) { in.Engines[3].Live = false }, 0},
		{"one without a model first", func(in *PlanInput) { in.Engines[3].Report.Models = nil }, 1},
		{"none while one settles", func(in *PlanInput) {
			in.Sent = map[string]Sent{"engine-0-0": {Order: target.Order{Kind: target.OrderLoad}, Settled: now.Add(1)}}
		}, 0},
		{"none to a leaving one", func(in *PlanInput) { in.Engines = in.Engines[:1]; in.Engines[0].Report.Leaving = true }, 0},
		{"none on an old report", func(in *PlanInput) {
			in.Engines = in.Engines[:1]
			in.Sent = map[string]Sent{"engine-0-0": {Ends: now}}
		}, 0},
		{"none while an order is open", func(in *PlanInput) {
			in.Engines = in.Engines[:1]
			in.Sent = map[string]Sent{"engine-0-0": {Open: true, Ends: now.Add(-1)}}
		}, 0},
		{"a role that differs", func(in *PlanInput) {
			in.View = config.NewView(&config.Config{})
			for i := range in.Engines {
				t := *in.Engines[i].Target
				t.Role = "prefill"
				in.Engines[i].Target = &t
				in.Engines[i].Report.Models = nil
			}
			in.Engines[0].Report.Role = "prefill"
		}, 3},
		{"none by a new lease holder", func(in *PlanInput) { in.TermStart = now }, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got := Plan(input(c.change))
			must.Len(t, c.want, got)
		})
	}
}

func TestVersionsShareAPool(t *testing.T) {
	fleet := newFakeFleet(1, 4, true)
	fleet.view.Routes = append(fleet.view.Routes, config.Route{Kind: config.RouteModel, Pool: poolName(0), Model: "m", Version: "v2", Adapters: []string{"a"}})
	got := assign(DesiredModels(fleet.view, poolName(0)), EnginesOf(fleet.states(poolName(0))))
	counts := map[string]int{}
	for _, models := range got {
		must.Len(t, 1, models)
		counts[models[0].Version]++
	}
	must.Eq(t, map[string]int{"v1": 2, "v2": 2}, counts)
}
