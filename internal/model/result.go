package model

import (
	"slices"
	"time"

	"github.com/baobabdyke/baobabdyke/internal/workload"
)

// A Result holds the measurements of a trial.
type Result struct {
	ttft             []time.Duration
	ttftByCustomer   [][]time.Duration
	promptTokens     int
	cachedTokens     int
	recomputedTokens int
	windows          [2]struct{ promptTokens, cachedTokens int }
}

// A Metric is one figure of a result.
type Metric struct {
	// Unit is the name under which a benchmark reports the value.
	Unit  string
	Value float64
}

// Metrics returns the metrics of a result.
func (r Result) Metrics() []Metric {
	worstP99 := 0.0
	for _, list := range r.ttftByCustomer {
		worstP99 = max(worstP99, percentile(list, 0.99))
	}
	percent := func(part, whole int) float64 { return 100 * float64(part) / float64(max(1, whole)) }
	return []Metric{
		{"hit%", percent(r.cachedTokens, r.promptTokens)},
		{"p50-ms", percentile(r.ttft, 0.5)},
		{"p95-ms", percentile(r.ttft, 0.95)},
		{"p99-ms", percentile(r.ttft, 0.99)},
		{"worst-p99-ms", worstP99},
		{"wasted%", percent(r.recomputedTokens, r.promptTokens)},
		{"before%", percent(r.windows[0].cachedTokens, r.windows[0].promptTokens)},
		{"after%", percent(r.windows[1].cachedTokens, r.windows[1].promptTokens)},
		{"requests", float64(len(r.ttft))},
	}
}

// record records the first token of a request.
func (t *Trial) record(a workload.Arrival, e *Engine, cached int, ttft time.Duration) {
	r := &t.result
	if a.At < trialWarmUp {
		return
	}
	r.ttft = append(r.ttft, ttft)
	r.ttftByCustomer[a.Customer] = append(r.ttftByCustomer[a.Customer], ttft)
	r.promptTokens += a.Prompt.Tokens
	r.cachedTokens += cached
	best := cached
	for _, other := range t.engines {
		if other != e && !other.down {
			best = max(best, other.CachedPrefix(a.Pieces)*workload.PieceTokens)
		}
	}
	r.recomputedTokens += best - cached
	sinceFault := t.schedule.Now().Sub(trialStart) - trialFault
	if sinceFault > -trialWindow && sinceFault <= trialWindow {
		w := &r.windows[0]
		if sinceFault > 0 {
			w = &r.windows[1]
		}
		w.promptTokens += a.Prompt.Tokens
		w.cachedTokens += cached
	}
}

func percentile(list []time.Duration, p float64) float64 {
	slices.Sort(list)
	return list[int(p*float64(len(list)-1))].Seconds() * 1000
}
