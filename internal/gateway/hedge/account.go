package hedge

import "time"

const (
	// period is the sliding time over which the limit holds.
	period = time.Minute
	// sliceTime is the resolution of the sliding time.
	sliceTime = time.Second
	// slots is one more than there are slices in the period: hedges of a slice that is
	// only partly within the period still count.
	slots = int(period/sliceTime) + 1
)

// An account holds what this VM has sent and hedged. The limit needs no messages between
// VMs: each VM hedges at most the permitted share of what it has sent itself, from a credit
// that is zero at the start, so that the sum over any VMs is at most the same share of what
// they have sent. It holds over every period of a minute, and over any shorter time but for
// a burst of two hedges a VM.
type account struct {
	slices [slots]slice
	// credit and tokenCredit are earned by requests and bound a burst of hedges.
	credit, tokenCredit float64
}

// A slice holds the amounts of one second.
type slice struct {
	number              int64
	sent, hedged        int
	tokens, hedgeTokens int
	largest             int
}

func (a *account) at(now time.Time) *slice {
	number := now.UnixNano() / int64(sliceTime)
	s := &a.slices[number%int64(slots)]
	if s.number != number {
		*s = slice{number: number}
	}
	return s
}

// sums returns the amounts of the period: what was sent in less than it, and what was
// hedged in more.
func (a *account) sums(now time.Time) (out slice) {
	number := now.UnixNano() / int64(sliceTime)
	for _, s := range a.slices {
		age := number - s.number
		if age < 0 || age >= int64(slots) {
			continue
		}
		out.hedged += s.hedged
		out.hedgeTokens += s.hedgeTokens
		if age < int64(slots)-1 {
			out.sent += s.sent
			out.tokens += s.tokens
			out.largest = max(out.largest, s.largest)
		}
	}
	return out
}

// earn adds what a request entitles to.
func (a *account) earn(r Rules, tokens int, now time.Time) {
	s := a.at(now)
	s.sent++
	s.tokens += tokens
	s.largest = max(s.largest, tokens)
	a.credit = min(a.credit+r.Requests, burst)
	a.tokenCredit += r.Tokens * float64(tokens)
}

// check returns None if the limit permits one more hedge.
func (a *account) check(r Rules, tokens int, now time.Time) Denial {
	sum := a.sums(now)
	a.tokenCredit = min(a.tokenCredit, burst*float64(sum.largest))
	// Credits are sums of fractions such as 0.02, whose rounding must not deny a hedge.
	const rounding = 1e-6
	switch {
	case a.credit < 1-rounding, float64(sum.hedged+1) > r.Requests*float64(sum.sent)+rounding:
		return RequestLimit
	case a.tokenCredit < float64(tokens)*(1-rounding), float64(sum.hedgeTokens+tokens) > r.Tokens*float64(sum.tokens)+rounding:
		return TokenLimit
	}
	return None
}

// spend charges a hedge.
func (a *account) spend(tokens int, now time.Time) {
	s := a.at(now)
	s.hedged++
	s.hedgeTokens += tokens
	a.credit--
	a.tokenCredit -= float64(tokens)
}
