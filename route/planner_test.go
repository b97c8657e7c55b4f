package route_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/baobabdyke/baobabdyke/config"
	"github.com/baobabdyke/baobabdyke/prefix"
	"github.com/baobabdyke/baobabdyke/route"
	"github.com/baobabdyke/baobabdyke/target"
)

// A stub is a Fleet and an Index that return the values set by a test and record
// the calls.
type stub struct {
	states      []target.State
	matches     []prefix.Match
	expectCalls int
	observed    []target.Observation
	announced   []prefix.Announcement
}

func (f *stub) States(string) []target.State { return f.states }

func (f *stub) Observe(o target.Observation) { f.observed = append(f.observed, o) }

func (f *stub) Lookup(_ context.Context, _ []prefix.Key, dst []prefix.Match) []prefix.Match {
	return append(dst, f.matches...)
}

func (f *stub) Expect(string, string, string, []prefix.Key) { f.expectCalls++ }

func (f *stub) Announce(a prefix.Announcement) { f.announced = append(f.announced, a) }

// addMatch adds a cache match of an engine in an incarnation and weights version.
func (f *stub) addMatch(engine int, incarnation, weights string, pieces int) {
	f.matches = append(f.matches, prefix.Match{
		Engine: f.states[engine].Target.Name, Incarnation: incarnation, Weights: weights, Pieces: pieces, Confidence: 1,
	})
}

// A fixture is a Chooser with three engines.
type fixture struct {
	t       *testing.T
	stub    *stub
	chooser *route.Chooser
	request route.Request
}

func newFixture(t *testing.T) *fixture {
	s := &fixture{t: t, stub: &stub{}}
	for i := range 3 {
		s.stub.states = append(s.stub.states, target.State{
			Target: &config.Target{Name: fmt.Sprintf("e%d", i), Kind: config.TargetEngine, Slots: 8},
			Health: target.HealthLive, Reported: true, ReportedAt: time.Now(),
			Report: target.Report{Incarnation: "i1", Weights: "w1", PrefillRate: 1000},
		})
	}
	s.request = route.Request{
		Route:  &config.Route{Kind: config.RouteModel, Model: "m", Version: "v1"},
		Prompt: prefix.Split(prefix.Salt{Customer: "a"}, make([]byte, 10*4000), 4000),
	}
	s.chooser = route.NewChooser(route.Options{Fleet: s.stub, Index: s.stub})
	go func() { _ = s.chooser.Run(t.Context()) }()
	return s
}

func (s *fixture) choose() route.Choice { return s.chooser.Choose(s.t.Context(), s.request) }

// mustChoose checks that the engine with the given name is chosen, or any engine
// if name is empty, and returns the choice.
func (s *fixture) mustChoose(name string) route.Chosen {
	s.t.Helper()
	c, ok := s.choose().(route.Chosen)
	must.True(s.t, ok)
	if name != "" {
		must.Eq(s.t, name, c.Target.Name)
	}
	return c
}

func (s *fixture) mustNotChoose(reason string) {
	s.t.Helper()
	c, ok := s.choose().(route.NoTarget)
	must.True(s.t, ok)
	must.Eq(s.t, reason, c.Reason)
}

