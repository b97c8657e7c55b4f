package route

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/baobabdyke/baobabdyke/config"
	"github.com/baobabdyke/baobabdyke/invariant"
	"github.com/baobabdyke/baobabdyke/prefix"
	"github.com/baobabdyke/baobabdyke/target"
)

const (
	// defaultPrefill is the assumed rate of an engine that reports none, in
	// prompt tokens a second.
	defaultPrefill = 8000
	// defaultHold is the assumed time that a request occupies a slot.
	defaultHold = time.Second
	// holdWeight is the weight of the newest request in the mean hold time.
	holdWeight = 0.1
	// crossing is the added time to a target in another data centre.
	crossing = time.Millisecond
	// noticeLimit is the longest time after which a target's notice to leave
	// may be unknown when it is chosen.
	noticeLimit = 3 * time.Second
	// retryAfter is what callers are told to wait when no target is usable.
	retryAfter = time.Second
	// followLimit bounds the wait for a prefill in flight.
	followLimit = 2 * time.Second
	// tieRatio and tieFloor tell how close to the best score another target
	// must be to count as level with it.
	tieRatio = 0.5
	tieFloor = 2 * time.Millisecond
)

// DefaultWaste is the weight of recomputation that another engine would save.
const DefaultWaste = 3.0

// PlannerOptions are the settings of a Planner. Waste weighs the time to
// recompute what another engine holds, beyond the wait that it causes to the
// request itself; a negative value stands for none.
type PlannerOptions struct {
	DataCentre string
	Waste      float64
}

// A Planner is the pure decision: it keeps what this VM sent and was not
// answered yet, and scores targets by the expected time to first token. A
// Chooser owns it.
type Planner struct {
	opts     PlannerOptions
	accounts map[string]*account
	sends    map[uint64]*send
	prefills map[prefix.Key]*send
	serial   uint64
	plan     uint64
	scores   []score
}

// An account is what this VM has sent to one target.
type account struct {
	sends  []*send
	hold   time.Duration
	plan   uint64
	pieces int
	worth  float64
}

// A send is one attempt in flight.
type send struct {
	id      uint64
	target  string
	at      time.Time
	tokens  int
	keys    []prefix.Key
	from    int
	first   bool
	ready   chan struct{}
	readyAt time.Time
}

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

// A Plan is the outcome of planning. With no State, the request was not placed:
// it follows a prefill if Ready is set, and has no target otherwise.
type Plan struct {
	ID       uint64
	State    *target.State
	Held     int
	Missing  time.Duration
	Expected time.Duration
	Ready    <-chan struct{}
	Until    time.Time
	Reason   string
	After    time.Duration
}

// NewPlanner returns a Planner that has sent nothing.
func NewPlanner(opts PlannerOptions) *Planner {
	if opts.Waste == 0 {
		opts.Waste = DefaultWaste
	}
	opts.Waste = max(0, opts.Waste)
	return &Planner{
		opts:     opts,
		accounts: map[string]*account{},
		sends:    map[uint64]*send{},
		prefills: map[prefix.Key]*send{},
	}
}

// Plan chooses a target and records the send.
func (p *Planner) Plan(now time.Time, r Request, states []target.State, held []prefix.Holding) Plan {
	p.plan++
	p.mark(held, states)
	p.score(now, r, states)
	best := p.best(r)
	if best == nil {
		return Plan{Reason: "no usable target", After: retryAfter}
	}
	if wait := best.wait; !r.Deadline.IsZero() && now.Add(wait).After(r.Deadline) {
		return Plan{Reason: "deadline cannot be met", After: wait}
	}
	if f := best.follows; f != nil && !r.Followed {
		return p.follow(f, now)
	}
	return p.place(now, r, best)
}

