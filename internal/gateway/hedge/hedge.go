// Package hedge decides whether a request whose response is slow is sent to a second
// target.
//
// It is built for VMs that send some ten requests a second to 60 to 90 engines, so that a
// VM sees each engine a few times a minute: times to the first event are pooled over all
// engines by route and size, and an attempt is compared with those at other engines. A
// response is slow if it takes longer than the configured quantile of these.
package hedge

import (
	"math/bits"
	"reflect"
	"slices"
	"time"
)

const (
	// burst is the number of hedges that the limit lets a VM save up.
	burst = 2
	// minWait is the least time after which a response is slow. A second target takes a
	// few milliseconds by itself.
	minWait = 10 * time.Millisecond
	// maxOverdueShare is the share of the attempts at other targets that may be slow at
	// the same moment. Where more are, all targets are slow rather than one.
	maxOverdueShare = 0.25
	// maxSlowdown is how much longer than usual recent responses may take.
	maxSlowdown = 1.5
	// recentPeriod is the time of which responses are recent, and minRecent the number
	// from which their median is used. The latest maxRecent are used: at ten requests a
	// second their median shows a change after 1.3 s.
	recentPeriod = 3 * time.Second
	minRecent    = 8
	maxRecent    = 24
	// maxRejected is the share of sends that targets may reject. rejectedHalfLife is the
	// half-life of the sends that are counted, and minRejected the number of rejections
	// that show overload.
	maxRejected      = 0.1
	minRejected      = 2.0
	rejectedHalfLife = 5 * time.Second
	// judgedHedges is the number of latest hedges by which their use is judged: if fewer
	// than minWon of them win, there are none for minPause, and twice as long each time
	// up to maxPause.
	judgedHedges = 8
	minWon       = 0.25
	minPause     = 10 * time.Second
	maxPause     = 80 * time.Second
)

// Rules are the settings of hedges. They are off while Requests or Tokens is 0.
type Rules struct {
	// Routes are the names of the routes whose requests may be hedged; all if empty.
	Routes []string
	// Requests and Tokens limit hedges to shares of the requests and of their prompt
	// tokens.
	Requests, Tokens float64
	// Quantile is the quantile of the usual time to the first event from which on a
	// response is slow.
	Quantile float64
}

// cover reports whether requests of the route may be hedged.
func (r *Rules) cover(route string) bool {
	return r.Requests > 0 && r.Tokens > 0 && (len(r.Routes) == 0 || slices.Contains(r.Routes, route))
}

// An Attempt is a request that was sent to a target and has no first event yet.
type Attempt struct {
	Route, Target string
	// Size is what the target has to read, and Tokens the number of tokens of the whole
	// prompt.
	Size, Tokens int
	Sent         time.Time
	// Usual is the time after which the response is slow, by a number of Samples; 0 if
	// there are too few.
	Usual   time.Duration
	Samples int
}

func (a *Attempt) key() key { return key{a.Route, bits.Len(uint(max(a.Size, 0)))} }

// overdue reports whether the response is slow.
func (a *Attempt) overdue(now time.Time) bool { return a.Usual > 0 && now.Sub(a.Sent) >= a.Usual }

// A Denial is the reason why a slow response is not hedged.
type Denial string

// Denials by the decision. None permits the hedge.
const (
	None         Denial = ""
	Off          Denial = "off"
	TooEarly     Denial = "not slow yet"
	AllSlow      Denial = "other targets are slow"
	GeneralDelay Denial = "responses are slower than usual"
	Overload     Denial = "targets reject requests"
	Losing       Denial = "hedges lose"
	RequestLimit Denial = "the limit of requests"
	TokenLimit   Denial = "the limit of tokens"
)

// A State is what one VM knows of its attempts. Its methods are the steps of the decision:
// they take the time and start nothing.
type State struct {
	rules Rules
	pools map[key]*pool
	open  map[*Attempt]struct{}
	spent account
	// slowdowns are the latest times to first events as multiples of what is usual.
	slowdowns []slowdown
	// sends and rejections are decaying counts as of countedAt.
	sends, rejections float64
	countedAt         time.Time
	// results are the latest hedges: true for those that won.
	results     []bool
	pause       time.Duration
	pausedUntil time.Time
}

type slowdown struct {
	ratio float64
	at    time.Time
}

// NewState returns a State without samples and without credit.
func NewState(r Rules) *State {
	return &State{rules: r, pools: map[key]*pool{}, open: map[*Attempt]struct{}{}, pause: minPause}
}

// SetRules replaces the rules. What was learned stays; the credit does not, as it was earned
// under the previous limits.
func (s *State) SetRules(r Rules) {
	if reflect.DeepEqual(s.rules, r) {
		return
	}
	s.rules = r
	s.spent.credit, s.spent.tokenCredit = 0, 0
}

// Sent records that an attempt is sent, and sets when its response is slow. First reports
// whether it is the first attempt of its request, which earns credit. Sent reports whether
// the route's requests may be hedged; if not, nothing is recorded.
func (s *State) Sent(a *Attempt, first bool, now time.Time) bool {
	if !s.rules.cover(a.Route) {
		return false
	}
	a.Sent = now
	if first {
		s.spent.earn(s.rules, a.Tokens, now)
	}
	s.decay(now)
	s.sends++
	if p := s.pools[a.key()]; p != nil {
		a.Usual, a.Samples = p.slowAfter(a.Target, s.rules.Quantile, now)
		if a.Usual > 0 {
			a.Usual = max(a.Usual, minWait)
		}
	}
	s.open[a] = struct{}{}
	return true
}

