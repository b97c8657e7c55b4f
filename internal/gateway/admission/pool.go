package admission

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/baobabdyke/baobabdyke/internal/fleet/roster"
)

const (
	// maxReported is the number of flows that a VM reports to others: those that ask for
	// most. The others stay below what is fair.
	maxReported = 32
	// reportTTL is how long what another VM has reported is used. In a fleet of 72 VMs an
	// update is 1 to 3 s old.
	reportTTL = 5 * time.Second
	// poolInterval is the time for which the sum over the VMs is used.
	poolInterval = 250 * time.Millisecond
	// reportedAfter is how long after the last refusal a VM reports what is asked of it.
	reportedAfter = 10 * time.Second
)

// flowHash identifies a flow to other VMs.
func flowHash(service string, key flowKey) uint32 {
	return uint32(xxhash.Sum64String(service + "\x00" + key.class + "\x00" + key.customer))
}

// A pool holds what is asked of other VMs. A VM of a large fleet gets less than one request
// of a customer in the time in which demand changes, so that its own count doesn't show who
// asks for most. It has their reports and the sum by flow.
type pool struct {
	reports map[string]report
	sum     map[uint32]float64
	// waits are the sums of the waits by class.
	waits map[uint32]waits
	// summedAt is when the sum was computed.
	summedAt time.Time
}

type report struct {
	asked []roster.AskedTokens
	waits []roster.ClassWaits
	at    time.Time
}

// refresh sums up the reports.
func (p *pool) refresh(now time.Time) {
	if age := now.Sub(p.summedAt); p.sum != nil && age < poolInterval && age >= 0 {
		return
	}
	p.summedAt, p.sum, p.waits = now, map[uint32]float64{}, map[uint32]waits{}
	for vm, r := range p.reports {
		if now.Sub(r.at) > reportTTL {
			delete(p.reports, vm)
			continue
		}
		for _, a := range r.asked {
			p.sum[a.Flow] += float64(a.Tokens)
		}
		for _, w := range r.waits {
			sum := p.waits[w.Class]
			sum.sent += float64(w.Sent) / waitUnit
			sum.waited += float64(w.Waited) / waitUnit
			p.waits[w.Class] = sum
		}
	}
}

// waitUnit is the unit of reported waits.
const waitUnit = 100

// others returns what is asked of other VMs in a flow.
func (p *pool) others(flow uint32, now time.Time) float64 {
	p.refresh(now)
	return p.sum[flow]
}

// Merge records what another VM is asked for and how long its requests wait.
func (s *State) Merge(e *roster.Entry, now time.Time) {
	if len(e.Asked) == 0 && len(e.Waits) == 0 {
		delete(s.pool.reports, e.VM)
		return
	}
	s.pool.reports[e.VM] = report{asked: e.Asked[:min(len(e.Asked), maxReported)], waits: e.Waits[:min(len(e.Waits), maxReported)], at: now}
}

// Waits returns how long requests of this VM wait, for other VMs.
func (s *State) Waits(now time.Time) []roster.ClassWaits {
	var out []roster.ClassWaits
	for _, v := range s.services {
		v.advance(now)
		for class, w := range v.classes {
			if w.sent*waitUnit >= 1 {
				out = append(out, roster.ClassWaits{Class: class, Sent: uint32(w.sent * waitUnit), Waited: uint32(max(w.waited, 0) * waitUnit)})
			}
		}
	}
	slices.SortFunc(out, func(a, b roster.ClassWaits) int {
		return cmp.Or(cmp.Compare(b.Sent, a.Sent), cmp.Compare(a.Class, b.Class))
	})
	return out[:min(len(out), maxReported)]
}

// Asked returns what is asked of this VM in the services that it has lately refused requests
// of, for other VMs.
func (s *State) Asked(now time.Time) []roster.AskedTokens {
	var out []roster.AskedTokens
	for name, v := range s.services {
		if now.Sub(v.refusedAt) > reportedAfter {
			continue
		}
		for _, f := range v.flows {
			if f.decay(now); f.demand >= 1 {
				out = append(out, roster.AskedTokens{Flow: flowHash(name, f.key), Tokens: uint32(min(f.demand, 1<<31))})
			}
		}
	}
	slices.SortFunc(out, func(a, b roster.AskedTokens) int {
		return cmp.Or(cmp.Compare(b.Tokens, a.Tokens), cmp.Compare(a.Flow, b.Flow))
	})
	return out[:min(len(out), maxReported)]
}
