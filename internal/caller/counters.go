package caller

import "sync"

// Counted outcomes other than failure codes.
const (
	codeEntry    = "entry"
	codeRan      = "ran"
	codeRepeated = "repeated"
)

// Counts maps each outcome to its number of responses.
type Counts map[string]int64

// Counters count the responses of a Handler by outcome.
type Counters struct {
	mu     sync.Mutex
	counts Counts
}

// NewCounters returns Counters that are all zero.
func NewCounters() *Counters {
	return &Counters{counts: Counts{}}
}

// Add counts one response.
func (c *Counters) Add(code string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts[code]++
}

// Snapshot returns a copy of the counts.
func (c *Counters) Snapshot() Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := make(Counts, len(c.counts))
	for code, n := range c.counts {
		s[code] = n
	}
	return s
}
