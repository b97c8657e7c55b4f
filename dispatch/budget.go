package dispatch

import "sync"

const (
	// retryRatio is what each first attempt adds to a retry budget, so that
	// retries stay at about 10 % of the first attempts.
	retryRatio = 0.1
	// retryBurst is the maximum of a retry budget, in retries. New budgets start
	// with it.
	retryBurst = 10
	// maxBudgets bounds the number of budgets per map, and so their memory.
	maxBudgets = 1 << 14
)

// budgets limits the retries of each target and of each customer to a fraction
// of their first attempts, so that retries do not add load to a target that is
// already failing, and one customer's failures do not cause a retry storm.
type budgets struct {
	mu        sync.Mutex
	targets   map[string]float64
	customers map[string]float64
}

func newBudgets() *budgets {
	return &budgets{targets: map[string]float64{}, customers: map[string]float64{}}
}

// addFirstAttempt adds the share of one first attempt to both budgets.
func (b *budgets) addFirstAttempt(target, customer string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	add(b.targets, target)
	add(b.customers, customer)
}

// spend takes one retry from the budgets of the failed target and the customer.
// It reports false, and takes nothing, if either budget is used up.
func (b *budgets) spend(target, customer string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if remaining(b.targets, target) < 1 || remaining(b.customers, customer) < 1 {
		return false
	}
	b.targets[target] = remaining(b.targets, target) - 1
	b.customers[customer] = remaining(b.customers, customer) - 1
	return true
}

// remaining returns the budget of a name. A new budget is full.
func remaining(m map[string]float64, name string) float64 {
	if v, ok := m[name]; ok {
		return v
	}
	return retryBurst
}

// add adds retryRatio to a budget. It clears the map when it is full, which
// refills all its budgets.
func add(m map[string]float64, name string) {
	if len(m) >= maxBudgets {
		clear(m)
	}
	m[name] = min(retryBurst, remaining(m, name)+retryRatio)
}
