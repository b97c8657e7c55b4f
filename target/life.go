package target

import (
	"context"
	"time"

	"github.com/looplab/fsm"
)

// States of a target's life.
const (
	// LifeUnknown is a target that has not answered yet.
	HealthUnknown = "unknown"
	// LifeLive is a target that takes requests.
	HealthLive = "live"
	// LifeFailing is a target that gets no request.
	HealthFailing = "failing"
	// LifeProbing is a target that gets one request at a time.
	HealthProbing = "probing"
	// LifeLeaving is a target that finishes what it has and gets nothing new.
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
	// failuresInRow is the number of failures in a row that take a target out.
	failuresInRow = 3
	// probeAfter is the time from a failure until a target is probed; it doubles
	// with every failed probe up to probeAtMost.
	probeAfter  = time.Second
	probeAtMost = 16 * time.Second
)

// A life is the circuit breaker of one target.
type life struct {
	machine  *fsm.FSM
	failures int
	wait     time.Duration
	retryAt  time.Time
	// unreached tells that the last failure was of a connection or a report, so
	// that the next report shows the target to be back.
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

// fire takes a transition if the current state has it.
func (l *life) fire(event string) {
	if l.machine.Can(event) {
		_ = l.machine.Event(context.Background(), event)
	}
}

// answered records a request that the target answered.
func (l *life) answered() {
	l.failures = 0
	l.wait = probeAfter
	l.fire(lifeAnswer)
}

// reported records a load report. A target that could not be reached is probed
// at once; one that failed requests waits for its time.
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

// unreachable records that no connection could be made, which takes the target
// out at once.
func (l *life) unreachable(now time.Time) {
	l.failures = failuresInRow
	l.failed(now)
	l.unreached = true
}

// silent records that the target gave no report.
func (l *life) silent(now time.Time) {
	l.failed(now)
	l.unreached = true
}

// failed records a request that failed.
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

// tick lets a failing target be probed when its time has come.
func (l *life) tick(now time.Time) {
	if l.state() == HealthFailing && !now.Before(l.retryAt) {
		l.fire(lifeProbe)
	}
}
