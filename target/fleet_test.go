package target_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/baobabdyke/baobabdyke/config"
	"github.com/baobabdyke/baobabdyke/internal/fake"
	"github.com/baobabdyke/baobabdyke/peer"
	"github.com/baobabdyke/baobabdyke/target"
	"github.com/baobabdyke/baobabdyke/vm"
)

// loads is a target.Client that implements only Load.
type loads struct {
	target.Client
	mu     sync.Mutex
	report target.Report
	err    error
	polls  int
}

func (l *loads) Load(context.Context, string) (target.Report, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.polls++
	return l.report, l.err
}

func (l *loads) set(report target.Report, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.report, l.err, l.polls = report, err, 0
}

type roster struct {
	vm.Roster
	live []vm.Member
}

func (r *roster) Live() []vm.Member { return r.live }

// A fixture is a set of VMs, each with a Fleet, that share one target.
type fixture struct {
	t      *testing.T
	loads  *loads
	fleets []*target.Fleet
	memory *peer.Memory
}

func newFixture(t *testing.T, vms int) *fixture {
	s := &fixture{t: t, loads: &loads{report: target.Report{Incarnation: "i1"}}, memory: peer.NewMemory()}
	view := config.NewView(&config.Config{Version: 1, Targets: []config.Target{{Name: "e", Kind: config.TargetEngine, Pool: "p", Address: "10.0.0.1:80"}}})
	r := &roster{}
	for i := range vms {
		r.live = append(r.live, vm.Member{ID: fmt.Sprintf("vm%d", i), Peer: fmt.Sprintf("10.1.0.%d:90", i)})
	}
	for _, m := range r.live {
		node := s.memory.Node(m.ID, m.Peer)
		f := target.NewFleet(target.Options{
			Client: s.loads, Config: func() *config.View { return view }, Roster: r, Peers: node, Self: m.ID,
		})
		f.Register(node)
		s.fleets = append(s.fleets, f)
		go func() { _ = f.Run(t.Context()) }()
	}
	s.settle(time.Second)
	return s
}

func (s *fixture) settle(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

// mustUsable checks on every VM whether the target is usable.
func (s *fixture) mustUsable(usable bool) {
	s.t.Helper()
	for i, f := range s.fleets {
		state := f.States("p")[0]
		must.Eq(s.t, usable, state.Usable(time.Now()), must.Sprintf("VM %d: %+v", i, state))
	}
}

func TestFleet(t *testing.T) {
	failed := errors.New("no response")
	for name, run := range map[string]func(s *fixture){
		"one VM polls": func(s *fixture) {
			s.mustUsable(true)
			s.loads.set(target.Report{}, nil)
			s.settle(10 * time.Second)
			must.Between(s.t, 35, s.loads.polls, 45)
		},
		"leaving is known within three seconds": func(s *fixture) {
			s.loads.set(target.Report{Leaving: true}, nil)
			s.settle(time.Second)
			s.mustUsable(false)
			s.loads.set(target.Report{Incarnation: "i2"}, nil)
			s.settle(time.Second)
			s.mustUsable(true)
		},
		"no report for three seconds": func(s *fixture) {
			s.loads.set(target.Report{}, failed)
			s.settle(3 * time.Second)
			s.mustUsable(false)
			s.loads.set(target.Report{}, nil)
			s.settle(3 * time.Second)
			s.mustUsable(true)
		},
		"cut off from the VM that polls": func(s *fixture) {
			for i := range s.fleets {
				for j := range i {
					s.memory.Disconnect(fmt.Sprintf("vm%d", i), fmt.Sprintf("vm%d", j))
				}
			}
			s.settle(3 * time.Second)
			s.mustUsable(true)
			s.loads.set(target.Report{Leaving: true}, nil)
			s.settle(2 * time.Second)
			s.mustUsable(false)
		},
		"failing after three failed requests, then probed": func(s *fixture) {
			for range 3 {
				s.fleets[0].Observe(target.Failed{Target: "e"})
			}
			s.settle(0)
			must.Eq(s.t, target.HealthFailing, s.fleets[0].States("p")[0].Health)
			s.settle(2 * time.Second)
			must.Eq(s.t, target.HealthProbing, s.fleets[0].States("p")[0].Health)
			s.fleets[0].Observe(target.Failed{Target: "e"})
			s.settle(1500 * time.Millisecond)
			must.Eq(s.t, target.HealthFailing, s.fleets[0].States("p")[0].Health)
			s.settle(time.Second)
			s.fleets[0].Observe(target.Succeeded{Target: "e"})
			s.settle(0)
			must.Eq(s.t, target.HealthLive, s.fleets[0].States("p")[0].Health)
		},
		"unreachable, then probed when it reports again": func(s *fixture) {
			s.fleets[0].Observe(target.Unreachable{Target: "e"})
			s.settle(0)
			must.Eq(s.t, target.HealthFailing, s.fleets[0].States("p")[0].Health)
			s.settle(600 * time.Millisecond)
			must.Eq(s.t, target.HealthProbing, s.fleets[0].States("p")[0].Health)
		},
		"outdated report is replaced immediately": func(s *fixture) {
			s.loads.set(target.Report{Incarnation: "i2"}, nil)
			for _, f := range s.fleets {
				f.Observe(target.ReportOutdated{Target: "e"})
			}
			s.settle(60 * time.Millisecond)
			for _, f := range s.fleets {
				must.Eq(s.t, "i2", f.States("p")[0].Report.Incarnation)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { run(newFixture(t, 3)) })
		})
	}
}

// TestEventsIdleTimeout checks that a feed without any data ends after
// FeedIdleTimeout, and that it can be opened again.
func TestEventsIdleTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := fake.NewNetwork()
		e := fake.NewEngine(fake.EngineOptions{})
		t.Cleanup(e.Crash)
		network.Add("10.0.0.1:80", e)
		client := target.NewHTTPClient(target.HTTPOptions{Transport: network})
		events, err := client.Events(t.Context(), "10.0.0.1:80", 0)
		must.NoError(t, err)
		must.Eq(t, uint64(1), (<-events).Sequence)
		time.Sleep(time.Minute)
		e.StallConnections()
		start := time.Now()
		_, open := <-events
		must.False(t, open)
		must.Eq(t, target.FeedIdleTimeout, time.Since(start).Round(time.Second))
		events, err = client.Events(t.Context(), "10.0.0.1:80", 0)
		must.NoError(t, err)
		must.Eq(t, uint64(1), (<-events).Sequence)
	})
}
