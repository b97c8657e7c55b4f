package route

import (
	"time"

	"github.com/baobabdyke/baobabdyke/prefix"
	"github.com/baobabdyke/baobabdyke/target"
)

// heldTokens returns the tokens of the prompt that the engine is expected to
// hold when it starts on it.
func (a *account) heldTokens(plan uint64, prompt prefix.Prompt) int {
	if a.plan != plan {
		return 0
	}
	held := int(float64(a.pieces*prompt.PieceTokens) * a.worth)
	return max(held, a.flight*prompt.PieceTokens)
}

// wait returns the time until the target starts on one more request, and the
// number of requests before it: the reported backlog, less what it did since,
// and what this VM sent that the report cannot show yet.
func wait(now time.Time, s *target.State, a *account) (time.Duration, int) {
	if !s.Reported {
		return slotWait(len(a.sends), s, a), len(a.sends)
	}
	taken := s.ReportedAt.Add(-target.ReportLag)
	tokens, requests := s.Report.PendingTokens, s.Report.Running+s.Report.Queued
	for _, d := range a.sends {
		if d.at.After(taken) {
			tokens += d.tokens
			requests++
		}
	}
	backlog := compute(s, tokens) - now.Sub(taken)
	return max(0, backlog) + slotWait(requests, s, a), requests
}

// slotWait returns the time until one of the target's slots becomes free.
func slotWait(requests int, s *target.State, a *account) time.Duration {
	slots := s.Target.Slots
	if slots <= 0 || requests < slots {
		return 0
	}
	return time.Duration(requests-slots+1) * a.hold / time.Duration(slots)
}

// compute returns the time to compute prompt tokens.
func compute(s *target.State, tokens int) time.Duration {
	rate := s.Report.PrefillRate
	if rate <= 0 {
		rate = defaultPrefill
	}
	return time.Duration(float64(tokens) / rate * float64(time.Second))
}
