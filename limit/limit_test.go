package limit_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/baobabdyke/baobabdyke/config"
	"github.com/baobabdyke/baobabdyke/internal/seed"
	"github.com/baobabdyke/baobabdyke/limit"
)

var hakataRate = config.Rate{Requests: 80, RequestBurst: 160, Tokens: 8000, TokenBurst: 16000}

func oneCustomer(r config.Rate) *config.Config {
	return &config.Config{Version: 1, Customers: []config.Customer{{Name: "hakata", Rate: r}}}
}

// settledFleet returns a fleet whose slots are all held and active, with full
// buckets.
func settledFleet(size int, r config.Rate) *fleet {
	f := newFleet(size, limit.Layout{Shards: 1, Slots: 8}, oneCustomer(r), seed.Value())
	f.Advance(20 * time.Second)
	return f
}

// decide reserves a cost on a VM and returns the decision.
func decide(f *fleet, n *node, c limit.Cost) limit.Decision {
	var decision limit.Decision
	n.reserve("hakata", c, func(d limit.Decision, _ int) { decision = d })
	f.Advance(200 * time.Millisecond)
	return decision
}

func mustAdmit(t *testing.T, d limit.Decision) limit.Reservation {
	t.Helper()
	a, ok := d.(limit.Admitted)
	must.True(t, ok, must.Sprintf("got %#v", d))
	return a.Reservation
}

func mustRefuse(t *testing.T, d limit.Decision) time.Duration {
	t.Helper()
	r, ok := d.(limit.Refused)
	must.True(t, ok, must.Sprintf("got %#v", d))
	must.Positive(t, r.RetryAfter)
	return r.RetryAfter
}

func mustNotExceedLimits(t *testing.T, f *fleet) {
	t.Helper()
	count, worst := f.violations()
	must.Zero(t, count, must.Sprintf("over-admission by up to %v", worst))
}

func TestReserve(t *testing.T) {
	t.Run("a request larger than a share gathers tokens from other VMs", func(t *testing.T) {
		f := settledFleet(8, hakataRate)
		mustAdmit(t, decide(f, f.nodes[0], limit.Cost{Requests: 1, Tokens: 15000}))
		mustRefuse(t, decide(f, f.nodes[1], limit.Cost{Requests: 1, Tokens: 15000}))
		mustNotExceedLimits(t, f)
	})
	t.Run("a request of exactly the burst is admitted", func(t *testing.T) {
		for _, requests := range []float64{1, 100} {
			rate := config.Rate{Requests: 1, RequestBurst: requests, Tokens: 3333, TokenBurst: 9999}
			f := newFleet(3, limit.Layout{Shards: 1, Slots: 7}, oneCustomer(rate), seed.Value())
			f.Advance(20 * time.Second)
			mustAdmit(t, decide(f, f.nodes[0], limit.Cost{Requests: 1, Tokens: 9999}))
			mustNotExceedLimits(t, f)
		}
	})
	t.Run("a request above the burst is never admitted", func(t *testing.T) {
		f := settledFleet(3, hakataRate)
		d := decide(f, f.nodes[0], limit.Cost{Requests: 1, Tokens: 16001})
		must.Eq[limit.Decision](t, limit.TooLarge{Burst: limit.Cost{Requests: 160, Tokens: 16000}}, d)
	})
	t.Run("an unknown customer is refused", func(t *testing.T) {
		f := settledFleet(1, hakataRate)
		f.nodes[0].reserve("nobody", limit.Cost{Requests: 1}, func(d limit.Decision, _ int) { mustRefuse(t, d) })
	})
	t.Run("a refused request is admitted after its retry-after time", func(t *testing.T) {
		f := settledFleet(8, hakataRate)
		mustAdmit(t, decide(f, f.nodes[0], limit.Cost{Requests: 1, Tokens: 15900}))
		after := mustRefuse(t, decide(f, f.nodes[0], limit.Cost{Requests: 1, Tokens: 8000}))
		f.Advance(after + 50*time.Millisecond)
		mustAdmit(t, decide(f, f.nodes[0], limit.Cost{Requests: 1, Tokens: 8000}))
		mustNotExceedLimits(t, f)
	})
}

