package admission

import (
	"math"
	"time"
)

const (
	// evidenceHalfLife is the time after which what was observed counts half. A VM of a
	// large fleet sends some four to eight requests a second and service.
	evidenceHalfLife = 300 * time.Millisecond
	// priorRequests is the number of requests without any wait that are assumed beside
	// those observed, so that a single late one shows no overload.
	priorRequests = 1.0
	// targetWait is the wait that the control aims at, as a part of the bound on timely
	// first tokens.
	targetWait = 0.45
	// targetOccupancy is the share of the slots from which on requests are refused although
	// none wait: with more of them an engine answers all of them more slowly, so that they
	// stay longer, until all slots are taken and first tokens take seconds.
	targetOccupancy = 0.5
	// maxWait is the longest wait that counts of one request. What a request waits beyond it
	// says how the load was, not how it is.
	maxWait = 2.0
	// The constants below were chosen with the model of the tests, whose loop of control and
	// queues they damp: with half of the evidence's half-life or a third of the proportional
	// part, the level swings between minLevel and 1.

	// proportional and quadratic are by how much the share of admitted requests falls with
	// the wait beyond the target, and leastFactor bounds it.
	proportional = 0.5
	quadratic    = 0.3
	leastFactor  = 0.1
	// integral is by how much the level changes a second with the wait beyond the target. With
	// a wait that is shorter than the target by more than usualRoom, nothing waits at the
	// targets, and the level rises faster by recovery.
	integral  = 0.6
	usualRoom = 0.25
	recovery  = 4
	// maxLevel is the highest level. That it exceeds 1 keeps a few late requests of a
	// service that is not overloaded, as after the loss of a target, from causing refusals.
	maxLevel = 1.4
	// minLevel is the lowest level. Requests must be sent to see whether targets have
	// room again.
	minLevel = 0.03
	// stepInterval is the least time between two steps of the control, and maxStep the
	// longest time for which one counts. A VM that was suspended has observed nothing.
	stepInterval = 10 * time.Millisecond
	maxStep      = 250 * time.Millisecond
)

// A service is the state of admission for one service.
type service struct {
	name string
	// level is the share of the work asked for that is admitted at the targeted wait.
	level    float64
	lastStep time.Time
	// waited and sent are decaying sums of the waits for first tokens, as parts of their
	// bounds, and of the requests that were sent. Their ratio is the mean wait. It follows
	// the queues of the targets at once, where the first tokens show how long the queues
	// were when the requests were sent.
	waited, sent float64
	// pending are the tickets whose first token has not arrived.
	pending []*Ticket
	running int
	// occupancy is the share of the slots that are taken.
	occupancy float64
	// shortest is the shortest bound of the service's requests.
	shortest time.Duration
	flows    map[flowKey]*flow
	// forgotten are the counts of flows that are no longer kept.
	forgotten Counts
	// sharedAt is when the shares of the flows were last computed.
	sharedAt time.Time
	// refusedAt is when the last request was refused.
	refusedAt time.Time
}

func newService(name string, now time.Time) *service {
	return &service{name: name, level: maxLevel, lastStep: now, flows: map[flowKey]*flow{}, sharedAt: now}
}

// advance processes the passing of time: the waits of pending tickets, and a step of the
// control.
func (v *service) advance(now time.Time) {
	dt := now.Sub(v.lastStep)
	if dt < stepInterval {
		return
	}
	decay := math.Exp2(-dt.Seconds() / evidenceHalfLife.Seconds())
	v.waited, v.sent = v.waited*decay, v.sent*decay
	left := v.pending[:0]
	for _, t := range v.pending {
		if v.wait(t, now); !t.decided {
			left = append(left, t)
		}
	}
	clear(v.pending[len(left):])
	v.pending, v.lastStep = left, now
	change := -integral * v.excess()
	if room := -v.excess() - usualRoom; room > 0 {
		change += recovery * room
	}
	v.level = min(max(v.level*math.Exp(change*min(dt, maxStep).Seconds()), minLevel), maxLevel)
}

// wait adds what a ticket has waited since the last time.
func (v *service) wait(t *Ticket, now time.Time) {
	if t.decided {
		return
	}
	waited := min(float64(now.Sub(t.sent))/float64(t.bound), maxWait)
	v.waited += waited - t.waited
	t.waited = waited
	t.decided = waited >= maxWait
}

// meanWait returns the mean wait for first tokens, as a part of their bounds.
func (v *service) meanWait() float64 { return v.waited / (v.sent + priorRequests) }

// excess returns by how much the wait or the occupancy exceeds its target, in units of the
// wait. It is negative if both are below.
func (v *service) excess() float64 {
	pressure := max(v.meanWait()/targetWait, v.occupancy/targetOccupancy)
	return (min(pressure, maxPressure) - 1) * targetWait
}

// maxPressure bounds the pressure that counts: that of a wait of maxWait.
const maxPressure = maxWait / targetWait

// admitted returns the share of the work asked for that is admitted now; all from 1 on.
func (v *service) admitted() float64 {
	x := v.excess()
	factor := 1 - proportional*x
	if x > 0 {
		factor -= quadratic * x * x
	}
	return v.level * max(factor, leastFactor)
}

// decide records that a ticket's wait is over.
func (v *service) decide(t *Ticket, refused bool, now time.Time) {
	v.wait(t, now)
	if !t.decided && refused {
		v.waited += maxWait - t.waited
	}
	t.decided = true
}

// maxBoundRatio bounds the bounds of a service's requests, as a multiple of the shortest
// one. The waits of more patient classes show too late that queues grow.
const maxBoundRatio = 2

// bound returns the bound of a request.
func (v *service) bound(r *Request) time.Duration {
	b := max(r.bound(), time.Millisecond)
	if v.shortest == 0 || b < v.shortest {
		v.shortest = b
	}
	return min(b, maxBoundRatio*v.shortest)
}
