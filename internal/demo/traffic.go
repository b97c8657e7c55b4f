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

// responseTokens is the length of every response in the demo.
const responseTokens = 12

// requestCounts counts the outcomes of requests.
type requestCounts struct {
	mu          sync.Mutex
	completed   int
	failed      int
	notRun      int
	rateLimited int
	rateRetries int
	faults      []error
	firstTokens []time.Duration
}

// add counts the response to a question. A response that must not occur is recorded
// as a fault.
func (n *requestCounts) add(question string, r response) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.rateRetries += r.rateRetries
	switch {
	case r.status == http.StatusTooManyRequests:
		n.rateLimited++
	case r.status == http.StatusServiceUnavailable:
		n.notRun++
	case r.status != http.StatusOK:
		n.faults = append(n.faults, fmt.Errorf("unexpected status: %s", r))
	case !r.ordered:
		n.faults = append(n.faults, fmt.Errorf("out of order: %s", r))
	case r.complete && r.text == fake.CompletionText(question, responseTokens):
		n.completed++
		n.firstTokens = append(n.firstTokens, r.firstToken)
	case r.complete:
		n.faults = append(n.faults, fmt.Errorf("wrong response text: %s", r))
	case r.errorCode != "" || r.err != nil:
		n.failed++
	default:
		n.faults = append(n.faults, fmt.Errorf("stream ended without an end marker or an error: %s", r))
	}
}

// err returns the recorded faults.
func (n *requestCounts) err() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	return errors.Join(n.faults...)
}

// allCompleted returns an error unless every request got a complete response.
func (n *requestCounts) allCompleted() error {
	if err := n.err(); err != nil {
		return err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if incomplete := n.failed + n.notRun + n.rateLimited; incomplete > 0 {
		return fmt.Errorf("%d completed, %d ended with an error, %d not run, %d over the rate limit",
			n.completed, n.failed, n.notRun, n.rateLimited)
	}
	return nil
}

// String returns the counts and the times to the first token.
func (n *requestCounts) String() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	s := fmt.Sprintf("%d complete responses", n.completed)
	if n.failed+n.notRun+n.rateLimited > 0 {
		s += fmt.Sprintf(", %d ended with an error, %d not run, %d over the rate limit", n.failed, n.notRun, n.rateLimited)
	}
	if n.rateRetries > 0 {
		s += fmt.Sprintf(", %d retries after status 429", n.rateRetries)
	}
	if len(n.firstTokens) == 0 {
		return s
	}
	sort.Slice(n.firstTokens, func(i, j int) bool { return n.firstTokens[i] < n.firstTokens[j] })
	return s + fmt.Sprintf(", first token p50 %s p95 %s", n.percentile(50), n.percentile(95))
}

// percentile returns a percentile of the sorted times to the first token.
func (n *requestCounts) percentile(p int) time.Duration {
	return n.firstTokens[(len(n.firstTokens)-1)*p/100].Round(100 * time.Microsecond)
}

// A promptSet generates requests whose prompts share a long prefix.
type promptSet struct {
	sharedText  string
	recordTexts []string
	name        string
}

// newPromptSet returns a promptSet with one shared text, followed by one of several
// records. The sizes are in bytes.
func newPromptSet(name string, briefBytes, records, recordBytes int) promptSet {
	p := promptSet{sharedText: filler(name+" brief", briefBytes), name: name}
	for i := range records {
		p.recordTexts = append(p.recordTexts, filler(fmt.Sprintf("%s record %d", name, i), recordBytes))
	}
	return p
}

// filler returns n bytes of text that starts with title.
func filler(title string, n int) string {
	line := title + ": every clause holds for every seat and every pallet. "
	return strings.Repeat(line, n/len(line)+1)[:n]
}

// prompt returns the system message and the question of the i-th request.
func (p promptSet) prompt(i int) (system, question string) {
	return p.sharedText + p.recordTexts[i%len(p.recordTexts)], fmt.Sprintf("%s question %d", p.name, i)
}

// sendAll sends n requests, atOnce at a time, and counts the responses.
func (p promptSet) sendAll(ctx context.Context, c *caller, from, n, atOnce int) *requestCounts {
	counts := &requestCounts{}
	next := make(chan int, n)
	for i := range n {
		next <- from + i
	}
	close(next)
	var wg sync.WaitGroup
	for range atOnce {
		wg.Go(func() {
			for i := range next {
				system, question := p.prompt(i)
				counts.add(question, c.chat(ctx, system, question, responseTokens))
			}
		})
	}
	wg.Wait()
	return counts
}

// sendUntil sends requests, atOnce at a time, until stop is closed, and counts the
// responses.
func (p promptSet) sendUntil(ctx context.Context, c *caller, stop <-chan struct{}, atOnce int) *requestCounts {
	counts := &requestCounts{}
	var wg sync.WaitGroup
	for worker := range atOnce {
		wg.Go(func() {
			for i := worker; ; i += atOnce {
				select {
				case <-stop:
					return
				case <-ctx.Done():
					return
				default:
				}
				system, question := p.prompt(i)
				counts.add(question, c.chat(ctx, system, question, responseTokens))
			}
		})
	}
	wg.Wait()
	return counts
}
