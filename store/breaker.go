package store

import (
	"context"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/looplab/fsm"
)

// States of a breaker.
const (
	// BreakerClosed lets all calls through.
	BreakerClosed = "closed"
	// BreakerOpen refuses all calls.
	BreakerOpen = "open"
	// BreakerProbing lets one call through, which decides.
	BreakerProbing = "probing"
)

const (
	breakerTrip   = "trip"
	breakerProbe  = "probe"
	breakerRepair = "repair"
)

const (
	// breakerFailures is the number of failures in a row that open a breaker.
	breakerFailures = 5
	// breakerFirst and breakerMax bound the jittered time until a probe.
	breakerFirst = 200 * time.Millisecond
	breakerMax   = 3 * time.Second
)

// A breaker keeps calls from a store that fails, and lets single probes find
// out when it is back.
type breaker struct {
	clock Clock

	mu       sync.Mutex
	life     *fsm.FSM
	failures int
	wait     *backoff.ExponentialBackOff
	until    time.Time
	probing  bool
}

func newBreaker(clock Clock) *breaker {
	wait := backoff.NewExponentialBackOff()
	wait.InitialInterval = breakerFirst
	wait.MaxInterval = breakerMax
	return &breaker{
		clock: clock,
		life: fsm.NewFSM(BreakerClosed, fsm.Events{
			{Name: breakerTrip, Src: []string{BreakerClosed, BreakerProbing}, Dst: BreakerOpen},
			{Name: breakerProbe, Src: []string{BreakerOpen}, Dst: BreakerProbing},
			{Name: breakerRepair, Src: []string{BreakerProbing}, Dst: BreakerClosed},
		}, nil),
		wait: wait,
	}
}

// allow tells whether a call may be made now.
func (b *breaker) allow() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch b.life.Current() {
	case BreakerClosed:
		return true
	case BreakerOpen:
		if b.clock.Now().Before(b.until) {
			return false
		}
		b.move(breakerProbe)
		b.probing = true
		return true
	default:
		if b.probing {
			return false
		}
		b.probing = true
		return true
	}
}

// worked notes a call that the store answered.
func (b *breaker) worked() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.failures = 0
	b.probing = false
	b.wait.Reset()
	if b.life.Is(BreakerProbing) {
		b.move(breakerRepair)
	}
}

// failed notes a call that the store did not answer or refused.
func (b *breaker) failed() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.failures++
	b.probing = false
	if b.life.Is(BreakerProbing) || (b.life.Is(BreakerClosed) && b.failures >= breakerFailures) {
		b.until = b.clock.Now().Add(b.wait.NextBackOff())
		b.move(breakerTrip)
	}
}

// unheard notes a call whose caller gave up: it says nothing of the store.
func (b *breaker) unheard() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.probing = false
}

func (b *breaker) state() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.life.Current()
}

// move makes a transition that the caller, who holds mu, has checked.
func (b *breaker) move(event string) {
	if err := b.life.Event(context.Background(), event); err != nil {
		panic(err)
	}
}
