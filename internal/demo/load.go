package demo

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/baobabdyke/baobabdyke/internal/workload"
	"github.com/baobabdyke/baobabdyke/store"
)

const (
	// maxFirstToken is the longest recorded time to the first token.
	maxFirstToken = time.Minute
	// percentileDigits is the number of significant digits of percentiles.
	percentileDigits = 3
)

// errInvalidResponses reports responses that violate the streaming protocol.
var errInvalidResponses = errors.New("responses were out of order or ended without an end marker or an error")

// LoadOptions configures Load. Profile names a load of package workload, Speed
// multiplies its rate, and PieceBytes is the length of the text of one piece.
type LoadOptions struct {
	VMs        []string
	Key        string
	Route      string
	Profile    string
	Speed      float64
	Duration   time.Duration
	PieceBytes int
	Seed       uint64
}

// Load sends the requests of a modelled deployment to a running fleet and prints
// their outcomes. It returns an error if a response was out of order or ended without
// an end marker or an error.
func Load(ctx context.Context, o LoadOptions, w io.Writer) error {
	arrivals, err := o.arrivals()
	if err != nil {
		return err
	}
	counts := newLoadCounts()
	callers := map[int]*caller{}
	start := time.Now()
	var running sync.WaitGroup
	for i, a := range arrivals {
		if !store.Sleep(ctx, o.sendTime(a)-time.Since(start)) {
			break
		}
		c := callers[a.Customer]
		if c == nil {
			c = newCaller(o.VMs, o.Key, o.Route)
			callers[a.Customer] = c
		}
		running.Go(func() {
			question := fmt.Sprintf("question %d of %d", i, o.Seed)
			counts.add(c.chatOnce(ctx, o.prompt(a), question, a.OutputTokens))
		})
	}
	running.Wait()
	return counts.print(w, time.Since(start))
}

// arrivals returns the requests that are sent within Duration.
func (o LoadOptions) arrivals() ([]workload.Arrival, error) {
	if o.Speed <= 0 || o.Duration <= 0 || o.PieceBytes <= 0 {
		return nil, errors.New("speed, time and piece must be greater than zero")
	}
	for _, l := range workload.Loads() {
		if l.Name != o.Profile {
			continue
		}
		list := l.Arrivals(rand.New(rand.NewPCG(o.Seed, 0)), false)
		n := 0
		for n < len(list) && o.sendTime(list[n]) < o.Duration {
			n++
		}
		return list[:n], nil
	}
	return nil, fmt.Errorf("unknown profile %q; permitted: hakata, saldo", o.Profile)
}

// sendTime returns the time since the start at which a request is sent.
func (o LoadOptions) sendTime(a workload.Arrival) time.Duration {
	return time.Duration(float64(a.At) / o.Speed)
}

// prompt returns the text of a request's prompt. Equal pieces have equal text.
func (o LoadOptions) prompt(a workload.Arrival) string {
	var b strings.Builder
	for _, piece := range a.Pieces {
		b.WriteString(filler(fmt.Sprintf("%016x", piece), o.PieceBytes))
	}
	return b.String()
}

// loadCounts counts the outcomes of a load.
type loadCounts struct {
	mu          sync.Mutex
	sent        int
	completed   int
	failed      int
	notRun      int
	rateLimited int
	invalid     int
	unanswered  int
	firstTokens *hdrhistogram.Histogram
}

func newLoadCounts() *loadCounts {
	return &loadCounts{firstTokens: hdrhistogram.New(1, maxFirstToken.Microseconds(), percentileDigits)}
}

// add counts one response.
func (n *loadCounts) add(r response) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.sent++
	switch {
	case r.status == 0:
		n.unanswered++
	case r.status == http.StatusTooManyRequests:
		n.rateLimited++
	case r.status != http.StatusOK:
		n.notRun++
	case !r.ordered:
		n.invalid++
	case r.complete:
		n.completed++
		_ = n.firstTokens.RecordValue(min(r.firstToken, maxFirstToken).Microseconds())
	case r.errorCode != "" || r.err != nil:
		n.failed++
	default:
		n.invalid++
	}
}

// print writes the counts and the percentiles of the time to the first token.
func (n *loadCounts) print(w io.Writer, took time.Duration) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	rows := []struct {
		name  string
		value any
	}{
		{"requests", n.sent},
		{"requests per second", fmt.Sprintf("%.1f", float64(n.sent)/took.Seconds())},
		{"complete responses", n.completed},
		{"ended with an error", n.failed},
		{"refused", n.notRun},
		{"over the rate limit", n.rateLimited},
		{"no response", n.unanswered},
		{"out of order or without an end", n.invalid},
		{"first token p50", n.percentile(50)},
		{"first token p95", n.percentile(95)},
		{"first token p99", n.percentile(99)},
	}
	for _, r := range rows {
		fmt.Fprintf(t, "%s\t%v\n", r.name, r.value)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	if n.invalid > 0 {
		return errInvalidResponses
	}
	return nil
}

func (n *loadCounts) percentile(p float64) time.Duration {
	return time.Duration(n.firstTokens.ValueAtQuantile(p)) * time.Microsecond
}
