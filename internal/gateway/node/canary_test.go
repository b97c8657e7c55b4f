package node

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/shoenig/test/must"

	"github.com/baobabdyke/baobabdyke/internal/fake"
	"github.com/baobabdyke/baobabdyke/internal/fleet/canary"
	"github.com/baobabdyke/baobabdyke/internal/gateway/placing"
	"github.com/baobabdyke/baobabdyke/internal/settings"
	"github.com/baobabdyke/baobabdyke/peer"
	"github.com/baobabdyke/baobabdyke/platform"
)

// A canaryFleet is a fleet in virtual time whose VMs send requests to targets of several
// versions. The requests pass the placer, but not the network.
type canaryFleet struct {
	*watchFleet
	t   *testing.T
	log *lockedBuffer
	// bad returns the rate at which requests to a version fail, at a time since the order.
	bad func(version string, age time.Duration) float64
	// long is the share of the requests that take longLatency.
	long float64

	mu       sync.Mutex
	ordered  time.Time
	deadline time.Time
	requests int
	sent     map[string]int
	running  map[string]int
	refused  int
	// states are the statuses that the order had, each once in a row.
	states []string
	// cut is the number of requests in flight at other versions when the status became
	// completed, or begun after it.
	cut int
}

const (
	canaryVMs      = 6
	canaryTargets  = 6
	requestPeriod  = 25 * time.Millisecond
	statusPeriod   = 5 * time.Millisecond
	requestTimeout = 3 * time.Second
	requestLatency = 40 * time.Millisecond
	longLatency    = 2500 * time.Millisecond
)

// A testClock shows virtual time.
type testClock struct{}

func (testClock) Now() time.Time { return time.Now() }

// runCanary runs a script against a fleet with targets of version v1.
func runCanaryFleet(t *testing.T, script func(f *canaryFleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := &canaryFleet{
			watchFleet: &watchFleet{ctx: t.Context(), store: fake.NewSiteStore(), network: peer.NewMemory()},
			t:          t, log: &lockedBuffer{}, sent: map[string]int{}, running: map[string]int{},
			bad: func(string, time.Duration) float64 { return 0 },
		}
		f.network.SetLatency(func(string, string) time.Duration { return time.Millisecond })
		f.configure()
		f.listTargets("v1")
		for range canaryVMs {
			f.startVM()
		}
		time.Sleep(10 * time.Second)
		ctx, cancel := context.WithCancel(f.ctx)
		go f.watchStatus(ctx)
		defer func() {
			cancel()
			for _, v := range f.vms {
				v.stop()
			}
			time.Sleep(largePullTimeout + time.Second)
		}()
		script(f)
	})
}

// startVM starts a VM that sends requests.
func (f *canaryFleet) startVM() {
	i := len(f.vms)
	id, address := fmt.Sprintf("vm-%d", i), fmt.Sprintf("10.0.0.%d:1", i+1)
	s := settings.Settings{VM: id, Region: "r", DataCentre: "z", Gateway: &settings.Gateway{
		Seeds: []string{fmt.Sprintf("10.0.0.%d:1", i/canaryVMs*canaryVMs+1)}, TrafficMoves: true,
		Bounds: settings.Bounds{
			Config: 2 * time.Second, Drain: 2 * time.Second, Weights: 10 * time.Second,
			Canary: settings.Canary{Share: 0.1, Slack: 50, Rollback: 5 * time.Second},
		},
	}}
	s.Callers.Address, s.Peers.Address = address, address
	link := newSiteLink(f.store)
	network := f.network.Node(id, address)
	ctx, cancel := context.WithCancel(f.ctx)
	objects := platform.NewObjectsOver("store", link)
	v := &watchVM{Node: newNode(s, log.NewLogfmtLogger(f.log), objects, network, network), link: link, stop: cancel}
	// The boot clock is no virtual time.
	v.clock = testClock{}
	v.buildCanary(objects, time.Now().UnixNano())
	f.vms = append(f.vms, v)
	for _, run := range []func(context.Context) error{v.source.Run, v.roster.Run, v.teller.Run, v.shares.Run, v.runWatching, v.runCanary} {
		go func() { _ = run(ctx) }()
	}
	go f.sendRequests(ctx, v, rand.New(rand.NewPCG(uint64(i), 3)))
}

