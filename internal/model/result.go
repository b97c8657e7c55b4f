package model

import (
	"slices"
	"time"

	"github.com/baobabdyke/baobabdyke/internal/workload"
)

// A Result is what a trial shows.
type Result struct {
	ttft    []time.Duration
	worst   [][]time.Duration
	prompt  int
	held    int
	wasted  int
	windows [2]struct{ prompt, held int }
}

// A Figure is one number of a result.
type Metric struct {
	// Unit names what the value counts.
	Unit  string
	Value float64
}

// Figures returns the numbers of a result.
func (r Result) Metrics() []Metric {
	worst := 0.0
	for _, list := range r.worst {
		worst = max(worst, percentile(list, 0.99))
	}
	share := func(held, prompt int) float64 { return 100 * float64(held) / float64(max(1, prompt)) }
	return []Metric{
		{"hit%", share(r.held, r.prompt)},
		{"p50-ms", percentile(r.ttft, 0.5)},
		{"p95-ms", percentile(r.ttft, 0.95)},
		{"p99-ms", percentile(r.ttft, 0.99)},
		{"worst-p99-ms", worst},
		{"wasted%", share(r.wasted, r.prompt)},
		{"before%", share(r.windows[0].held, r.windows[0].prompt)},
		{"after%", share(r.windows[1].held, r.windows[1].prompt)},
		{"requests", float64(len(r.ttft))},
	}
}

// record counts the first token of a request.
func (t *Trial) record(a workload.Arrival, e *Engine, held int, ttft time.Duration) {
	r := &t.result
	if a.At < trialWarmUp {
		return
	}
	r.ttft = append(r.ttft, ttft)
	r.worst[a.Customer] = append(r.worst[a.Customer], ttft)
	r.prompt += a.Prompt.Tokens
	r.held += held
	most := held
	for _, other := range t.engines {
		if other != e && !other.down {
			most = max(most, other.Leading(a.Pieces)*workload.PieceTokens)
		}
	}
	r.wasted += most - held
	begun := t.schedule.Now().Sub(trialStart) - trialFault
	if begun > -trialWindow && begun <= trialWindow {
		w := &r.windows[0]
		if begun > 0 {
			w = &r.windows[1]
		}
		w.prompt += a.Prompt.Tokens
		w.held += held
	}
}

func percentile(list []time.Duration, p float64) float64 {
	slices.Sort(list)
	return list[int(p*float64(len(list)-1))].Seconds() * 1000
}
