package retry

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestBudget simulates eight VMs whose targets fail every request, and checks the
// fleet-wide limit over every window.
func TestBudget(t *testing.T) {
	const vms = 8
	l := Limits{Ratio: 0.2, Slack: 56, Window: 10 * time.Second}
	budgets := make([]*Budget, vms)
	for i := range budgets {
		budgets[i] = NewBudget(l)
	}
	now := time.Unix(0, 0)
	var requests, retries []time.Time
	for step := range 6000 {
		now = now.Add(10 * time.Millisecond)
		b := budgets[step%vms]
		b.Earn("s", now)
		requests = append(requests, now)
		if b.Spend("s", vms, now) {
			retries = append(retries, now)
		}
	}
	for i := range retries {
		end := retries[i].Add(l.Window)
		must.LessEq(t, l.Ratio*float64(within(requests, retries[i], end))+l.Slack, float64(within(retries, retries[i], end)))
	}
	must.Greater(t, 50, len(retries))
}

func within(all []time.Time, from, to time.Time) int {
	n := 0
	for _, at := range all {
		if !at.Before(from) && at.Before(to) {
			n++
		}
	}
	return n
}

func TestBudgetStartsEmpty(t *testing.T) {
	b := NewBudget(Limits{Ratio: 0.2, Slack: 56, Window: 10 * time.Second})
	must.False(t, b.Spend("s", 8, time.Unix(0, 0)))
}