// kill stops a VM without a word.
func (f *canaryFleet) kill(v *watchVM) {
	// It releases no lease.
	v.link.setFault(linkDown)
	f.network.Remove(v.settings.Peers.Address)
	v.stop()
}

// sendRequests sends the requests of a VM until ctx ends.
func (f *canaryFleet) sendRequests(ctx context.Context, v *watchVM, rng *rand.Rand) {
	select {
	case <-v.source.Ready():
	case <-ctx.Done():
		return
	}
	time.Sleep(time.Duration(rng.Int64N(int64(time.Second))))
	v.ready.Store(true)
	for ctx.Err() == nil {
		time.Sleep(requestPeriod)
		choice, ok := v.placer.Choose(v.source.View(), placing.Request{Service: "app"}, time.Now())
		f.mu.Lock()
		f.requests++
		if !ok {
			f.refused++
			f.mu.Unlock()
			continue
		}
		version := choice.Target.Version
		f.sent[version]++
		f.running[version]++
		if f.isCompleted() && version != f.orderedVersion() {
			f.cut++
		}
		rate, long := f.bad(version, time.Since(f.ordered)), f.long
		f.mu.Unlock()
		v.placer.Begin(choice, nil, time.Now())
		v.gate.RecordDeadline("app", requestTimeout)
		failed, latency := rng.Float64() < rate, requestLatency
		if rng.Float64() < long {
			latency = longLatency
		}
		go func() {
			time.Sleep(latency)
			f.mu.Lock()
			f.running[version]--
			f.mu.Unlock()
			end, result := placing.Served, canary.Answered
			if failed {
				end, result = placing.Failed, canary.Failed
			}
			v.placer.End(choice, end, false, time.Now())
			v.gate.Record(canary.Answer{Target: choice.Target, Route: "lookup", Result: result, Took: latency}, time.Now())
		}()
	}
}

// listTargets lists the targets of a version.
func (f *canaryFleet) listTargets(version string) {
	for i := range canaryTargets {
		id := fmt.Sprintf("%s-%d", version, i)
		f.store.Put("servers", id, map[string]any{
			"service": "app", "address": fmt.Sprintf("10.1.0.%d:1", i+1), "zone": "z", "slots": 4, "state": "ready", "born": 1, "version": version,
		})
	}
}

func (f *canaryFleet) removeOldTargets() {
	for i := range canaryTargets {
		f.store.Remove("servers", fmt.Sprintf("v1-%d", i))
	}
}

// order gives an order for the service app, and forgets the states of the one before.
func (f *canaryFleet) order(to string, duration time.Duration) {
	f.mu.Lock()
	f.ordered, f.deadline, f.states, f.cut = time.Now(), time.Now().Add(duration), nil, 0
	f.requests, f.refused = 0, 0
	clear(f.sent)
	f.mu.Unlock()
	f.store.Put("rollouts", "app", map[string]any{"service": "app", "to": to, "durationS": duration.Seconds()})
}

// set changes how targets behave.
func (f *canaryFleet) set(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

// assertServed checks that no request was refused since the order.
func (f *canaryFleet) assertServed() {
	f.t.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	must.Zero(f.t, f.refused, must.Sprint("refused requests"))
}

// status returns the state and the version in the status of an order.
func (f *canaryFleet) status(name string) (state, to, reason string) {
	var s struct{ State, To, Reason string }
	if raw := f.store.Status("rollouts", name); raw != nil {
		must.NoError(f.t, json.Unmarshal(raw, &s))
	}
	return s.State, s.To, s.Reason
}

func (f *canaryFleet) isCompleted() bool {
	return len(f.states) > 0 && strings.HasPrefix(f.states[len(f.states)-1], "completed")
}

func (f *canaryFleet) orderedVersion() string {
	_, version, _ := strings.Cut(f.states[len(f.states)-1], " ")
	return version
}

// watchStatus records the statuses of the order.
func (f *canaryFleet) watchStatus(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(statusPeriod)
		state, to, _ := f.status("app")
		f.mu.Lock()
		if s := state + " " + to; state != "" && (len(f.states) == 0 || f.states[len(f.states)-1] != s) {
			f.states = append(f.states, s)
			if f.isCompleted() {
				for version, n := range f.running {
					if version != to {
						f.cut += n
					}
				}
			}
		}
		f.mu.Unlock()
	}
}

