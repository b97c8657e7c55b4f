package limit

import "time"

const (
	// largePart is the part of a burst above which a request counts as large.
	largePart = 1.0 / 16
	// balanceGap is the difference in the parts of their shares that two VMs
	// hold at which tokens are moved.
	balanceGap = 0.25
	// balanceEvery is the least time between two moves for one account.
	balanceEvery = 100 * time.Millisecond
)

// large tells whether a cost is a large part of the customer's burst.
func large(a *account, cost Cost) bool {
	return !burstOf(a.limits).Scale(largePart).Covers(cost)
}

// spread tells whether a large request that the own bucket covers should draw
// on the other homes as well, because they would be left with more.
func (s *State) spread(a *account, cost Cost, now time.Time) bool {
	if !large(a, cost) {
		return false
	}
	own := fraction(a.level.Minus(cost), a.cap)
	for _, e := range s.estimates(a, now) {
		if fraction(e.left, s.topOf(a, e.vm))-own > balanceGap {
			return true
		}
	}
	return false
}

// balance asks the other homes for what this VM lacks of the mean, if they hold
// much more. No request waits for it.
func (s *State) balance(a *account, now time.Time) []Effect {
	if a.cap.IsZero() || now.Sub(a.balanced) < balanceEvery {
		return nil
	}
	mean, fuller := s.fuller(a, now)
	own := fraction(a.level, a.cap)
	if len(fuller) == 0 || mean-own < balanceGap {
		return nil
	}
	a.balanced = now
	lack := a.cap.Scale((mean - own) / float64(len(fuller))).Min(a.room().Minus(a.level))
	effects := make([]Effect, 0, len(fuller))
	for _, id := range fuller {
		effects = append(effects, s.send(a, nil, id, Cost{}, lack, now))
	}
	return effects
}

// fuller returns how full all homes are together, and the other homes that are
// fuller than that.
func (s *State) fuller(a *account, now time.Time) (mean float64, ids []string) {
	estimates := s.estimates(a, now)
	left, top := a.level, a.cap
	for _, e := range estimates {
		left = left.Plus(e.left)
		top = top.Plus(s.topOf(a, e.vm))
	}
	mean = fraction(left, top)
	for _, e := range estimates {
		if fraction(e.left, s.topOf(a, e.vm)) > mean {
			ids = append(ids, e.vm)
		}
	}
	return mean, ids
}

// plan divides a cost over the own bucket and the other homes so that the same
// part of a share is left with each.
func (s *State) plan(a *account, cost Cost, now time.Time) (own Cost, parts []estimate) {
	homes := append([]estimate{{left: a.level}}, s.estimates(a, now)...)
	tops := make([]Cost, len(homes))
	for i, h := range homes {
		tops[i] = a.cap
		if i > 0 {
			tops[i] = s.topOf(a, h.vm)
		}
	}
	requests := func(c Cost) float64 { return c.Requests }
	tokens := func(c Cost) float64 { return c.Tokens }
	line := Cost{
		Requests: waterline(homes, tops, requests, cost.Requests),
		Tokens:   waterline(homes, tops, tokens, cost.Tokens),
	}
	for i, h := range homes {
		part := h.left.Minus(Cost{Requests: tops[i].Requests * line.Requests, Tokens: tops[i].Tokens * line.Tokens})
		switch {
		case i == 0:
			own = part
		case !part.IsZero():
			parts = append(parts, estimate{vm: h.vm, left: part})
		}
	}
	return own, parts
}

// waterline returns the part of its share that each home is left with when an
// amount is drawn on all that hold more than that part.
func waterline(homes []estimate, tops []Cost, of func(Cost) float64, amount float64) float64 {
	line := 0.0
	for range homes {
		left, top := -amount, 0.0
		for i, h := range homes {
			if of(h.left) > line*of(tops[i]) {
				left += of(h.left)
				top += of(tops[i])
			}
		}
		if top == 0 || left/top <= line {
			break
		}
		line = left / top
	}
	return line
}

// fraction returns how full a bucket is, by the scarcer kind.
func fraction(left, top Cost) float64 {
	f := 1.0
	if top.Requests > 0 {
		f = min(f, left.Requests/top.Requests)
	}
	if top.Tokens > 0 {
		f = min(f, left.Tokens/top.Tokens)
	}
	return f
}
