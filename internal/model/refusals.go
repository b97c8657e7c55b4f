package model

import "time"

// A due is one settlement.
type due struct {
	at     time.Duration
	tokens float64
	refund func(tokens float64)
}

// Refusals returns the part of the requests that an ideal bucket admits and a
// way refuses, in %.
func FalseRefusals(w RateLimiter, l RateLoad, part float64, seed uint64) float64 {
	t := &rateTrial{way: w, ideal: NewStaticLimiter(1), load: l}
	if l.CrashVMs {
		w.CrashVMs()
	}
	for _, o := range l.Requests(part, seed) {
		t.advance(o.At)
		t.offer(o)
	}
	w.Advance(time.Second)
	return 100 * float64(t.wrong) / float64(t.total)
}

// A rateTrial sends one load to a way and to an ideal bucket.
type rateTrial struct {
	way    RateLimiter
	ideal  *StaticLimiter
	load   RateLoad
	last   time.Duration
	dues   []due
	rolled int
	wrong  int
	total  int
}

// advance lets everything happen that is due until a time.
func (t *rateTrial) advance(to time.Duration) {
	if vm := int(to/rollEvery) - 1; t.load.RollingRestart && vm >= t.rolled && vm < RateVMs {
		t.way.Restart(vm)
		t.rolled++
	}
	if t.load.Unlist && to >= listLag && t.last < listLag {
		t.way.Unlist()
	}
	for len(t.dues) > 0 && t.dues[0].at <= to {
		t.way.Advance(t.dues[0].at - t.last)
		t.last = t.dues[0].at
		t.dues[0].refund(t.dues[0].tokens)
		t.dues = t.dues[1:]
	}
	t.way.Advance(to - t.last)
	t.last = to
}

// offer sends a request to the way if the ideal bucket admits it.
func (t *rateTrial) offer(o RateRequest) {
	inside := false
	t.ideal.Submit(o, func(refund func(float64)) {
		inside = refund != nil
		t.settle(o, refund)
	})
	t.total++
	if !inside {
		return
	}
	t.way.Submit(o, func(refund func(float64)) {
		if refund == nil {
			t.wrong++
		}
		t.settle(o, refund)
	})
}

// settle notes what comes back of an admitted request, and when.
func (t *rateTrial) settle(o RateRequest, refund func(float64)) {
	if refund != nil && t.load.UnusedShare > 0 {
		t.dues = append(t.dues, due{at: t.last + holdTime, tokens: t.load.UnusedShare * o.Tokens, refund: refund})
	}
}