// mark notes on the accounts which engines hold how much.
func (p *Planner) mark(held []prefix.Holding, _ []target.State) {
	for i := range held {
		a := p.account(held[i].Engine)
		a.plan = p.plan
		a.pieces = held[i].Pieces
		a.worth = held[i].Worth
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

// score fills scores with the candidates.
func (p *Planner) score(now time.Time, r Request, states []target.State) {
	p.scores = p.scores[:0]
	flight, depth := p.inFlight(r.Prompt)
	for i := range states {
		s := &states[i]
		a := p.account(s.Target.Name)
		if !p.usable(now, r, s, a) {
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
		c.total = c.expected + time.Duration(p.opts.Waste*float64(compute(c.state, int(wasted))))
	}
}

// usable tells whether the request may go to the target.
func (p *Planner) usable(now time.Time, r Request, s *target.State, a *account) bool {
	if !s.Usable(now) || s.Target.Kind == config.TargetCache {
		return false
	}
	if s.Life == target.LifeProbing && len(a.sends) > 0 {
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

// best returns the candidate with the lowest total. A target that is probed
// gets the first request that may be repeated. Among candidates that are level
// the hash of the prompt's family decides, so that VMs that do not know of one
// another's sends choose alike.
func (p *Planner) best(r Request) *score {
	var best *score
	for i := range p.scores {
		c := &p.scores[i]
		if c.state.Life == target.LifeProbing && r.Route.Idempotent {
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

// follow makes the request wait for a prefill in flight.
func (p *Planner) follow(f *send, now time.Time) Plan {
	if f.ready == nil {
		f.ready = make(chan struct{})
	}
	until := now.Add(followLimit)
	if f.readyAt.After(now) && f.readyAt.Before(until) {
		until = f.readyAt.Add(f.readyAt.Sub(now) / 2)
	}
	return Plan{Ready: f.ready, Until: until}
}

// place records the send.
func (p *Planner) place(now time.Time, r Request, c *score) Plan {
	holdNotice(now, c.state)
	p.serial++
	s := &send{
		id:      p.serial,
		target:  c.state.Target.Name,
		at:      now,
		tokens:  c.missing,
		keys:    r.Prompt.Keys,
		readyAt: now.Add(c.expected),
	}
	if r.Prompt.PieceTokens > 0 {
		s.from = min(len(s.keys), c.held/r.Prompt.PieceTokens)
	}
	for _, k := range s.keys[s.from:] {
		p.prefills[k] = s
	}
	p.sends[s.id] = s
	c.account.sends = append(c.account.sends, s)
	return Plan{ID: s.id, State: c.state, Held: c.held, Missing: compute(c.state, c.missing), Expected: c.expected}
}

// holdNotice stops the process if a target that leaves, or may have given notice
// of that, is about to get a request. The arguments of Hold are made only then.
func holdNotice(now time.Time, s *target.State) {
	age := now.Sub(s.At)
	if s.Life == target.LifeLeaving || s.Reported && age >= noticeLimit {
		invariant.Hold(false, "leaving-notice", "target %s (%s) chosen on a report of %s ago", s.Target.Name, s.Life, age)
	}
}

// First records the first byte of an answer: the prompt is computed.
func (p *Planner) First(id uint64) {
	s, ok := p.sends[id]
	if !ok || s.first {
		return
	}
	s.first = true
	p.release(s)
}

// release ends the prefill of a send and wakes its followers.
func (p *Planner) release(s *send) {
	for _, k := range s.keys[s.from:] {
		if p.prefills[k] == s {
			delete(p.prefills, k)
		}
	}
	if s.ready != nil {
		close(s.ready)
		s.ready = nil
	}
}

// Done records the end of an attempt.
func (p *Planner) Done(now time.Time, id uint64, failed bool) {
	s, ok := p.sends[id]
	if !ok {
		return
	}
	if !s.first {
		p.release(s)
	}
	delete(p.sends, id)
	a := p.account(s.target)
	for i := range a.sends {
		if a.sends[i] == s {
			a.sends = append(a.sends[:i], a.sends[i+1:]...)
			break
		}
	}
	if !failed {
		a.hold += time.Duration(holdWeight * float64(now.Sub(s.at)-a.hold))
	}
}

// heldTokens returns the tokens of the prompt that the engine is expected to
// hold.
func (a *account) heldTokens(plan uint64, prompt prefix.Prompt) int {
	if a.plan != plan {
		return 0
	}
	return int(float64(a.pieces*prompt.PieceTokens) * a.worth)
}

// wait returns the time until the target starts on one more request, and the
// number of requests before it: the reported backlog, less what it did since,
// and what this VM sent that the report cannot show yet.
func wait(now time.Time, s *target.State, a *account) (time.Duration, int) {
	if !s.Reported {
		return slotWait(len(a.sends), s, a), len(a.sends)
	}
	taken := s.At.Add(-target.ReportLag)
	tokens, requests := s.Report.Pending, s.Report.Running+s.Report.Queued
	for _, d := range a.sends {
		if d.at.After(taken) {
			tokens += d.tokens
			requests++
		}
	}
	backlog := compute(s, tokens) - now.Sub(taken)
	return max(0, backlog) + slotWait(requests, s, a), requests
}

// slotWait returns the time until one of the target's slots becomes free.
func slotWait(requests int, s *target.State, a *account) time.Duration {
	slots := s.Target.Slots
	if slots <= 0 || requests < slots {
		return 0
	}
	return time.Duration(requests-slots+1) * a.hold / time.Duration(slots)
}

// compute returns the time to compute prompt tokens.
func compute(s *target.State, tokens int) time.Duration {
	rate := s.Report.PrefillRate
	if rate <= 0 {
		rate = defaultPrefill
	}
	return time.Duration(float64(tokens) / rate * float64(time.Second))
}
