package retry

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

var spareLimits = Limits{Ratio: 0.2, Slack: 56, Window: 10 * time.Second}

// TestSpareAttemptsKeepTheRatio guards against attempts without need that, together with
// retries, exceed the ratio, or that take from what retries find. Two budgets get the same
// requests and retries, one of them spare attempts as well.
func TestSpareAttemptsKeepTheRatio(t *testing.T) {
	const vms = 8
	with, without := NewBudget(spareLimits), NewBudget(spareLimits)
	random := rand.New(rand.NewPCG(5, 6))
	now := time.Unix(1000, 0)
	var requests, attempts []time.Time
	spares, refused := 0, 0
	for step := range 40_000 {
		now = now.Add(time.Duration(random.ExpFloat64() * float64(10*time.Millisecond)))
		with.Earn("s", now)
		without.Earn("s", now)
		requests = append(requests, now)
		// Requests fail half of the time.
		if step/2000%2 == 1 && random.IntN(3) == 0 {
			got := with.Spend("s", vms, now)
			must.Eq(t, without.Spend("s", vms, now), got)
			if got {
				attempts = append(attempts, now)
			} else {
				refused++
			}
		}
		if with.SpendSpare("s", now) {
			attempts = append(attempts, now)
			spares++
		}
	}
	first := 0
	for i, from := range attempts {
		end := from.Add(spareLimits.Window)
		for requests[first].Before(from) {
			first++
		}
		sent, tried := 0, 0
		for _, at := range requests[first:] {
			if !at.Before(end) {
				break
			}
			sent++
		}
		for _, at := range attempts[i:] {
			if !at.Before(end) {
				break
			}
			tried++
		}
		must.LessEq(t, spareLimits.Ratio*float64(sent)+spareLimits.Slack, float64(tried))
	}
	must.Greater(t, 500, spares)
	must.Greater(t, 500, refused)
}

func TestSpendSpare(t *testing.T) {
	now := time.Unix(1000, 0)
	permitted := func(b *Budget) (n int) {
		for b.SpendSpare("s", now) {
			n++
		}
		return n
	}
	earn := func(b *Budget, n int) {
		for range n {
			b.Earn("s", now)
		}
	}
	t.Run("there is no credit at the start", func(t *testing.T) {
		must.Eq(t, 0, permitted(NewBudget(spareLimits)))
	})
	t.Run("a quarter of the ratio", func(t *testing.T) {
		b := NewBudget(spareLimits)
		earn(b, 1000)
		must.Eq(t, 50, permitted(b))
		must.True(t, b.Spend("s", 8, now), must.Sprint("retries have their own part"))
	})
	t.Run("retries that use it up leave nothing", func(t *testing.T) {
		b := NewBudget(spareLimits)
		earn(b, 1000)
		for range 50 {
			must.True(t, b.Spend("s", 8, now))
		}
		must.Eq(t, 0, permitted(b))
	})
	t.Run("requests count for one window", func(t *testing.T) {
		b := NewBudget(spareLimits)
		earn(b, 1000)
		now = now.Add(spareLimits.Window + time.Second)
		must.Eq(t, 0, permitted(b))
	})
	t.Run("services are apart", func(t *testing.T) {
		b := NewBudget(spareLimits)
		earn(b, 1000)
		must.False(t, b.SpendSpare("other", now))
	})
}
