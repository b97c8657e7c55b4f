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

// A table is a fleet and an index that say what the test set.
type table struct {
	states   []target.State
	held     []prefix.Match
	expected int
	noted    []target.Observation
	told     []prefix.Announcement
}

func (f *table) States(string) []target.State { return f.states }

func (f *table) Observe(e target.Observation) { f.noted = append(f.noted, e) }

func (f *table) Lookup(_ context.Context, _ []prefix.Key, dst []prefix.Match) []prefix.Match {
	return append(dst, f.held...)
}

func (f *table) Expect(string, string, string, []prefix.Key) { f.expected++ }

func (f *table) Announce(a prefix.Announcement) { f.told = append(f.told, a) }

// hold sets that an engine of an incarnation and weight version holds pieces.
func (f *table) hold(engine int, incarnation, weights string, pieces int) {
	f.held = append(f.held, prefix.Match{
		Engine: f.states[engine].Target.Name, Incarnation: incarnation, Weights: weights, Pieces: pieces, Confidence: 1,
	})
}

// A scene is a chooser before three engines.
type scene struct {
	t       *testing.T
	table   *table
	chooser *route.Chooser
	request route.Request
}

func newScene(t *testing.T) *scene {
	s := &scene{t: t, table: &table{}}
	for i := range 3 {
		s.table.states = append(s.table.states, target.State{
			Target: &config.Target{Name: fmt.Sprintf("e%d", i), Kind: config.TargetEngine, Slots: 8},
			Health: target.HealthLive, Reported: true, ReportedAt: time.Now(),
			Report: target.Report{Incarnation: "i1", Weights: "w1", PrefillRate: 1000},
		})
	}
	s.request = route.Request{
		Route:  &config.Route{Kind: config.RouteModel, Model: "m", Version: "v1"},
		Prompt: prefix.Split(prefix.Salt{Customer: "a"}, make([]byte, 10*4000), 4000),
	}
	s.chooser = route.NewChooser(route.Options{Fleet: s.table, Index: s.table})
	go func() { _ = s.chooser.Run(t.Context()) }()
	return s
}

func (s *scene) choose() route.Choice { return s.chooser.Choose(s.t.Context(), s.request) }

// mustChoose checks the chosen engine and returns the choice.
func (s *scene) mustChoose(name string) route.Chosen {
	s.t.Helper()
	c, ok := s.choose().(route.Chosen)
	must.True(s.t, ok)
	if name != "" {
		must.Eq(s.t, name, c.Target.Name)
	}
	return c
}

func (s *scene) mustNotChoose(reason string) {
	s.t.Helper()
	c, ok := s.choose().(route.NoTarget)
	must.True(s.t, ok)
	must.Eq(s.t, reason, c.Reason)
}

