package admission

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// demandHalfLife is the half-life of what a customer asks for.
	demandHalfLife = 4 * time.Second
	// sharesInterval is the time for which computed shares are used.
	sharesInterval = 50 * time.Millisecond
	// urgencyStep is by how much more often a class is admitted than the next less urgent
	// one. Refusing the less urgent ones first would starve them: an urgent request often
	// takes several times as much work.
	urgencyStep = 1.15
	// flowRetention is how long a flow without requests is kept.
	flowRetention = time.Minute
)

// A flowKey identifies the requests of one customer and class.
type flowKey struct{ class, customer string }

// A flow is the state of one customer's requests of a class.
type flow struct {
	key      flowKey
	hash     uint32
	priority int
	// demand is a decaying sum of the tokens asked for, as of demandAt.
	demand   float64
	demandAt time.Time
	// asked is the demand with that at other VMs.
	asked float64
	// share is the share of the requests that are admitted while the service is
	// overloaded, and credit the sum of the shares less the requests that were admitted. It
	// spaces admitted requests evenly, whatever their size.
	share  float64
	credit float64
	counts Counts
}

// Counts are numbers of requests and tokens.
type Counts struct {
	Admitted       int64   `json:"admitted"`
	Refused        int64   `json:"refused"`
	AdmittedTokens float64 `json:"admittedtokens"`
	RefusedTokens  float64 `json:"refusedtokens"`
}

func (c *Counts) admit(tokens float64) { c.Admitted++; c.AdmittedTokens += tokens }

func (c *Counts) refuse(tokens float64) { c.Refused++; c.RefusedTokens += tokens }

func (c *Counts) add(o Counts) {
	c.Admitted += o.Admitted
	c.Refused += o.Refused
	c.AdmittedTokens += o.AdmittedTokens
	c.RefusedTokens += o.RefusedTokens
}

// flow returns the flow of a request.
func (v *service) flow(r *Request, random float64, now time.Time) *flow {
	key := flowKey{r.Class, r.Customer}
	f, ok := v.flows[key]
	if !ok {
		// A random credit keeps the VMs from refusing a customer at the same time.
		f = &flow{key: key, demandAt: now, share: 1, credit: random, hash: flowHash(v.name, key)}
		v.flows[key] = f
	}
	f.priority = r.Priority
	return f
}

// arrive adds to the demand of the flow.
func (f *flow) arrive(tokens float64, now time.Time) {
	f.decay(now)
	f.demand += max(tokens, 1)
}

func (f *flow) decay(now time.Time) {
	f.demand *= math.Exp2(-now.Sub(f.demandAt).Seconds() / demandHalfLife.Seconds())
	f.demandAt = now
}

// take reports whether one more request is admitted at a share of them.
func (f *flow) take(share float64) bool {
	if share >= 1 {
		return true
	}
	if f.credit += share; f.credit < 1 {
		return false
	}
	f.credit--
	return true
}

// shareOf returns the share of a flow's requests that are admitted.
func (v *service) shareOf(f *flow, others *pool, now time.Time) float64 {
	part := v.admitted()
	if part >= 1 {
		return 1
	}
	if age := now.Sub(v.sharedAt); age >= sharesInterval || age < 0 {
		v.sharedAt = now
		flows := make([]*flow, 0, len(v.flows))
		for key, f := range v.flows {
			if now.Sub(f.demandAt) > flowRetention {
				v.forgotten.add(f.counts)
				delete(v.flows, key)
				continue
			}
			f.decay(now)
			f.asked = f.demand + others.others(f.hash, now)
			flows = append(flows, f)
		}
		divide(flows, part)
	}
	return f.share
}

// A group is the flows of one class and priority.
type group struct {
	flows  []*flow
	demand float64
	// weight is how much of the group is admitted, in relation to the least urgent one.
	weight float64
	// part is the part of the demand that is admitted.
	part float64
}

// divide sets the shares of flows so that a part of their demand is admitted: each class
// at least as often as a less urgent one, and max-min fair by tokens among the customers of
// a class.
func divide(flows []*flow, part float64) {
	groups := groupFlows(flows)
	setParts(groups, part)
	for i := range groups {
		fill(groups[i].flows, groups[i].part)
	}
}

// groupFlows groups flows by priority and class, the most urgent first.
func groupFlows(flows []*flow) []group {
	slices.SortFunc(flows, func(a, b *flow) int {
		return cmp.Or(cmp.Compare(a.priority, b.priority), cmp.Compare(a.key.class, b.key.class))
	})
	var out []group
	for i, f := range flows {
		if i == 0 || f.priority != flows[i-1].priority || f.key.class != flows[i-1].key.class {
			out = append(out, group{})
		}
		g := &out[len(out)-1]
		g.flows = append(g.flows, f)
		g.demand += f.asked
	}
	weight := 1.0
	for i := len(out) - 1; i >= 0; i-- {
		if i < len(out)-1 && out[i].flows[0].priority != out[i+1].flows[0].priority {
			weight *= urgencyStep
		}
		out[i].weight = weight
	}
	return out
}

// setParts sets the parts of the groups' demands that are admitted, which add up to a part
// of the whole demand.
func setParts(groups []group, part float64) {
	if len(groups) == 0 {
		return
	}
	total := 0.0
	for _, g := range groups {
		total += g.demand
	}
	low, high := 0.0, 1.0
	for range 30 {
		scale, admitted := (low+high)/2, 0.0
		for i := range groups {
			g := &groups[i]
			g.part = min(g.weight*scale, 1)
			admitted += g.part * g.demand
		}
		if admitted < part*total {
			low = scale
		} else {
			high = scale
		}
	}
}

// fill divides a part of the flows' demand among them, max-min fair by tokens.
func fill(flows []*flow, part float64) {
	slices.SortStableFunc(flows, func(a, b *flow) int { return cmp.Compare(a.asked, b.asked) })
	left := 0.0
	for _, f := range flows {
		left += part * f.asked
	}
	for i, f := range flows {
		granted := min(f.asked, left/float64(len(flows)-i))
		left -= granted
		f.share = 1
		if f.asked > 0 {
			f.share = granted / f.asked
		}
	}
}
