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

const (
	lifeAnswer = "answer"
	lifeFail   = "fail"
	lifeProbe  = "probe"
	lifeLeave  = "leave"
	lifeReturn = "return"
)

const (
	// maxFailures is the number of consecutive failures from which a target
	// counts as failing.
	failuresInRow = 3
	// minProbeDelay is the initial delay before a failing target is probed. The
	// delay doubles with each failed probe, up to maxProbeDelay.
	probeAfter  = time.Second
	probeAtMost = 16 * time.Second
)

// A breaker is the circuit breaker of one target.
type life struct {
	machine  *fsm.FSM
	failures int
	wait     time.Duration
	retryAt  time.Time
	// unreachable reports whether the last failure was a failed connection or a
	// missing report. If so, the next report shows that the target is back.
	unreached bool
}

func newLife() *life {
	return &life{
		wait: probeAfter,
		machine: fsm.NewFSM(HealthUnknown, fsm.Events{
			{Name: lifeAnswer, Src: []string{HealthUnknown, HealthProbing}, Dst: HealthLive},
			{Name: lifeFail, Src: []string{HealthUnknown, HealthLive, HealthProbing}, Dst: HealthFailing},
			{Name: lifeProbe, Src: []string{HealthFailing}, Dst: HealthProbing},
			{Name: lifeLeave, Src: []string{HealthUnknown, HealthLive, HealthFailing, HealthProbing}, Dst: HealthLeaving},
			{Name: lifeReturn, Src: []string{HealthLeaving}, Dst: HealthLive},
		}, nil),
	}
}

// state returns the current state.
func (l *life) state() string { return l.machine.Current() }

// fire triggers an event if it is valid in the current state.
func (l *life) fire(event string) {
	if l.machine.Can(event) {
		_ = l.machine.Event(context.Background(), event)
	}
}

// onResponse records that the target responded to a request.
func (l *life) answered() {
	l.failures = 0
	l.wait = probeAfter
	l.fire(lifeAnswer)
}

// onReport records a load report. A target that was unreachable is probed
// immediately, and one that failed requests only after the probe delay.
func (l *life) reported(leaving bool, now time.Time) {
	switch {
	case leaving:
		l.fire(lifeLeave)
	case l.state() == HealthLeaving:
		l.fire(lifeReturn)
	case l.state() == HealthUnknown:
		l.answered()
	case l.unreached:
		l.unreached, l.failures = false, 0
		l.fire(lifeProbe)
	default:
		l.tick(now)
	}
}

// onUnreachable records that no connection could be made. The target counts as
// failing immediately.
func (l *life) unreachable(now time.Time) {
	l.failures = failuresInRow
	l.failed(now)
	l.unreached = true
}

// onNoReport records that the target did not return a report.
func (l *life) silent(now time.Time) {
	l.failed(now)
	l.unreached = true
}

// onFailure records a failed request.
func (l *life) failed(now time.Time) {
	l.failures++
	l.unreached = false
	if l.state() == HealthFailing {
		return
	}
	probing := l.state() == HealthProbing
	if !probing && l.failures < failuresInRow {
		return
	}
	if probing {
		l.wait = min(2*l.wait, probeAtMost)
	}
	l.retryAt = now.Add(l.wait)
	l.fire(lifeFail)
}

// tick starts probing a failing target when the probe delay has passed.
func (l *life) tick(now time.Time) {
	if l.state() == HealthFailing && !now.Before(l.retryAt) {
		l.fire(lifeProbe)
	}
}
