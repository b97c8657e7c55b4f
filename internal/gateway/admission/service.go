package admission

import (
	"math"
	"time"
)

const (
	// evidenceHalfLife is the time after which an observed request counts half. A VM of a
	// large fleet observes some eight requests a second and service.
	evidenceHalfLife = 500 * time.Millisecond
	// priorTimely is the number of timely requests that are assumed beside those observed,
	// so that a single late one shows no overload.
	priorTimely = 2.0
	// targetLate is the share of late requests that the control aims at. Without any the
	// targets may have room left.
	targetLate = 0.12
	// increase and decrease are the relative changes of the level a second at no late
	// requests, and for each unit of the share of late requests beyond the target.
	increase = 0.4
	decrease = 2.0
	// maxLevel is the highest level. That it exceeds 1 keeps a few late requests of a
	// service that is not overloaded, as after the loss of a target, from causing refusals.
	maxLevel = 1.4
	// minLevel is the lowest level. Requests must be sent to see whether targets have
	// room again.
	minLevel = 0.05
	// stepInterval is the least time between two steps of the control, and maxStep the
	// longest time for which one counts. A VM that was suspended has observed nothing.
	stepInterval = 20 * time.Millisecond
	maxStep      = 250 * time.Millisecond
)

// A service is the state of admission for one service.
type service struct {
	// level is the share of the work asked for that is admitted; all is from 1 on.
	level    float64
	lastStep time.Time
	// timely and late are decaying counts of requests by their first token.
	timely, late float64
	// pending are the tickets for which it is not known whether they are timely.
	pending []*Ticket
	running int
	flows   map[flowKey]*flow
	// forgotten are the counts of flows that are no longer kept.
	forgotten Counts
	// sharedAt is when the shares of the flows were last computed.
	sharedAt time.Time
}

func newService(now time.Time) *service {
	return &service{level: maxLevel, lastStep: now, flows: map[flowKey]*flow{}, sharedAt: now}
}

// advance processes the passing of time: tickets that have become late, and a step of the
// control.
func (v *service) advance(now time.Time) {
	dt := now.Sub(v.lastStep)
	if dt < stepInterval {
		return
	}
	v.lastStep = now
	left := v.pending[:0]
	for _, t := range v.pending {
		if !t.decided && now.After(t.due) {
			v.decide(t, false)
		}
		if !t.decided {
			left = append(left, t)
		}
	}
	clear(v.pending[len(left):])
	v.pending = left
	decay := math.Exp2(-dt.Seconds() / evidenceHalfLife.Seconds())
	v.timely *= decay
	v.late *= decay
	v.level = nextLevel(v.level, v.lateShare(), min(dt, maxStep))
}

// lateShare returns the share of late requests.
func (v *service) lateShare() float64 { return v.late / (v.timely + v.late + priorTimely) }

// nextLevel returns the level after a step of dt at a share of late requests.
func nextLevel(level, late float64, dt time.Duration) float64 {
	change := increase * (1 - late/targetLate)
	if late > targetLate {
		change = -decrease * (late - targetLate)
	}
	return min(max(level*math.Exp(change*dt.Seconds()), minLevel), maxLevel)
}

// decide records whether a request is timely. Only the first call for a ticket counts.
func (v *service) decide(t *Ticket, timely bool) {
	if t.decided {
		return
	}
	t.decided = true
	if timely {
		v.timely++
	} else {
		v.late++
	}
}
