package placing

import (
	"math"
	"time"

	"github.com/baobabdyke/baobabdyke/internal/fleet/roster"
)

// Engines of one service may differ in speed. A large fleet places prefixes by rank alone,
// so that slow engines get as many of them as fast ones and fill up first. With weighted
// ranks an engine is the home of a share of the prefixes that follows its speed.
//
// A VM of a large fleet sees an engine once in many seconds. The VMs therefore add up their
// samples: the ratio of observed to expected times to first token, which also shows load
// that no VM knows of. Speeds are rounded to levels that change seldom, so that VMs whose
// samples differ a little rank the engines alike.

const (
	// speedHalfLife is the time after which a sample counts half. Together with the rate of
	// samples it decides how much chance there is in a speed: 83 VMs that send 1.5 prompts a
	// second to each engine have some 40 samples.
	speedHalfLife = 20 * time.Second
	// minSpeedSample is the expected time to first token below which the ratio shows the
	// delay of the network rather than the engine.
	minSpeedSample = 10 * time.Millisecond
	// priorSamples is the weight, in samples, of the assumption that an engine is as fast as
	// the average.
	priorSamples = 4.0
	// speedStep is the ratio between two levels of speed, and maxSpeedLevel the highest one:
	// an engine gets between 0.5 and 2 times the share of an average one.
	speedStep     = 1.4
	maxSpeedLevel = 2
	// speedHysteresis is how far an estimate must be from the present level, in levels, for
	// the level to change, and speedPeriod the time between two changes. A change moves
	// prefixes between engines, which then have to read them again. Engines that are equally
	// fast differ by less than that by the load of their prefixes.
	speedHysteresis = 1.1
	speedPeriod     = 3 * time.Second
	// minReportedSamples is the number of samples from which on a VM reports them.
	minReportedSamples = 0.1
	// ratioScale is the factor by which samples are multiplied in updates, which carry
	// integers.
	ratioScale = 100
)

// speedSamples are the decayed sum and number of the ratios of observed to expected times
// to first token.
type speedSamples struct {
	ratios, count float64
	at            time.Time
}

// decayed returns the samples as of now.
func (s speedSamples) decayed(now time.Time) speedSamples {
	factor := math.Exp2(-now.Sub(s.at).Seconds() / speedHalfLife.Seconds())
	return speedSamples{ratios: s.ratios * factor, count: s.count * factor, at: now}
}

// add adds one sample.
func (s *speedSamples) add(ratio float64, now time.Time) {
	*s = s.decayed(now)
	s.ratios += ratio
	s.count++
}

// recordSpeed adds the time to first token of a request to the samples of its target.
func (s *targetState) recordSpeed(c Choice, took time.Duration, now time.Time) {
	if c.Late || c.rawTTFT < minSpeedSample {
		return
	}
	ratio := float64(took) / float64(c.rawTTFT)
	s.speed.add(min(max(ratio, minSlowdown/2), 2*maxSlowdown), now)
}

// report adds the samples to what other VMs are told of the target.
func (s speedSamples) report(l *roster.TargetLoad, now time.Time) {
	if s = s.decayed(now); s.count >= minReportedSamples {
		l.Ratios, l.Samples = int(ratioScale*s.ratios), int(ratioScale*s.count)
	}
}

// SetWeighted sets whether the home engines of prefixes follow the engines' speeds in a
// large fleet.
func (p *Placer) SetWeighted(weighted bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.weighted = weighted
	if !weighted {
		p.speedLevels = nil
	}
}

// updateSpeeds adjusts the levels of speed of the candidates to the samples of all VMs.
func (p *Placer) updateSpeeds(candidates []candidate, now time.Time) {
	if !p.weighted || !p.largeFleet() || now.Sub(p.speedsAt) < speedPeriod {
		return
	}
	p.speedsAt = now
	totals := p.loadTotals(now)
	samples := make([]speedSamples, len(candidates))
	all := speedSamples{}
	for i := range candidates {
		own := candidates[i].state.speed.decayed(now)
		other := totals[candidates[i].target.ID]
		samples[i] = speedSamples{ratios: own.ratios + other.ratios, count: own.count + other.samples}
		all.ratios += samples[i].ratios
		all.count += samples[i].count
	}
	if all.count < priorSamples*float64(len(candidates)) {
		return
	}
	if p.speedLevels == nil {
		p.speedLevels = map[string]int{}
	}
	average := all.ratios / all.count
	for i := range candidates {
		estimate := (samples[i].ratios + priorSamples*average) / (samples[i].count + priorSamples)
		level := -math.Log(estimate/average) / math.Log(speedStep)
		level = min(max(level, -maxSpeedLevel), maxSpeedLevel)
		id := candidates[i].target.ID
		if math.Abs(level-float64(p.speedLevels[id])) > speedHysteresis {
			p.speedLevels[id] = int(math.Round(level))
		}
	}
}

// weighRanks replaces the ranks of candidates by weighted rendezvous hashes, so that the
// chance of a target to rank first is proportional to its speed.
func (p *Placer) weighRanks(candidates []candidate) {
	if len(p.speedLevels) == 0 || !p.largeFleet() {
		return
	}
	for i := range candidates {
		c := &candidates[i]
		if c.rank == 0 {
			continue
		}
		weight := math.Pow(speedStep, float64(p.speedLevels[c.target.ID]))
		// The bits of positive floating-point numbers are ordered like the numbers.
		fraction := (float64(c.rank>>11) + 0.5) / (1 << 53)
		c.rank = math.Float64bits(-weight / math.Log(fraction))
	}
}
