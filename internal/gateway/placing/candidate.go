package placing

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/baobabdyke/baobabdyke/internal/fleet/site"
	"github.com/baobabdyke/baobabdyke/internal/fleet/source"
)

// A candidate is one target of a choice.
type candidate struct {
	target  *site.Target
	record  *record
	version int64
	// old tells that newer weights were named, overtaken when.
	old       bool
	overtaken time.Time
	// spared tells that old weights are no reason to go elsewhere yet.
	spared  bool
	rank    uint64
	home    bool
	running int
	prefill int
	late    int
	// rumoured is what other VMs of a large fleet had waiting there when they last
	// told, too old to choose by.
	rumoured int
	failing  float64
	// dark counts the other VMs that the target takes no connections from.
	dark    int
	missing int
	// depth is the number of shared parts that the candidate holds from the first
	// one on, held their tokens, source the address to fetch more from.
	depth int
	held  int
	// presumed tells that this is taken for granted.
	presumed bool
	source   string
	cost     float64
	// first is the expected time to the first token, plain the same without the
	// target's pace.
	first, plain time.Duration
}

// candidates returns the targets of the service that may be used.
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

// addOthers adds what other VMs have in flight.
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

// A sum is what all other VMs have in flight at one target.
type sum struct {
	running, prefill, late, dark, failures int
	failing                                float64
}

// sumTime is how long sums of what others tell are used.
const sumTime = 50 * time.Millisecond

// sums returns what all other VMs have in flight, by target.
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

// rank orders the engines of a family, alike on every VM.
func rank(family uint64, t *site.Target) uint64 {
	h := xxhash.Sum64String(t.ID) ^ family
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}

// homeOf returns the first engine of a family among those with the newest
// weights.
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

// score fills in the candidate's cost.
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
