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
	targetWait = 0.5
	// targetOccupancy is the share of the slots from which on requests are refused although
	// none wait: with more of them an engine answers all of them more slowly, so that they
	// stay longer, until all slots are taken and first tokens take seconds.
	targetOccupancy = 0.5
	// freeOccupancy is the share of the slots below which waits show no overload.
	freeOccupancy = 0.35
	// tolerableFull is the share of requests that all targets reject below which the same
	// holds.
	tolerableFull = 0.1
	// tolerableWait is the mean wait of a class at all VMs up to which waits show no overload,
	// and overloadWait that from which on they do. In calm that of the streams with the
	// shortest goal is some 0.6 on the deployment with scarce capacity, by its median. minSent is the number
	// of requests that a mean is taken of.
	tolerableWait = 0.8
	overloadWait  = 1.0
	minSent       = 15
	// openRate is the relative rise of the level a second while waits show no overload.
	openRate = 2.0
	// maxWait is the longest wait that counts of one request. What a request waits beyond it
	// says how the load was, not how it is. With 2, VMs of the deployment with
	// scarce capacity refused 57% while the median wait was that of calm, it is suspected for
	// the few that hung at busy or loading engines.
	maxWait = 1.3
	// proportional and quadratic are by how much the share of admitted requests falls with
	// the wait beyond the target, and leastFactor bounds it.
	proportional = 0.8
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
	maxLevel = 1.1
	// minLevel is the lowest level. Requests must be sent to see whether targets have
	// room again.
	minLevel = 0.03
	// stepInterval is the least time between two steps of the control, and maxStep the
	// longest time for which one counts. A VM that was suspended has observed nothing.
	stepInterval = 10 * time.Millisecond
	maxStep      = 250 * time.Millisecond
)

// waits are decaying sums of requests and of their waits.
type waits struct{ waited, sent float64 }

func (w *waits) decay(by float64) { w.waited, w.sent = w.waited*by, w.sent*by }

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
	waits
	// classes are the same by class.
	classes map[uint32]*class
	// worst is the mean wait of the class of the service that waits longest, over all VMs.
	worst float64
	// full is a decaying count of the requests that all targets rejected.
	full float64
	// pending are the tickets whose first token has not arrived.
	pending []*Ticket
	running int
	// occupancy is the share of the slots that are taken, more than 1 if requests wait at the
	// targets; 0 if it is not known. own and fleet are averages of the loads by which it is
	// estimated, as of loadAt.
	occupancy  float64
	own, fleet float64
	loadAt     time.Time
	// queues reports whether the targets queue requests when they are full.
	queues bool
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
	return &service{name: name, level: maxLevel, lastStep: now, loadAt: now, flows: map[flowKey]*flow{}, classes: map[uint32]*class{}, sharedAt: now}
}

// advance processes the passing of time: the waits of pending tickets, and a step of the
// control.
func (v *service) advance(now time.Time) {
	dt := now.Sub(v.lastStep)
	if dt < stepInterval {
		return
	}
	decay := math.Exp2(-dt.Seconds() / evidenceHalfLife.Seconds())
	v.full *= decay
	v.decay(decay)
	for _, w := range v.classes {
		w.decay(decay)
	}
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
	if v.gate() == 0 {
		change = max(change, openRate)
	}
	v.level = min(max(v.level*math.Exp(change*min(dt, maxStep).Seconds()), minLevel), maxLevel)
}

// wait adds what a ticket has waited since the last time.
func (v *service) wait(t *Ticket, now time.Time) {
	if t.decided {
		return
	}
	v.addWait(t, min(float64(now.Sub(t.sent))/float64(t.bound), maxWait))
	t.decided = t.waited >= maxWait
}

func (v *service) addWait(t *Ticket, waited float64) {
	v.waited += waited - t.waited
	t.class.waited += waited - t.waited
	t.waited = waited
}

// class returns the state of a class.
func (v *service) class(name string) (uint32, *class) {
	hash := flowHash(v.name, flowKey{class: name})
	c, ok := v.classes[hash]
	if !ok {
		c = &class{}
		v.classes[hash] = c
	}
	return hash, c
}

// updateWorst computes the mean wait of the class that waits longest.
func (v *service) updateWorst(p *pool, now time.Time) {
	p.refresh(now)
	v.worst = 0
	for hash, w := range v.classes {
		all := p.waits[hash]
		if sent := all.sent + w.sent; sent >= minSent {
			v.worst = max(v.worst, (all.waited+w.waited)/sent)
		}
	}
}

// meanWait returns the mean wait for first tokens, as a part of their bounds.
func (v *service) meanWait() float64 { return v.waited / (v.sent + priorRequests) }

// gate returns how much waits count, from 0 to 1. The waits at one VM are no proof of
// overload: first tokens are late too after the loss of an engine, while it loads weights,
// and where a prompt's prefix is not cached. They count while many slots are taken, while
// targets reject requests as full, or while a class waits too long at all VMs.
func (v *service) gate() float64 {
	full := ramp(v.full/(v.sent+priorRequests), tolerableFull, 2*tolerableFull)
	if !v.queues {
		return full
	}
	return max(full, ramp(v.occupancy, freeOccupancy, targetOccupancy), ramp(v.worst, tolerableWait, overloadWait))
}

// ramp rises from 0 at low to 1 at high.
func ramp(x, low, high float64) float64 { return min(max((x-low)/(high-low), 0), 1) }

// excess returns by how much the wait or the occupancy exceeds its target, in units of the
// wait. It is negative if both are below.
func (v *service) excess() float64 {
	pressure := v.gate() * v.meanWait() / targetWait
	if v.queues {
		pressure = max(pressure, v.occupancy/targetOccupancy)
	}
	return (min(pressure, maxPressure) - 1) * targetWait
}

// maxPressure bounds the pressure that counts: more of it changes the level no faster.
const maxPressure = 4.4

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
	if refused {
		v.full++
	}
	if !t.decided && refused {
		v.addWait(t, maxWait)
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

// loadHalfLife is the half-life of the averages by which this VM's part of the fleet's
// requests is estimated.
const loadHalfLife = 8 * time.Second

// observeLoad estimates the share of the slots that are taken. What other VMs report is
// seconds old in a large fleet, too old to keep a service near its target. This VM's own
// requests are known at once, and are the same part of all as on average.
func (v *service) observeLoad(l Load, now time.Time) {
	if l.Slots <= 0 {
		v.occupancy = 0
		return
	}
	weight := 1 - math.Exp2(-now.Sub(v.loadAt).Seconds()/loadHalfLife.Seconds())
	v.loadAt = now
	v.own += weight * (float64(l.Own) - v.own)
	v.fleet += weight * (l.Fleet - v.fleet)
	part := (v.own + 1) / (v.fleet + float64(max(l.VMs, 1)))
	v.occupancy = float64(l.Own) / min(part, 1) / float64(l.Slots)
}