// within returns a function that reserves tokens on a VM and returns the
// decision made within d, or nil if there is none.
func within(f *fleet, d time.Duration) func(n *node, tokens float64) limit.Decision {
	return func(n *node, tokens float64) limit.Decision {
		var decision limit.Decision
		n.reserve("hakata", limit.Cost{Requests: 1, Tokens: tokens}, func(d limit.Decision, _ int) { decision = d })
		f.Advance(d)
		return decision
	}
}

// settle settles a reservation. All earlier requests of the fleet must have been
// admitted, because its ID is used as the number of the admission.
func settle(f *fleet, n *node, r limit.Reservation, tokens float64) {
	used := limit.Cost{Requests: 1, Tokens: tokens}
	f.oracles["hakata"].settle(int(r.ID)-1, used)
	n.step(limit.Settle{Reservation: r, Used: used})
}

func TestTransfers(t *testing.T) {
	t.Run("room freed by a gather is not refilled for the past", func(t *testing.T) {
		f := settledFleet(2, hakataRate)
		f.nodes[1].paused = true
		within(f, 35*time.Millisecond)(f.nodes[0], 16000)
		f.nodes[1].resume()
		f.Advance(2 * time.Millisecond)
		must.Eq(t, 1, len(f.oracles["hakata"].admissions))
		mustRefuse(t, within(f, 0)(f.nodes[0], 100))
	})
	t.Run("a sender does not refill tokens in transit", func(t *testing.T) {
		f := settledFleet(2, hakataRate)
		f.latency = 15 * time.Millisecond
		mustAdmit(t, within(f, 31*time.Millisecond)(f.nodes[0], 16000))
		must.Nil(t, within(f, 0)(f.nodes[1], 50))
	})
	t.Run("a transfer that arrives late is dropped", func(t *testing.T) {
		f := settledFleet(2, hakataRate)
		n := f.nodes[0]
		n.reserve("hakata", limit.Cost{Requests: 1, Tokens: 9000}, func(d limit.Decision, _ int) { mustRefuse(t, d) })
		n.paused = true
		f.Advance(time.Second)
		n.resume()
		mustNotExceedLimits(t, f)
		must.Eq(t, int64(1), n.s.Dump(f.Now()).Counts.Late)
		must.Eq(t, 8000, n.s.Dump(f.Now()).Accounts[0].Level.Tokens)
	})
	t.Run("a transfer that expires during a gather is not spent", func(t *testing.T) {
		f := newFleet(3, limit.Layout{Shards: 1, Slots: 6}, oneCustomer(hakataRate), seed.Value())
		f.Advance(20 * time.Second)
		n, second := f.nodes[0], f.nodes[1]
		second.step(limit.TransferRequested{From: "vm99", Request: limit.TransferRequest{ID: 1, Customer: "hakata", Need: limit.Cost{Tokens: 3000}}})
		n.reserve("hakata", limit.Cost{Requests: 1, Tokens: 12000}, func(d limit.Decision, _ int) { mustRefuse(t, d) })
		f.Advance(3 * time.Millisecond)
		must.Eq(t, int64(3), n.s.Dump(f.Now()).Counts.TransferRequests)
		n.paused = true
		f.Advance(198 * time.Millisecond)
		n.resume()
		f.Advance(time.Second)
		mustNotExceedLimits(t, f)
	})
	t.Run("a return is capped by the transfer and counts once", func(t *testing.T) {
		f := settledFleet(2, hakataRate)
		n := f.nodes[0]
		mustAdmit(t, within(f, 0)(n, 900))
		for id := uint64(7); id <= 8; id++ {
			n.step(limit.TransferRequested{From: "vm02", Request: limit.TransferRequest{ID: id, Customer: "hakata", Need: limit.Cost{Tokens: 2000}}})
		}
		for range 3 {
			n.step(limit.TransferReturned{From: "vm02", Return: limit.TransferReturn{ID: 7, Customer: "hakata", Amount: limit.Cost{Tokens: 3000}}})
			n.step(limit.TransferReturned{From: "vm02", Return: limit.TransferReturn{ID: 8, Customer: "hakata", Amount: limit.Cost{Tokens: 500}}})
		}
		must.Eq(t, 5600, n.s.Dump(f.Now()).Accounts[0].Level.Tokens)
	})
	t.Run("unused tokens are refunded to the VMs that transferred them", func(t *testing.T) {
		f := settledFleet(4, hakataRate)
		var admitted limit.Decision
		f.nodes[0].reserve("hakata", limit.Cost{Requests: 1, Tokens: 16000}, func(d limit.Decision, _ int) { admitted = d })
		f.Advance(10 * time.Millisecond)
		settle(f, f.nodes[0], mustAdmit(t, admitted), 1000)
		f.Advance(10 * time.Millisecond)
		mustAdmit(t, decide(f, f.nodes[1], limit.Cost{Requests: 1, Tokens: 15000}))
		mustNotExceedLimits(t, f)
	})
	t.Run("a transfer larger than requested does not raise the level above the cap", func(t *testing.T) {
		f := settledFleet(2, hakataRate)
		n := f.nodes[0]
		n.paused = true
		n.s.Step(limit.Reserve{ID: 99, Customer: "hakata", Cost: limit.Cost{Tokens: 9000}}, f.Now())
		first := uint64(1)<<32 + 1
		n.s.Step(limit.TransferResult{ID: first, Transfer: limit.Transfer{ID: first, Given: limit.Cost{Tokens: 1e6}, Holder: true}}, f.Now())
		must.LessEq(t, 8000, n.s.Dump(f.Now()).Accounts[0].Level.Tokens)
	})
}

