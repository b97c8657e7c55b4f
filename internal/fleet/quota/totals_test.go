package quota

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/baobabdyke/baobabdyke/internal/fleet/site"
	"github.com/baobabdyke/baobabdyke/internal/fleet/tally"
)

// A totalsVM is one VM of a fleet of 100 that gets totals from relays.
type totalsVM struct {
	*State
	customer *site.Customer
	now      time.Time
	total    map[string]int64
}

// newTotalsVM returns a VM whose bucket, of a rate of 1,000, is full.
func newTotalsVM(burst float64) *totalsVM {
	v := &totalsVM{State: NewState(), customer: customerOf(1000, burst), now: epoch, total: map[string]int64{}}
	v.AddCustomers([]site.Customer{*v.customer}, v.now)
	for i := range 99 {
		v.UpdatePeer(Update{VM: name(i), Born: 1}, v.now)
	}
	for range 40 {
		v.exchange("relay", 0)
	}
	return v
}

// exchange lets a period pass and gets the totals of a relay, by which the others have
// admitted an amount.
func (v *totalsVM) exchange(relay string, others int64) {
	v.now = v.now.Add(tally.Period)
	for i := range 99 {
		v.UpdatePeer(Update{VM: name(i), Born: 1}, v.now)
	}
	own := v.Report()
	v.total[relay] += others
	v.UpdateTotals(relay, tally.Report{Born: 1, Spent: map[string]int64{"c": v.total[relay] + own.Spent["c"]}, VMs: 100}, own, v.now, v.now)
}

func (v *totalsVM) level() float64 { return v.levelByTotals("c", v.bucket(v.customer, v.now)) }

// TestLevelByTotals checks what a VM believes about a customer's bucket.
func TestLevelByTotals(t *testing.T) {
	// refill is what the bucket gains in a period.
	const refill = 1000 * 0.4 * (1 - driftReserve)
	for _, c := range []struct {
		name string
		play func(v *totalsVM)
		want float64
	}{
		{"full", func(*totalsVM) {}, 10_000},
		{"amount of the others", func(v *totalsVM) { v.exchange("relay", 4000) }, 10_000 - 4000},
		{"own amount counts at once", func(v *totalsVM) { v.Admit(v.customer, 3000, v.now) }, 7000},
		{"own amount counts once", func(v *totalsVM) {
			v.Admit(v.customer, 3000, v.now)
			v.exchange("relay", 0)
		}, 7000 + refill},
		{"refund", func(v *totalsVM) {
			v.Admit(v.customer, 3000, v.now)
			v.Refund(v.customer, 3000)
		}, 10_000},
		{"another relay, whose total says nothing of the time before", func(v *totalsVM) {
			v.exchange("another", 70_000)
			v.exchange("another", 4000)
		}, 10_000 - 4000},
	} {
		t.Run(c.name, func(t *testing.T) {
			v := newTotalsVM(10_000)
			c.play(v)
			must.InDelta(t, c.want, v.level(), 1)
		})
	}
}

// TestTotalsFromBeforePauseAreOld guards against a VM that was paused and admits requests by
// totals that it had asked for before.
func TestTotalsFromBeforePauseAreOld(t *testing.T) {
	v := newTotalsVM(10_000)
	sent, own := v.now, v.Report()
	v.now = v.now.Add(5 * time.Second)
	v.UpdateTotals("relay", tally.Report{Born: 1, Spent: v.total, VMs: 100}, own, sent, v.now)
	must.False(t, v.knowsTotals(v.now))
	v.exchange("relay", 0)
	must.True(t, v.knowsTotals(v.now))
}

// TestNewCustomerOfOldRelay guards against a customer that is refused for minutes on a VM
// that learns of it late, since what it has spent before counts at once.
func TestNewCustomerOfOldRelay(t *testing.T) {
	v := newTotalsVM(10_000)
	v.total["late"] = 1_000_000
	late := &site.Customer{Name: "late", Rate: 1000, Burst: 10_000, ByTokens: true}
	v.bucket(late, v.now)
	for range 30 {
		v.now = v.now.Add(tally.Period)
		own := v.Report()
		v.UpdateTotals("relay", tally.Report{Born: 1, Spent: map[string]int64{"late": 1_000_000}, VMs: 100}, own, v.now, v.now)
	}
	must.True(t, v.Admit(late, 500, v.now).Admitted)
}

