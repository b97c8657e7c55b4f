package limit_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/baobabdyke/baobabdyke/config"
	"github.com/baobabdyke/baobabdyke/internal/seed"
	"github.com/baobabdyke/baobabdyke/limit"
)

const (
	measureVMs  = 8
	measureWarm = 30 * time.Second
	measureTime = 120 * time.Second
	// rateTokens and burstTokens are the limits of each measured customer.
	rateTokens  = 8000.0
	burstTokens = 16000.0
)

var measured = []string{"hakata", "saldo", "kokura", "maia", "gaia"}

// An offer is one request of a measured load.
type offer struct {
	at       time.Duration
	vm       int
	customer string
	tokens   float64
}

// A load says where requests go and how large they are.
type load struct {
	name string
	lost bool // the two VMs that hold the most are lost, but listed
	// unlisted takes the lost VMs off the platform's list after listLag.
	unlisted bool
	// rolling restarts one VM after the other, each by a planned stop.
	rolling bool
	// vm returns where a request goes at a time.
	vm func(r *rand.Rand, at time.Duration) int
	// pace returns the factor on the mean pace at a time.
	pace func(at time.Duration) float64
	// unused is the part of a reservation that comes back after holdTime.
	unused float64
	// least and most bound the tokens of one request.
	least, most float64
}

func anyVM(r *rand.Rand, _ time.Duration) int { return r.IntN(measureVMs) }
func steady(time.Duration) float64            { return 1 }

var loads = []load{
	{name: "even", vm: anyVM, pace: steady, least: 100, most: 900},
	{name: "skewed", vm: func(r *rand.Rand, _ time.Duration) int {
		if r.IntN(5) > 0 {
			return 3
		}
		return r.IntN(measureVMs)
	}, pace: steady, least: 100, most: 900},
	{name: "moving", vm: func(_ *rand.Rand, at time.Duration) int {
		return int(at/(5*time.Second)) % measureVMs
	}, pace: steady, least: 100, most: 900},
	{name: "bursty", vm: func(r *rand.Rand, at time.Duration) int {
		return (int(at/(3*time.Second)) + 4*r.IntN(2)) % measureVMs
	}, pace: func(at time.Duration) float64 {
		if at%(3*time.Second) < time.Second {
			return 3
		}
		return 0
	}, least: 100, most: 900},
	{name: "large", vm: anyVM, pace: steady, least: 2000, most: 6000},
	{name: "unused", unused: 0.6, vm: anyVM, pace: func(time.Duration) float64 { return 1.75 }, least: 250, most: 2250},
	{name: "lost", lost: true, vm: anyVM, pace: steady, least: 100, most: 900},
	{name: "unlisted", lost: true, unlisted: true, vm: anyVM, pace: steady, least: 100, most: 900},
	{name: "rolling", rolling: true, vm: anyVM, pace: steady, least: 100, most: 900},
}

// holdTime is the time until a reservation settles.
const holdTime = 500 * time.Millisecond

// listLag is the time after which the platform's list drops a lost VM.
const listLag = 30 * time.Second

// rollEvery is the time between two planned stops of the rolling load.
const rollEvery = 10 * time.Second

// offers returns the requests of a load, the same for every way.
func (l load) offers(part float64) []offer {
	r := rand.New(rand.NewPCG(seed.Value(), 7))
	var list []offer
	mean := (l.least + l.most) / 2
	const slice = 10 * time.Millisecond
	for at := time.Duration(0); at < measureTime; at += slice {
		chance := part * rateTokens / mean * slice.Seconds() * l.pace(at)
		for _, customer := range measured {
			for p := chance; p > 0; p-- {
				if r.Float64() >= p {
					continue
				}
				list = append(list, offer{
					at: at + time.Duration(r.Int64N(int64(slice))), vm: l.vm(r, at), customer: customer,
					tokens: l.least + r.Float64()*(l.most-l.least),
				})
			}
		}
	}
	return list
}

// A way admits requests to a fleet. Lose makes two VMs end.
type way interface {
	lose()
	// unlist takes the lost VMs off the platform's list.
	unlist()
	// roll restarts a VM by a planned stop.
	roll(vm int)
	// offer offers a request; done is told how to refund it, or nil if it is
	// refused.
	offer(o offer, done func(refund func(tokens float64)))
	run(d time.Duration)
}

// A pot is a plain token bucket.
type pot struct {
	level, rate, top float64
	at               time.Duration
}

