package hedge

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxSamples bounds the samples of a pool, and maxAge their age. A VM that gets ten
	// requests a second, spread over three sizes, has 400 in maxAge.
	maxSamples = 1024
	maxAge     = 2 * time.Minute
	// maxPools bounds the pools. Each takes 60 KB at most.
	maxPools = 64
	// tailSamples is the number of samples that must lie above a quantile. With five the
	// share above it is right to a factor of two at most times: 100 samples are needed for
	// the quantile 0.95 and 500 for 0.99.
	tailSamples = 5
	// tailPart divides the samples above the quantile where the tail is short.
	tailPart = 10
	// sortInterval is how long the order of the samples is reused while few are added.
	sortInterval = 250 * time.Millisecond
)

// A key selects the pool of an attempt: its route, and the logarithm of its size.
type key struct {
	route string
	size  int
}

// A sample is one time to the first event.
type sample struct {
	target uint64
	took   time.Duration
	at     time.Time
}

// A pool holds the latest times to first events of one key at all targets.
type pool struct {
	ring   []sample
	next   int
	sorted []sample
	sortAt time.Time
	// added is the number of samples since then.
	added int
	// times is reused for the result of others.
	times []time.Duration
}

func hash(target string) uint64 { return xxhash.Sum64String(target) }

func (p *pool) add(s sample) {
	p.added++
	if len(p.ring) < maxSamples {
		p.ring = append(p.ring, s)
		return
	}
	p.ring[p.next] = s
	p.next = (p.next + 1) % maxSamples
}

// last returns when the latest sample was added.
func (p *pool) last() time.Time {
	if len(p.ring) < maxSamples {
		return p.ring[len(p.ring)-1].at
	}
	return p.ring[(p.next+maxSamples-1)%maxSamples].at
}

// usual returns a quantile of the times at targets other than the given one, and the number
// of samples; 0 if there are too few.
func (p *pool) usual(other string, quantile float64, now time.Time) (time.Duration, int) {
	times := p.others(other, now)
	if above(quantile, len(times)) < tailSamples {
		return 0, len(times)
	}
	return times[int(quantile*float64(len(times)))], len(times)
}

// slowAfter returns the time after which a response is slow, and the number of samples; 0 if
// there are too few. It is the quantile, unless most responses that take as long come sooner
// than those of a second target would. Then it is the time that one in tailPart of those
// takes: what is longer than that has another reason than chance.
func (p *pool) slowAfter(other string, quantile float64, now time.Time) (time.Duration, int) {
	times := p.others(other, now)
	n := len(times)
	if above(quantile, n) < tailSamples {
		return 0, n
	}
	rank := int(quantile * float64(n))
	second := times[rank] + times[n/2]
	outlast, _ := slices.BinarySearch(times, second)
	if float64(n-outlast) < minWon*float64(n-rank) {
		rank = n - max(1, (n-rank)/tailPart)
	}
	return times[rank], n
}

// above returns the number of n samples that are above a quantile.
func above(quantile float64, n int) float64 {
	// Rounding covers that 1-0.95 is a little more or less than 0.05.
	return math.Round((1-quantile)*float64(n)*1e6) / 1e6
}

// others returns the times at targets other than the given one in ascending order.
func (p *pool) others(other string, now time.Time) []time.Duration {
	if now.Sub(p.sortAt) >= sortInterval || p.added > len(p.sorted)/8 {
		p.sorted = append(p.sorted[:0], p.ring...)
		p.sorted = slices.DeleteFunc(p.sorted, func(s sample) bool { return now.Sub(s.at) > maxAge })
		slices.SortFunc(p.sorted, func(a, b sample) int { return cmp.Compare(a.took, b.took) })
		p.sortAt, p.added = now, 0
	}
	skip := hash(other)
	p.times = p.times[:0]
	for _, s := range p.sorted {
		if s.target != skip {
			p.times = append(p.times, s.took)
		}
	}
	return p.times
}

// decayed returns what is left of a count of 1 after a time.
func decayed(d, halfLife time.Duration) float64 {
	return math.Exp2(-d.Seconds() / halfLife.Seconds())
}
