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
	defaultPrefillRate = 8000
	// defaultSlotTime is the initial estimate of the time that a request
	// occupies a slot.
	defaultSlotTime = time.Second
	// slotTimeWeight is the weight of the newest request in the moving average
	// of slot times.
	slotTimeWeight = 0.1
	// crossDataCentreDelay is the time added for a target in another data
	// centre.
	crossDataCentreDelay = time.Millisecond
	// noticeDeadline is the time within which a target that announces that it is
	// leaving must stop getting new requests. A report of this age does not show
	// such an announcement in time.
	noticeDeadline = 3 * time.Second
	// retryAfter is the delay suggested to callers when no target is usable.
	retryAfter = time.Second
	// maxPrefillWait bounds the wait for the prefill of another request.
	maxPrefillWait = 2 * time.Second
	// tieRatio and tieFloor define how close to the lowest cost another
	// candidate must be to count as equal: within tieFloor plus tieRatio of the
	// best candidate's prefill time.
	tieRatio = 0.5
	tieFloor = 2 * time.Millisecond
)

// DefaultRecomputeWeight is the default of PlannerOptions.RecomputeWeight.
const DefaultRecomputeWeight = 3.0

// PlannerOptions are the settings of a Planner. RecomputeWeight is the weight of
// the time to recompute tokens that another engine has cached, as a cost in
// addition to the delay of the request itself. Zero means DefaultRecomputeWeight;
// a negative value disables this cost.
type PlannerOptions struct {
	DataCentre      string
	RecomputeWeight float64
}

// A Planner chooses targets by the expected time to first token and keeps track
// of the unfinished sends of this VM. It does no I/O and is not safe for
// concurrent use; a Chooser owns it.
type Planner struct {
	opts       PlannerOptions
	targets    map[string]*targetStats
	sends      map[uint64]*send
	prefills   map[prefix.Key]*send
	lastID     uint64
	planID     uint64
	candidates []candidate
}

// targetStats holds the unfinished sends of this VM to one target, its average
// slot time, and its cache match for the plan with the number planID.
type targetStats struct {
	sends          []*send
	slotTime       time.Duration
	planID         uint64
	cachedPieces   int
	inFlightPieces int
	confidence     float64
}

// A send is one unfinished attempt. Its prefill computes the pieces of
// keys[firstMissing:]. ready is closed when the prefill ends, and readyAt is the
// expected time of that.
type send struct {
	id            uint64
	target        string
	sentAt        time.Time
	prefillTokens int
	keys          []prefix.Key
	firstMissing  int
	gotFirstByte  bool
	ready         chan struct{}
	readyAt       time.Time
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
		targets:  map[string]*targetStats{},
		sends:    map[uint64]*send{},
		prefills: map[prefix.Key]*send{},
	}
}

// Plan chooses a target for the request and records the send. Targets that fail
// requests are considered only if no other target is usable.
func (p *Planner) Plan(now time.Time, r Request, states []target.State, matches []prefix.Match) Plan {
	p.planID++
	p.recordMatches(matches, states)
	p.findCandidates(now, r, states, (*target.State).Usable)
	if len(p.candidates) == 0 {
		p.findCandidates(now, r, states, (*target.State).UsableAsLastResort)
	}
	if len(p.candidates) == 0 {
		return Plan{Reason: "no usable target", RetryAfter: retryAfter}
	}
	if wait, ok := p.filterByDeadline(now, r.Deadline); !ok {
		return Plan{Reason: "deadline cannot be met", RetryAfter: wait}
	}
	best := p.best(r)
	if s := best.prefill; s != nil && !r.AwaitedPrefill {
		return p.awaitPrefill(s, now)
	}
	return p.recordSend(now, r, best)
}

// awaitPrefill returns a plan to wait for the prefill of s.
func (p *Planner) awaitPrefill(s *send, now time.Time) Plan {
	if s.ready == nil {
		s.ready = make(chan struct{})
	}
	until := now.Add(maxPrefillWait)
	if s.readyAt.After(now) && s.readyAt.Before(until) {
		until = s.readyAt.Add(s.readyAt.Sub(now) / 2)
	}
	return Plan{Ready: s.ready, Until: until}
}

// recordSend records a send to the candidate and returns its plan.
func (p *Planner) recordSend(now time.Time, r Request, chosen *candidate) Plan {
	checkNotLeaving(now, chosen.state)
	p.lastID++
	s := &send{
		id:            p.lastID,
		target:        chosen.state.Target.Name,
		sentAt:        now,
		prefillTokens: chosen.missingTokens,
		keys:          r.Prompt.Keys,
		readyAt:       now.Add(chosen.expectedTTFT),
	}
	if r.Prompt.PieceTokens > 0 {
		s.firstMissing = min(len(s.keys), chosen.cachedTokens/r.Prompt.PieceTokens)
	}
	for _, k := range s.keys[s.firstMissing:] {
		p.prefills[k] = s
	}
	p.sends[s.id] = s
	chosen.stats.sends = append(chosen.stats.sends, s)
	return Plan{ID: s.id, PlannedAt: now, State: chosen.state, CachedTokens: chosen.cachedTokens, PrefillTime: prefillTime(chosen.state, chosen.missingTokens), ExpectedTTFT: chosen.expectedTTFT}
}

// checkNotLeaving panics with an invariant violation if the chosen target is
// leaving, or if its report is so old that the target may be leaving. The condition is tested
// before the call of invariant.Check, so that the arguments are built only on
// failure.
func checkNotLeaving(now time.Time, s *target.State) {
	age := now.Sub(s.ReportedAt)
	if s.Health == target.HealthLeaving || s.Reported && age >= noticeDeadline {
		invariant.Check(false, "leaving-notice", "target %s (%s) chosen with a report that is %s old", s.Target.Name, s.Health, age)
	}
}
