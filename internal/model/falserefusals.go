package model

import "time"

// A settlement is the refund of the unused part of one reservation.
type settlement struct {
	at     time.Duration
	tokens float64
	refund func(tokens float64)
}

// FalseRefusals returns the percentage of all requests that an ideal token
// bucket admits and the limiter refuses. Share is the load as a share of the
// customers' rates.
func FalseRefusals(limiter RateLimiter, l RateLoad, share float64, seed uint64) float64 {
	t := &rateTrial{limiter: limiter, ideal: NewStaticLimiter(1), load: l}
	if l.CrashVMs {
		limiter.CrashVMs()
	}
	for _, r := range l.Requests(share, seed) {
		t.advance(r.At)
		t.submit(r)
	}
	limiter.Advance(time.Second)
	return 100 * float64(t.falseRefusals) / float64(t.requests)
}

// A rateTrial sends one load to a limiter and to an ideal token bucket.
type rateTrial struct {
	limiter       RateLimiter
	ideal         *StaticLimiter
	load          RateLoad
	now           time.Duration
	settlements   []settlement
	restarted     int
	falseRefusals int
	requests      int
}

// advance runs everything that is due up to a time.
func (t *rateTrial) advance(to time.Duration) {
	if vm := int(to/restartInterval) - 1; t.load.RollingRestart && vm >= t.restarted && vm < RateVMs {
		t.limiter.Restart(vm)
		t.restarted++
	}
	if t.load.Unlist && to >= unlistDelay && t.now < unlistDelay {
		t.limiter.Unlist()
	}
	for len(t.settlements) > 0 && t.settlements[0].at <= to {
		t.limiter.Advance(t.settlements[0].at - t.now)
		t.now = t.settlements[0].at
		t.settlements[0].refund(t.settlements[0].tokens)
		t.settlements = t.settlements[1:]
	}
	t.limiter.Advance(to - t.now)
	t.now = to
}

// submit sends a request to the limiter if the ideal bucket admits it.
func (t *rateTrial) submit(r RateRequest) {
	admitted := false
	t.ideal.Submit(r, func(refund func(float64)) {
		admitted = refund != nil
		t.settle(r, refund)
	})
	t.requests++
	if !admitted {
		return
	}
	t.limiter.Submit(r, func(refund func(float64)) {
		if refund == nil {
			t.falseRefusals++
		}
		t.settle(r, refund)
	})
}

// settle schedules the refund of an admitted request's unused tokens.
func (t *rateTrial) settle(r RateRequest, refund func(float64)) {
	if refund != nil && t.load.UnusedShare > 0 {
		t.settlements = append(t.settlements, settlement{at: t.now + settleDelay, tokens: t.load.UnusedShare * r.Tokens, refund: refund})
	}
}
