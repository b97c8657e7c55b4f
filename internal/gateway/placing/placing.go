// Package placing chooses the target of each send: by the expected time to the
// first token, by what it would read again, and by how sends there have ended.
//
// The load it answers: many prompts over few shared parts, whose callers reach
// every VM at random. All VMs rank the engines of a family of prompts alike, so
// that each shared part has one home; others fetch it from there.
package placing

import (
	"math"
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
	// Cache is the address of the store of KV cache, or empty.
	Cache string
	// Salt returns the salt of KV cache made with a version of the weights.
	Salt func(version int64) string
	// Tried are the targets that have failed this request.
	Tried []string
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
	// Expected is the estimate that decided, Missing the tokens to be read.
	Expected time.Duration
	Missing  int
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
}

// A record is what this VM knows of one target by its own sends.
type record struct {
	born    int64
	running int
	prefill int
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
	loads map[string]roster.Load
	heard time.Time
}

// New returns a Placer of a VM in a data centre. Weights that have been overtaken
// for longer than oldest, less a margin for what this VM learnt late, are not
// used.
func New(dataCentre string, oldest time.Duration, index *caches.Index) *Placer {
	return &Placer{dataCentre: dataCentre, index: index, oldest: oldest - learnMargin, records: map[string]*record{}, others: map[string]telling{}, busy: map[string]bool{}, holders: newHolders()}
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
	candidates := p.candidates(v, r, now)
	if len(candidates) == 0 {
		return Choice{}, false
	}
	home := homeOf(candidates)
	average := averageFailing(candidates)
	best := math.Inf(1)
	var chosen *candidate
	keys := newKeys(&r)
	for i := range candidates {
		p.holds(&candidates[i], &r, keys, now)
	}
	if len(candidates) >= largePool {
		r.Cache = ""
		presume(candidates, home, &r, now)
	}
	for i := range candidates {
		c := &candidates[i]
		c.home = home != nil && c.target.ID == home.target.ID
		p.cover(c, &r, keys, candidates, now)
		c.score(p, r, average, now)
		if c.cost < best {
			best, chosen = c.cost, c
		}
	}
	return Choice{
		Target:   chosen.target,
		Weights:  chosen.version,
		Home:     chosen.home,
		Missing:  chosen.missing,
		Expected: time.Duration(chosen.cost * float64(time.Millisecond)),
		Source:   chosen.source,
		Keep:     p.worthKeeping(&r, keys, chosen.version, now),
	}, true
}