func TestFlood(t *testing.T) {
	f := settledFleet(4, hakataRate)
	for i := range 60 * 100 {
		within(f, 10*time.Millisecond)(f.nodes[i%4], 400)
	}
	mustNotExceedLimits(t, f)
	admitted := float64(len(f.oracles["hakata"].admissions)) * 400
	must.GreaterEq(t, 0.99*(16000+60*8000), admitted)
}

func TestRefund(t *testing.T) {
	f := settledFleet(1, hakataRate)
	n := f.nodes[0]
	all := limit.Cost{Requests: 1, Tokens: 16000}
	first := mustAdmit(t, decide(f, n, all))
	settle(f, n, first, 1000)
	second := mustAdmit(t, decide(f, n, limit.Cost{Requests: 1, Tokens: 15000}))
	f.Advance(5 * time.Second)
	third := mustAdmit(t, decide(f, n, all))
	settle(f, n, second, 0)
	mustRefuse(t, within(f, 0)(n, 5000))

	f.Advance(time.Second - 200*time.Millisecond)
	mustAdmit(t, decide(f, n, limit.Cost{Requests: 1, Tokens: 7900}))
	settle(f, n, third, 0)
	mustRefuse(t, within(f, 0)(n, 12000))
	mustNotExceedLimits(t, f)
}

func TestRateChange(t *testing.T) {
	f := settledFleet(2, hakataRate)
	doubleRate := config.Rate{Requests: 160, RequestBurst: 320, Tokens: 16000, TokenBurst: 32000}
	patch := func(version int64, customers ...config.Customer) {
		for _, n := range f.nodes {
			n.configure(config.NewView(&config.Config{Version: version, Customers: customers}))
		}
	}
	patch(2, config.Customer{Name: "hakata", Rate: doubleRate}, config.Customer{Name: "saldo", Rate: doubleRate})
	mustRefuse(t, decide(f, f.nodes[0], limit.Cost{Requests: 1, Tokens: 25000}))
	f.nodes[0].reserve("saldo", limit.Cost{Requests: 1, Tokens: 12000}, func(d limit.Decision, _ int) { mustRefuse(t, d) })
	f.Advance(2 * time.Second)
	mustAdmit(t, decide(f, f.nodes[0], limit.Cost{Requests: 1, Tokens: 25000}))
	patch(3, config.Customer{Name: "hakata", Rate: hakataRate})
	must.Eq[limit.Decision](t, limit.TooLarge{Burst: limit.Cost{Requests: 160, Tokens: 16000}},
		decide(f, f.nodes[0], limit.Cost{Requests: 1, Tokens: 25000}))
	patch(2, config.Customer{Name: "hakata", Rate: doubleRate})
	must.Eq(t, 8000, f.nodes[0].s.Dump(f.Now()).Accounts[0].Cap.Tokens)
	mustNotExceedLimits(t, f)
}
