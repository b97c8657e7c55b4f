package canary

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/baobabdyke/baobabdyke/internal/fleet/site"
	"github.com/baobabdyke/baobabdyke/internal/fleet/source"
)

// A gateTest is a gate with targets of some versions of one service.
type gateTest struct {
	*Gate
	t    *testing.T
	now  time.Time
	view *source.View
	all  []*site.Target
}

// newGateTest returns a gate with three targets of each version.
func newGateTest(t *testing.T, versions ...string) *gateTest {
	t.Helper()
	g := &gateTest{
		Gate: NewGate(Options{VM: "vm", Share: func() float64 { return 0.1 }}), t: t, now: simulatedStart,
		view: &source.View{Targets: map[string]*site.Target{}, Orders: map[string]*site.Order{}},
	}
	for _, v := range versions {
		g.list(v)
	}
	g.sync(0)
	return g
}

func (g *gateTest) list(version string) {
	for i := range 3 {
		t := &site.Target{ID: fmt.Sprintf("%s-%d", version, i), Service: "s", Version: version, Slots: 1}
		g.view.Targets[t.ID] = t
		g.all = append(g.all, t)
	}
}

func (g *gateTest) unlist(version string) {
	for i := range 3 {
		delete(g.view.Targets, fmt.Sprintf("%s-%d", version, i))
	}
}

func (g *gateTest) order(to string) {
	g.view.Orders["s"] = &site.Order{Service: "s", To: to, Duration: time.Minute}
}

// sync lets a second pass with orders that were read ordersAge ago.
func (g *gateTest) sync(ordersAge time.Duration) {
	g.now = g.now.Add(time.Second)
	g.Sync(g.view, ordersAge, g.now)
}

// sent returns how many of some requests may go to each version.
func (g *gateTest) sent(requests int) map[string]int {
	out := map[string]int{}
	for range requests {
		seen := map[string]bool{}
		for i, p := range g.Permit("s", true, g.all) {
			if p == Allowed && !seen[g.all[i].Version] {
				seen[g.all[i].Version] = true
				out[g.all[i].Version]++
			}
		}
	}
	return out
}

// TestVersionWithoutOrder guards against targets that get requests before the order that
// they are started for is known, and against an ordinary release that gets none.
func TestVersionWithoutOrder(t *testing.T) {
	t.Run("a new version waits until the orders were read after it", func(t *testing.T) {
		g := newGateTest(t, "v1")
		g.list("v2")
		for i := range 10 {
			g.sync(time.Duration(i+1) * time.Second)
		}
		must.Eq(t, map[string]int{"v1": 100}, g.sent(100))
		g.sync(0)
		must.Eq(t, map[string]int{"v1": 100, "v2": 100}, g.sent(100))
	})
	t.Run("an order that is read in time restricts it", func(t *testing.T) {
		g := newGateTest(t, "v1")
		g.list("v2")
		g.sync(0)
		g.order("v2")
		g.sync(0)
		must.Between(t, 50, g.sent(1000)["v2"], 70)
	})
	t.Run("a version is used at once if there is no other", func(t *testing.T) {
		g := newGateTest(t, "v1")
		g.unlist("v1")
		g.list("v2")
		g.sync(time.Hour)
		must.Eq(t, 100, g.sent(100)["v2"])
	})
	t.Run("a VM that starts uses all versions but the ordered one", func(t *testing.T) {
		g := newGateTest(t)
		g.list("v1")
		g.list("v2")
		g.list("v3")
		g.order("v3")
		g.sync(0)
		got := g.sent(1000)
		must.Eq(t, got["v1"], got["v2"])
		must.Between(t, 50, got["v3"], 70)
	})
	t.Run("an ordinary release after a completed order goes on", func(t *testing.T) {
		g := newGateTest(t, "v1", "v2")
		g.order("v2")
		g.view.Orders["s"].Status = site.OrderStatus{State: site.OrderCompleted, To: "v2"}
		g.sync(0)
		must.Eq(t, map[string]int{"v2": 100}, g.sent(100))
		g.list("v3")
		for range 4 {
			g.sync(0)
		}
		got := g.sent(100)
		must.Eq(t, 100, got["v3"])
		must.Zero(t, got["v1"])
	})
}

// TestOrderedVersionThatIsInUse guards against an outage by an order for the only version.
func TestOrderedVersionThatIsInUse(t *testing.T) {
	g := newGateTest(t, "v1")
	g.order("v1")
	g.sync(0)
	must.Eq(t, map[string]int{"v1": 100}, g.sent(100))
}