// counts returns the number of requests since the order, and of those to a version.
func (f *canaryFleet) counts(version string) (requests, sent int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.requests, f.sent[version]
}

// awaitDeadline waits for the deadline of the order and a second more.
func (f *canaryFleet) awaitDeadline() {
	time.Sleep(time.Until(f.deadline) + time.Second)
}

// assertStates checks the states that the order had, and that no request was in flight at
// targets that stop.
func (f *canaryFleet) assertStates(states ...string) {
	f.t.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(states) != len(f.states) || strings.Join(states, ",") != strings.Join(f.states, ",") {
		f.t.Log(f.log.String())
	}
	must.Eq(f.t, states, f.states)
	must.Zero(f.t, f.cut, must.Sprint("requests in flight at targets that stop"))
}

// assertShare checks that the version v2, which is not trusted, got no more than its share.
func (f *canaryFleet) assertShare() {
	f.t.Helper()
	requests, sent := f.counts("v2")
	must.LessEq(f.t, 0.1*float64(requests)+50, float64(sent))
}

// awaitStage waits until a VM knows a stage of the order.
func (f *canaryFleet) awaitStage(stage canary.Stage) {
	for !strings.Contains(f.log.String(), "msg=\"traffic moves\" service=app to=v2 stage="+stage.String()) && time.Now().Before(f.deadline) {
		time.Sleep(10 * time.Millisecond)
	}
}

// holder returns the VM that holds the lease, or nil.
func (f *canaryFleet) holder() *watchVM {
	for _, v := range f.vms {
		if v.canary.Update(time.Now()).Holder {
			return v
		}
	}
	return nil
}

const orderTime = 40 * time.Second

// failing returns a rate of failures of version v2.
func failing(rate float64, from time.Duration) func(string, time.Duration) float64 {
	return func(version string, age time.Duration) float64 {
		if version == "v2" && age >= from {
			return rate
		}
		return 0.005
	}
}

// TestVersionsAreIgnoredWithoutFeature guards against orders that have an effect although
// nothing asks for them.
func TestVersionsAreIgnoredWithoutFeature(t *testing.T) {
	b := newTestbed(t)
	b.store.Put("rollouts", "app", map[string]any{"service": "app", "to": "v2", "durationS": 10})
	b.listVersion("app-1", "v2")
	b.apps[0].SetMode(fake.SiteReject)
	v := b.start("vm-1")
	v.ready()
	eventually(t, func() bool {
		v.request("/lookup/", "r")
		return len(b.apps[1].Runs()) > 0
	})
	must.MapEmpty(t, v.source.View().Orders)
	must.Nil(t, v.canaryUpdate())
	must.Eq(t, nil, b.store.Status("rollouts", "app"))
}

// listVersion lists a target of the service app again, with a version.
func (b *testbed) listVersion(id, version string) {
	b.store.Put("servers", id, map[string]any{
		"service": "app", "address": b.addresses[id], "zone": "z", "slots": 4, "state": "ready", "born": 5, "version": version,
	})
}

// TestFailuresOfNewVersionAreCounted guards against answers that the relay does not report,
// over real connections.
func TestFailuresOfNewVersionAreCounted(t *testing.T) {
	b := newTestbed(t)
	b.trafficMoves = true
	b.listVersion("app-0", "v1")
	b.listVersion("app-1", "v1")
	bad := b.target("app", "app-2")
	b.listVersion("app-2", "v2")
	bad.SetMode(fake.SiteError)
	b.store.Put("rollouts", "app", map[string]any{"service": "app", "to": "v2", "durationS": 600})
	v := b.start("vm-1")
	v.ready()
	sent := 0
	eventually(t, func() bool {
		// The other target is asked after a failure.
		must.Eq(t, http.StatusOK, v.request("/lookup/", fmt.Sprintf("r-%d", sent)).status)
		sent++
		return strings.Contains(string(b.store.Status("rollouts", "app")), "rolled_back")
	})
	must.LessEq(t, 0.1*float64(sent)+50, float64(len(bad.Runs())))
	must.Positive(t, len(bad.Runs()))
	must.Positive(t, v.gate.Counters().Bad)
	must.StrContains(t, v.log.String(), "version stopped")
}

