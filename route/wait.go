package route

import (
	"time"

	"github.com/baobabdyke/baobabdyke/prefix"
	"github.com/baobabdyke/baobabdyke/target"
)

// expectedCachedTokens returns the number of prompt tokens that the engine is
// expected to have cached when it starts the request.
func (a *account) heldTokens(plan uint64, prompt prefix.Prompt) int {
	if a.plan != plan {
		return 0
	}
	held := int(float64(a.pieces*prompt.PieceTokens) * a.worth)
	return max(held, a.flight*prompt.PieceTokens)
}

// estimateWait returns the time until the target would start one more request,
// and the number of requests ahead of it. The estimate is the reported backlog,
// less the time since the report was taken, plus the requests that this VM sent
// after the report was taken.
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

// slotWait returns the estimated time until one of the target's slots is free.
func slotWait(requests int, s *target.State, a *account) time.Duration {
	slots := s.Target.Slots
	if slots <= 0 || requests < slots {
		return 0
	}
	return time.Duration(requests-slots+1) * a.hold / time.Duration(slots)
}

// prefillTime returns the time that the target needs to compute the given
// number of prompt tokens.
func compute(s *target.State, tokens int) time.Duration {
	rate := s.Report.PrefillRate
	if rate <= 0 {
		rate = defaultPrefill
	}
	return time.Duration(float64(tokens) / rate * float64(time.Second))
}
