// Package placing chooses the target of each attempt by the expected time to
// first token, the tokens that the target would have to read again, and the
// outcome of earlier attempts there.
//
// It is built for many prompts that share a few prefixes and reach the VMs at
// random. All VMs rank the engines of a prefix by the same rendezvous hash, so
// that each shared segment has one home engine, from which other engines fetch
// it.
package placing

import (
	"slices"
	"sync"
	"time"

	"github.com/baobabdyke/baobabdyke/internal/fleet/canary"
	"github.com/baobabdyke/baobabdyke/internal/fleet/roster"
	"github.com/baobabdyke/baobabdyke/internal/fleet/site"
	"github.com/baobabdyke/baobabdyke/internal/fleet/source"
	"github.com/baobabdyke/baobabdyke/internal/fleet/throttle"
	"github.com/baobabdyke/baobabdyke/internal/gateway/caches"
)

// Terms of a candidate's cost, in milliseconds of expected time.
const (
	// prefillTokensPerMS is the assumed prefill rate of an engine. Deviations
	// are covered by the slowdown factor.
	prefillTokensPerMS = 50.0
	// stepCostPerRequest is how much one running request delays the next token
	// of the others.
	stepCostPerRequest = 0.6
	// duplicateCost is the cost of a second copy of a shared prefix.
	duplicateCost = 45.0
	// fetchCost is the time to fetch shared segments from another engine.
	fetchCost = 6.0
	// crossDataCentreCost is the cost of a target in another data centre.
	crossDataCentreCost = 4.0
	// failureCost is the cost of an attempt that is certain to fail.
	failureCost = 3000.0
	// supersededCost is the cost of weights that were superseded longer ago than
	// supersededGrace.
	supersededCost = 120.0
	// unresponsiveCost moves requests elsewhere while a target does not respond.
	unresponsiveCost = 20000.0
	// unreachableCost moves requests away from a target that another VM cannot
	// reach.
	unreachableCost = 400.0
	// busyCost moves requests away from a target that is about to carry out an
	// order and would reject them at once.
	busyCost = 1500.0
	// queuedCost is the expected work of each request that is queued at a target
	// that is not an engine.
	queuedCost = 20.0
)

const (
	// supersededGrace is how long after the announcement of new weights the
	// superseded ones add no cost.
	supersededGrace = 1200 * time.Millisecond
	// weightsLagMargin covers the delay until a VM learns of new weights and the
	// time a request takes to reach its target.
	weightsLagMargin = 1200 * time.Millisecond
	// queueWaitFactor is how much longer than expected a request may wait at an
	// engine.
	queueWaitFactor = 2.0
	// failureWeight is the weight of the newest outcome in a target's failure
	// rate.
	failureWeight = 0.2
	// failureHalfLife is the half-life of a target's failure rate.
	failureHalfLife = 4 * time.Second
	// slowdownWeight is the weight of the newest sample in a target's slowdown
	// factor, which is kept between minSlowdown and maxSlowdown. Expected times
	// below minSlowdownSample are too short to give a usable sample.
	slowdownWeight    = 0.15
	minSlowdown       = 0.5
	maxSlowdown       = 4.0
	minSlowdownSample = 20 * time.Millisecond
	// suspectTimeout is how long a target with work in flight may send nothing
	// before it is suspected. Even a busy engine reads a prompt in less time.
	suspectTimeout = time.Second
	// minBackoff and maxBackoff bound how long a target is avoided after it
	// failed to respond.
	minBackoff = 400 * time.Millisecond
	maxBackoff = 3 * time.Second
	// weightsReportTTL is how long observed weights of an engine are reported to
	// other VMs, whose view of the engine's entry lags behind.
	weightsReportTTL = 5 * time.Second
	// unreachableTimeout is how long a target that accepts no connections is
	// avoided unless a probe reaches it earlier.
	unreachableTimeout = 20 * time.Second
	// recentResponse is how recent a response to this VM must be to outweigh
	// reports of other VMs that the target is unreachable.
	recentResponse = 700 * time.Millisecond
	// largePoolSize is the number of engines from which their combined memory
	// holds a prefix until it is used again, so that a home engine whose weights
	// are older than warmUpTime is assumed to hold its prefixes. In such pools
	// the feeds of the engines are not read, and only some prefixes are written
	// to the KV cache store, which has a single link.
	largePoolSize = 40
	warmUpTime    = 3 * time.Second
	// peerLoadTTL is how long a load report of another VM is used.
	peerLoadTTL = 2 * time.Second
)