func TestOrderMovesTraffic(t *testing.T) {
	t.Run("a good version is completed, and nothing is cut or refused", func(t *testing.T) {
		runCanaryFleet(t, func(f *canaryFleet) {
			f.set(func() { f.bad = failing(0.005, 0) })
			f.order("v2", orderTime)
			time.Sleep(time.Second)
			f.listTargets("v2")
			time.Sleep(5 * time.Second)
			f.assertStates("running v2")
			f.awaitDeadline()
			f.assertStates("running v2", "completed v2")
			f.assertServed()
			f.removeOldTargets()
			time.Sleep(5 * time.Second)
			_, before := f.counts("v1")
			time.Sleep(5 * time.Second)
			_, after := f.counts("v1")
			must.Eq(t, before, after)
			f.assertServed()
		})
	})
	t.Run("long requests end before their targets stop", func(t *testing.T) {
		runCanaryFleet(t, func(f *canaryFleet) {
			f.set(func() { f.long = 0.05 })
			f.order("v2", orderTime)
			f.listTargets("v2")
			f.awaitDeadline()
			f.assertStates("running v2", "completed v2")
		})
	})
	t.Run("a bad version is rolled back", func(t *testing.T) {
		for name, bad := range map[string]func(string, time.Duration) float64{
			"at once": failing(0.5, 0), "late": failing(0.5, 15*time.Second), "in the move": failing(0.5, 31*time.Second),
		} {
			t.Run(name, func(t *testing.T) {
				runCanaryFleet(t, func(f *canaryFleet) {
					f.set(func() { f.bad = bad })
					f.order("v2", orderTime)
					f.listTargets("v2")
					f.awaitDeadline()
					f.assertStates("running v2", "rolled_back v2")
					f.assertShare()
					f.assertServed()
					_, before := f.counts("v2")
					time.Sleep(10 * time.Second)
					_, after := f.counts("v2")
					must.Eq(t, before, after)
				})
			})
		}
	})
	t.Run("targets that never come up", func(t *testing.T) {
		runCanaryFleet(t, func(f *canaryFleet) {
			f.order("v2", 15*time.Second)
			f.awaitDeadline()
			f.assertStates("running v2", "rolled_back v2")
			_, _, reason := f.status("app")
			must.StrContains(t, reason, "no target has the version")
			f.listTargets("v2")
			time.Sleep(8 * time.Second)
			_, sent := f.counts("v2")
			must.Zero(t, sent)
			f.assertServed()
		})
	})
	t.Run("an ordinary release needs no order", func(t *testing.T) {
		runCanaryFleet(t, func(f *canaryFleet) {
			f.listTargets("v2")
			time.Sleep(8 * time.Second)
			_, sent := f.counts("v2")
			must.Positive(t, sent)
			f.removeOldTargets()
			time.Sleep(5 * time.Second)
			f.assertServed()
		})
	})
}

// TestOrderOutlivesHolder guards against an order that stays where it was, or whose state is
// written twice, after the VM that decides is killed.
func TestOrderOutlivesHolder(t *testing.T) {
	for _, stage := range []canary.Stage{canary.Watching, canary.Quarter, canary.Half, canary.Full} {
		t.Run(stage.String(), func(t *testing.T) {
			runCanaryFleet(t, func(f *canaryFleet) {
				f.order("v2", orderTime)
				f.listTargets("v2")
				time.Sleep(5 * time.Second)
				if stage != canary.Watching {
					f.awaitStage(stage)
				}
				holder := f.holder()
				must.NotNil(t, holder)
				f.kill(holder)
				f.awaitDeadline()
				f.assertStates("running v2", "completed v2")
			})
		})
	}
	t.Run("all VMs are killed and start again", func(t *testing.T) {
		runCanaryFleet(t, func(f *canaryFleet) {
			f.order("v2", orderTime)
			f.listTargets("v2")
			time.Sleep(10 * time.Second)
			for _, v := range f.vms {
				f.kill(v)
			}
			time.Sleep(2 * time.Second)
			for range canaryVMs {
				f.startVM()
			}
			f.awaitDeadline()
			f.assertStates("running v2", "completed v2")
		})
	})
	t.Run("the new version turns bad when the holder is killed", func(t *testing.T) {
		runCanaryFleet(t, func(f *canaryFleet) {
			f.set(func() { f.bad = failing(0.5, 20*time.Second) })
			f.order("v2", orderTime)
			f.listTargets("v2")
			time.Sleep(20 * time.Second)
			f.kill(f.holder())
			f.awaitDeadline()
			f.assertStates("running v2", "rolled_back v2")
			f.assertShare()
		})
	})
}

