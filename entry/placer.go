package entry

import (
	"math"
	"time"

	"github.com/baobabdyke/baobabdyke/config"
	"github.com/baobabdyke/baobabdyke/store"
	"github.com/baobabdyke/baobabdyke/vm"
)

const (
	// DefaultTTL is the default time for which a caller may cache a response.
	DefaultTTL = 10 * time.Second
	// DefaultLag is the default upper bound of the time until the state of a
	// leaving VM has reached all other VMs.
	DefaultLag = 15 * time.Second
	// minHomes is the least number of home VMs of a customer. With two of them,
	// the customer's state survives the loss of one VM.
	minHomes = 2
	// requestsPerHome is the number of requests per second that one home VM
	// handles.
	requestsPerHome = 25.0
	// tokensPerHome is the number of tokens per second that one home VM handles.
	tokensPerHome = 10_000.0
	// fallbacks is the number of VMs listed after the home VMs.
	fallbacks = 2
	// maxVMs bounds the VMs in one response.
	maxVMs = 16
)

// Options are the dependencies and settings of a Placer. TTL is the time for which
// callers may cache a response, and Lag an upper bound of the time until the state
// of a leaving VM has reached all other VMs; zero means the default. Config, which
// may be nil, provides the rate limits of customers for Homes. Weight, which may
// be nil, returns the relative capacity of a VM.
type Options struct {
	Roster vm.Roster
	Clock  store.Clock
	TTL    time.Duration
	Lag    time.Duration
	Config func() *config.View
	Weight func(vm.Member) float64
}

// A Placer selects VMs by rendezvous hashing. Each customer has a few home VMs,
// whose order depends on the prefix family. Two Placers with the same members
// choose the same home VMs in the same order.
type Placer struct {
	opts    Options
	counter *counter
}

// NewPlacer returns a Placer.
func NewPlacer(opts Options) *Placer {
	if opts.Clock == nil {
		opts.Clock = store.SystemClock{}
	}
	if opts.TTL <= 0 {
		opts.TTL = DefaultTTL
	}
	if opts.Lag <= 0 {
		opts.Lag = DefaultLag
	}
	if opts.Weight == nil {
		opts.Weight = func(vm.Member) float64 { return 1 }
	}
	return &Placer{opts: opts, counter: newCounter(opts.TTL)}
}

// DrainTime returns how long a leaving VM must continue to accept requests: the
// time until no other VM lists it any more, plus the time for which callers cache
// a response.
func (p *Placer) DrainTime() time.Duration { return p.opts.TTL + p.opts.Lag }

// Resolve returns the VMs for a request in order of preference.
func (p *Placer) Resolve(r Request) Response {
	now := p.opts.Clock.Now()
	key := placementKey{customer: r.Customer, family: r.Family}
	homes := homeCount(r.Rate)
	first := p.counter.next(key, homes, now)
	resp := Response{TTL: int(math.Ceil(p.opts.TTL.Seconds()))}
	for _, m := range p.order(key, homes, r.DataCentre, first) {
		resp.VMs = append(resp.VMs, Address{Address: m.Caller, DataCentre: m.DataCentre})
	}
	return resp
}

// Homes returns the home VMs of a customer in the order for a family, as seen
// from the data centre of this VM.
func (p *Placer) Homes(customer string, family uint64) []vm.Member {
	var rate config.Rate
	if p.opts.Config != nil {
		if c := p.opts.Config().Customer(customer); c != nil {
			rate = c.Rate
		}
	}
	key := placementKey{customer: customer, family: family}
	homes, _ := p.homes(key, homeCount(rate), p.opts.Roster.Self().DataCentre)
	return homes
}

// homeCount returns the number of home VMs for a rate limit.
func homeCount(r config.Rate) int {
	n := max(r.Requests/requestsPerHome, r.Tokens/tokensPerHome)
	return max(minHomes, int(math.Ceil(min(n, maxVMs-fallbacks))))
}

// order returns the home VMs, rotated so that the one with index first comes
// first, followed by the fallbacks.
func (p *Placer) order(key placementKey, n int, dataCentre string, first int) []vm.Member {
	homes, rest := p.homes(key, n, dataCentre)
	list := make([]vm.Member, 0, len(homes)+fallbacks)
	for i := range homes {
		list = append(list, homes[(first+i)%len(homes)])
	}
	return append(list, pickFallbacks(list, rest)...)
}

// pickFallbacks returns the VMs to list after the home VMs. If possible, at least
// one home VM or fallback is in another data centre than the first home VM.
func pickFallbacks(homes, rest []vm.Member) []vm.Member {
	list := rest[:min(fallbacks, len(rest))]
	if len(homes) == 0 || len(list) < fallbacks {
		return list
	}
	for _, m := range append(homes, list...) {
		if m.DataCentre != homes[0].DataCentre {
			return list
		}
	}
	for _, m := range rest[fallbacks:] {
		if m.DataCentre != homes[0].DataCentre {
			return append(list[:fallbacks-1:fallbacks-1], m)
		}
	}
	return list
}