// A Request describes a request whose target is to be chosen.
type Request struct {
	Service string
	// Model is empty for services whose targets are not engines.
	Model string
	// Prefixes are the starts of the prompt that end with a shared segment, the
	// shortest first.
	Prefixes []Prefix
	// Tokens is the number of tokens of the prompt.
	Tokens int
	// Cache is the address of the KV cache store, or empty. CacheTokens is its
	// capacity and EngineTokens that of one engine.
	Cache        string
	CacheTokens  int
	EngineTokens int
	// Salt returns the salt of the KV cache that was made with a version of the
	// weights.
	Salt func(version int64) string
	// Goal is the time left to meet the latency goal of the first token, and
	// TimeLeft the time left for the whole request. Without a goal no request
	// counts as late.
	Goal     time.Duration
	TimeLeft time.Duration
	// Undeferred reports whether the request is not placed behind others for queues that are
	// unknown to this VM. Admission control bounds them instead.
	Undeferred bool
	// Pinned reports whether only targets whose software has the given version may be chosen,
	// as one of it has begun the stream.
	Pinned  bool
	Version string
	// Avoided are versions whose targets are chosen only if there are no others.
	Avoided []string
	// Tried are the targets that have already failed this request.
	Tried []string
	// Hedge asks for a second target of a request whose first target, in Tried, is
	// slow: one that holds the shared segments and is not slow itself.
	Hedge bool
	// hot reports whether the prefix has several replicas, which take turns.
	hot bool
}

// A Prefix is the start of a prompt up to the end of one shared segment. Hash
// identifies the whole prefix and Segment its last segment.
type Prefix struct {
	Hash    uint64
	Segment string
	Tokens  int
}

// fullPrefix returns the prefix with all shared segments, or the zero Prefix if
// there is none.
func (r *Request) fullPrefix() Prefix {
	if len(r.Prefixes) == 0 {
		return Prefix{}
	}
	return r.Prefixes[len(r.Prefixes)-1]
}

// A Choice is the target that was chosen for one attempt.
type Choice struct {
	Target *site.Target
	// Weights is the version expected at the target; 0 if it is unknown.
	Weights int64
	// Source is the address to fetch shared segments from, or empty. StoreKV
	// makes the target write them to the KV cache store.
	Source  string
	StoreKV bool
	// Home reports whether the target is the home engine of the prefix, or the
	// replica of it whose turn it is.
	Home bool
	// Late reports whether no target can meet the latency goal, so that the
	// request has lower priority than those that can still meet it.
	Late bool
	// Expected is the cost by which the target was chosen, TTFT the expected
	// time to first token, and MissingTokens the number of tokens to prefill.
	Expected      time.Duration
	TTFT          time.Duration
	MissingTokens int
	// rawTTFT is TTFT without the target's slowdown factor; goal is the
	// request's goal.
	rawTTFT time.Duration
	goal    time.Duration
}

// ColdTime returns the time that the target is expected to take for the prompt tokens that
// it does not hold.
func (c Choice) ColdTime() time.Duration {
	return time.Duration(float64(c.MissingTokens) / prefillTokensPerMS * float64(time.Millisecond))
}

// Unresponsive reports whether the chosen target recently failed to respond.
func (c Choice) Unresponsive() bool { return c.Expected >= unresponsiveCost*time.Millisecond }

// A Placer chooses targets. It is safe for concurrent use.
type Placer struct {
	dataCentre string
	// gate decides which versions of targets may take a request; nil if all may. It is only
	// looked at, and counts nothing, if previews is set.
	gate     *canary.Gate
	previews bool
	// maxWeightsAge is how long after new weights are announced work may start
	// on the superseded ones.
	maxWeightsAge time.Duration

	mu     sync.Mutex
	states map[string]*targetState
	// notices are what targets have stated about further requests.
	notices map[site.Incarnation]*noticeState
	// limits are the rates of requests that targets accept.
	limits *throttle.Table
	peers  map[string]peerState
	busy   map[string]bool
	// peerTotals are the loads of all other VMs as of totalledAt; totalsDirty
	// reports whether an update arrived since then.
	peerTotals  map[string]peerTotal
	totalledAt  time.Time
	totalsDirty bool
	holders     holders
	index       *caches.Index
	// sendRates are the prefixes that this VM has sent recently. turn rotates
	// over the replicas of hot ones and over deferrals.
	sendRates map[uint64]sendRate
	turn      int
	// deferredShare is the share of requests that are deferred in a large fleet.
	deferredShare float64
}

// A targetState is what this VM has observed at one target.
type targetState struct {
	born    int64
	running int
	// prefill and late are the prompt tokens of requests that have not received
	// their first token yet, on time and late ones respectively.
	prefill int
	late    int
	// slowdown is the ratio of observed to expected times to first token.
	slowdown      float64
	failureRate   float64
	failureRateAt time.Time
	backoff       time.Duration
	avoidUntil    time.Time
	// unreachable reports whether the target accepts no connections.
	unreachable bool
	// lastResponse is when the target last sent anything.
	lastResponse time.Time
	// weights are the versions seen in responses, because the target's own entry
	// lags behind.
	weights map[string]int64
	// firsthand reports whether this VM itself has observed the weights.
	firsthand      bool
	weightsChanged time.Time
	lastUsed       time.Time
}

// A peerState is what another VM has in flight.
type peerState struct {
	loads    map[string]roster.TargetLoad
	received time.Time
}

