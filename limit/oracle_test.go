package limit_test

import (
	"math"
	"time"

	"github.com/baobabdyke/baobabdyke/config"
	"github.com/baobabdyke/baobabdyke/limit"
)

// An oracle checks the admissions of one customer in the whole fleet. The cost
// admitted in any window of time must not exceed rate times window plus burst.
type oracle struct {
	rate        config.Rate // the highest in force anywhere
	rateSince   config.Rate // the highest since the last admission
	admissions  []admission
	requests    excess
	tokens      excess
	stale       bool
	violations  int
	worstExcess float64
}

// An admission is one admitted request. Its cost is reduced when it settles.
type admission struct {
	at   time.Time
	cost limit.Cost
	rate config.Rate // the highest in force since the previous admission
}

// An excess is the largest amount by which the sum over a window that ends now
// exceeds rate times window. Its burst is the highest in force since the start
// of that window.
type excess struct {
	sum   float64
	burst float64
}

func (e *excess) add(amount, seconds, rate, burst float64) bool {
	e.sum -= rate * seconds
	if e.sum <= 0 {
		e.sum, e.burst = 0, 0
	}
	e.burst = max(e.burst, burst)
	e.sum += amount
	return e.sum <= e.burst*(1+1e-6)+1e-6
}

// admit records an admission and returns its number.
func (o *oracle) admit(now time.Time, c limit.Cost) int {
	o.rateSince = maxRate(o.rateSince, o.rate)
	o.admissions = append(o.admissions, admission{at: now, cost: c, rate: o.rateSince})
	o.rateSince = o.rate
	if o.stale {
		o.recheck()
	} else {
		o.check(len(o.admissions) - 1)
	}
	return len(o.admissions) - 1
}

// settle reduces the cost of an admission to the cost that was used.
func (o *oracle) settle(n int, used limit.Cost) {
	o.admissions[n].cost = used
	o.stale = true
}

// setRate sets the highest rate in force from now on.
func (o *oracle) setRate(r config.Rate) {
	o.rate = r
	o.rateSince = maxRate(o.rateSince, r)
}

func maxRate(a, b config.Rate) config.Rate {
	return config.Rate{
		Requests: max(a.Requests, b.Requests), RequestBurst: max(a.RequestBurst, b.RequestBurst),
		Tokens: max(a.Tokens, b.Tokens), TokenBurst: max(a.TokenBurst, b.TokenBurst),
	}
}

func (o *oracle) recheck() {
	o.requests, o.tokens, o.stale = excess{}, excess{}, false
	for i := range o.admissions {
		o.check(i)
	}
}

func (o *oracle) check(i int) {
	a := o.admissions[i]
	seconds, top := 0.0, a.rate
	if i > 0 {
		seconds = a.at.Sub(o.admissions[i-1].at).Seconds()
	}
	ok := o.requests.add(a.cost.Requests, seconds, top.Requests, top.RequestBurst)
	ok = o.tokens.add(a.cost.Tokens, seconds, top.Tokens, top.TokenBurst) && ok
	if !ok {
		o.violations++
		o.worstExcess = math.Max(o.worstExcess, math.Max(o.tokens.sum-o.tokens.burst, o.requests.sum-o.requests.burst))
	}
}
