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
		b := newBench(1, 10, true)
		b.start(t, "vm-1", store.NewMemory(), nil)
		time.Sleep(20 * time.Second)
		must.Eq(t, 0, b.orders())
		b.want(1, "v2")
		begun := time.Now()
		for b.versions()["v2"] < 10 {
			time.Sleep(100 * time.Millisecond)
			must.LessEq(t, 2, fresh(b))
			must.Less(t, 3*time.Minute, time.Since(begun))
		}
		must.LessEq(t, loadSlots, b.most)
		time.Sleep(time.Minute)
		must.Eq(t, 10, b.orders())
	})
}

// fresh counts the engines whose load ended within the settle time.
func fresh(b *bench) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 0
	for _, e := range b.engines {
		if k := len(e.at); k > 0 && time.Since(e.at[k-1]) < settleTime {
			n++
		}
	}
	return n
}

func TestLostAnswers(t *testing.T) {
	cases := map[string]fault{
		"answer": {loseAnswer: true},
		"order":  {loseOrder: true},
		"late":   {behind: 4 * time.Second},
	}
	wants := map[string]func(*bench){
		"load":    func(b *bench) { b.want(1, "v2") },
		"adapter": func(b *bench) { b.view.Routes[0].Adapters = []string{"a"} },
		"role":    func(b *bench) { b.engines[b.order[0]].target.Role = "prefill" },
	}
	for name, f := range cases {
		for kind, want := range wants {
			t.Run(name+" "+kind, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					b := newBench(1, 1, false)
					sent := 0
					b.fault = func(string, target.Order) fault {
						sent++
						if sent == 1 {
							return f
						}
						return fault{}
					}
					want(b)
					b.start(t, "vm-1", store.NewMemory(), nil)
					time.Sleep(time.Minute)
					must.Eq(t, 1, b.orders())
				})
			})
		}
	}
}

func TestMoreLoadsThanSlots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := store.NewMemory()
		b := newBench(4, 4, true)
		for i, vm := range []string{"vm-1", "vm-2"} {
			b.start(t, vm, m, func(o *Options) {
				o.Candidate = func(pool string) bool { return pool == poolName(i) || pool == poolName(i+2) }
			})
		}
		time.Sleep(20 * time.Second)
		b.want(4, "v2")
		time.Sleep(5 * time.Minute)
		must.Eq(t, map[string]int{"v2": 16}, b.versions())
		must.Eq(t, loadSlots, b.most)
	})
}

// pause makes a VM's calls of the store stand until a time, as when the VM is
// paused.
func pause(m *store.Memory, vm string, until time.Time) {
	m.SetFault(func(c store.Call) store.Fault {
		if c.From == vm {
			return store.Fault{Delay: time.Until(until)}
		}
		return store.Fault{}
	})
}

// TestPausedBeforeTheCheck pauses a holder between its plan and its order.
func TestPausedBeforeTheCheck(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := store.NewMemory()
		b := newBench(1, 1, false)
		var wake atomic.Pointer[time.Time]
		wake.Store(new(time.Time))
		b.start(t, "vm-1", m.For("vm-1"), func(o *Options) {
			o.States = func(pool string) []target.State {
				states := b.states(pool)
				time.Sleep(time.Until(*wake.Load()))
				return states
			}
		})
		time.Sleep(10 * time.Second)
		b.start(t, "vm-2", m.For("vm-2"), nil)
		end := time.Now().Add(time.Minute)
		wake.Store(&end)
		b.want(1, "v2")
		pause(m, "vm-1", end)
		time.Sleep(2 * time.Minute)
		must.Eq(t, 1, b.orders())
		o, _ := b.first("engine-0-0")
		must.Eq(t, 2, o.FencingToken)
	})
}