// New returns a Placer for a VM in a data centre. Weights that were superseded
// more than maxWeightsAge ago, less a margin for updates that reach this VM late,
// are not used. Targets get requests within their limits only.
func New(dataCentre string, maxWeightsAge time.Duration, index *caches.Index, limits *throttle.Table) *Placer {
	return &Placer{dataCentre: dataCentre, index: index, limits: limits, maxWeightsAge: maxWeightsAge - weightsLagMargin, states: map[string]*targetState{}, notices: map[site.Incarnation]*noticeState{}, peers: map[string]peerState{}, busy: map[string]bool{}, holders: newHolders(), sendRates: map[uint64]sendRate{}}
}

// SetMaxWeightsAge changes the age up to which superseded weights are used.
func (p *Placer) SetMaxWeightsAge(maxWeightsAge time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.maxWeightsAge = maxWeightsAge - weightsLagMargin
}

// Choose returns the best target for a request, and false if the service has
// none. The caller must pass the returned choice to Begin and End.
func (p *Placer) Choose(v *source.View, r Request, now time.Time) (Choice, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	w := p.weigh(v, r, now)
	if len(w.candidates) == 0 && len(r.Avoided) > 0 {
		r.Avoided = nil
		w = p.weigh(v, r, now)
	}
	if len(w.candidates) == 0 {
		return Choice{}, false
	}
	return p.decide(&w, now), true
}

// A weighing is a request with the targets that it may be sent to, and their costs.
type weighing struct {
	request    Request
	candidates []candidate
	// average is the average failure rate of the candidates.
	average float64
	keys    *keys
	// toStore reports whether the prefix is one of those that are kept in the KV cache
	// store.
	toStore bool
}

// weigh returns the candidates for a request with their costs.
func (p *Placer) weigh(v *source.View, r Request, now time.Time) weighing {
	all, sources := p.permit(p.candidates(v, r, now), r)
	if len(all) == 0 {
		return weighing{request: r}
	}
	large := len(all) >= largePoolSize
	w := weighing{toStore: r.assignedToStore(len(all), large)}
	candidates, home, replica := p.selectHome(all, &r, now)
	w.keys = newKeys(&r)
	for i := range candidates {
		p.countHeld(&candidates[i], &r, w.keys, now)
	}
	if large {
		assumeHeld(candidates, home, &r, p.largeFleet(), now)
	}
	for i := range sources {
		p.countHeld(&sources[i], &r, w.keys, now)
	}
	from := candidates
	if len(sources) > 0 {
		from = slices.Concat(sources, candidates)
	}
	w.average = averageFailureRate(candidates)
	for i := range candidates {
		c := &candidates[i]
		c.home = replica != nil && c.target.ID == replica.target.ID
		p.planFetch(c, &r, w.keys, from, now)
		c.score(p, r, w.average, now)
	}
	if r.Hedge {
		candidates = p.secondTargets(candidates, &r, w.average, now)
	}
	w.request, w.candidates = r, candidates
	return w
}

// decide returns the choice among the candidates, of which there is at least one.
func (p *Placer) decide(w *weighing, now time.Time) Choice {
	r := w.request
	chosen, late := p.pick(w.candidates, r, w.average, now)
	return Choice{
		Target:        chosen.target,
		Weights:       chosen.version,
		Home:          chosen.home,
		Late:          late,
		MissingTokens: chosen.missingTokens,
		TTFT:          chosen.ttft,
		rawTTFT:       chosen.rawTTFT,
		goal:          r.Goal,
		Expected:      time.Duration(chosen.cost * float64(time.Millisecond)),
		Source:        chosen.source,
		StoreKV:       w.toStore && !r.Hedge && p.shouldStore(&r, w.keys, chosen.version, now),
	}
}

// pick returns the cheapest candidate, and whether the request is late there and
// has lower priority than others.
func (p *Placer) pick(candidates []candidate, r Request, average float64, now time.Time) (*candidate, bool) {
	chosen := cheapest(candidates)
	if r.Model == "" || r.Goal == 0 || chosen.ttft <= r.Goal && (r.Undeferred || !p.shouldDefer()) {
		return chosen, false
	}
	if c := p.pickDeferred(candidates, r, average, now); c != nil {
		return c, true
	}
	return chosen, false
}

func cheapest(candidates []candidate) *candidate {
	best := &candidates[0]
	for i := range candidates {
		if candidates[i].cost < best.cost {
			best = &candidates[i]
		}
	}
	return best
}

// pickDeferred returns the cheapest target for a late request, or nil if the
// request must not be deferred. A deferred request may start at any time until
// its deadline, which must be before its weights become too old to use.
func (p *Placer) pickDeferred(candidates []candidate, r Request, average float64, now time.Time) *candidate {
	var deferred []candidate
	for _, c := range candidates {
		age := time.Duration(0)
		if c.superseded {
			age = now.Sub(c.supersededAt)
		}
		if age+r.TimeLeft < p.maxWeightsAge {
			c.prefill += c.late
			c.score(p, r, average, now)
			deferred = append(deferred, c)
		}
	}
	if len(deferred) == 0 {
		return nil
	}
	return cheapest(deferred)
}
