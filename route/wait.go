package route

import (
	"time"

	"github.com/baobabdyke/baobabdyke/prefix"
	"github.com/baobabdyke/baobabdyke/target"
)

// expectedCachedTokens returns the number of prompt tokens that the engine is
// expected to have cached when it starts the request.
func (t *targetStats) expectedCachedTokens(planID uint64, prompt prefix.Prompt) int {
	if t.planID != planID {
		return 0
	}
	cached := int(float64(t.cachedPieces*prompt.PieceTokens) * t.confidence)
	return max(cached, t.inFlightPieces*prompt.PieceTokens)
}

// estimateWait returns the time until the target would start one more request,
// and the number of requests ahead of it. The estimate is the reported backlog,
// less the time since the report was taken, plus the requests that this VM sent
// after the report was taken.
func estimateWait(now time.Time, s *target.State, stats *targetStats) (time.Duration, int) {
	if !s.Reported {
		return slotWait(len(stats.sends), s, stats), len(stats.sends)
	}
	takenAt := s.ReportedAt.Add(-target.ReportLag)
	tokens, requests := s.Report.PendingTokens, s.Report.Running+s.Report.Queued
	for _, sent := range stats.sends {
		if sent.sentAt.After(takenAt) {
			tokens += sent.prefillTokens
			requests++
		}
	}
	backlog := prefillTime(s, tokens) - now.Sub(takenAt)
	return max(0, backlog) + slotWait(requests, s, stats), requests
}

// slotWait returns the estimated time until one of the target's slots is free.
func slotWait(requests int, s *target.State, stats *targetStats) time.Duration {
	slots := s.Target.Slots
	if slots <= 0 || requests < slots {
		return 0
	}
	return time.Duration(requests-slots+1) * stats.slotTime / time.Duration(slots)
}

// prefillTime returns the time that the target needs to compute the given
// number of prompt tokens.
func prefillTime(s *target.State, tokens int) time.Duration {
	rate := s.Report.PrefillRate
	if rate <= 0 {
		rate = defaultPrefillRate
	}
	return time.Duration(float64(tokens) / rate * float64(time.Second))
}
