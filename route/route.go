// Package route chooses the target of a request by the expected time to its
// first token, and decides what a failed attempt may be followed by.
package route

import (
	"time"

	"github.com/baobabdyke/baobabdyke/config"
	"github.com/baobabdyke/baobabdyke/prefix"
)

// A Request is what a choice is made on. Excluded names targets that already
// failed it. Followed tells that it has waited for a prefill and does not again.
type Request struct {
	Route          *config.Route
	Prompt         prefix.Prompt
	Output         int
	Deadline       time.Time
	Excluded       []string
	AwaitedPrefill bool
}

// A Choice is the outcome of choosing: Chosen, Follow or NoTarget.
type Choice interface{ choice() }

// Chosen names the target with the incarnation and weight version that the
// choice relied on. Held is the number of prompt tokens expected in its cache,
// Missing the time that it takes to compute the others. First must be called
// when the first byte of the answer comes, if it does, and Done once when the
// attempt has ended, with the outcome. At is when the choice was made; a send much
// later must be chosen anew.
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

// Follow reports that another request computes the same cold prefix: choose
// again when Ready closes or after the time Until.
type AwaitPrefill struct {
	Ready <-chan struct{}
	Until time.Time
}

// NoTarget reports that no target can take the request now.
type NoTarget struct {
	Reason     string
	RetryAfter time.Duration
}

func (Chosen) choice()       {}
func (AwaitPrefill) choice() {}
func (NoTarget) choice()     {}
