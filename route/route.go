// Package route chooses the target of a request by the expected time to first
// token (TTFT).
package route

import (
	"time"

	"github.com/baobabdyke/baobabdyke/config"
	"github.com/baobabdyke/baobabdyke/prefix"
)

// A Request describes a request that needs a target. MaxTokens is the maximum
// number of tokens of the response. Excluded lists the targets on which the
// request has already failed. AwaitedPrefill reports whether the request has
// already waited for the prefill of another request; it waits at most once.
type Request struct {
	Route          *config.Route
	Prompt         prefix.Prompt
	MaxTokens      int
	Deadline       time.Time
	Excluded       []string
	AwaitedPrefill bool
}

// A Choice is the result of Choose: Chosen, AwaitPrefill or NoTarget.
type Choice interface{ choice() }

// Chosen is the selected target, with the incarnation and weights version that
// the choice was based on. CachedTokens is the number of prompt tokens expected
// in the target's prefix cache, and PrefillTime the estimated time to compute
// the other prompt tokens. The caller must call FirstByte when the first byte of
// the response arrives, if it does, and Done exactly once, with the outcome, when
// the attempt has ended. ChosenAt is the time of the choice; a request that is
// sent much later must be routed again.
type Chosen struct {
	Target       *config.Target
	ChosenAt     time.Time
	Incarnation  string
	Weights      string
	CachedTokens int
	ExpectedTTFT time.Duration
	PrefillTime  time.Duration
	FirstByte    func()
	Done         func(firstByte time.Duration, err error)
}

// AwaitPrefill reports that another request is already computing the same
// uncached prefix. The caller should choose again when Ready is closed or at
// Until, whichever comes first.
type AwaitPrefill struct {
	Ready <-chan struct{}
	Until time.Time
}

// NoTarget reports that no target can accept the request now.
type NoTarget struct {
	Reason     string
	RetryAfter time.Duration
}

func (Chosen) choice()       {}
func (AwaitPrefill) choice() {}
func (NoTarget) choice()     {}
