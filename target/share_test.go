package target

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/baobabdyke/baobabdyke/config"
)

// TestSharedLoad checks that a load makes a report fresh only if all else in it
// is known.
func TestSharedLoad(t *testing.T) {
	engine := &config.Target{Name: "e"}
	for name, c := range map[string]struct {
		sent  Report
		fresh bool
	}{
		"same report":       {Report{Incarnation: "i1", Running: 5}, true},
		"leaves":            {Report{Incarnation: "i1", Running: 5, Leaving: true}, false},
		"other incarnation": {Report{Incarnation: "i2", Running: 5}, false},
		"other role":        {Report{Incarnation: "i1", Running: 5, Role: "prefill"}, false},
		"other weights":     {Report{Incarnation: "i1", Running: 5, Weights: "w2"}, false},
		"adapter unloaded":  {Report{Incarnation: "i1", Running: 5, Models: []Loaded{{Model: "m"}}}, false},
	} {
		t.Run(name, func(t *testing.T) {
			view := config.NewView(&config.Config{Version: 1, Targets: []config.Target{*engine}})
			f := NewFleet(Options{Config: func() *config.View { return view }})
			f.follow()
			now := time.Unix(1_800_000_000, 0)
			f.takeReport("e", Report{Incarnation: "i1"}, now, now)
			told := map[string]shared{"e": {digest: c.sent.digest(), whole: now}}
			now = now.Add(time.Second)
			f.takeShared(newStates([]State{{Target: engine, ReportedAt: now, Report: c.sent}}, told, now), now)
			must.Eq(t, c.fresh, f.records["e"].state.ReportedAt.Equal(now))
			must.Eq(t, c.fresh, f.records["e"].state.Report.Running == 5)
		})
	}
}