func TestChoose(t *testing.T) {
	for name, run := range map[string]func(s *scene){
		"warm engine": func(s *scene) {
			s.table.hold(1, "i1", "w1", 10)
			must.Eq(s.t, 10_000, s.mustChoose("e1").CachedTokens)
		},
		"longer of nested prefixes": func(s *scene) {
			s.table.hold(0, "i1", "w1", 4)
			s.table.hold(2, "i1", "w1", 9)
			s.mustChoose("e2")
		},
		"dead incarnation and older weights count nothing": func(s *scene) {
			s.table.hold(0, "i0", "w1", 10)
			s.table.hold(1, "i1", "w0", 10)
			s.table.hold(2, "i1", "w1", 5)
			c := s.mustChoose("e2")
			must.Eq(s.t, "i1", c.Incarnation)
			must.Eq(s.t, "w1", c.Weights)
		},
		"copied when waiting costs more": func(s *scene) {
			s.table.hold(1, "i1", "w1", 10)
			s.table.states[1].Report.PendingTokens = 40_000
			s.mustChoose("e1")
			s.table.states[1].Report.PendingTokens = 60_000
			must.NotEq(s.t, "e1", s.mustChoose("").Target.Name)
		},
		"own sends count before a report shows them": func(s *scene) {
			seen := map[string]bool{}
			for i := range 3 {
				s.request.Prompt = prefix.Split(prefix.Salt{Customer: fmt.Sprint(i)}, make([]byte, 40_000), 4000)
				seen[s.mustChoose("").Target.Name] = true
			}
			must.Eq(s.t, 3, len(seen))
		},
		"prefill in flight is followed": func(s *scene) {
			first := s.mustChoose("")
			follow, ok := s.choose().(route.AwaitPrefill)
			must.True(s.t, ok)
			must.True(s.t, time.Until(follow.Until) <= 2*time.Second)
			first.FirstByte()
			<-follow.Ready
			must.Eq(s.t, 1, s.table.expected)
		},
		"other VMs hear of a long prefill, not of a short one": func(s *scene) {
			name := s.mustChoose("").Target.Name
			must.Eq(s.t, 1, len(s.table.told))
			must.Eq(s.t, name, s.table.told[0].Engine)
			must.Eq(s.t, 10, len(s.table.told[0].Keys))
			s.table.hold(1, "i1", "w1", 8)
			s.request.AwaitedPrefill = true
			s.mustChoose("")
			must.Eq(s.t, 1, len(s.table.told))
		},
		"prefill of another VM": func(s *scene) {
			s.table.held = []prefix.Match{{Engine: "e2", Incarnation: "i1", Weights: "w1", InFlight: 9, Confidence: 1}}
			must.Eq(s.t, 9000, s.mustChoose("e2").CachedTokens)
		},
		"no prefill is followed beyond the deadline": func(s *scene) {
			first := s.mustChoose("")
			s.request.Deadline = time.Now().Add(5 * time.Second)
			must.NotEq(s.t, first.Target.Name, s.mustChoose("").Target.Name)
		},
		"a follower goes on when the first fails": func(s *scene) {
			first := s.mustChoose("")
			follow := s.choose().(route.AwaitPrefill)
			first.Done(0, context.Canceled)
			<-follow.Ready
		},
		"leaving and excluded never, failing as the last resort": func(s *scene) {
			s.table.states[0].Health = target.HealthLeaving
			s.table.states[1].Health = target.HealthFailing
			s.mustChoose("e2").Done(0, nil)
			s.request.Excluded = []string{"e2"}
			last := s.mustChoose("e1")
			s.mustNotChoose("no usable target")
			last.Done(0, nil)
			s.request.Excluded = []string{"e1", "e2"}
			s.mustNotChoose("no usable target")
		},
		"report too old to know of a leave": func(s *scene) {
			time.Sleep(target.MaxReportAge + time.Millisecond)
			s.mustNotChoose("no usable target")
		},
		"probed by one request": func(s *scene) {
			for i := range s.table.states {
				s.table.states[i].Health = target.HealthProbing
			}
			s.request.Excluded = []string{"e1", "e2"}
			first := s.mustChoose("e0")
			s.mustNotChoose("no usable target")
			first.Done(0, nil)
			s.mustChoose("e0")
		},
		"short prompts go where the fewest requests run": func(s *scene) {
			s.request.Prompt = prefix.Prompt{Tokens: 20}
			s.table.states[0].Report.Running = 2
			seen := map[string]int{}
			for range 10 {
				seen[s.mustChoose("").Target.Name]++
			}
			must.Eq(s.t, map[string]int{"e0": 2, "e1": 4, "e2": 4}, seen)
		},
		"adapter not loaded": func(s *scene) {
			for i := range s.table.states {
				s.table.states[i].Report.Models = []target.Loaded{{Model: "m", Version: "v1"}}
			}
			s.mustChoose("").Done(0, nil)
			s.request.Prompt.Salt.Adapter = "x"
			s.mustNotChoose("no usable target")
			s.table.states[2].Report.Models[0].Adapters = []string{"x"}
			s.mustChoose("e2")
		},
		"deadline cannot be met": func(s *scene) {
			s.request.Deadline = time.Now().Add(time.Second)
			for i := range s.table.states {
				s.table.states[i].Report.PendingTokens = 10_000
			}
			s.mustNotChoose("deadline cannot be met")
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { run(newScene(t)) })
		})
	}
}

// ExampleChooser shows how a request gets its target.
func ExampleChooser() {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	fleet := &table{states: []target.State{{
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
