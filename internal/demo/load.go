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
	// longestFirst is the longest time to the first token that is told apart.
	longestFirst = time.Minute
	// firstDigits is the number of significant digits of a percentile.
	firstDigits = 3
)

// errLoadBroken reports answers that must not happen.
var errLoadBroken = errors.New("answers ended in silence or out of order")

// LoadOptions say what a load sends. Profile names a load of the workload
// package. Speed multiplies its rate; PieceBytes is the text of one piece.
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

// Load sends the requests of a modelled deployment through the callers'
// interface of a running fleet at their times, and prints how they went. It
// returns an error if an answer ended in silence or out of order.
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
		if !store.Sleep(ctx, o.at(a)-time.Since(start)) {
			break
		}
		c := callers[a.Customer]
		if c == nil {
			c = newCaller(o.VMs, o.Key, o.Route)
			callers[a.Customer] = c
		}
		running.Go(func() {
			question := fmt.Sprintf("question %d of %d", i, o.Seed)
			counts.add(c.chatOnce(ctx, o.text(a), question, a.OutputTokens))
		})
	}
	running.Wait()
	return counts.print(w, time.Since(start))
}

// arrivals returns the requests that fall into the time of the load.
func (o LoadOptions) arrivals() ([]workload.Arrival, error) {
	if o.Speed <= 0 || o.Duration <= 0 || o.PieceBytes <= 0 {
		return nil, errors.New("speed, time and piece must be above zero")
	}
	for _, l := range workload.Loads() {
		if l.Name != o.Profile {
			continue
		}
		list := l.Arrivals(rand.New(rand.NewPCG(o.Seed, 0)), false)
		n := 0
		for n < len(list) && o.at(list[n]) < o.Duration {
			n++
		}
		return list[:n], nil
	}
	return nil, fmt.Errorf("no profile %q; permitted: hakata, saldo", o.Profile)
}

// at returns when a request is sent.
func (o LoadOptions) at(a workload.Arrival) time.Duration {
	return time.Duration(float64(a.At) / o.Speed)
}

// text returns the prompt of a request: the same text for the same pieces.
func (o LoadOptions) text(a workload.Arrival) string {
	var b strings.Builder
	for _, piece := range a.Pieces {
		b.WriteString(filler(fmt.Sprintf("%016x", piece), o.PieceBytes))
	}
	return b.String()
}

// loadCounts are the outcomes of a load.
type loadCounts struct {
	mu      sync.Mutex
	sent    int
	whole   int
	failed  int
	notRun  int
	limited int
	broken  int
	lost    int
	first   *hdrhistogram.Histogram
}

func newLoadCounts() *loadCounts {
	return &loadCounts{first: hdrhistogram.New(1, longestFirst.Microseconds(), firstDigits)}
}

// add counts one answer.
func (n *loadCounts) add(a answer) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.sent++
	switch {
	case a.status == 0:
		n.lost++
	case a.status == http.StatusTooManyRequests:
		n.limited++
	case a.status != http.StatusOK:
		n.notRun++
	case !a.ordered:
		n.broken++
	case a.complete:
		n.whole++
		_ = n.first.RecordValue(min(a.first, longestFirst).Microseconds())
	case a.code != "" || a.err != nil:
		n.failed++
	default:
		n.broken++
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
		{"requests a second", fmt.Sprintf("%.1f", float64(n.sent)/took.Seconds())},
		{"whole answers", n.whole},
		{"ended with an error", n.failed},
		{"refused", n.notRun},
		{"over the rate", n.limited},
		{"no answer", n.lost},
		{"silent or out of order", n.broken},
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
	if n.broken > 0 {
		return errLoadBroken
	}
	return nil
}

func (n *loadCounts) percentile(p float64) time.Duration {
	return time.Duration(n.first.ValueAtQuantile(p)) * time.Microsecond
}
