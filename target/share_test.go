package target

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/baobabdyke/baobabdyke/config"
)

// TestSharedLoad checks that a shared load updates a report only if all other
// fields of the report are known to be the same.
func TestSharedLoad(t *testing.T) {
	engine := &config.Target{Name: "e"}
	for name, c := range map[string]struct {
		sent    Report
		updated bool
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
			f.updateRecords()
			now := time.Unix(1_800_000_000, 0)
			f.storeReport("e", Report{Incarnation: "i1"}, now, now)
			last := map[string]lastShare{"e": {digest: c.sent.digest(), fullAt: now}}
			now = now.Add(time.Second)
			f.handleUpdate(newStatesUpdate([]State{{Target: engine, ReportedAt: now, Report: c.sent}}, last, now), now)
			must.Eq(t, c.updated, f.records["e"].state.ReportedAt.Equal(now))
			must.Eq(t, c.updated, f.records["e"].state.Report.Running == 5)
		})
	}
}
