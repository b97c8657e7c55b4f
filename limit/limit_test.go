package limit_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/baobabdyke/baobabdyke/config"
	"github.com/baobabdyke/baobabdyke/internal/seed"
	"github.com/baobabdyke/baobabdyke/limit"
)

var hakata = config.Rate{Requests: 80, RequestBurst: 160, Tokens: 8000, TokenBurst: 16000}

func oneCustomer(r config.Rate) *config.Config {
	return &config.Config{Version: 1, Customers: []config.Customer{{Name: "hakata", Rate: r}}}
}

// settledFleet returns a fleet whose slots are held and whose buckets are full.
func settledFleet(size int, r config.Rate) *fleet {
	f := newFleet(size, limit.Layout{Shards: 1, Slots: 8}, oneCustomer(r), seed.Value())
	f.run(20 * time.Second)
	return f
}

// decide returns the decision on a request, once it is there.
func decide(f *fleet, n *node, c limit.Cost) limit.Decision {
	var decision limit.Decision
	n.reserve("hakata", c, func(d limit.Decision, _ int) { decision = d })
	f.run(200 * time.Millisecond)
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

func mustHold(t *testing.T, f *fleet) {
	t.Helper()
	count, worst := f.violations()
	must.Zero(t, count, must.Sprintf("over-admission by up to %v", worst))
}

func TestReserve(t *testing.T) {
	t.Run("a request larger than a share gathers from other VMs", func(t *testing.T) {
		f := settledFleet(8, hakata)
		mustAdmit(t, decide(f, f.nodes[0], limit.Cost{Requests: 1, Tokens: 15000}))
		mustRefuse(t, decide(f, f.nodes[1], limit.Cost{Requests: 1, Tokens: 15000}))
		mustHold(t, f)
	})
	t.Run("a request above the burst is never admitted", func(t *testing.T) {
		f := settledFleet(3, hakata)
		d := decide(f, f.nodes[0], limit.Cost{Requests: 1, Tokens: 16001})
		must.Eq[limit.Decision](t, limit.TooLarge{Burst: limit.Cost{Requests: 160, Tokens: 16000}}, d)
	})
	t.Run("an unknown customer is refused", func(t *testing.T) {
		f := settledFleet(1, hakata)
		f.nodes[0].reserve("nobody", limit.Cost{Requests: 1}, func(d limit.Decision, _ int) { mustRefuse(t, d) })
	})
	t.Run("retry after the refusal is admitted", func(t *testing.T) {
		f := settledFleet(8, hakata)
		mustAdmit(t, decide(f, f.nodes[0], limit.Cost{Requests: 1, Tokens: 15900}))
		after := mustRefuse(t, decide(f, f.nodes[0], limit.Cost{Requests: 1, Tokens: 8000}))
		f.run(after + 50*time.Millisecond)
		mustAdmit(t, decide(f, f.nodes[0], limit.Cost{Requests: 1, Tokens: 8000}))
		mustHold(t, f)
	})
}
