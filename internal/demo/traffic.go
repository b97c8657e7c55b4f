package demo

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/baobabdyke/baobabdyke/internal/fake"
)

// answerTokens is the number of tokens of every answer in the demo.
const answerTokens = 12

// A tally counts how requests went.
type tally struct {
	mu       sync.Mutex
	whole    int
	explicit int
	notRun   int
	limited  int
	delayed  int
	faults   []error
	firsts   []time.Duration
}

// add counts one answer to a question. What must not happen is kept as a fault.
func (t *tally) add(question string, a answer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.delayed += a.delayed
	switch {
	case a.status == http.StatusTooManyRequests:
		t.limited++
	case a.status == http.StatusServiceUnavailable:
		t.notRun++
	case a.status != http.StatusOK:
		t.faults = append(t.faults, fmt.Errorf("not answered: %s", a))
	case !a.ordered:
		t.faults = append(t.faults, fmt.Errorf("out of order: %s", a))
	case a.complete && a.text == fake.CompletionText(question, answerTokens):
		t.whole++
		t.firsts = append(t.firsts, a.first)
	case a.complete:
		t.faults = append(t.faults, fmt.Errorf("another answer than its own: %s", a))
	case a.code != "" || a.err != nil:
		t.explicit++
	default:
		t.faults = append(t.faults, fmt.Errorf("silent end: %s", a))
	}
}

// err returns the faults found.
func (t *tally) err() error {
	t.mu.Lock()
	defer t.mu.Unlock()
	return errors.Join(t.faults...)
}

// allWhole returns an error unless every request got its whole answer.
func (t *tally) allWhole() error {
	if err := t.err(); err != nil {
		return err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if broken := t.explicit + t.notRun + t.limited; broken > 0 {
		return fmt.Errorf("%d whole, %d ended with an error, %d not run, %d over the rate",
			t.whole, t.explicit, t.notRun, t.limited)
	}
	return nil
}

// String returns the counts and the times to the first token.
func (t *tally) String() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := fmt.Sprintf("%d whole answers", t.whole)
	if t.explicit+t.notRun+t.limited > 0 {
		s += fmt.Sprintf(", %d ended with an error, %d not run, %d over the rate", t.explicit, t.notRun, t.limited)
	}
	if t.delayed > 0 {
		s += fmt.Sprintf(", %d times told to wait for the rate", t.delayed)
	}
	if len(t.firsts) == 0 {
		return s
	}
	sort.Slice(t.firsts, func(i, j int) bool { return t.firsts[i] < t.firsts[j] })
	return s + fmt.Sprintf(", first token p50 %s p95 %s", t.percentile(50), t.percentile(95))
}

// percentile returns a percentile of the sorted times to the first token.
func (t *tally) percentile(p int) time.Duration {
	return t.firsts[(len(t.firsts)-1)*p/100].Round(100 * time.Microsecond)
}

// A traffic is a stream of requests that share long layered prefixes.
type traffic struct {
	brief   string
	records []string
	ask     string
}

// newTraffic returns a traffic with one shared brief and several records
// behind it, of the given number of bytes each.
func newTraffic(name string, briefBytes, records, recordBytes int) traffic {
	w := traffic{brief: filler(name+" brief", briefBytes), ask: name}
	for i := range records {
		w.records = append(w.records, filler(fmt.Sprintf("%s record %d", name, i), recordBytes))
	}
	return w
}

// filler returns text of n bytes that starts with title.
func filler(title string, n int) string {
	line := title + ": every clause holds for every seat and every pallet. "
	return strings.Repeat(line, n/len(line)+1)[:n]
}

// prompt returns the system part and the question of the i-th request.
func (w traffic) prompt(i int) (system, question string) {
	return w.brief + w.records[i%len(w.records)], fmt.Sprintf("%s question %d", w.ask, i)
}

// sendAll sends n requests, a few at a time, and counts the answers.
func (w traffic) sendAll(ctx context.Context, c *caller, from, n, atOnce int) *tally {
	t := &tally{}
	next := make(chan int, n)
	for i := range n {
		next <- from + i
	}
	close(next)
	var wg sync.WaitGroup
	for range atOnce {
		wg.Go(func() {
			for i := range next {
				system, question := w.prompt(i)
				t.add(question, c.chat(ctx, system, question, answerTokens))
			}
		})
	}
	wg.Wait()
	return t
}

// sendUntil sends requests until stop is closed and counts the answers.
func (w traffic) sendUntil(ctx context.Context, c *caller, stop <-chan struct{}, atOnce int) *tally {
	t := &tally{}
	var wg sync.WaitGroup
	for n := range atOnce {
		wg.Go(func() {
			for i := n; ; i += atOnce {
				select {
				case <-stop:
					return
				case <-ctx.Done():
					return
				default:
				}
				system, question := w.prompt(i)
				t.add(question, c.chat(ctx, system, question, answerTokens))
			}
		})
	}
	wg.Wait()
	return t
}