// TestPausedBehindTheCheck lets the order of a paused holder reach an engine
// that does not check, after its successor's: the state is put right.
func TestPausedBehindTheCheck(t *testing.T) {
	for _, fencing := range []bool{false, true} {
		t.Run(fmt.Sprintf("fencing %v", fencing), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				m := store.NewMemory()
				b := newBench(1, 1, fencing)
				wake := time.Now().Add(2 * time.Minute)
				b.fault = func(_ string, o target.Order) fault {
					if o.FencingToken == 1 {
						pause(m, "vm-1", wake)
						return fault{late: time.Until(wake)}
					}
					return fault{}
				}
				b.want(1, "v2")
				b.start(t, "vm-1", m.For("vm-1"), nil)
				time.Sleep(15 * time.Second)
				b.want(1, "v3")
				b.start(t, "vm-2", m.For("vm-2"), nil)
				time.Sleep(time.Until(wake) - time.Second)
				must.Eq(t, map[string]int{"v3": 1}, b.versions())
				time.Sleep(time.Minute)
				must.Eq(t, map[string]int{"v3": 1}, b.versions())
				must.Eq(t, fencing, b.orders() == 1)
			})
		})
	}
}

func TestSuccessorWaitsOutOrders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := store.NewMemory()
		b := newBench(1, 2, false)
		b.engines["engine-0-1"].target.Fencing = true
		b.want(1, "v2")
		stop := b.start(t, "vm-1", m.For("vm-1"), nil)
		stop()
		begun := time.Now()
		b.start(t, "vm-2", m.For("vm-2"), nil)
		time.Sleep(time.Minute)
		_, blind := b.first("engine-0-0")
		_, checks := b.first("engine-0-1")
		must.Less(t, waitOut, checks.Sub(begun))
		must.Greater(t, waitOut, blind.Sub(begun))
	})
}

func TestPlan(t *testing.T) {
	now := time.Unix(1000, 0)
	b := newBench(1, 4, true)
	situation := func(change func(*PlanInput)) PlanInput {
		s := PlanInput{View: b.view, Pool: poolName(0), Engines: EnginesOf(b.states(poolName(0))), Now: now, TermStart: now.Add(-time.Minute)}
		for i := range s.Engines {
			s.Engines[i].ReportedAt = now
		}
		change(&s)
		return s
	}
	b.want(1, "v2")
	cases := []struct {
		name   string
		change func(*PlanInput)
		want   int
	}{
		{"one of four at a time", func(*PlanInput) {}, 1},
		{"none while one is dead", func(s *PlanInput) { s.Engines[3].Live = false }, 0},
		{"an empty one first", func(s *PlanInput) { s.Engines[3].Report.Models = nil }, 1},
		{"none while one settles", func(s *PlanInput) {
			s.Sent = map[string]Sent{"engine-0-0": {Order: target.Order{Kind: target.OrderLoad}, Settled: now.Add(1)}}
		}, 0},
		{"none to a leaving one", func(s *PlanInput) { s.Engines = s.Engines[:1]; s.Engines[0].Report.Leaving = true }, 0},
		{"none on an old report", func(s *PlanInput) {
			s.Engines = s.Engines[:1]
			s.Sent = map[string]Sent{"engine-0-0": {Ends: now}}
		}, 0},
		{"none while one is open", func(s *PlanInput) {
			s.Engines = s.Engines[:1]
			s.Sent = map[string]Sent{"engine-0-0": {Open: true, Ends: now.Add(-1)}}
		}, 0},
		{"a role that differs", func(s *PlanInput) {
			s.View = config.NewView(&config.Config{})
			for i := range s.Engines {
				t := *s.Engines[i].Target
				t.Role = "prefill"
				s.Engines[i].Target = &t
				s.Engines[i].Report.Models = nil
			}
			s.Engines[0].Report.Role = "prefill"
		}, 3},
		{"none by a new holder", func(s *PlanInput) { s.TermStart = now }, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got := Plan(situation(c.change))
			must.Len(t, c.want, got)
		})
	}
}

func TestVersionsShareAPool(t *testing.T) {
	b := newBench(1, 4, true)
	b.view.Routes = append(b.view.Routes, config.Route{Kind: config.RouteModel, Pool: poolName(0), Model: "m", Version: "v2", Adapters: []string{"a"}})
	got := assign(DesiredModels(b.view, poolName(0)), EnginesOf(b.states(poolName(0))))
	counts := map[string]int{}
	for _, wants := range got {
		must.Len(t, 1, wants)
		counts[wants[0].Version]++
	}
	must.Eq(t, map[string]int{"v1": 2, "v2": 2}, counts)
}
