package dispatch

import "sync"

const (
	// retryShare is what each first attempt adds to a retry budget.
	retryShare = 0.1
	// retryBurst is the most that a retry budget holds.
	retryBurst = 10
	// budgetNames bounds the number of budgets kept of each kind.
	budgetNames = 1 << 14
)

// budgets bound retries for each target and each customer to a share of their
// first attempts, so that a failing target or customer is not driven harder.
type budgets struct {
	mu        sync.Mutex
	targets   map[string]float64
	customers map[string]float64
}

func newBudgets() *budgets {
	return &budgets{targets: map[string]float64{}, customers: map[string]float64{}}
}

// earn records a first attempt.
func (b *budgets) earn(target, customer string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	add(b.targets, target)
	add(b.customers, customer)
}

// spend takes one retry after a failure of target, and tells whether both
// budgets had it.
func (b *budgets) spend(target, customer string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if left(b.targets, target) < 1 || left(b.customers, customer) < 1 {
		return false
	}
	b.targets[target] = left(b.targets, target) - 1
	b.customers[customer] = left(b.customers, customer) - 1
	return true
}

// left returns a budget, which is full at first.
func left(m map[string]float64, name string) float64 {
	if v, ok := m[name]; ok {
		return v
	}
	return retryBurst
}

func add(m map[string]float64, name string) {
	if len(m) >= budgetNames {
		clear(m)
	}
	m[name] = min(retryBurst, left(m, name)+retryShare)
}