// TestOrderInPartition guards against a version that gets more than its share, or an order
// that is completed over requests in flight, while the fleet is divided.
func TestOrderInPartition(t *testing.T) {
	divide := func(change func(a, b string)) {
		for i := range canaryVMs / 2 {
			for k := canaryVMs / 2; k < canaryVMs; k++ {
				change(fmt.Sprintf("vm-%d", i), fmt.Sprintf("vm-%d", k))
			}
		}
	}
	for name, bad := range map[string]float64{"good": 0.005, "bad": 0.5} {
		t.Run(name, func(t *testing.T) {
			runCanaryFleet(t, func(f *canaryFleet) {
				f.set(func() { f.bad = failing(bad, 10*time.Second) })
				f.order("v2", orderTime)
				f.listTargets("v2")
				time.Sleep(9 * time.Second)
				divide(f.network.Disconnect)
				time.Sleep(8 * time.Second)
				divide(f.network.Heal)
				f.awaitDeadline()
				if name == "good" {
					f.assertStates("running v2", "completed v2")
					return
				}
				f.assertStates("running v2", "rolled_back v2")
				f.assertShare()
			})
		})
	}
	t.Run("while the traffic moves", func(t *testing.T) {
		runCanaryFleet(t, func(f *canaryFleet) {
			f.order("v2", orderTime)
			f.listTargets("v2")
			f.awaitStage(canary.Quarter)
			divide(f.network.Disconnect)
			time.Sleep(3 * time.Second)
			divide(f.network.Heal)
			f.awaitDeadline()
			f.assertStates("running v2", "completed v2")
		})
	})
}

// TestOrderDuringStoreOutage guards against a version that gets requests although its bad
// answers are known, and against an order that is completed too late.
func TestOrderDuringStoreOutage(t *testing.T) {
	outage := func(f *canaryFleet, fault linkFault) {
		for _, v := range f.vms {
			v.link.setFault(fault)
		}
	}
	for _, fault := range []linkFault{linkReset, linkSilent} {
		t.Run(fmt.Sprintf("good at the verdict, fault %d", fault), func(t *testing.T) {
			runCanaryFleet(t, func(f *canaryFleet) {
				f.order("v2", orderTime)
				f.listTargets("v2")
				time.Sleep(26 * time.Second)
				outage(f, fault)
				time.Sleep(3 * time.Second)
				outage(f, linkOK)
				f.awaitDeadline()
				f.assertStates("running v2", "completed v2")
			})
		})
		t.Run(fmt.Sprintf("bad, fault %d", fault), func(t *testing.T) {
			runCanaryFleet(t, func(f *canaryFleet) {
				f.set(func() { f.bad = failing(0.5, 10*time.Second) })
				f.order("v2", orderTime)
				f.listTargets("v2")
				time.Sleep(9 * time.Second)
				outage(f, fault)
				time.Sleep(9 * time.Second)
				_, before := f.counts("v2")
				time.Sleep(3 * time.Second)
				_, after := f.counts("v2")
				must.Eq(t, before, after)
				outage(f, linkOK)
				f.awaitDeadline()
				f.assertStates("running v2", "rolled_back v2")
				f.assertShare()
			})
		})
	}
	t.Run("the deadline", func(t *testing.T) {
		runCanaryFleet(t, func(f *canaryFleet) {
			f.order("v2", orderTime)
			f.listTargets("v2")
			time.Sleep(24 * time.Second)
			outage(f, linkReset)
			f.awaitDeadline()
			outage(f, linkOK)
			time.Sleep(10 * time.Second)
			f.assertStates("running v2", "rolled_back v2")
			f.assertShare()
		})
	})
	t.Run("the store is restored after the end", func(t *testing.T) {
		runCanaryFleet(t, func(f *canaryFleet) {
			older := f.store.Copy()
			f.order("v2", orderTime)
			f.listTargets("v2")
			f.awaitDeadline()
			f.assertStates("running v2", "completed v2")
			f.removeOldTargets()
			time.Sleep(2 * time.Second)
			f.restore(older, 0, time.Second)
			time.Sleep(10 * time.Second)
			state, to, _ := f.status("app")
			if state != "completed" {
				t.Log(f.log.String())
			}
			must.Eq(t, "completed v2", state+" "+to)
		})
	})
}

