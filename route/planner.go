package route

import (
	"time"

	"github.com/baobabdyke/baobabdyke/invariant"
	"github.com/baobabdyke/baobabdyke/prefix"
	"github.com/baobabdyke/baobabdyke/target"
)

const (
	// defaultPrefillRate is the assumed prefill rate, in prompt tokens per
	// second, of an engine that reports none.
	defaultPrefill = 8000
	// defaultSlotTime is the initial estimate of the time that a request
	// occupies a slot.
	defaultHold = time.Second
	// slotTimeWeight is the weight of the newest request in the moving average
	// of slot times.
	holdWeight = 0.1
	// crossDataCentreDelay is the time added for a target in another data
	// centre.
	crossing = time.Millisecond
	// noticeDeadline is the time within which this VM must know that a target is
	// leaving. No target may be chosen on a report of this age.
	noticeLimit = 3 * time.Second
	// retryAfter is the delay suggested to callers when no target is usable.
	retryAfter = time.Second
	// maxPrefillWait bounds the wait for the prefill of another request.
	followLimit = 2 * time.Second
	// tieRatio and tieFloor define how close to the lowest cost another
	// candidate must be to count as equal: within tieFloor plus tieRatio of the
	// best candidate's prefill time.
	tieRatio = 0.5
	tieFloor = 2 * time.Millisecond
)

// DefaultRecomputeWeight is the default of PlannerOptions.RecomputeWeight.
const DefaultRecomputeWeight = 3.0

// PlannerOptions are the settings of a Planner. RecomputeWeight is the weight of
// the time to recompute tokens that another engine has cached. It is added to
// the delay of the request itself, which always counts. Zero means
// DefaultRecomputeWeight; a negative value disables this cost.
type PlannerOptions struct {
	DataCentre      string
	RecomputeWeight float64
}

// A Planner chooses targets by the expected time to first token and keeps track
// of the unfinished sends of this VM. It does no I/O and is not safe for
// concurrent use; a Chooser owns it.
type Planner struct {
	opts     PlannerOptions
	accounts map[string]*account
	sends    map[uint64]*send
	prefills map[prefix.Key]*send
	serial   uint64
	plan     uint64
	scores   []score
}

// targetStats holds the unfinished sends of this VM to one target, its average
// slot time, and its cache match for the plan with the number planID.
type account struct {
	sends  []*send
	hold   time.Duration
	plan   uint64
	pieces int
	flight int
	worth  float64
}

// A send is one unfinished attempt. Its prefill covers the keys from firstMissing
// on.
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

// A Plan is the result of planning. If State is nil, no send was recorded: the
// request should wait for a prefill if Ready is set, and has no target otherwise.
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

// NewPlanner returns a Planner without any sends.
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

// Plan chooses a target for the request and records the send. Targets that fail
// requests are considered only if no other target is usable.
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

// awaitPrefill returns a plan to wait for the prefill of s.
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

// recordSend records a send to the candidate and returns its plan.
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

// checkNotLeaving panics with a broken invariant if the chosen target is leaving,
// or if its report is so old that it may be leaving. The condition is checked
// here rather than by Hold, so that the arguments are built only on failure.
func holdNotice(now time.Time, s *target.State) {
	age := now.Sub(s.ReportedAt)
	if s.Health == target.HealthLeaving || s.Reported && age >= noticeLimit {
		invariant.Check(false, "leaving-notice", "target %s (%s) chosen on a report of %s ago", s.Target.Name, s.Health, age)
	}
}
