package limit

import "time"

const (
	// largeFraction is the fraction of a burst above which a request counts as
	// large.
	largeFraction = 1.0 / 16
	// balanceThreshold is the difference between the fill fractions of two
	// buckets above which tokens are moved.
	balanceThreshold = 0.25
	// balanceInterval is the least time between two moves for one account.
	balanceInterval = 100 * time.Millisecond
)

// isLarge reports whether a cost is a large fraction of the customer's burst.
func isLarge(a *account, cost Cost) bool {
	return !burstOf(a.limits).Scale(largeFraction).Covers(cost)
}

// shouldSpread reports whether a large request that the own bucket covers
// should take tokens from the other holders as well, because their buckets
// would otherwise remain much fuller than the own one.
func (s *State) shouldSpread(a *account, cost Cost, now time.Time) bool {
	if !isLarge(a, cost) {
		return false
	}
	own := fillFraction(a.level.Minus(cost), a.cap)
	for _, e := range s.estimates(a, now) {
		if fillFraction(e.level, s.capOf(a, e.vm))-own > balanceThreshold {
			return true
		}
	}
	return false
}

// balance requests tokens from the fuller holders to bring this VM's bucket to
// the mean fill fraction, if it is far below. No customer request waits for the
// responses.
func (s *State) balance(a *account, now time.Time) []Effect {
	if a.cap.IsZero() || now.Sub(a.lastBalance) < balanceInterval {
		return nil
	}
	mean, fuller := s.fullerHolders(a, now)
	own := fillFraction(a.level, a.cap)
	if len(fuller) == 0 || mean-own < balanceThreshold {
		return nil
	}
	a.lastBalance = now
	missing := a.cap.Scale((mean - own) / float64(len(fuller))).Min(a.room().Minus(a.level))
	effects := make([]Effect, 0, len(fuller))
	for _, id := range fuller {
		effects = append(effects, s.requestTransfer(a, nil, id, Cost{}, missing, now))
	}
	return effects
}

// fullerHolders returns the fill fraction of the buckets of all holders
// together, and the other holders whose buckets are fuller than that.
func (s *State) fullerHolders(a *account, now time.Time) (mean float64, ids []string) {
	estimates := s.estimates(a, now)
	left, total := a.level, a.cap
	for _, e := range estimates {
		left = left.Plus(e.level)
		total = total.Plus(s.capOf(a, e.vm))
	}
	mean = fillFraction(left, total)
	for _, e := range estimates {
		if fillFraction(e.level, s.capOf(a, e.vm)) > mean {
			ids = append(ids, e.vm)
		}
	}
	return mean, ids
}

// plan divides a cost between the own bucket and those of the other holders so
// that all are left with the same fill fraction.
func (s *State) plan(a *account, cost Cost, now time.Time) (own Cost, parts []estimate) {
	holders := append([]estimate{{level: a.level}}, s.estimates(a, now)...)
	caps := make([]Cost, len(holders))
	for i, h := range holders {
		caps[i] = a.cap
		if i > 0 {
			caps[i] = s.capOf(a, h.vm)
		}
	}
	requests := func(c Cost) float64 { return c.Requests }
	tokens := func(c Cost) float64 { return c.Tokens }
	level := Cost{
		Requests: waterLevel(holders, caps, requests, cost.Requests),
		Tokens:   waterLevel(holders, caps, tokens, cost.Tokens),
	}
	for i, h := range holders {
		part := h.level.Minus(Cost{Requests: caps[i].Requests * level.Requests, Tokens: caps[i].Tokens * level.Tokens})
		switch {
		case i == 0:
			own = part
		case !part.IsZero():
			parts = append(parts, estimate{vm: h.vm, level: part})
		}
	}
	return own, parts
}

// waterLevel returns the fill fraction that buckets are left with when an
// amount is taken from all buckets that are fuller than that (water-filling).
func waterLevel(holders []estimate, caps []Cost, amountOf func(Cost) float64, amount float64) float64 {
	level := 0.0
	for range holders {
		left, total := -amount, 0.0
		for i, h := range holders {
			if amountOf(h.level) > level*amountOf(caps[i]) {
				left += amountOf(h.level)
				total += amountOf(caps[i])
			}
		}
		if total == 0 || left/total <= level {
			break
		}
		level = left / total
	}
	return level
}

// fillFraction returns the fraction of a bucket's cap that is left, of requests
// or tokens, whichever is lower.
func fillFraction(level, capacity Cost) float64 {
	f := 1.0
	if capacity.Requests > 0 {
		f = min(f, level.Requests/capacity.Requests)
	}
	if capacity.Tokens > 0 {
		f = min(f, level.Tokens/capacity.Tokens)
	}
	return f
}
