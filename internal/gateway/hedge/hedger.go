package hedge

import (
	"maps"
	"sync"
	"time"
)

// A Hedger is a State that is safe for concurrent use, with counters. A nil Hedger hedges
// nothing.
type Hedger struct {
	mu     sync.Mutex
	state  *State
	counts Counts
}

// Counts are the hedges since the start of the VM.
type Counts struct {
	Sent int64 `json:"sent"`
	Won  int64 `json:"won"`
	Lost int64 `json:"lost"`
	// Tokens is the number of prompt tokens of the hedges.
	Tokens int64 `json:"tokens"`
	// Denied counts slow responses that were not hedged, by reason. DeniedByLimit is the
	// part of them for which the limits of the settings, or the retry budget, are the
	// reason.
	Denied        map[string]int64 `json:"denied,omitempty"`
	DeniedByLimit int64            `json:"deniedbylimit"`
}

// A Report is the state of hedging for operators.
type Report struct {
	Counts
	On bool `json:"on"`
	// Requests and Hedges are what was sent in the last minute, and RequestTokens and
	// HedgeTokens their prompt tokens.
	Requests      int `json:"requests"`
	RequestTokens int `json:"requesttokens"`
	Hedges        int `json:"hedges"`
	HedgeTokens   int `json:"hedgetokens"`
	// Slowdown is the recent time to the first event as a multiple of the usual one, and
	// PauseMS how long there are no hedges because they lost.
	Slowdown float64 `json:"slowdown"`
	PauseMS  int64   `json:"pausems"`
}

// NewHedger returns a Hedger.
func NewHedger(r Rules) *Hedger {
	return &Hedger{state: NewState(r), counts: Counts{Denied: map[string]int64{}}}
}

// SetRules replaces the rules.
func (h *Hedger) SetRules(r Rules) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.state.SetRules(r)
}

// Watch records that an attempt is sent and returns it; nil if its route's requests may not
// be hedged.
func (h *Hedger) Watch(a Attempt, first bool, now time.Time) *Attempt {
	if h == nil {
		return nil
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.state.Sent(&a, first, now) {
		return nil
	}
	return &a
}

// Answered records the first event of an attempt, or its whole response.
func (h *Hedger) Answered(a *Attempt, now time.Time) {
	if a == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.state.Answered(a, now)
}

// Overtaken records that a hedge has answered in place of the attempt.
func (h *Hedger) Overtaken(a *Attempt, now time.Time) {
	if a == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.state.Overtaken(a, now)
}

// Ended records that an attempt has ended.
func (h *Hedger) Ended(a *Attempt, rejected bool, now time.Time) {
	if a == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.state.Ended(a, rejected, now)
}

// Decide returns why a slow response is not hedged, or None and the targets that are slow
// themselves.
func (h *Hedger) Decide(a *Attempt, now time.Time) (denied Denial, slow []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if denied = h.state.Decide(a, now); denied != None {
		return denied, nil
	}
	return None, h.state.Overdue(now)
}

// Start charges a hedge of the attempt to the limit, unless the limit does not permit it.
func (h *Hedger) Start(a *Attempt, now time.Time) Denial {
	h.mu.Lock()
	defer h.mu.Unlock()
	denied := h.state.Start(a, now)
	if denied == None {
		h.counts.Sent++
		h.counts.Tokens += int64(a.Tokens)
	}
	return denied
}

// Deny counts a slow response that is not hedged. ByLimit reports whether a limit is the
// reason.
func (h *Hedger) Deny(reason string, byLimit bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.counts.Denied[reason]++
	if byLimit {
		h.counts.DeniedByLimit++
	}
}

// Settle records whether a hedge has answered its request.
func (h *Hedger) Settle(won bool, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.state.Settle(won, now)
	if won {
		h.counts.Won++
	} else {
		h.counts.Lost++
	}
}

// Report returns the state for operators.
func (h *Hedger) Report(now time.Time) Report {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.state
	sum := s.spent.sums(now)
	r := Report{
		Counts: h.counts, On: s.rules.Requests > 0 && s.rules.Tokens > 0, Requests: sum.sent, RequestTokens: sum.tokens,
		Hedges: sum.hedged, HedgeTokens: sum.hedgeTokens, Slowdown: s.slowdown(now), PauseMS: max(0, s.pausedUntil.Sub(now).Milliseconds()),
	}
	r.Denied = maps.Clone(h.counts.Denied)
	return r
}

// Covers reports whether the settings permit hedges of a route's requests.
func (h *Hedger) Covers(route string) bool {
	if h == nil {
		return false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.state.rules.cover(route)
}
