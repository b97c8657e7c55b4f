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
}

// NewTally returns the Tally of an incarnation of a relay.
func NewTally(born int64) *Tally {
	return &Tally{
		born: born, members: map[string]*counted{}, groups: map[string]*counted{},
		group: map[string]int64{}, fleet: map[string]int64{},
	}
}

// Record adds what a VM or another relay has reported. Of a sender that was not known, only
// what it admits from now on is added.
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
	before := c.Spent
	switch {
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

// Group returns what the VMs that report to this relay have admitted.
func (t *Tally) Group(now time.Time) Report {
	return Report{Born: t.born, Spent: maps.Clone(t.group), VMs: countVMs(t.members, now)}
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