// TestWatchedTargetsAreFew guards against requests that are spread so thin over the new
// targets that faults under load do not show, and against VMs that choose different ones.
func TestWatchedTargetsAreFew(t *testing.T) {
	chosen := map[string]int{}
	for vm := range 5 {
		g := newGateTest(t, "v1")
		g.opts.VM = fmt.Sprint(vm)
		g.list("v2")
		g.order("v2")
		g.sync(0)
		for range 200 {
			for i, p := range g.Permit("s", true, g.all) {
				if p == Allowed && g.all[i].Version == "v2" {
					chosen[g.all[i].ID]++
				}
			}
		}
	}
	must.MapLen(t, 1, chosen)
}

// TestRepeatedRequestsCount guards against retries at the new version that are not counted
// as sent to it, or that add to its share.
func TestRepeatedRequestsCount(t *testing.T) {
	g := newGateTest(t, "v1")
	g.list("v2")
	g.order("v2")
	g.sync(0)
	sent := 0
	for i := range 3000 {
		for k, p := range g.Permit("s", i%3 == 0, g.all) {
			if p == Allowed && g.all[k].Version == "v2" {
				sent++
			}
		}
	}
	must.Between(t, 50, sent, 61)
}

// TestReportsAreAmounts guards against counts that change when an update is repeated or
// lost, or when a VM starts again.
func TestReportsAreAmounts(t *testing.T) {
	g := newGateTest(t, "v1")
	g.list("v2")
	g.order("v2")
	g.sync(0)
	report := func(answers, failures int64) []Report {
		return []Report{{Service: "s", Order: orderID(g.view.Orders["s"]), Round: 1, Routes: []RouteCounts{{
			Route: "a", New: Counts{Answers: answers, Failures: failures}, Periods: []Period{{1, failures}},
		}}}}
	}
	assertTotal := func(answers, failures int64) {
		t.Helper()
		p, _ := g.progress("s", g.now)
		must.Eq(t, Counts{Answers: answers, Failures: failures}, p.total.New)
	}
	g.Merge("b", 1, report(10, 1), g.now)
	g.Merge("b", 1, report(10, 1), g.now)
	assertTotal(10, 1)
	g.Merge("b", 1, report(30, 2), g.now)
	assertTotal(30, 2)
	g.Merge("b", 2, report(5, 0), g.now)
	assertTotal(35, 2)
	g.Merge("b", 2, report(6, 1), g.now)
	assertTotal(36, 3)
}

// TestLaterRoundBeginsAnew guards against an order that is given again and ends at once, as
// the one before.
func TestLaterRoundBeginsAnew(t *testing.T) {
	g := newGateTest(t, "v1")
	g.list("v2")
	g.order("v2")
	g.sync(0)
	id := orderID(g.view.Orders["s"])
	stage := func() Stage {
		p, _ := g.progress("s", g.now)
		return p.stage
	}
	g.Merge("b", 1, []Report{{Service: "s", Order: id, Round: 1, Stage: RolledBack}}, g.now)
	must.Eq(t, RolledBack, stage())
	must.Zero(t, g.sent(100)["v2"])
	g.Merge("c", 1, []Report{{Service: "s", Order: id, Round: 2}}, g.now)
	must.Eq(t, Watching, stage())
	g.Merge("b", 1, []Report{{Service: "s", Order: id, Round: 1, Stage: RolledBack}}, g.now)
	must.Eq(t, Watching, stage())
	must.Positive(t, g.sent(100)["v2"])
}

// TestEndIsReadFromStore guards against a VM that hears of no other one and goes on with
// targets that have stopped.
func TestEndIsReadFromStore(t *testing.T) {
	g := newGateTest(t, "v1")
	g.list("v2")
	g.order("v2")
	g.sync(0)
	done := *g.view.Orders["s"]
	done.Status = site.OrderStatus{State: site.OrderCompleted, To: "v2"}
	g.view.Orders["s"] = &done
	g.sync(0)
	must.Eq(t, map[string]int{"v2": 100}, g.sent(100))
}

// TestStopIsPassedOn guards against a VM that goes on with a version that another one has
// found to be bad.
func TestStopIsPassedOn(t *testing.T) {
	g := newGateTest(t, "v1")
	g.list("v2")
	g.order("v2")
	g.sync(0)
	id := orderID(g.view.Orders["s"])
	g.Merge("b", 1, []Report{{Service: "s", Order: id, Stopped: true}}, g.now)
	must.Eq(t, map[string]int{"v1": 100}, g.sent(100))
	must.True(t, g.Reports(g.now)[0].Stopped)
	p, _ := g.progress("s", g.now)
	must.Eq(t, RolledBack, plan(p.situation).stage)
}