func (p *pot) take(at time.Duration, tokens float64) bool {
	p.level = min(p.top, p.level+p.rate*(at-p.at).Seconds())
	p.at = at
	if p.level < tokens {
		return false
	}
	p.level -= tokens
	return true
}

// refund puts tokens back; what exceeds the top is lost.
func (p *pot) refund(tokens float64) { p.level = min(p.top, p.level+tokens) }

// static gives every VM the n-th part of rate and burst.
type static struct {
	n, lost int
	pots    map[string]*pot
}

func newStatic(n int) way { return &static{n: n, pots: map[string]*pot{}} }

func (s *static) lose()             { s.lost = 2 }
func (s *static) run(time.Duration) {}
func (s *static) unlist()           {}

// roll starts the VM's buckets empty, since nobody knows what was spent.
func (s *static) roll(vm int) {
	for _, name := range measured {
		if p := s.pots[fmt.Sprint(name, vm)]; p != nil {
			p.level = 0
		}
	}
}

func (s *static) offer(o offer, done func(func(float64))) {
	key := fmt.Sprint(o.customer, o.vm%(s.n-s.lost))
	if s.pots[key] == nil {
		top := burstTokens / float64(s.n)
		s.pots[key] = &pot{level: top, top: top, rate: rateTokens / float64(s.n)}
	}
	if !s.pots[key].take(o.at, o.tokens) {
		done(nil)
		return
	}
	done(s.pots[key].refund)
}

// leased keeps a customer's account on one VM, which grants amounts that lapse.
// When the holder is lost, its lease has to lapse before the next one starts
// with an empty account.
type leased struct {
	accounts map[string]*pot
	grants   map[string]*grant
	lost     bool
}

type grant struct {
	left  float64
	until time.Duration
}

const (
	grantTokens = burstTokens / 32
	grantTime   = time.Second
	leaseTime   = 10 * time.Second
)

func (l *leased) lose()             { l.lost = true }
func (l *leased) run(time.Duration) {}
func (l *leased) unlist()           {}
func (l *leased) roll(vm int) {
	for _, name := range measured {
		delete(l.grants, fmt.Sprint(name, vm))
	}
}

func (l *leased) offer(o offer, done func(func(float64))) {
	a := l.accounts[o.customer]
	if a == nil {
		a = &pot{level: burstTokens, top: burstTokens, rate: rateTokens}
		l.accounts[o.customer] = a
	}
	key := fmt.Sprint(o.customer, o.vm)
	g := l.grants[key]
	if g == nil || o.at > g.until {
		g = &grant{}
		l.grants[key] = g
	}
	away := l.lost && o.at < leaseTime
	if l.lost && a.at < leaseTime && !away {
		a.level, a.at = 0, leaseTime
	}
	if need := o.tokens - g.left; need > 0 && !away {
		ask := max(need, grantTokens)
		if a.take(o.at, ask) || a.take(o.at, need) {
			g.left += ask
			g.until = o.at + grantTime
		}
	}
	if g.left < o.tokens {
		done(nil)
		return
	}
	g.left -= o.tokens
	done(a.refund)
}

// escrow is the real thing.
type escrow struct{ f *fleet }

func newEscrow(slots int) *escrow {
	cfg := &config.Config{Version: 1}
	for _, name := range measured {
		cfg.Customers = append(cfg.Customers, config.Customer{Name: name, Rate: config.Rate{
			Requests: rateTokens, RequestBurst: burstTokens, Tokens: rateTokens, TokenBurst: burstTokens,
		}})
	}
	f := newFleet(measureVMs, limit.Layout{Shards: 1, Slots: slots}, cfg, seed.Value())
	f.run(measureWarm)
	f.bytes, f.messages, f.calls, f.writes = 0, 0, 0, 0
	return &escrow{f: f}
}

func (e *escrow) run(d time.Duration) { e.f.run(d) }

func (e *escrow) unlist() {
	for _, n := range e.f.nodes {
		n.gone = n.dead
	}
	e.f.members()
}

// roll gives the VM's slots back and starts it again a second later.
func (e *escrow) roll(vm int) {
	n := e.f.nodes[vm]
	n.member.State = "draining"
	n.step(limit.GiveUp{})
	e.f.after(time.Second, func() {
		n.dead = true
		e.f.members()
	})
	e.f.after(2*time.Second, func() {
		e.f.start(n.member.ID)
		e.f.members()
	})
}

func (e *escrow) lose() {
	lost := 0
	for _, n := range e.f.nodes {
		if n.s.Held() > 0 && lost < 2 {
			n.dead = true
			lost++
		}
	}
}