// TestOrdersInSuccession guards against orders that are taken for one another.
func TestOrdersInSuccession(t *testing.T) {
	t.Run("one after the other", func(t *testing.T) {
		runCanaryFleet(t, func(f *canaryFleet) {
			f.order("v2", orderTime)
			f.listTargets("v2")
			f.awaitDeadline()
			f.assertStates("running v2", "completed v2")
			f.removeOldTargets()
			time.Sleep(5 * time.Second)
			f.order("v3", orderTime)
			f.listTargets("v3")
			f.awaitDeadline()
			f.assertStates("running v3", "completed v3")
			f.assertServed()
		})
	})
	t.Run("an order that is given again", func(t *testing.T) {
		runCanaryFleet(t, func(f *canaryFleet) {
			f.order("v2", 12*time.Second)
			f.awaitDeadline()
			f.assertStates("running v2", "rolled_back v2")
			f.order("v2", 12*time.Second)
			f.listTargets("v2")
			time.Sleep(4 * time.Second)
			f.assertStates("running v2")
			_, sent := f.counts("v2")
			must.Positive(t, sent)
		})
	})
	t.Run("an order that is changed", func(t *testing.T) {
		runCanaryFleet(t, func(f *canaryFleet) {
			f.set(func() { f.bad = failing(0.5, 0) })
			f.order("v2", orderTime)
			f.listTargets("v2")
			time.Sleep(5 * time.Second)
			f.order("v3", orderTime)
			f.listTargets("v3")
			time.Sleep(time.Second)
			_, before := f.counts("v2")
			f.awaitDeadline()
			_, after := f.counts("v2")
			must.Eq(t, before, after)
			f.assertStates("running v3", "completed v3")
		})
	})
	t.Run("an order that is withdrawn", func(t *testing.T) {
		runCanaryFleet(t, func(f *canaryFleet) {
			f.order("v2", orderTime)
			f.listTargets("v2")
			time.Sleep(15 * time.Second)
			f.store.Remove("rollouts", "app")
			time.Sleep(time.Second)
			_, before := f.counts("v2")
			must.Positive(t, before)
			time.Sleep(20 * time.Second)
			_, after := f.counts("v2")
			must.Eq(t, before, after)
			f.assertServed()
			f.removeOldTargets()
			time.Sleep(3 * time.Second)
			_, after = f.counts("v2")
			must.Greater(t, before, after)
		})
	})
}

// TestInvalidOrderSaysSo guards against an invalid order without a status, or one that
// changes traffic.
func TestInvalidOrderSaysSo(t *testing.T) {
	runCanaryFleet(t, func(f *canaryFleet) {
		f.listTargets("v2")
		time.Sleep(5 * time.Second)
		for name, c := range map[string]struct {
			spec   any
			reason string
		}{
			"app":     {map[string]any{"service": "app", "to": "v2", "durationS": 0}, "durationS"},
			"other":   {map[string]any{"service": "app", "to": "v2", "durationS": 5}, "service"},
			"unknown": {map[string]any{"service": "unknown", "to": "v2", "durationS": 5}, "no service"},
			"typed":   {map[string]any{"service": "typed", "to": 2, "durationS": "x"}, "to"},
			"list":    {[]int{1}, "object"},
		} {
			f.store.Put("rollouts", name, c.spec)
			time.Sleep(5 * time.Second)
			state, _, reason := f.status(name)
			must.Eq(t, "rolled_back", state, must.Sprint(name))
			must.StrContains(t, reason, c.reason)
		}
		calls := f.store.Revision()
		_, before := f.counts("v2")
		time.Sleep(5 * time.Second)
		_, after := f.counts("v2")
		must.Greater(t, before, after)
		f.assertServed()
		must.Less(t, int64(60), f.store.Revision()-calls, must.Sprint("writes"))
	})
}
