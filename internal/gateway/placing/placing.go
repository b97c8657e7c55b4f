// Package placing chooses the target of each send: by the expected time to the
// first token, by what it would read again, and by how sends there have ended.
//
// The load it answers: many prompts over few shared parts, whose callers reach
// every VM at random. All VMs rank the engines of a family of prompts alike, so
// that each shared part has one home; others fetch it from there.
package placing

import (
	"sync"
	"time"

	"github.com/baobabdyke/baobabdyke/internal/fleet/roster"
	"github.com/baobabdyke/baobabdyke/internal/fleet/site"
	"github.com/baobabdyke/baobabdyke/internal/fleet/source"
	"github.com/baobabdyke/baobabdyke/internal/gateway/caches"
)

// Weights of the parts of a score, in milliseconds of expected time.
const (
	// prefillRate is the tokens that an engine reads in a millisecond until it
	// has been measured.
	prefillRate = 50.0
	// stepPerRun is how much one running request slows the others' next token.
	stepPerRun = 0.6
	// awayCost is the price of a second copy of a shared part.
	awayCost = 45.0
	// fetchCost is the time to fetch shared parts from another engine.
	fetchCost = 6.0
	// crossingCost is the price of another data centre.
	crossingCost = 4.0
	// failCost is the price of a send that fails surely.
	failCost = 3000.0
	// oldCost is the price of weights that have been overtaken, beyond oldGrace.
	oldCost = 120.0
	// silentCost sends requests elsewhere while a target does not answer.
	silentCost = 20000.0
	// darkCost keeps requests from a target that another VM cannot reach.
	darkCost = 400.0
	// busyCost keeps requests from a target that is about to carry out an order,
	// which rejects them at once.
	busyCost = 1500.0
	// slotCost is the expected work per request that waits at a plain service.
	slotCost = 20.0
)

const (
	// oldGrace is how long after new weights are named work on the old ones is
	// worth as much.
	oldGrace = 1200 * time.Millisecond
	// learnMargin is how late a VM may learn of new weights and a request reach its
	// target.
	learnMargin = 1200 * time.Millisecond
	// waitDoubt is how much longer than expected a request may wait at an engine.
	waitDoubt = 2.0
	// failWeight is the weight of the newest outcome in a target's failure rate.
	failWeight = 0.2
	// failHalf is the time after which a failure counts half.
	failHalf = 4 * time.Second
	// paceWeight is the weight of the newest first token in a target's pace, which
	// is kept between leastPace and mostPace; expectations below leastLearnt say
	// little.
	paceWeight  = 0.15
	leastPace   = 0.5
	mostPace    = 4.0
	leastLearnt = 20 * time.Millisecond
	// suspectTime is how long a target with work in flight may be quiet; prompts
	// of a loaded engine are read in less.
	suspectTime = time.Second
	// silentFirst and silentMost bound how long a target is avoided after it did
	// not answer.
	silentFirst = 400 * time.Millisecond
	silentMost  = 3 * time.Second
	// loadedTime is how long the weights that an engine was seen with are told to
	// other VMs, whose own reading of the engine's entry lags.
	loadedTime = 5 * time.Second
	// darkTime is how long a target that takes no connections is avoided unless a
	// probe reaches it before.
	darkTime = 20 * time.Second
	// darkDoubt is how recent an answer to this VM outweighs the word of others.
	darkDoubt = 700 * time.Millisecond
	// largePool is the number of engines from which on their memory outlasts the
	// time in which a family returns, so that a home that has been up for warmTime
	// is taken to hold its families. Feeds of so many engines are not read, and the
	// one link of a store of KV cache is left alone.
	largePool = 40
	warmTime  = 3 * time.Second
	// tellTime is how long another VM's telling of its loads counts.
	tellTime = 2 * time.Second
)

// A Request is what the choice needs to know of one send.
type Request struct {
	Service string
	// Model is empty for plain services.
	Model string
	// Chain are the shared parts of the prompt, from the first one on.
	Chain []Link
	// Tokens are the prompt's tokens.
	Tokens int
	// Cache is the address of the store of KV cache, or empty, and CacheTokens its
	// room beside the room of one engine, EngineTokens.
	Cache        string
	CacheTokens  int
	EngineTokens int
	// Salt returns the salt of KV cache made with a version of the weights.
	Salt func(version int64) string
	// Aim is how long the first token may take to be in time, and Left how long
	// the request may last. Without an aim no request counts as late.
	Aim  time.Duration
	Left time.Duration
	// Tried are the targets that have failed this request.
	Tried []string
	// hot tells that the family has several homes, which take turns.
	hot bool
}

// A Link is the start of a prompt up to the end of one shared part. Part is the
// name of that part.
type Link struct {
	Family uint64
	Part   string
	Tokens int
}

// family returns the link with all shared parts, or none.
func (r *Request) family() Link {
	if len(r.Chain) == 0 {
		return Link{}
	}
	return r.Chain[len(r.Chain)-1]
}