func (s *State) decay(now time.Time) {
	f := decayed(now.Sub(s.countedAt), rejectedHalfLife)
	s.sends, s.rejections, s.countedAt = s.sends*f, s.rejections*f, now
}

// Answered records the first event, or the whole response, of an attempt.
func (s *State) Answered(a *Attempt, now time.Time) {
	if _, ok := s.open[a]; !ok {
		return
	}
	delete(s.open, a)
	s.sample(a, now)
}

// Overtaken records that a hedge has answered in place of the attempt, whose response would
// have taken longer than until now. Without this sample slow responses would be missing in
// what is usual.
func (s *State) Overtaken(a *Attempt, now time.Time) { s.Answered(a, now) }

func (s *State) sample(a *Attempt, now time.Time) {
	k, took := a.key(), now.Sub(a.Sent)
	p := s.pools[k]
	if p == nil {
		s.dropOldest()
		p = &pool{}
		s.pools[k] = p
	}
	if median, n := p.usual("", 0.5, now); n >= minRecent && median > 0 {
		s.slowdowns = append(s.slowdowns, slowdown{float64(took) / float64(median), now})
		if len(s.slowdowns) > maxRecent {
			s.slowdowns = slices.Delete(s.slowdowns, 0, len(s.slowdowns)-maxRecent)
		}
	}
	p.add(sample{target: hash(a.Target), took: took, at: now})
}

// dropOldest makes room for another pool.
func (s *State) dropOldest() {
	if len(s.pools) < maxPools {
		return
	}
	var oldest key
	var at time.Time
	for k, p := range s.pools {
		if last := p.last(); at.IsZero() || last.Before(at) {
			oldest, at = k, last
		}
	}
	delete(s.pools, oldest)
}

// Ended records that an attempt has ended, whether or not it was answered. Rejected reports
// whether its target did not run it.
func (s *State) Ended(a *Attempt, rejected bool, now time.Time) {
	delete(s.open, a)
	if rejected {
		s.decay(now)
		s.rejections++
	}
}

// Decide returns why a slow response is not hedged, or None. It changes nothing that a
// later decision depends on.
func (s *State) Decide(a *Attempt, now time.Time) Denial {
	switch {
	case !s.rules.cover(a.Route):
		return Off
	case !a.overdue(now):
		return TooEarly
	case now.Before(s.pausedUntil):
		return Losing
	case s.rejecting(now):
		return Overload
	case s.othersSlow(a, now):
		return AllSlow
	case s.slowdown(now) > maxSlowdown:
		return GeneralDelay
	}
	return s.spent.check(s.rules, a.Tokens, now)
}

// Start charges a hedge of the attempt to the limit, unless the limit does not permit it.
func (s *State) Start(a *Attempt, now time.Time) Denial {
	d := s.spent.check(s.rules, a.Tokens, now)
	if d == None {
		s.spent.spend(a.Tokens, now)
	}
	return d
}

// Settle records whether a hedge has answered its request.
func (s *State) Settle(won bool, now time.Time) {
	s.results = append(s.results, won)
	if len(s.results) < judgedHedges {
		return
	}
	wins := 0
	for _, won := range s.results {
		if won {
			wins++
		}
	}
	if float64(wins) < minWon*float64(len(s.results)) {
		s.pausedUntil = now.Add(s.pause)
		s.pause = min(2*s.pause, maxPause)
		s.results = s.results[:0]
		return
	}
	s.pause = minPause
	s.results = slices.Delete(s.results, 0, 1)
}

// Overdue returns the targets that have not answered an attempt in the usual time. They are
// no second targets.
func (s *State) Overdue(now time.Time) []string {
	var out []string
	for a := range s.open {
		if a.overdue(now) && !slices.Contains(out, a.Target) {
			out = append(out, a.Target)
		}
	}
	return out
}

// othersSlow reports whether too many attempts at other targets are slow.
func (s *State) othersSlow(a *Attempt, now time.Time) bool {
	others, overdue := 0, 0
	for o := range s.open {
		if o.Target == a.Target || o.Route != a.Route || o.Usual == 0 {
			continue
		}
		others++
		if o.overdue(now) {
			overdue++
		}
	}
	return overdue > 0 && float64(overdue) > maxOverdueShare*float64(others)
}

// slowdown returns the median of the recent times to first events as multiples of the usual
// ones; 1 if there are too few.
func (s *State) slowdown(now time.Time) float64 {
	var recent []float64
	for _, r := range s.slowdowns {
		if now.Sub(r.at) < recentPeriod {
			recent = append(recent, r.ratio)
		}
	}
	if len(recent) < minRecent {
		return 1
	}
	slices.Sort(recent)
	return recent[len(recent)/2]
}

// rejecting reports whether targets reject so many requests that they are overloaded.
func (s *State) rejecting(now time.Time) bool {
	f := decayed(now.Sub(s.countedAt), rejectedHalfLife)
	return s.rejections*f >= minRejected && s.rejections > maxRejected*s.sends
}