// TestCutOffGroupHasItsShareOfRate checks that VMs whose totals contain half of the fleet
// get half of the rate, since the other half may be alive beyond a cut.
func TestCutOffGroupHasItsShareOfRate(t *testing.T) {
	v := newTotalsVM(10_000)
	v.exchange("relay", 10_000)
	before := v.level()
	for range 10 {
		v.now = v.now.Add(tally.Period)
		v.UpdateTotals("relay", tally.Report{Born: 1, Spent: map[string]int64{"c": v.total["relay"]}, VMs: 50}, v.Report(), v.now, v.now)
	}
	// The first period passes before the cut is known.
	must.InDelta(t, before+400+9*200, v.level(), 30)
}

// TestLostRelayDelaysNoCustomer guards against a customer within its rate that is refused for
// seconds because the VM's relay is lost, since others then count as spending the rate or
// more for the time without totals.
func TestLostRelayDelaysNoCustomer(t *testing.T) {
	v := newTotalsVM(1000)
	for range 30 {
		v.exchange("relay", 320)
	}
	v.now = v.now.Add(3 * tally.Period)
	v.exchange("another", 0)
	must.GreaterEq(t, 500, v.level())
}

// TestLostRelayKeepsLimit checks that a customer far over its rate gains nothing when the
// VM's relay is lost.
func TestLostRelayKeepsLimit(t *testing.T) {
	v := newTotalsVM(10_000)
	for range 10 {
		v.exchange("relay", 1600)
	}
	before := v.level()
	v.now = v.now.Add(3 * tally.Period)
	v.exchange("another", 0)
	must.Less(t, before, v.level())
}

// TestReturnedGroupOwesNothing guards against a customer that is refused for seconds after a cut
// because what the other side has admitted of its own share counts as a debt, once it is in the
// totals again.
func TestReturnedGroupOwesNothing(t *testing.T) {
	for name, c := range map[string]struct {
		others int64
		want   float64
	}{
		"the other side used its share":      {others: 7000, want: 5000},
		"the other side used nothing":        {others: 0, want: 5000 + 400},
		"the other side used more than that": {others: 20_000, want: 5000 - 20_000 + 12_000},
	} {
		t.Run(name, func(t *testing.T) {
			v := newTotalsVM(10_000)
			apart := func() {
				v.now = v.now.Add(tally.Period)
				v.UpdateTotals("relay", tally.Report{Born: 1, Spent: map[string]int64{"c": v.total["relay"]}, VMs: 50}, v.Report(), v.now, v.now)
			}
			for range 35 {
				apart()
			}
			// A bucket of half the burst has been full for 14 s.
			must.InDelta(t, 5000, v.level(), 1)
			v.exchange("relay", c.others)
			must.InDelta(t, c.want, v.level(), 500)
		})
	}
}

// TestVMAdoptsLevelOfRelay guards against VMs that do not know of a customer's debt because they
// changed relays while it grew.
func TestVMAdoptsLevelOfRelay(t *testing.T) {
	v := newTotalsVM(10_000)
	v.now = v.now.Add(tally.Period)
	v.UpdateTotals("another", tally.Report{Born: 2, VMs: 100, Levels: map[string]int64{"c": -25_000}}, v.Report(), v.now, v.now)
	must.InDelta(t, -25_000, v.level(), 1)
	must.False(t, v.Admit(v.customer, 10, v.now).Admitted)

	relay := newTotalsVM(10_000)
	relay.exchange("relay", 4000)
	before := relay.level()
	// The relay has counted more since the totals that it applied itself.
	levels := relay.Levels("relay", tally.Report{Born: 1, Spent: map[string]int64{"c": relay.total["relay"] + 3000}}, relay.now)
	must.InDelta(t, before-3000, float64(levels["c"]), 1)
	must.MapEmpty(t, relay.Levels("another", tally.Report{Born: 1}, relay.now))
}
