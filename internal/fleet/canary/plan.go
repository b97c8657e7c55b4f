package canary

import "time"

const (
	// writeMargin is the time before the deadline up to which completed may be written:
	// two writes, each of which may have to be repeated.
	writeMargin = time.Second
	// maxMoveFraction is the part of the time of an order that the move may take at most.
	maxMoveFraction = 0.5
	// stepFraction is the part of the time of an order that one step of the move takes,
	// between minStep and maxStep.
	stepFraction = 0.04
	minStep      = 500 * time.Millisecond
	maxStep      = 3 * time.Second
	// drainTime is how long requests at old targets usually run on. Those that take longer
	// may use the margin.
	drainTime = 3 * time.Second
	// minCapacity is the part of the old targets' slots that new ones must have before the
	// traffic moves.
	minCapacity = 0.5
	// settleTime is how long after an order targets may still be unknown to the holder.
	settleTime = 2 * time.Second
	// goneTime is how long no new target may be listed while the traffic moves.
	goneTime = 2 * time.Second
)

// A situation is what the holder of the lease knows of an order.
type situation struct {
	stage Stage
	// age is the time since the order, and stageAge that since the stage began.
	age, stageAge, duration time.Duration
	verdict                 verdict
	// oldSlots and newSlots are the slots of the targets of each version. newGone is how
	// long no new target has been listed.
	oldSlots, newSlots int
	newGone            time.Duration
	// clear reports whether no VM has requests in flight at old targets, nor sends any.
	clear bool
	// updateDelay is how long an update of a VM takes to reach the others.
	updateDelay time.Duration
}

// A decision is the next stage of an order with the reason; the stage is unchanged if the
// reason is empty.
type decision struct {
	stage  Stage
	reason string
}

// stepTime returns the time between two steps of the move.
func (s situation) stepTime() time.Duration {
	return min(max(time.Duration(stepFraction*float64(s.duration)), minStep), maxStep)
}

// moveTime returns the time that the whole move takes.
func (s situation) moveTime() time.Duration {
	move := time.Duration(Full-Watching-1)*s.stepTime() + drainTime + 2*s.updateDelay + 2*writeMargin
	return min(move, time.Duration(maxMoveFraction*float64(s.duration)))
}

// plan decides on the next stage of an order.
//
// The version is observed for as long as there remains time for the move, since some
// versions turn bad late, and a version that is not trusted yet gets few requests.
func plan(s situation) decision {
	switch {
	case s.stage.IsTerminal():
		return decision{stage: s.stage}
	case s.verdict == bad:
		return decision{RolledBack, "the version is bad"}
	case s.stage == Full && s.clear && s.newSlots > 0 && s.age < s.duration-writeMargin/4:
		return decision{Completed, "all traffic has moved"}
	case s.age >= s.duration-writeMargin:
		return decision{RolledBack, s.lateReason()}
	case s.stage == Watching && s.oldSlots == 0 && s.newSlots > 0 && s.age >= settleTime && s.stageAge >= settleTime:
		return decision{Full, "no other version has targets"}
	case s.stage != Watching && s.newSlots == 0 && s.newGone >= goneTime:
		return decision{RolledBack, "the version has no targets any more"}
	case s.stage == Watching && s.verdict == good && s.age >= s.duration-s.moveTime() && s.hasCapacity():
		return decision{Quarter, "the version is as good as the old one"}
	case (s.stage == Quarter || s.stage == Half) && s.stageAge >= s.stepTime() && s.hasCapacity():
		return decision{s.stage + 1, "the version is still as good as the old one"}
	}
	return decision{stage: s.stage}
}

// hasCapacity reports whether the new targets can take the traffic.
func (s situation) hasCapacity() bool {
	return s.newSlots > 0 && float64(s.newSlots) >= minCapacity*float64(s.oldSlots)
}

// lateReason returns why an order was not carried out in time.
func (s situation) lateReason() string {
	switch {
	case s.newSlots == 0:
		return "no target has the version"
	case s.stage == Watching && s.verdict != good:
		return "too few answers to trust the version"
	case s.stage == Watching:
		return "too few targets have the version"
	}
	return "requests were in flight at old targets at the deadline"
}
