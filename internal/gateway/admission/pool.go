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
	// summedAt is when the sum was computed.
	summedAt time.Time
}

type report struct {
	asked []roster.AskedTokens
	at    time.Time
}

// merge records what another VM reports.
func (p *pool) merge(vm string, asked []roster.AskedTokens, now time.Time) {
	if len(asked) == 0 {
		delete(p.reports, vm)
		return
	}
	p.reports[vm] = report{asked: asked[:min(len(asked), maxReported)], at: now}
}

// others returns what is asked of other VMs in a flow.
func (p *pool) others(flow uint32, now time.Time) float64 {
	if age := now.Sub(p.summedAt); p.sum == nil || age >= poolInterval || age < 0 {
		p.summedAt, p.sum = now, map[uint32]float64{}
		for vm, r := range p.reports {
			if now.Sub(r.at) > reportTTL {
				delete(p.reports, vm)
				continue
			}
			for _, a := range r.asked {
				p.sum[a.Flow] += float64(a.Tokens)
			}
		}
	}
	return p.sum[flow]
}

// Merge records what another VM is asked for.
func (s *State) Merge(vm string, asked []roster.AskedTokens, now time.Time) {
	s.pool.merge(vm, asked, now)
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
