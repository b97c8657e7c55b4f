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
	// BreakerClosed allows all calls.
	BreakerClosed = "closed"
	// BreakerOpen rejects all calls.
	BreakerOpen = "open"
	// BreakerProbing allows one call, whose outcome closes or opens the breaker.
	BreakerProbing = "probing"
)

const (
	breakerTrip   = "trip"
	breakerProbe  = "probe"
	breakerRepair = "repair"
)

const (
	// breakerFailures is the number of consecutive failures that open a breaker.
	breakerFailures = 5
	// breakerMinDelay and breakerMaxDelay are the first and the largest delay,
	// before jitter, until an open breaker allows a probe.
	breakerMinDelay = 200 * time.Millisecond
	breakerMaxDelay = 3 * time.Second
)

// A breaker is a circuit breaker: it rejects calls while the store fails, and
// allows single probes to detect its recovery.
type breaker struct {
	clock Clock

	mu            sync.Mutex
	machine       *fsm.FSM
	failures      int
	delay         *backoff.ExponentialBackOff
	openUntil     time.Time
	probeInFlight bool
}

func newBreaker(clock Clock) *breaker {
	delay := backoff.NewExponentialBackOff()
	delay.InitialInterval = breakerMinDelay
	delay.MaxInterval = breakerMaxDelay
	return &breaker{
		clock: clock,
		machine: fsm.NewFSM(BreakerClosed, fsm.Events{
			{Name: breakerTrip, Src: []string{BreakerClosed, BreakerProbing}, Dst: BreakerOpen},
			{Name: breakerProbe, Src: []string{BreakerOpen}, Dst: BreakerProbing},
			{Name: breakerRepair, Src: []string{BreakerProbing}, Dst: BreakerClosed},
		}, nil),
		delay: delay,
	}
}

// allow reports whether a call may be made now.
func (b *breaker) allow() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch b.machine.Current() {
	case BreakerClosed:
		return true
	case BreakerOpen:
		if b.clock.Now().Before(b.openUntil) {
			return false
		}
		b.transition(breakerProbe)
		b.probeInFlight = true
		return true
	default:
		if b.probeInFlight {
			return false
		}
		b.probeInFlight = true
		return true
	}
}

// succeeded records a call with a valid response, ErrNotFound and Conflict
// included.
func (b *breaker) succeeded() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.failures = 0
	b.probeInFlight = false
	b.delay.Reset()
	if b.machine.Is(BreakerProbing) {
		b.transition(breakerRepair)
	}
}

// failed records a call without a response, or one that the store rejected.
func (b *breaker) failed() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.failures++
	b.probeInFlight = false
	if b.machine.Is(BreakerProbing) || (b.machine.Is(BreakerClosed) && b.failures >= breakerFailures) {
		b.openUntil = b.clock.Now().Add(b.delay.NextBackOff())
		b.transition(breakerTrip)
	}
}

// cancelled records a call that its caller cancelled, which shows nothing about
// the store.
func (b *breaker) cancelled() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.probeInFlight = false
}

func (b *breaker) state() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.machine.Current()
}

// transition performs a transition that is valid in the current state. The
// caller holds mu.
func (b *breaker) transition(event string) {
	if err := b.machine.Event(context.Background(), event); err != nil {
		panic(err)
	}
}
