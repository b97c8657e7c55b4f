package target

import (
	"context"
	"time"

	"github.com/looplab/fsm"
)

// Values of State.Health.
const (
	// HealthUnknown means that the target has not responded yet.
	HealthUnknown = "unknown"
	// HealthLive means that the target accepts requests.
	HealthLive = "live"
	// HealthFailing means that the target gets requests only as a last resort.
	HealthFailing = "failing"
	// HealthProbing means that the target gets one request at a time, to test
	// whether it works again.
	HealthProbing = "probing"
	// HealthLeaving means that the target finishes its current requests and gets
	// no new ones.
	HealthLeaving = "leaving"
)

// Events of a breaker.
const (
	eventResponded = "answer"
	eventFailed    = "fail"
	eventProbe     = "probe"
	eventLeaving   = "leave"
	eventReturned  = "return"
)

const (
	// maxFailures is the number of consecutive failures from which a target
	// counts as failing.
	maxFailures = 3
	// minProbeDelay is the initial delay before a failing target is probed. The
	// delay doubles with each failed probe, up to maxProbeDelay.
	minProbeDelay = time.Second
	maxProbeDelay = 16 * time.Second
)

// A breaker is the circuit breaker of one target.
type breaker struct {
	machine    *fsm.FSM
	failures   int
	probeDelay time.Duration
	probeAt    time.Time
	// lostContact reports whether the last failure was a failed connection or a
	// missing report. If so, the next report shows that the target is back.
	lostContact bool
}

func newBreaker() *breaker {
	return &breaker{
		probeDelay: minProbeDelay,
		machine: fsm.NewFSM(HealthUnknown, fsm.Events{
			{Name: eventResponded, Src: []string{HealthUnknown, HealthProbing}, Dst: HealthLive},
			{Name: eventFailed, Src: []string{HealthUnknown, HealthLive, HealthProbing}, Dst: HealthFailing},
			{Name: eventProbe, Src: []string{HealthFailing}, Dst: HealthProbing},
			{Name: eventLeaving, Src: []string{HealthUnknown, HealthLive, HealthFailing, HealthProbing}, Dst: HealthLeaving},
			{Name: eventReturned, Src: []string{HealthLeaving}, Dst: HealthLive},
		}, nil),
	}
}

// state returns the current state.
func (b *breaker) state() string { return b.machine.Current() }

// fire triggers an event if it is valid in the current state.
func (b *breaker) fire(event string) {
	if b.machine.Can(event) {
		_ = b.machine.Event(context.Background(), event)
	}
}

// onResponse records that the target responded to a request.
func (b *breaker) onResponse() {
	b.failures = 0
	b.probeDelay = minProbeDelay
	b.fire(eventResponded)
}

// onReport records a load report. A target that was unreachable is probed
// immediately, and one that failed requests only after the probe delay.
func (b *breaker) onReport(leaving bool, now time.Time) {
	switch {
	case leaving:
		b.fire(eventLeaving)
	case b.state() == HealthLeaving:
		b.fire(eventReturned)
	case b.state() == HealthUnknown:
		b.onResponse()
	case b.lostContact:
		b.lostContact, b.failures = false, 0
		b.fire(eventProbe)
	default:
		b.tick(now)
	}
}

// onUnreachable records that no connection could be made. The target counts as
// failing immediately.
func (b *breaker) onUnreachable(now time.Time) {
	b.failures = maxFailures
	b.onFailure(now)
	b.lostContact = true
}

// onNoReport records that the target did not return a report.
func (b *breaker) onNoReport(now time.Time) {
	b.onFailure(now)
	b.lostContact = true
}

// onFailure records a failed request.
func (b *breaker) onFailure(now time.Time) {
	b.failures++
	b.lostContact = false
	if b.state() == HealthFailing {
		return
	}
	probing := b.state() == HealthProbing
	if !probing && b.failures < maxFailures {
		return
	}
	if probing {
		b.probeDelay = min(2*b.probeDelay, maxProbeDelay)
	}
	b.probeAt = now.Add(b.probeDelay)
	b.fire(eventFailed)
}

// tick starts probing a failing target when the probe delay has passed.
func (b *breaker) tick(now time.Time) {
	if b.state() == HealthFailing && !now.Before(b.probeAt) {
		b.fire(eventProbe)
	}
}
