package placing

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/baobabdyke/baobabdyke/internal/fleet/site"
	"github.com/baobabdyke/baobabdyke/internal/fleet/source"
)

// A candidate is a target that may receive a request, with the figures that its
// cost is computed from.
type candidate struct {
	target  *site.Target
	record  *record
	version int64
	// superseded reports whether a newer version of the weights exists; it was
	// first announced at supersededAt.
	old       bool
	overtaken time.Time
	// tolerated reports whether the superseded weights add no cost yet.
	spared  bool
	rank    uint64
	home    bool
	running int
	prefill int
	late    int
	// stalePrefill is the prefill that other VMs of a large fleet last reported
	// for the target. It is too old to compare targets by.
	rumoured int
	failing  float64
	// unreachableVMs is the number of other VMs that cannot connect to the
	// target.
	dark    int
	missing int
	// heldSegments is the number of leading shared segments that the candidate
	// has cached, heldTokens their token count, and source the address to fetch
	// further segments from.
	depth int
	held  int
	// assumed reports whether the cached segments are assumed rather than
	// reported by the engine's feed.
	presumed bool
	source   string
	cost     float64
	// ttft is the expected time to first token, and rawTTFT the same without the
	// target's slowdown factor.
	first, plain time.Duration
}

// candidates returns the targets of the service that may run the request.
func (p *Placer) candidates(v *source.View, r Request, now time.Time) []candidate {
	out := make([]candidate, 0, 16)
	for _, t := range v.Targets {
		if t.Service != r.Service || t.Leaving || contains(r.Tried, t.ID) {
			continue
		}
		rec := p.record(t, now)
		c := candidate{target: t, record: rec, running: rec.running, prefill: rec.prefill, late: rec.late, failing: rec.rate(now)}
		if r.Model != "" {
			c.version = rec.version(t, r.Model)
			c.overtaken, c.old = v.Weights.SupersededAt(r.Model, c.version)
		}
		p.addOthers(&c, now)
		wait := time.Duration(waitDoubt * float64(c.prefill+c.rumoured) / prefillRate * float64(time.Millisecond))
		if c.old && now.Sub(c.overtaken)+wait > p.oldest {
			continue
		}
		if f := r.family(); f.Tokens > 0 {
			c.rank = rank(f.Family, t)
		}
		out = append(out, c)
	}
	return out
}

func contains(ids []string, id string) bool {
	for _, have := range ids {
		if have == id {
			return true
		}
	}
	return false
}

// addPeerLoads adds the load that other VMs reported for the target.
func (p *Placer) addOthers(c *candidate, now time.Time) {
	sum, ok := p.sums(now)[c.target.ID]
	if !ok {
		return
	}
	if p.crowded() {
		c.rumoured = sum.prefill
	} else {
		c.running += sum.running
		c.prefill += sum.prefill
		c.late += sum.late
	}
	if now.Sub(c.record.answered) > darkDoubt {
		c.dark = sum.dark
	}
	if sum.failures > 0 && (!p.crowded() || sum.failures >= crowdFailures) {
		c.failing = max(c.failing, sum.failing/float64(sum.failures))
	}
}

// A peerTotal is the total load that all other VMs reported for one target.
type sum struct {
	running, prefill, late, dark, failures int
	failing                                float64
}

// peerTotalsTTL is how long the totals are reused before they are recomputed.
const sumTime = 50 * time.Millisecond

// loadTotals returns the total load that all other VMs reported, by target.
func (p *Placer) sums(now time.Time) map[string]sum {
	if age := now.Sub(p.summed); p.summedUp != nil && !p.told && age >= 0 && age < sumTime {
		return p.summedUp
	}
	p.summed, p.told = now, false
	p.summedUp = make(map[string]sum, len(p.summedUp))
	for vm, o := range p.others {
		if now.Sub(o.heard) > forgetTime {
			delete(p.others, vm)
		}
		if now.Sub(o.heard) > tellTime {
			continue
		}
		for id, l := range o.loads {
			s := p.summedUp[id]
			s.running += l.Running
			s.prefill += l.Prefill
			s.late += l.Late
			if l.Unreachable {
				s.dark++
			}
			if l.Failing > 0 {
				s.failures++
				s.failing += float64(l.Failing) / 100
			}
			p.summedUp[id] = s
		}
	}
	return p.summedUp
}

// rank returns the rendezvous hash of a target for a prefix. All VMs compute the
// same value.
func rank(family uint64, t *site.Target) uint64 {
	h := xxhash.Sum64String(t.ID) ^ family
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}

// homeOf returns the home engine of the request's prefix: the highest-ranked
// engine among those with the newest weights.
func homeOf(candidates []candidate) *candidate {
	var home *candidate
	for i := range candidates {
		c := &candidates[i]
		if c.rank != 0 && (home == nil || c.before(home)) {
			home = c
		}
	}
	return home
}

func (c *candidate) before(o *candidate) bool {
	if c.version != o.version {
		return c.version > o.version
	}
	return c.rank > o.rank
}

func averageFailing(candidates []candidate) float64 {
	sum := 0.0
	for i := range candidates {
		sum += candidates[i].failing
	}
	return sum / float64(len(candidates))
}

// score sets the candidate's cost.
func (c *candidate) score(p *Placer, r Request, average float64, now time.Time) {
	if r.Model == "" {
		c.cost = slotCost * float64(max(0, c.running+1-c.target.Slots)) / float64(max(c.target.Slots, 1))
		c.cost += float64(c.running) / float64(max(c.target.Slots, 1))
	} else {
		c.cost = (float64(c.prefill)+float64(c.missing))/prefillRate + stepPerRun*float64(c.running)
		if c.source != "" {
			c.cost += fetchCost
		}
		c.plain = time.Duration((c.cost + float64(c.rumoured)/prefillRate) * float64(time.Millisecond))
		c.first = time.Duration(c.record.pace * float64(c.plain))
		shared := r.family().Tokens
		switch {
		case c.home:
		case r.hot:
			c.cost += awayCost
		case c.held < shared:
			c.cost += awayCost * min(1, float64(shared-c.held)/2000)
		}
		if c.old && !c.spared && now.Sub(c.overtaken) > oldGrace {
			c.cost += oldCost
		}
	}
	if c.target.DataCentre != p.dataCentre {
		c.cost += crossingCost
	}
	c.cost += failCost * max(0, c.failing-average)
	if now.Before(c.record.until) {
		c.cost += silentCost
	}
	c.cost += darkCost * float64(c.dark)
	if p.busy[c.target.ID] {
		c.cost += busyCost
	}
}