// offer sends a request to the VM, or to the next one if it is lost: callers
// keep several addresses.
func (e *escrow) offer(o offer, done func(func(float64))) {
	n := e.f.nodes[o.vm]
	for i := 1; n.dead || n.member.State == "draining"; i++ {
		n = e.f.nodes[(o.vm+i)%measureVMs]
	}
	n.reserve(o.customer, limit.Cost{Requests: 1, Tokens: o.tokens}, func(d limit.Decision, admission int) {
		a, ok := d.(limit.Admitted)
		if !ok {
			done(nil)
			return
		}
		done(func(tokens float64) {
			used := limit.Cost{Requests: 1, Tokens: o.tokens - tokens}
			e.f.oracles[o.customer].settle(admission, used)
			n.step(limit.Settle{Reservation: a.Reservation, Used: used})
		})
	})
}

// A due is one settlement.
type due struct {
	at     time.Duration
	tokens float64
	refund func(tokens float64)
}

// refusals returns the part of the requests that an ideal bucket admits and a
// way refuses, in %.
func refusals(w way, l load, part float64) float64 {
	ideal := newStatic(1)
	wrong, total, rolled := 0, 0, 0
	var last time.Duration
	var dues []due
	if l.lost {
		w.lose()
	}
	for _, o := range l.offers(part) {
		if vm := int(o.at/rollEvery) - 1; l.rolling && vm >= rolled && vm < measureVMs {
			w.roll(vm)
			rolled++
		}
		if l.unlisted && o.at >= listLag && last < listLag {
			w.unlist()
		}
		for len(dues) > 0 && dues[0].at <= o.at {
			w.run(dues[0].at - last)
			last = dues[0].at
			dues[0].refund(dues[0].tokens)
			dues = dues[1:]
		}
		w.run(o.at - last)
		last = o.at
		settle := func(refund func(float64)) {
			if refund != nil && l.unused > 0 {
				dues = append(dues, due{at: last + holdTime, tokens: l.unused * o.tokens, refund: refund})
			}
		}
		inside := false
		ideal.offer(o, func(refund func(float64)) {
			inside = refund != nil
			settle(refund)
		})
		total++
		if !inside {
			continue
		}
		w.offer(o, func(refund func(float64)) {
			if refund == nil {
				wrong++
			}
			settle(refund)
		})
	}
	w.run(time.Second)
	return 100 * float64(wrong) / float64(total)
}

// BenchmarkMeasure reports refusals inside the rate in % of requests, for each
// way under each load, at 70% and at 90% of the customers' rates.
func BenchmarkMeasure(b *testing.B) {
	ways := []struct {
		name string
		make func() way
	}{
		{"static r÷N", func() way { return newStatic(measureVMs) }},
		{"leased grants", func() way { return &leased{accounts: map[string]*pot{}, grants: map[string]*grant{}} }},
		{"escrow 2 homes", func() way { return newEscrow(2) }},
		{"escrow 3 homes", func() way { return newEscrow(3) }},
		{"escrow all homes", func() way { return newEscrow(measureVMs) }},
	}
	for _, part := range []float64{0.7, 0.9} {
		for _, w := range ways {
			b.Run(fmt.Sprintf("load=%.0f%%/%s", part*100, w.name), func(b *testing.B) {
				for b.Loop() {
					measure(b, w.make, part)
				}
				b.ReportMetric(0, "ns/op")
			})
		}
	}
}

func measure(b *testing.B, make func() way, part float64) {
	over, messages, requests, bytes, writes, calls := 0, 0, 0, 0.0, 0.0, 0.0
	for _, l := range loads {
		w := make()
		b.ReportMetric(refusals(w, l, part), l.name+"_%")
		if e, ok := w.(*escrow); ok {
			count, _ := e.f.violations()
			over += count
			messages += e.f.messages
			requests += len(l.offers(part))
			per := float64(measureVMs) * measureTime.Seconds()
			bytes = max(bytes, float64(e.f.bytes)/per)
			writes += float64(e.f.writes) / per / float64(len(loads))
			calls = max(calls, float64(e.f.calls)/per)
		}
	}
	b.ReportMetric(float64(over), "over")
	b.ReportMetric(bytes, "max_B/s/VM")
	b.ReportMetric(float64(messages)/float64(max(requests, 1)), "messages/request")
	b.ReportMetric(writes, "writes/s/VM")
	b.ReportMetric(calls, "max_calls/s/VM")
}
