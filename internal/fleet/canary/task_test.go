package canary

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/baobabdyke/baobabdyke/internal/fleet/site"
	"github.com/baobabdyke/baobabdyke/internal/fleet/source"
)

// TestSilentVMCountsAsSending guards against targets that are stopped while a VM that is not
// heard from may have requests there.
func TestSilentVMCountsAsSending(t *testing.T) {
	now := simulatedStart
	cfg := &site.Config{Routes: []site.Route{
		{Timeout: 8 * time.Second, Shares: []site.Share{{Service: "s"}}}, {Timeout: time.Hour, Shares: []site.Share{{Service: "other"}}},
	}}
	full := func(change func(r *Report)) Update {
		r := Report{Service: "s", Order: 7, Round: 1, Stage: Full}
		change(&r)
		return Update{Reports: []Report{r}}
	}
	same := func(*Report) {}
	half := func(r *Report) { r.Stage = Half }
	for name, c := range map[string]struct {
		peer    Peer
		longest time.Duration
		clear   bool
	}{
		"a VM without requests in flight":           {Peer{Alive: true, Update: full(same)}, 0, true},
		"one with requests in flight":               {Peer{Alive: true, Update: full(func(r *Report) { r.OldRunning = 1 })}, 0, false},
		"one at an earlier stage":                   {Peer{Alive: true, Update: full(half)}, 0, false},
		"one with another order":                    {Peer{Alive: true, Update: full(func(r *Report) { r.Order = 8 })}, 0, false},
		"one of an earlier round":                   {Peer{Alive: true, Update: full(func(r *Report) { r.Round = 0 })}, 0, false},
		"one that knows no order":                   {Peer{Alive: true}, 0, false},
		"one that was clear when it fell silent":    {Peer{Heard: now.Add(-4 * time.Second), Update: full(same)}, 0, true},
		"one that fell silent":                      {Peer{Heard: now.Add(-4 * time.Second), Update: full(half)}, 0, false},
		"one that fell silent long ago":             {Peer{Heard: now.Add(-10 * time.Second), Update: full(half)}, 0, true},
		"one that fell silent, with short requests": {Peer{Heard: now.Add(-4 * time.Second), Update: full(half)}, time.Second, true},
		"one that fell silent without a report":     {Peer{Heard: now.Add(-4 * time.Second)}, 0, false},
		"one that fell silent, with long requests":  {Peer{Heard: now.Add(-10 * time.Second), Update: full(func(r *Report) { r.Stage, r.LongestMS = Half, 12000 })}, time.Second, false},
	} {
		t.Run(name, func(t *testing.T) {
			task := NewTask(TaskOptions{
				View:  func() *source.View { return &source.View{Config: cfg} },
				Peers: func() []Peer { return []Peer{c.peer} },
			})
			p := progress{id: 7, round: 1, longest: c.longest, situation: situation{stage: Full}}
			must.Eq(t, c.clear, task.areClear("s", p, now))
		})
	}
}

// BenchmarkPermit measures what the choice of versions adds to each request in a service of
// 600 targets.
func BenchmarkPermit(b *testing.B) {
	for name, ordered := range map[string]bool{"without an order": false, "with an order": true} {
		b.Run(name, func(b *testing.B) {
			g := NewGate(Options{VM: "vm", Share: func() float64 { return 0.1 }})
			v := &source.View{Targets: map[string]*site.Target{}, Orders: map[string]*site.Order{}}
			var targets []*site.Target
			for i := range 600 {
				t := &site.Target{ID: fmt.Sprint(i), Service: "s", Version: "v1", Slots: 1}
				if ordered && i%2 == 1 {
					t.Version = "v2"
				}
				v.Targets[t.ID] = t
				targets = append(targets, t)
			}
			if ordered {
				v.Orders["s"] = &site.Order{Service: "s", To: "v2", Duration: time.Minute}
			}
			g.Sync(v, 0, simulatedStart)
			for b.Loop() {
				g.Permit("s", true, targets)
			}
		})
	}
}
