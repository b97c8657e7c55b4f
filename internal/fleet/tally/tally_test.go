package tally

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

var epoch = time.Unix(1000, 0)

// report returns what a VM has admitted of one customer.
func report(born, spent int64) Report {
	return Report{Born: born, Spent: map[string]int64{"c": spent}}
}

// TestAmountsCountOnce checks that what a VM admits is in the total of the fleet once,
// whichever relays it reports to and whoever starts again.
func TestAmountsCountOnce(t *testing.T) {
	for _, c := range []struct {
		name string
		play func(a, b *Tally)
		want int64
	}{
		{"growing amount", func(a, _ *Tally) {
			a.Record("vm", report(1, 10), epoch)
			a.Record("vm", report(1, 25), epoch.Add(Period))
		}, 15},
		{"same report again", func(a, _ *Tally) {
			a.Record("vm", report(1, 10), epoch)
			a.Record("vm", report(1, 25), epoch.Add(Period))
			a.Record("vm", report(1, 25), epoch.Add(2*Period))
		}, 15},
		{"VM that starts again", func(a, _ *Tally) {
			a.Record("vm", report(1, 10), epoch)
			a.Record("vm", report(2, 7), epoch.Add(Period))
		}, 7},
		{"VM that returns from another relay", func(a, b *Tally) {
			a.Record("vm", report(1, 10), epoch)
			b.Record("vm", report(1, 10), epoch.Add(Period))
			b.Record("vm", report(1, 30), epoch.Add(5*Period))
			a.Record("b", b.Group(epoch.Add(5*Period)), epoch.Add(5*Period))
			a.Record("vm", report(1, 34), epoch.Add(6*Period))
			a.Record("vm", report(1, 35), epoch.Add(7*Period))
		}, 1},
		{"other relay that starts again", func(a, _ *Tally) {
			a.Record("b", Report{Born: 1, Spent: map[string]int64{"c": 50}, VMs: 3}, epoch)
			a.Record("b", Report{Born: 1, Spent: map[string]int64{"c": 70}, VMs: 3}, epoch.Add(Period))
			a.Record("b", Report{Born: 2, Spent: map[string]int64{"c": 4}, VMs: 3}, epoch.Add(2*Period))
		}, 24},
		{"refund", func(a, _ *Tally) {
			a.Record("vm", report(1, 10), epoch)
			a.Record("vm", report(1, 30), epoch.Add(Period))
			a.Record("vm", report(1, 22), epoch.Add(2*Period))
		}, 12},
	} {
		t.Run(c.name, func(t *testing.T) {
			a, b := NewTally(1), NewTally(1)
			c.play(a, b)
			must.Eq(t, c.want, a.Fleet(epoch).Spent["c"])
		})
	}
}

// TestNoAmountIsLost guards against amounts that are in no total because the VM's reports were
// lost for a while or went to another relay meanwhile, and against those of a long time that
// become a debt of the customer.
func TestNoAmountIsLost(t *testing.T) {
	// sent is a report of a VM to a relay, whose response is lost if the relay is not answered.
	type sent struct {
		relay    string
		spent    int64
		after    time.Duration
		answered bool
	}
	for _, c := range []struct {
		name    string
		reports []sent
		want    int64
	}{
		{"a gap", []sent{{"a", 10, 0, true}, {"a", 100, 5 * Period, true}}, 90},
		{"another relay", []sent{{"a", 10, 0, true}, {"b", 100, 5 * Period, true}}, 90},
		{"another relay and back", []sent{{"a", 10, 0, true}, {"b", 70, 5 * Period, true}, {"a", 100, 9 * Period, true}}, 90},
		{"another relay and back soon", []sent{{"a", 10, 0, true}, {"b", 70, Period, true}, {"a", 100, 2 * Period, true}}, 90},
		{"a response is lost", []sent{{"a", 10, 0, true}, {"a", 70, Period, false}, {"a", 100, 2 * Period, true}}, 90},
		{"a response is lost and there is a gap", []sent{{"a", 10, 0, true}, {"a", 70, Period, false}, {"a", 100, 9 * Period, true}}, 90},
		{"a fleet that was small", []sent{{"a", 1_000_000, 0, true}, {"a", 1_000_090, Period, true}}, 90},
		{"a VM that was away for long", []sent{{"a", 10, 0, true}, {"a", 20, Period, true}, {"b", 1_000_000, time.Minute, true}, {"b", 1_000_080, time.Minute + Period, true}}, 90},
		{"a VM that was away for long and returns", []sent{{"a", 10, 0, true}, {"a", 1_000_000, time.Minute, true}, {"a", 1_000_090, time.Minute + Period, true}}, 90},
	} {
		t.Run(c.name, func(t *testing.T) {
			relays := map[string]*Tally{"a": NewTally(1), "b": NewTally(2)}
			var sender Sender
			for _, s := range c.reports {
				r, relay := sender.Complete(report(7, s.spent), s.relay, epoch.Add(s.after)), relays[s.relay]
				relay.Record("vm", r, epoch.Add(s.after))
				if s.answered {
					sender.Acknowledge(r, s.relay, relay.born, epoch.Add(s.after))
				}
			}
			must.Eq(t, c.want, relays["a"].group["c"]+relays["b"].group["c"])
		})
	}
	t.Run("a report that was held up", func(t *testing.T) {
		a := NewTally(1)
		var sender Sender
		first, early, late := sender.Complete(report(7, 5), "a", epoch), sender.Complete(report(7, 10), "a", epoch), sender.Complete(report(7, 30), "a", epoch)
		a.Record("vm", first, epoch)
		a.Record("vm", late, epoch)
		a.Record("vm", early, epoch.Add(Period))
		must.Eq(t, 25, a.Fleet(epoch.Add(Period)).Spent["c"])
	})
}

// TestSilentVMsAreNotCounted checks the number of VMs whose amounts are in a total.
func TestSilentVMsAreNotCounted(t *testing.T) {
	a := NewTally(1)
	a.Record("vm-1", report(1, 1), epoch)
	a.Record("vm-2", report(1, 1), epoch.Add(2*Period))
	a.Record("b", Report{Born: 1, VMs: 40}, epoch.Add(2*Period))
	must.Eq(t, 42, a.Fleet(epoch.Add(2*Period)).VMs)
	must.Eq(t, 41, a.Fleet(epoch.Add(4*Period)).VMs)
	must.Eq(t, 0, a.Fleet(epoch.Add(6*Period)).VMs)
}