func TestChoose(t *testing.T) {
	for name, run := range map[string]func(s *fixture){
		"engine with the prefix cached": func(s *fixture) {
			s.stub.addMatch(1, "i1", "w1", 10)
			must.Eq(s.t, 10_000, s.mustChoose("e1").CachedTokens)
		},
		"longest cached prefix": func(s *fixture) {
			s.stub.addMatch(0, "i1", "w1", 4)
			s.stub.addMatch(2, "i1", "w1", 9)
			s.mustChoose("e2")
		},
		"former incarnation and older weights are ignored": func(s *fixture) {
			s.stub.addMatch(0, "i0", "w1", 10)
			s.stub.addMatch(1, "i1", "w0", 10)
			s.stub.addMatch(2, "i1", "w1", 5)
			c := s.mustChoose("e2")
			must.Eq(s.t, "i1", c.Incarnation)
			must.Eq(s.t, "w1", c.Weights)
		},
		"recomputed elsewhere when waiting costs more": func(s *fixture) {
			s.stub.addMatch(1, "i1", "w1", 10)
			s.stub.states[1].Report.PendingTokens = 40_000
			s.mustChoose("e1")
			s.stub.states[1].Report.PendingTokens = 60_000
			must.NotEq(s.t, "e1", s.mustChoose("").Target.Name)
		},
		"own sends count before a report includes them": func(s *fixture) {
			seen := map[string]bool{}
			for i := range 3 {
				s.request.Prompt = prefix.Split(prefix.Salt{Customer: fmt.Sprint(i)}, make([]byte, 40_000), 4000)
				seen[s.mustChoose("").Target.Name] = true
			}
			must.Eq(s.t, 3, len(seen))
		},
		"request waits for the prefill of the same prompt": func(s *fixture) {
			first := s.mustChoose("")
			wait, ok := s.choose().(route.AwaitPrefill)
			must.True(s.t, ok)
			must.True(s.t, time.Until(wait.Until) <= 2*time.Second)
			first.FirstByte()
			<-wait.Ready
			must.Eq(s.t, 1, s.stub.expectCalls)
		},
		"only long prefills are announced to other VMs": func(s *fixture) {
			name := s.mustChoose("").Target.Name
			must.Eq(s.t, 1, len(s.stub.announced))
			must.Eq(s.t, name, s.stub.announced[0].Engine)
			must.Eq(s.t, 10, len(s.stub.announced[0].Keys))
			s.stub.addMatch(1, "i1", "w1", 8)
			s.request.AwaitedPrefill = true
			s.mustChoose("")
			must.Eq(s.t, 1, len(s.stub.announced))
		},
		"prefill announced by another VM": func(s *fixture) {
			s.stub.matches = []prefix.Match{{Engine: "e2", Incarnation: "i1", Weights: "w1", InFlight: 9, Confidence: 1}}
			must.Eq(s.t, 9000, s.mustChoose("e2").CachedTokens)
		},
		"no wait for a prefill beyond the deadline": func(s *fixture) {
			first := s.mustChoose("")
			s.request.Deadline = time.Now().Add(5 * time.Second)
			must.NotEq(s.t, first.Target.Name, s.mustChoose("").Target.Name)
		},
		"wait ends when the prefilling request fails": func(s *fixture) {
			first := s.mustChoose("")
			wait := s.choose().(route.AwaitPrefill)
			first.Done(0, context.Canceled)
			<-wait.Ready
		},
		"leaving and excluded targets never, failing ones as a last resort": func(s *fixture) {
			s.stub.states[0].Health = target.HealthLeaving
			s.stub.states[1].Health = target.HealthFailing
			s.mustChoose("e2").Done(0, nil)
			s.request.Excluded = []string{"e2"}
			last := s.mustChoose("e1")
			s.mustNotChoose("no usable target")
			last.Done(0, nil)
			s.request.Excluded = []string{"e1", "e2"}
			s.mustNotChoose("no usable target")
		},
		"report so old that the target may be leaving": func(s *fixture) {
			time.Sleep(target.MaxReportAge + time.Millisecond)
			s.mustNotChoose("no usable target")
		},
		"probing target gets one request at a time": func(s *fixture) {
			for i := range s.stub.states {
				s.stub.states[i].Health = target.HealthProbing
			}
			s.request.Excluded = []string{"e1", "e2"}
			first := s.mustChoose("e0")
			s.mustNotChoose("no usable target")
			first.Done(0, nil)
			s.mustChoose("e0")
		},
		"short prompts go to the least loaded targets": func(s *fixture) {
			s.request.Prompt = prefix.Prompt{Tokens: 20}
			s.stub.states[0].Report.Running = 2
			seen := map[string]int{}
			for range 10 {
				seen[s.mustChoose("").Target.Name]++
			}
			must.Eq(s.t, map[string]int{"e0": 2, "e1": 4, "e2": 4}, seen)
		},
		"adapter not loaded": func(s *fixture) {
			for i := range s.stub.states {
				s.stub.states[i].Report.Models = []target.Loaded{{Model: "m", Version: "v1"}}
			}
			s.mustChoose("").Done(0, nil)
			s.request.Prompt.Salt.Adapter = "x"
			s.mustNotChoose("no usable target")
			s.stub.states[2].Report.Models[0].Adapters = []string{"x"}
			s.mustChoose("e2")
		},
		"deadline cannot be met": func(s *fixture) {
			s.request.Deadline = time.Now().Add(time.Second)
			for i := range s.stub.states {
				s.stub.states[i].Report.PendingTokens = 10_000
			}
			s.mustNotChoose("deadline cannot be met")
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { run(newFixture(t)) })
		})
	}
}

func ExampleChooser() {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	fleet := &stub{states: []target.State{{
		Target: &config.Target{Name: "engine-1", Kind: config.TargetEngine}, Health: target.HealthLive,
	}}}
	chooser := route.NewChooser(route.Options{Fleet: fleet})
	go func() { _ = chooser.Run(ctx) }()
	switch c := chooser.Choose(ctx, route.Request{Route: &config.Route{Kind: config.RouteModel}}).(type) {
	case route.Chosen:
		fmt.Println(c.Target.Name)
		c.Done(0, nil)
	case route.NoTarget:
		fmt.Println(c.Reason)
	}
	// Output: engine-1
}
