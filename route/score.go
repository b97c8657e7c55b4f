package route

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/baobabdyke/baobabdyke/config"
	"github.com/baobabdyke/baobabdyke/prefix"
	"github.com/baobabdyke/baobabdyke/target"
)

// A score is one candidate of a plan.
type score struct {
	state    *target.State
	account  *account
	held     int
	missing  int
	requests int
	wait     time.Duration
	expected time.Duration
	total    time.Duration
	follows  *send
}

// mark notes on the accounts which engines hold how much.
func (p *Planner) mark(held []prefix.Match, _ []target.State) {
	for i := range held {
		a := p.account(held[i].Engine)
		a.plan = p.plan
		a.pieces = held[i].Pieces
		a.flight = held[i].InFlight
		a.worth = held[i].Confidence
	}
}

func (p *Planner) account(name string) *account {
	a, ok := p.accounts[name]
	if !ok {
		a = &account{hold: defaultHold}
		p.accounts[name] = a
	}
	return a
}

// score fills scores with the targets that may be used.
func (p *Planner) score(now time.Time, r Request, states []target.State, may func(*target.State, time.Time) bool) {
	p.scores = p.scores[:0]
	flight, depth := p.inFlight(r.Prompt)
	for i := range states {
		s := &states[i]
		a := p.account(s.Target.Name)
		if !may(s, now) || !suits(r, s, a) {
			continue
		}
		c := score{state: s, account: a, held: a.heldTokens(p.plan, r.Prompt)}
		if flight != nil && flight.target == s.Target.Name {
			if tokens := depth * r.Prompt.PieceTokens; tokens > c.held {
				c.held, c.follows = tokens, flight
			}
		}
		c.missing = max(0, r.Prompt.Tokens-c.held)
		c.wait, c.requests = wait(now, s, a)
		c.expected = c.wait + compute(s, c.missing)
		if s.Target.DataCentre != p.opts.DataCentre {
			c.expected += crossing
		}
		p.scores = append(p.scores, c)
	}
	p.addWaste()
}

// addWaste adds to each candidate's time the weighed recomputation of what
// others hold. A token that several hold weighs less for each of them: it is in
// demand, so that one more copy is of use.
func (p *Planner) addWaste() {
	slices.SortStableFunc(p.scores, func(a, b score) int { return b.held - a.held })
	wasted := 0.0
	for i := range p.scores {
		c := &p.scores[i]
		if i > 0 {
			wasted += float64(p.scores[i-1].held-c.held) / float64(i)
		}
		c.total = c.expected + time.Duration(p.opts.RecomputeWeight*float64(compute(c.state, int(wasted))))
	}
}

// suits tells whether the request may go to the target as far as it goes. One
// that is not live gets one request at a time.
func suits(r Request, s *target.State, a *account) bool {
	if s.Target.Kind == config.TargetCache || s.Health != target.HealthLive && len(a.sends) > 0 {
		return false
	}
	for _, name := range r.Excluded {
		if name == s.Target.Name {
			return false
		}
	}
	if r.Route.Kind != config.RouteModel {
		return true
	}
	return s.Serves(r.Route.Model, r.Route.Version, r.Prompt.Salt.Adapter)
}

// inFlight returns the send that computes the longest part of the prompt now,
// and the number of pieces that it covers.
func (p *Planner) inFlight(prompt prefix.Prompt) (*send, int) {
	if len(p.prefills) == 0 {
		return nil, 0
	}
	for depth := len(prompt.Keys); depth > 0; depth-- {
		if s, ok := p.prefills[prompt.Keys[depth-1]]; ok {
			return s, depth
		}
	}
	return nil, 0
}

// keepInTime keeps the candidates that should answer before the deadline, or
// those that should begin before it if none does. It returns false and the
// shortest wait if there are none.
func (p *Planner) keepInTime(now, deadline time.Time) (time.Duration, bool) {
	if deadline.IsZero() {
		return 0, true
	}
	left := deadline.Sub(now)
	late := func(c score) bool { return c.expected > left }
	if !slices.ContainsFunc(p.scores, func(c score) bool { return !late(c) }) {
		late = func(c score) bool { return c.wait > left }
	}
	shortest := slices.MinFunc(p.scores, func(a, b score) int { return cmp.Compare(a.wait, b.wait) }).wait
	p.scores = slices.DeleteFunc(p.scores, late)
	return shortest, len(p.scores) > 0
}

// best returns the candidate with the lowest total. A target that is probed
// gets the first request that may be repeated. Among candidates that are level
// the hash of the prompt's family decides, so that VMs that do not know of one
// another's sends choose alike.
func (p *Planner) best(r Request) *score {
	var best *score
	for i := range p.scores {
		c := &p.scores[i]
		if c.state.Health == target.HealthProbing && r.Route.Idempotent {
			return c
		}
		if best == nil || c.total < best.total {
			best = c
		}
	}
	if best == nil || best.follows != nil {
		return best
	}
	return p.levelBest(r.Prompt, best)
}

// levelBest returns one of the candidates that are level with the best: the one
// that the hash of the first piece to compute prefers, or the one with the
// fewest requests if the prompt has no pieces.
func (p *Planner) levelBest(prompt prefix.Prompt, best *score) *score {
	if len(prompt.Keys) == 0 {
		return p.idlest(best)
	}
	piece := best.held / prompt.PieceTokens
	if piece >= len(prompt.Keys) {
		return best
	}
	limit := best.level()
	var most uint64
	for i := range p.scores {
		c := &p.scores[i]
		if c.total > limit {
			continue
		}
		if h := rank(c.state.Target.Name, prompt.Keys[piece]); h >= most {
			best, most = c, h
		}
	}
	return best
}

// level returns the total up to which another candidate is level.
func (c *score) level() time.Duration {
	return c.total + tieFloor + time.Duration(tieRatio*float64(compute(c.state, c.missing)))
}

// idlest returns the candidate with the fewest requests for its slots among
// those that are level with the best, in turn where they have equally many.
func (p *Planner) idlest(best *score) *score {
	limit := best.level()
	least := best.occupancy()
	for i := range p.scores {
		c := &p.scores[(i+int(p.serial%uint64(len(p.scores))))%len(p.scores)]
		if o := c.occupancy(); c.total <= limit && (i == 0 || o < least) {
			best, least = c, o
		}
	}
	return best
}

// occupancy returns the requests of a target for each of its slots.
func (c *score) occupancy() float64 {
	return float64(c.requests) / float64(max(1, c.state.Target.Slots))
}

// rank returns the rendezvous hash of a target and a piece.
func rank(name string, k prefix.Key) uint64 {
	h := xxhash.Sum64String(name) ^ uint64(k)
	h *= 0x9e3779b97f4a7c15
	h ^= h >> 32
	return h * 0xd6e8feb86659fd93
}
