package route

import (
	"time"

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
const DefaultRecomputeWeight = 3.0

// PlannerOptions are the settings of a Planner. Waste weighs the time to
// recompute what another engine holds, beyond the wait that it causes to the
// request itself; a negative value stands for none.
type PlannerOptions struct {
	DataCentre      string
	RecomputeWeight float64
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
	flight int
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

// A Plan is the outcome of planning. With no State, the request was not placed:
// it follows a prefill if Ready is set, and has no target otherwise.
type Plan struct {
	ID           uint64
	PlannedAt    time.Time
	State        *target.State
	CachedTokens int
	PrefillTime  time.Duration
	ExpectedTTFT time.Duration
	Ready        <-chan struct{}
	Until        time.Time
	Reason       string
	RetryAfter   time.Duration
}

// NewPlanner returns a Planner that has sent nothing.
func NewPlanner(opts PlannerOptions) *Planner {
	if opts.RecomputeWeight == 0 {
		opts.RecomputeWeight = DefaultRecomputeWeight
	}
	opts.RecomputeWeight = max(0, opts.RecomputeWeight)
	return &Planner{
		opts:     opts,
		accounts: map[string]*account{},
		sends:    map[uint64]*send{},
		prefills: map[prefix.Key]*send{},
	}
}

// Plan chooses a target and records the send.
func (p *Planner) Plan(now time.Time, r Request, states []target.State, held []prefix.Match) Plan {
	p.plan++
	p.mark(held, states)
	p.score(now, r, states, (*target.State).Usable)
	if len(p.scores) == 0 {
		p.score(now, r, states, (*target.State).UsableAsLastResort)
	}
	if len(p.scores) == 0 {
		return Plan{Reason: "no usable target", RetryAfter: retryAfter}
	}
	if wait, ok := p.keepInTime(now, r.Deadline); !ok {
		return Plan{Reason: "deadline cannot be met", RetryAfter: wait}
	}
	best := p.best(r)
	if f := best.follows; f != nil && !r.AwaitedPrefill {
		return p.follow(f, now)
	}
	return p.place(now, r, best)
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
	return Plan{ID: s.id, PlannedAt: now, State: c.state, CachedTokens: c.held, PrefillTime: compute(c.state, c.missing), ExpectedTTFT: c.expected}
}

// holdNotice stops the process if a target that leaves, or may have given notice
// of that, is about to get a request. The arguments of Hold are made only then.
func holdNotice(now time.Time, s *target.State) {
	age := now.Sub(s.ReportedAt)
	if s.Health == target.HealthLeaving || s.Reported && age >= noticeLimit {
		invariant.Check(false, "leaving-notice", "target %s (%s) chosen on a report of %s ago", s.Target.Name, s.Health, age)
	}
}
