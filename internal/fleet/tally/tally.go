// Package tally adds up what the VMs of a large fleet admit.
//
// A VM reports its amounts to one relay of its data centre, relays tell each other the sums
// of those that report to them, and a VM gets the total of the fleet in response. Totals are
// 1.6 s old at most unless calls are lost, where the updates that name each VM's amounts are
// up to 6 s old in a fleet of 195 VMs. They cost a VM one small message in each period,
// whatever the size of the fleet.
package tally

import (
	"maps"
	"time"
)

const (
	// Period is the mean time between two reports of a VM.
	Period = 400 * time.Millisecond
	// freshReportTime is how long a VM counts as reporting to a relay. Two reports in a row
	// may be lost.
	freshReportTime = 3 * Period
	// countedTime is how long after the last response of a relay a VM lets its amounts since then
	// be counted. Those of a longer time are of no limit's window any more, and would be a debt
	// of its customers: those of its share of the rate, or of a fleet that was small.
	countedTime = 10 * time.Second
	// forgetReportTime is how long the last report of a VM is kept.
	forgetReportTime = time.Minute
)

// A Report holds the amounts that have been admitted since a start, by customer: by the VM
// that sends it, by those that report to a relay, or by the fleet as a relay knows it.
type Report struct {
	// Born identifies the incarnation of the sender.
	Born  int64            `cbor:"1,keyasint"`
	Spent map[string]int64 `cbor:"2,keyasint"`
	// VMs is the number of VMs whose amounts are added up, 0 for those of one VM.
	VMs int `cbor:"3,keyasint,omitempty"`
	// Counted holds those amounts of a VM that the last response of a relay has shown to be
	// counted, and CountedBy is the incarnation of that relay if it is the receiver.
	// StatesCounted reports whether the VM states them; it does not if no relay has responded
	// lately.
	Counted       map[string]int64 `cbor:"4,keyasint,omitempty"`
	CountedBy     int64            `cbor:"5,keyasint,omitempty"`
	StatesCounted bool             `cbor:"6,keyasint,omitempty"`
	// Levels are the levels of the customers' buckets as the relay knows them with this total.
	// They are returned to a VM whose last response was of another relay.
	Levels map[string]int64 `cbor:"7,keyasint,omitempty"`
	// Seq increases with each report of an incarnation, so that one that was held up does not
	// replace a later one; 0 from a sender of an earlier build.
	Seq uint64 `cbor:"8,keyasint,omitempty"`
}

// IsKnownTo reports whether the VM that sends the report had its last response from the
// given incarnation of a relay.
func (r *Report) IsKnownTo(relayBorn int64) bool { return r.CountedBy == relayBorn }

// A Sender is what a VM knows of its reports to relays.
type Sender struct {
	// counted is the last report to which a relay responded, and relay and born that relay
	// and its incarnation.
	counted map[string]int64
	relay   string
	born    int64
	// at is when that report was sent.
	at  time.Time
	seq uint64
}

// Complete adds to a report of this VM to a relay what is counted of it.
func (s *Sender) Complete(r Report, relay string, now time.Time) Report {
	s.seq++
	r.Seq = s.seq
	if relay == s.relay {
		r.CountedBy = s.born
	}
	if s.relay != "" && now.Sub(s.at) <= countedTime {
		r.Counted, r.StatesCounted = s.counted, true
	}
	return r
}

// Acknowledge records that an incarnation of a relay has responded to a report that was sent
// at a time.
func (s *Sender) Acknowledge(r Report, relay string, born int64, sent time.Time) {
	s.counted, s.relay, s.born, s.at = r.Spent, relay, born, sent
}

// A counted is what was last reported by one sender.
type counted struct {
	Report
	at time.Time
}

// A Tally adds up what the VMs report to a relay. It is not safe for concurrent use.
type Tally struct {
	born int64
	// members and groups hold the last reports of VMs and of other relays.
	members, groups map[string]*counted
	// group and fleet are the amounts admitted since this relay's start, by the VMs that
	// report to it and by all.
	group, fleet map[string]int64
	// seq is that of the last sum for another relay.
	seq uint64
}

// NewTally returns the Tally of an incarnation of a relay.
func NewTally(born int64) *Tally {
	return &Tally{
		born: born, members: map[string]*counted{}, groups: map[string]*counted{},
		group: map[string]int64{}, fleet: map[string]int64{},
	}
}

// Record adds what a VM or another relay has reported. Of a sender that was not known, only
// what it admits from now on is added, unless it states what is counted.
func (t *Tally) Record(from string, r Report, now time.Time) {
	last := t.members
	if r.VMs > 0 {
		last = t.groups
	}
	c, ok := last[from]
	if !ok {
		c = &counted{}
		last[from] = c
	}
	if ok && r.Born == c.Born && r.Seq < c.Seq {
		return
	}
	before := c.Spent
	switch {
	case ok && r.Born == c.Born && r.StatesCounted && r.CountedBy != t.born:
		// Another relay has responded meanwhile, and has counted more unless this one did so
		// too late for its response.
		before = latest(c.Spent, r.Counted)
	case ok && r.Born == c.Born && r.StatesCounted:
	case r.StatesCounted:
		before = r.Counted
	case !ok, r.VMs == 0 && now.Sub(c.at) > freshReportTime:
		// The VM may have reported to another relay meanwhile.
		before = r.Spent
	case r.Born != c.Born:
		before = nil
	}
	for name, n := range r.Spent {
		t.fleet[name] += n - before[name]
		if r.VMs == 0 {
			t.group[name] += n - before[name]
		}
	}
	c.Report, c.at = r, now
}

// latest returns the larger amount of each customer.
func latest(a, b map[string]int64) map[string]int64 {
	out := maps.Clone(a)
	if out == nil {
		return b
	}
	for name, n := range b {
		out[name] = max(out[name], n)
	}
	return out
}

// Group returns what the VMs that report to this relay have admitted.
func (t *Tally) Group(now time.Time) Report {
	t.seq++
	return Report{Born: t.born, Spent: maps.Clone(t.group), VMs: countVMs(t.members, now), Seq: t.seq}
}

// Fleet returns what all VMs have admitted.
func (t *Tally) Fleet(now time.Time) Report {
	return Report{Born: t.born, Spent: maps.Clone(t.fleet), VMs: countVMs(t.members, now) + countVMs(t.groups, now)}
}

// countVMs returns the number of VMs whose amounts are in recent reports, and forgets old
// reports.
func countVMs(reports map[string]*counted, now time.Time) int {
	vms := 0
	for from, c := range reports {
		switch age := now.Sub(c.at); {
		case age > forgetReportTime:
			delete(reports, from)
		case age <= freshReportTime:
			vms += max(c.VMs, 1)
		}
	}
	return vms
}
