package store

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

// A Priority says which calls go first when the budget is short.
type Priority int

// Priorities. A lower one leaves a part of the budget to the higher ones.
const (
	// PriorityLow is for polls that are a backstop.
	PriorityLow Priority = iota
	// PriorityNormal is for what has no caller waiting.
	PriorityNormal
	// PriorityHigh is for what a caller waits for.
	PriorityHigh
)

const (
	// lowReserve and normalReserve are the parts of the burst that calls of
	// these priorities leave untouched.
	lowReserve    = 0.5
	normalReserve = 0.2
	// budgetWait is the longest that a call waits for the budget.
	budgetWait = time.Second
	// budgetPoll is the shortest wait between two looks at the budget.
	budgetPoll = 5 * time.Millisecond
)

var (
	errBudget  = errors.New("this VM's budget of calls is spent")
	errBreaker = errors.New("calls are held back after failures")
)

// BudgetOptions are the settings of a Budget.
type BudgetOptions struct {
	// PerSecond is the number of calls that this VM may make a second, and Burst
	// the most at once.
	PerSecond float64
	Burst     float64
	Clock     Clock
}

// A Budget is a Store that holds one VM to a number of calls a second, and
// holds calls back while the store fails. A call that it holds back was
// provably not sent.
type Budget struct {
	store   Store
	opts    BudgetOptions
	breaker *breaker

	mu     sync.Mutex
	tokens float64
	last   time.Time

	calls, spent, held atomic.Int64
}

// NewBudget returns a Budget over s.
func NewBudget(s Store, o BudgetOptions) *Budget {
	return &Budget{store: s, opts: o, breaker: newBreaker(o.Clock), tokens: o.Burst, last: o.Clock.Now()}
}

// At returns the budget's Store for calls of one priority.
func (b *Budget) WithPriority(p Priority) Store { return budgetStore{budget: b, priority: p} }

// A BudgetDump is the state of a Budget for operators: calls made, calls
// refused for the budget and calls held back since the start.
type BudgetDump struct {
	Breaker string `json:"breaker"`
	Calls   int64  `json:"calls"`
	Spent   int64  `json:"spent"`
	Held    int64  `json:"held"`
}

// Dump returns the state of the budget.
func (b *Budget) Dump() any {
	return BudgetDump{Breaker: b.breaker.state(), Calls: b.calls.Load(), Spent: b.spent.Load(), Held: b.held.Load()}
}

// admit waits for the right to make one call.
func (b *Budget) admit(ctx context.Context, p Priority) error {
	end := b.opts.Clock.Now().Add(budgetWait)
	for {
		wait := b.take(p)
		if wait <= 0 {
			break
		}
		if b.opts.Clock.Now().Add(wait).After(end) || !Sleep(ctx, max(wait, budgetPoll)) {
			b.spent.Add(1)
			return fmt.Errorf("%w: %w", ErrUnavailable, errBudget)
		}
	}
	if !b.breaker.allow() {
		b.held.Add(1)
		return fmt.Errorf("%w: %w", ErrUnavailable, errBreaker)
	}
	b.calls.Add(1)
	return nil
}

// take takes one call from the budget, or returns the time until it may.
func (b *Budget) take(p Priority) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.opts.Clock.Now()
	b.tokens = min(b.opts.Burst, b.tokens+now.Sub(b.last).Seconds()*b.opts.PerSecond)
	b.last = now
	if need := 1 + b.reserve(p) - b.tokens; need > 0 {
		return time.Duration(need / b.opts.PerSecond * float64(time.Second))
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

// judge tells the breaker how a call ended.
func (b *Budget) judge(err error) {
	switch {
	case err == nil, errors.Is(err, ErrNotFound):
		b.breaker.worked()
	case errors.Is(err, context.Canceled):
		b.breaker.unheard()
	default:
		b.breaker.failed()
	}
}

// A budgetStore is a Budget at one priority.
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
	s.budget.judge(err)
	return o, err
}

// List implements Store.
func (s budgetStore) List(ctx context.Context, prefix string) ([]Object, error) {
	if err := s.budget.admit(ctx, s.priority); err != nil {
		return nil, err
	}
	list, err := s.budget.store.List(ctx, prefix)
	s.budget.judge(err)
	return list, err
}

// Put implements Store.
func (s budgetStore) Put(ctx context.Context, key string, value []byte, expect int64) WriteResult {
	if err := s.budget.admit(ctx, s.priority); err != nil {
		return NotSent{Err: err}
	}
	return s.judgeWrite(s.budget.store.Put(ctx, key, value, expect))
}

// Delete implements Store.
func (s budgetStore) Delete(ctx context.Context, key string, expect int64) WriteResult {
	if err := s.budget.admit(ctx, s.priority); err != nil {
		return NotSent{Err: err}
	}
	return s.judgeWrite(s.budget.store.Delete(ctx, key, expect))
}

// Watch implements Store.
func (s budgetStore) Watch(ctx context.Context, prefix string, after int64) (<-chan Event, error) {
	if err := s.budget.admit(ctx, s.priority); err != nil {
		return nil, err
	}
	events, err := s.budget.store.Watch(ctx, prefix, after)
	s.budget.judge(err)
	return events, err
}

func (s budgetStore) judgeWrite(r WriteResult) WriteResult {
	switch r := r.(type) {
	case NotSent:
		s.budget.judge(r.Err)
	case Unknown:
		s.budget.judge(r.Err)
	default:
		s.budget.judge(nil)
	}
	return r
}
