package store

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

// A Priority determines which calls are admitted first when the budget is
// nearly spent.
type Priority int

// Priorities. A part of the budget is reserved for calls of higher priorities.
const (
	// PriorityLow is for polls that only back up another source.
	PriorityLow Priority = iota
	// PriorityNormal is for calls that no caller waits for.
	PriorityNormal
	// PriorityHigh is for calls that a caller waits for.
	PriorityHigh
)

const (
	// lowReserve and normalReserve are the fractions of the burst that calls of
	// PriorityLow and PriorityNormal leave to higher priorities.
	lowReserve    = 0.5
	normalReserve = 0.2
	// maxBudgetWait is the longest time that a call waits for the budget.
	maxBudgetWait = time.Second
	// maxTokenWait bounds the result of takeToken: a call that would wait longer than
	// maxBudgetWait is rejected.
	maxTokenWait = 2 * maxBudgetWait
	// minBudgetWait is the shortest time between two checks of the budget.
	minBudgetWait = 5 * time.Millisecond
)

var (
	errBudget  = errors.New("this VM's budget of calls is spent")
	errBreaker = errors.New("calls are held back after failures")
)

// BudgetOptions are the settings of a Budget.
type BudgetOptions struct {
	// PerSecond is the number of calls that this VM may make a second on
	// average, and Burst the number that it may make at once.
	PerSecond float64
	Burst     float64
	Clock     Clock
}

// A Budget limits the rate of one VM's calls of a Store with a token bucket, and
// rejects calls with a circuit breaker while the store fails. A rejected call
// was provably not sent.
type Budget struct {
	store   Store
	opts    BudgetOptions
	breaker *breaker

	mu     sync.Mutex
	tokens float64
	last   time.Time

	calls, overBudget, heldBack atomic.Int64
}

// NewBudget returns a Budget for calls of s.
func NewBudget(s Store, o BudgetOptions) *Budget {
	return &Budget{store: s, opts: o, breaker: newBreaker(o.Clock), tokens: o.Burst, last: o.Clock.Now()}
}

// WithPriority returns a Store for calls of one priority within the budget.
func (b *Budget) WithPriority(p Priority) Store { return budgetStore{budget: b, priority: p} }

// A BudgetDump is the state of a Budget for operators. Calls is the number of
// calls made since the start, Spent the number rejected by the budget and Held
// the number rejected by the circuit breaker.
type BudgetDump struct {
	Breaker string `json:"breaker"`
	Calls   int64  `json:"calls"`
	Spent   int64  `json:"spent"`
	Held    int64  `json:"held"`
}

// Dump returns the state of the budget.
func (b *Budget) Dump() any {
	return BudgetDump{Breaker: b.breaker.state(), Calls: b.calls.Load(), Spent: b.overBudget.Load(), Held: b.heldBack.Load()}
}

// admit waits until one call may be made, or returns an error that wraps
// ErrUnavailable.
func (b *Budget) admit(ctx context.Context, p Priority) error {
	deadline := b.opts.Clock.Now().Add(maxBudgetWait)
	for {
		wait := b.takeToken(p)
		if wait <= 0 {
			break
		}
		if b.opts.Clock.Now().Add(wait).After(deadline) || !Sleep(ctx, max(wait, minBudgetWait)) {
			b.overBudget.Add(1)
			return fmt.Errorf("%w: %w", ErrUnavailable, errBudget)
		}
	}
	if !b.breaker.allow() {
		b.heldBack.Add(1)
		return fmt.Errorf("%w: %w", ErrUnavailable, errBreaker)
	}
	b.calls.Add(1)
	return nil
}

// takeToken takes the token for one call and returns 0, or returns the time
// until enough tokens are available, at most maxTokenWait.
func (b *Budget) takeToken(p Priority) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.opts.Clock.Now()
	b.tokens = min(b.opts.Burst, b.tokens+now.Sub(b.last).Seconds()*b.opts.PerSecond)
	b.last = now
	if missing := 1 + b.reserve(p) - b.tokens; missing > 0 {
		// Without a rate the quotient is infinite, and out of the range of a Duration.
		return time.Duration(min(missing/b.opts.PerSecond, maxTokenWait.Seconds()) * float64(time.Second))
	}
	b.tokens--
	return 0
}

func (b *Budget) reserve(p Priority) float64 {
	switch p {
	case PriorityLow:
		return max(min(lowReserve*b.opts.Burst, b.opts.Burst-1), 0)
	case PriorityNormal:
		return max(min(normalReserve*b.opts.Burst, b.opts.Burst-1), 0)
	default:
		return 0
	}
}

// recordOutcome reports the outcome of a call to the breaker.
func (b *Budget) recordOutcome(err error) {
	switch {
	case err == nil, errors.Is(err, ErrNotFound):
		b.breaker.succeeded()
	case errors.Is(err, context.Canceled):
		b.breaker.cancelled()
	default:
		b.breaker.failed()
	}
}

// A budgetStore is the Store of a Budget for one priority.
type budgetStore struct {
	budget   *Budget
	priority Priority
}

// Get implements Store.
func (s budgetStore) Get(ctx context.Context, key string) (Object, error) {
	if err := s.budget.admit(ctx, s.priority); err != nil {
		return Object{}, err
	}
	o, err := s.budget.store.Get(ctx, key)
	s.budget.recordOutcome(err)
	return o, err
}

// List implements Store.
func (s budgetStore) List(ctx context.Context, prefix string) ([]Object, error) {
	if err := s.budget.admit(ctx, s.priority); err != nil {
		return nil, err
	}
	list, err := s.budget.store.List(ctx, prefix)
	s.budget.recordOutcome(err)
	return list, err
}

// Put implements Store.
func (s budgetStore) Put(ctx context.Context, key string, value []byte, expect int64) WriteResult {
	if err := s.budget.admit(ctx, s.priority); err != nil {
		return NotSent{Err: err}
	}
	return s.recordWrite(s.budget.store.Put(ctx, key, value, expect))
}

// Delete implements Store.
func (s budgetStore) Delete(ctx context.Context, key string, expect int64) WriteResult {
	if err := s.budget.admit(ctx, s.priority); err != nil {
		return NotSent{Err: err}
	}
	return s.recordWrite(s.budget.store.Delete(ctx, key, expect))
}

// Watch implements Store.
func (s budgetStore) Watch(ctx context.Context, prefix string, after int64) (<-chan Event, error) {
	if err := s.budget.admit(ctx, s.priority); err != nil {
		return nil, err
	}
	events, err := s.budget.store.Watch(ctx, prefix, after)
	s.budget.recordOutcome(err)
	return events, err
}

func (s budgetStore) recordWrite(r WriteResult) WriteResult {
	switch r := r.(type) {
	case NotSent:
		s.budget.recordOutcome(r.Err)
	case Unknown:
		s.budget.recordOutcome(r.Err)
	default:
		s.budget.recordOutcome(nil)
	}
	return r
}