// A Choice is the target of one send.
type Choice struct {
	Target *site.Target
	// Weights is the version to expect at the target; 0 if none is known.
	Weights int64
	// Source is the address to fetch shared parts from, or empty; Keep tells to
	// send the parts to the store of KV cache.
	Source string
	Keep   bool
	// Home tells whether the target is the home of the family.
	Home bool
	// Late tells that no target can give the first token in time, so that the
	// request has to wait behind those that can be served in time.
	Late bool
	// Expected is the estimate that decided, First the time to the first token in
	// it, and Missing the tokens to be read.
	Expected time.Duration
	First    time.Duration
	Missing  int
	// plain is First without the pace of the target, aim what was asked for.
	plain time.Duration
	aim   time.Duration
}

// Silent tells whether the chosen target is one that did not answer lately.
func (c Choice) Silent() bool { return c.Expected >= silentCost*time.Millisecond }

// A Placer chooses targets. Its methods may be called from any goroutine.
type Placer struct {
	dataCentre string
	// oldest is how long after new weights are named work may begin on old ones.
	oldest time.Duration

	mu      sync.Mutex
	records map[string]*record
	others  map[string]telling
	busy    map[string]bool
	// summedUp is what others have in flight as of summed; told tells that there
	// is news since.
	summedUp map[string]sum
	summed   time.Time
	told     bool
	holders  holders
	index    *caches.Index
	// heats are the families that this VM has sent lately; turn counts sends of hot
	// ones.
	heats map[uint64]heat
	turn  int
	// pressure is the part of the requests that wait behind others in a large fleet.
	pressure float64
}

// A record is what this VM knows of one target by its own sends.
type record struct {
	born    int64
	running int
	// prefill and late are the prompt tokens of requests that have not answered
	// yet, those in time and those that are late.
	prefill int
	late    int
	// pace is how much longer first tokens take than expected.
	pace    float64
	failing float64
	noted   time.Time
	silent  time.Duration
	until   time.Time
	// dark tells that the target takes no connections.
	dark bool
	// answered is when the target last gave an answer.
	answered time.Time
	// weights are the versions seen in answers, since the target's own entry
	// lags.
	weights map[string]int64
	// firsthand tells that this VM itself has seen the weights.
	firsthand bool
	changed   time.Time
	seen      time.Time
}

// A telling is what another VM has in flight.
type telling struct {
	loads map[string]roster.TargetLoad
	heard time.Time
}

// New returns a Placer of a VM in a data centre. Weights that have been overtaken
// for longer than oldest, less a margin for what this VM learnt late, are not
// used.
func New(dataCentre string, oldest time.Duration, index *caches.Index) *Placer {
	return &Placer{dataCentre: dataCentre, index: index, oldest: oldest - learnMargin, records: map[string]*record{}, others: map[string]telling{}, busy: map[string]bool{}, holders: newHolders(), heats: map[uint64]heat{}}
}

// SetOldest replaces the time after which overtaken weights are not used.
func (p *Placer) SetOldest(oldest time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.oldest = oldest - learnMargin
}

// Choose returns the best target for a request, and false if the service has
// none. The send has to be begun and ended with the returned choice.
func (p *Placer) Choose(v *source.View, r Request, now time.Time) (Choice, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := p.candidates(v, r, now)
	if len(all) == 0 {
		return Choice{}, false
	}
	large := len(all) >= largePool
	keeps := r.keeps(len(all), large)
	candidates, first, home := p.homes(all, &r, now)
	keys := newKeys(&r)
	for i := range candidates {
		p.holds(&candidates[i], &r, keys, now)
	}
	if large {
		presume(candidates, first, &r, p.crowded(), now)
	}
	average := averageFailing(candidates)
	for i := range candidates {
		c := &candidates[i]
		c.home = home != nil && c.target.ID == home.target.ID
		p.cover(c, &r, keys, candidates, now)
		c.score(p, r, average, now)
	}
	chosen, late := p.pick(candidates, r, average, now)
	return Choice{
		Target:   chosen.target,
		Weights:  chosen.version,
		Home:     chosen.home,
		Late:     late,
		Missing:  chosen.missing,
		First:    chosen.first,
		plain:    chosen.plain,
		aim:      r.Aim,
		Expected: time.Duration(chosen.cost * float64(time.Millisecond)),
		Source:   chosen.source,
		Keep:     keeps && p.worthKeeping(&r, keys, chosen.version, now),
	}, true
}

// pick returns the best of the candidates, and whether the request is late there
// and has to wait behind others.
func (p *Placer) pick(candidates []candidate, r Request, average float64, now time.Time) (*candidate, bool) {
	chosen := cheapest(candidates)
	if r.Model == "" || r.Aim == 0 || chosen.first <= r.Aim && !p.yields() {
		return chosen, false
	}
	if c := p.behind(candidates, r, average, now); c != nil {
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

// behind returns the best target for a request that is late anyway, and nil if
// it must not wait: behind others it may begin at any time until its end, which
// has to be before the weights may no longer be used.
func (p *Placer) behind(candidates []candidate, r Request, average float64, now time.Time) *candidate {
	var patient []candidate
	for _, c := range candidates {
		age := time.Duration(0)
		if c.old {
			age = now.Sub(c.overtaken)
		}
		if age+r.Left < p.oldest {
			c.prefill += c.late
			c.score(p, r, average, now)
			patient = append(patient, c)
		}
	}
	if len(patient) == 0 {
		return nil
	}
	return cheapest(patient)
}
