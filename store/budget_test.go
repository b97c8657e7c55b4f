package store

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
)

// withBudget runs a test in virtual time with a Budget of 10 calls a second.
func withBudget(t *testing.T, f func(t *testing.T, m *Memory, b *Budget)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		m := NewMemory()
		f(t, m, NewBudget(m, BudgetOptions{PerSecond: 10, Burst: 10, Clock: SystemClock{}}))
	})
}

func get(t *testing.T, s Store) error {
	t.Helper()
	_, err := s.List(t.Context(), "")
	return err
}

func TestBudgetLimitsRate(t *testing.T) {
	withBudget(t, func(t *testing.T, m *Memory, b *Budget) {
		start := time.Now()
		for time.Since(start) < 10*time.Second {
			must.NoError(t, get(t, b.WithPriority(PriorityHigh)))
		}
		must.LessEq(t, 111, m.Total().Reads)
		must.GreaterEq(t, 109, m.Total().Reads)
	})
}

func TestBudgetReservesForHigherPriorities(t *testing.T) {
	withBudget(t, func(t *testing.T, m *Memory, b *Budget) {
		for range 5 {
			must.NoError(t, get(t, b.WithPriority(PriorityLow)))
		}
		start := time.Now()
		for range 6 {
			must.NoError(t, get(t, b.WithPriority(PriorityHigh)))
		}
		must.LessEq(t, 200*time.Millisecond, time.Since(start))
		must.NoError(t, get(t, b.WithPriority(PriorityLow)))
		must.GreaterEq(t, 600*time.Millisecond, time.Since(start))
		must.ErrorIs(t, get(t, NewBudget(m, BudgetOptions{PerSecond: 0.1, Clock: SystemClock{}}).WithPriority(PriorityHigh)), ErrUnavailable)
	})
}

// TestBudgetWithoutRateRejects guards against a wait that exceeds a Duration, which some
// processors convert to a negative one, so that every call was admitted.
func TestBudgetWithoutRateRejects(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, perSecond := range []float64{0, 1e-12} {
			b := NewBudget(NewMemory(), BudgetOptions{PerSecond: perSecond, Clock: SystemClock{}})
			must.Eq(t, maxTokenWait, b.takeToken(PriorityHigh))
			must.ErrorIs(t, get(t, b.WithPriority(PriorityHigh)), errBudget)
		}
	})
}

func TestBreaker(t *testing.T) {
	withBudget(t, func(t *testing.T, m *Memory, b *Budget) {
		m.SetFault(Down())
		s := b.WithPriority(PriorityHigh)
		for range 30 * 60 {
			must.ErrorIs(t, get(t, s), ErrUnavailable)
			_, notSent := s.Put(t.Context(), "k", nil, 0).(NotSent)
			must.True(t, notSent)
			time.Sleep(time.Second)
		}
		// While the breaker is open it allows at most one probe in about three
		// seconds, with a jitter of one half.
		must.Less(t, 1500, m.Total().Reads+m.Total().Writes)
		m.SetFault(nil)
		time.Sleep(2 * breakerMaxDelay)
		must.NoError(t, get(t, s))
		must.Eq(t, BreakerClosed, b.Dump().(BudgetDump).Breaker)
	})
}

func TestBreakerIgnoresNormalOutcomes(t *testing.T) {
	withBudget(t, func(t *testing.T, m *Memory, b *Budget) {
		m.SetFault(Slow(2 * time.Second))
		s := b.WithPriority(PriorityHigh)
		for range 3 * breakerFailures {
			_, err := s.Get(t.Context(), "none")
			must.ErrorIs(t, err, ErrNotFound)
		}
		for range 3 * breakerFailures {
			s.Put(t.Context(), "k", nil, 99)
		}
		must.Eq(t, BreakerClosed, b.Dump().(BudgetDump).Breaker)
	})
}
