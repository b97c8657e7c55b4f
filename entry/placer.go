package entry

import (
	"math"
	"time"

	"github.com/baobabdyke/baobabdyke/config"
	"github.com/baobabdyke/baobabdyke/store"
	"github.com/baobabdyke/baobabdyke/vm"
)

const (
	// DefaultTTL is how long a caller keeps an answer.
	DefaultTTL = 10 * time.Second
	// DefaultLag bounds how late the news of a leaving VM reaches others.
	DefaultLag = 15 * time.Second
	// minHomes is the number of homes of a slow customer, so that the loss of
	// one VM leaves another that holds its state.
	minHomes = 2
	// requestsPerHome is the rate of requests a second that one home takes.
	requestsPerHome = 25.0
	// tokensPerHome is the rate of tokens a second that one home takes.
	tokensPerHome = 10_000.0
	// spares is the number of VMs named after the homes.
	spares = 2
	// maxNamed bounds the VMs of one answer.
	maxNamed = 16
)

// Options are the parameters of a Placer. TTL and Lag have defaults. Config,
// which may be nil, gives the rates of customers for Homes. Weight, which may
// be nil, gives the relative capacity of a VM.
type Options struct {
	Roster vm.Roster
	Clock  store.Clock
	TTL    time.Duration
	Lag    time.Duration
	Config func() *config.View
	Weight func(vm.Member) float64
}

// A Placer chooses VMs by rendezvous hashing: the few homes of a customer, and
// among them the order for a prefix family. Two Placers that see the same
// members give the same answers.
type Placer struct {
	opts Options
	heat *heat
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
	return &Placer{opts: opts, heat: newHeat(opts.TTL)}
}

// DrainTime returns how long a leaving VM goes on accepting requests: the time
// that an answer is kept, after the time until no VM names it any more.
func (p *Placer) DrainTime() time.Duration { return p.opts.TTL + p.opts.Lag }

// Answer returns the VMs for a request, the best first.
func (p *Placer) Resolve(r Request) Response {
	now := p.opts.Clock.Now()
	f := family{customer: r.Customer, family: r.Family}
	width := homesFor(r.Rate)
	turn := p.heat.turn(f, width, now)
	a := Response{TTL: int(math.Ceil(p.opts.TTL.Seconds()))}
	for _, m := range p.order(f, width, r.DataCentre, turn) {
		a.VMs = append(a.VMs, Address{Address: m.Caller, DataCentre: m.DataCentre})
	}
	return a
}

// Homes returns the homes of a customer in the order for a family, as seen from
// the data centre of this VM.
func (p *Placer) Homes(customer string, id uint64) []vm.Member {
	var rate config.Rate
	if p.opts.Config != nil {
		if c := p.opts.Config().Customer(customer); c != nil {
			rate = c.Rate
		}
	}
	f := family{customer: customer, family: id}
	homes, _ := p.homes(f, homesFor(rate), p.opts.Roster.Self().DataCentre)
	return homes
}

// homesFor returns the number of homes for a rate.
func homesFor(r config.Rate) int {
	n := max(r.Requests/requestsPerHome, r.Tokens/tokensPerHome)
	return max(minHomes, int(math.Ceil(min(n, maxNamed-spares))))
}

// order returns the homes, the one whose turn it is first, and the spares.
func (p *Placer) order(f family, width int, dataCentre string, turn int) []vm.Member {
	homes, rest := p.homes(f, width, dataCentre)
	list := make([]vm.Member, 0, len(homes)+spares)
	for i := range homes {
		list = append(list, homes[(turn+i)%len(homes)])
	}
	return append(list, pickSpares(list, rest)...)
}

// pickSpares returns VMs that follow the homes. One of them is in another data
// centre than the first home, where there is one.
func pickSpares(homes, rest []vm.Member) []vm.Member {
	list := rest[:min(spares, len(rest))]
	if len(homes) == 0 || len(list) < spares {
		return list
	}
	for _, m := range append(homes, list...) {
		if m.DataCentre != homes[0].DataCentre {
			return list
		}
	}
	for _, m := range rest[spares:] {
		if m.DataCentre != homes[0].DataCentre {
			return append(list[:spares-1:spares-1], m)
		}
	}
	return list
}
