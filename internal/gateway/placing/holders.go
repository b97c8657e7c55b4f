package placing

import (
	"time"

	"github.com/baobabdyke/baobabdyke/internal/fleet/roster"
	"github.com/baobabdyke/baobabdyke/internal/gateway/caches"
)

const (
	// heldTTL is how long after its last use an engine without a feed is assumed
	// to hold a segment: engines evict segments that are unused for some
	// seconds.
	holdTime = 6 * time.Second
	// feedDelay is how long a segment that was just sent may be missing in an
	// engine's feed: the prompt has to be read and the event delivered.
	sentTime = 1200 * time.Millisecond
	// storedTTL is how long after its last write a prefix is assumed to be in
	// the KV cache store. In a large fleet only some prefixes are written there,
	// so largeFleetStoredTTL is longer.
	keptTime  = 12 * time.Second
	crowdKept = 30 * time.Second
	// sendReportPeriod is how long sends are reported to other VMs. In a large
	// fleet an update takes seconds to spread, so writes to the KV cache store
	// are reported for largeFleetReportPeriod.
	readTell  = 3 * time.Second
	crowdTell = 8 * time.Second
	// maxHolders is the number of engines remembered for each prefix.
	maxHolders = 3
)

// A holder is an engine that was sent a prefix.
type holder struct {
	target string
	at     time.Time
}

// A prefixState is what is known of one prefix under one version of the weights.
type part struct {
	holders []holder
	kept    time.Time
}

// A sentPrefix is a send of this VM that is reported to other VMs.
type read struct {
	family uint64
	target string
	kept   bool
	// full reports whether the prefix contains all shared segments of its
	// prompt.
	whole bool
	at    time.Time
}

// holders records which engines hold which prefixes, from the sends of this VM
// and those that other VMs report.
type holders struct {
	parts map[uint64]*part
	reads []read
}

func newHolders() holders { return holders{parts: map[uint64]*part{}} }

// versionedKey returns the key of a prefix under a version of the weights.
func versioned(family uint64, version int64) uint64 {
	h := family ^ uint64(version)*0x9e3779b97f4a7c15
	h ^= h >> 29
	h *= 0xbf58476d1ce4e5b9
	return h ^ h>>32
}

// note records that an engine held a prefix at a time, and, if stored, that the
// prefix was written to the KV cache store.
func (h *holders) note(key uint64, target string, kept bool, at time.Time) {
	p, ok := h.parts[key]
	if !ok {
		p = &part{}
		h.parts[key] = p
	}
	if kept && at.After(p.kept) {
		p.kept = at
	}
	if target == "" {
		return
	}
	oldest := -1
	for i := range p.holders {
		if p.holders[i].target == target {
			if at.After(p.holders[i].at) {
				p.holders[i].at = at
			}
			return
		}
		if oldest < 0 || p.holders[i].at.Before(p.holders[oldest].at) {
			oldest = i
		}
	}
	if len(p.holders) < maxHolders {
		p.holders = append(p.holders, holder{target: target, at: at})
		return
	}
	p.holders[oldest] = holder{target: target, at: at}
}

// recordSend records a send of this VM.
func (h *holders) sent(c Choice, chain []Link, now time.Time) {
	for i, l := range chain {
		key := versioned(l.Family, c.Weights)
		h.note(key, c.Target.ID, c.Keep, now)
		h.reads = append(h.reads, read{family: key, target: c.Target.ID, kept: c.Keep, whole: i == len(chain)-1, at: now})
	}
}

// recentSends returns the sends to report to other VMs, and drops those that are
// too old.
func (h *holders) tell(crowded bool, now time.Time) []roster.CachedPrefix {
	within := readTell
	if crowded {
		within = crowdTell
	}
	n := 0
	for n < len(h.reads) && now.Sub(h.reads[n].at) > within {
		n++
	}
	h.reads = h.reads[n:]
	out := make([]roster.CachedPrefix, 0, len(h.reads))
	for _, r := range h.reads {
		if crowded {
			if r.kept && r.whole {
				out = append(out, roster.CachedPrefix{Family: r.family, Kept: true, AgeMS: now.Sub(r.at).Milliseconds()})
			}
			continue
		}
		out = append(out, roster.CachedPrefix{Family: r.family, Target: r.target, Kept: r.kept, AgeMS: now.Sub(r.at).Milliseconds()})
	}
	return out
}

// merge adds the sends that another VM reported.
func (h *holders) hear(reads []roster.CachedPrefix, now time.Time) {
	for _, r := range reads {
		h.note(r.Family, r.Target, r.Kept, now.Add(-time.Duration(r.AgeMS)*time.Millisecond))
	}
}

// prune removes prefixes that no engine and no store is assumed to hold any more.
func (h *holders) prune(now time.Time) {
	for key, p := range h.parts {
		last := p.kept
		for _, x := range p.holders {
			if x.at.After(last) {
				last = x.at
			}
		}
		if now.Sub(last) > crowdKept {
			delete(h.parts, key)
		}
	}
}

// keys caches the cache keys of a request's shared segments, by version of the
// weights.
type keys struct {
	request   *Request
	byVersion map[int64][]caches.Key
}

func newKeys(r *Request) *keys { return &keys{request: r, byVersion: map[int64][]caches.Key{}} }

func (k *keys) of(version int64) []caches.Key {
	if list, ok := k.byVersion[version]; ok {
		return list
	}
	salt := k.request.Salt(version)
	list := make([]caches.Key, 0, len(k.request.Chain))
	for _, l := range k.request.Chain {
		list = append(list, caches.KeyOf(salt, l.Part))
	}
	k.byVersion[version] = list
	return list
}

// countHeld sets the number of leading shared segments that the candidate holds:
// those in its feed and those that it was sent after the feed's last events.
// Without a feed, those that it was sent recently count.
func (p *Placer) holds(c *candidate, r *Request, k *keys, now time.Time) {
	c.depth, c.held = 0, 0
	if len(r.Chain) == 0 {
		return
	}
	list := k.of(c.version)
	for i, l := range r.Chain {
		held, known := p.index.Holds(c.target.ID, list[i], now)
		within := sentTime
		if !known {
			within = holdTime
		}
		sent := p.holders.parts[versioned(l.Family, c.version)]
		if !held && (sent == nil || !sent.heldBy(c.target.ID, within, now)) {
			return
		}
		c.depth, c.held = i+1, l.Tokens
	}
}

// assumeHeld marks the engine that is assumed to hold the full prefix in a large
// pool: the home engine if its weights have not changed recently, else the one
// that was the home engine before. VMs of a large fleet learn of new weights at
// different times, so there no previous home engine is assumed.
func presume(candidates []candidate, home *candidate, r *Request, crowd bool, now time.Time) {
	if home == nil {
		return
	}
	holder := home
	if now.Sub(home.record.changed) < warmTime {
		holder = nil
		if !crowd {
			holder = earlierHome(candidates, home)
		}
	}
	if holder != nil && holder.depth == 0 {
		holder.depth, holder.held, holder.presumed = len(r.Chain), r.family().Tokens, true
	}
}

// previousHome returns the engine that was the home engine before the current one
// received the same weights.
func earlierHome(candidates []candidate, home *candidate) *candidate {
	var holder *candidate
	for i := range candidates {
		c := &candidates[i]
		earlier := c.version == home.version && c.record.changed.Before(home.record.changed)
		if earlier && (holder == nil || c.rank > holder.rank) {
			holder = c
		}
	}
	return holder
}

// storedSegments returns the number of leading shared segments that the KV cache
// store holds.
func (p *Placer) stored(r *Request, k *keys, version int64, now time.Time) int {
	list := k.of(version)
	if whole := p.holders.parts[versioned(r.family().Family, version)]; p.crowded() && whole != nil && now.Sub(whole.kept) < crowdKept {
		// VMs of a large fleet report full prefixes only.
		return len(r.Chain)
	}
	for i, l := range r.Chain {
		held, known := p.index.Holds(r.Cache, list[i], now)
		within := sentTime
		if !known {
			within = keptTime
		}
		sent := p.holders.parts[versioned(l.Family, version)]
		if !held && (sent == nil || now.Sub(sent.kept) > within) {
			return i
		}
	}
	return len(r.Chain)
}

// planFetch sets the number of tokens that a candidate has to prefill and the
// source to fetch segments from that it does not hold.
func (p *Placer) cover(c *candidate, r *Request, k *keys, all []candidate, now time.Time) {
	c.source, c.missing = "", r.Tokens-c.held
	if c.depth == len(r.Chain) {
		if c.presumed && r.Cache != "" && p.stored(r, k, c.version, now) == c.depth {
			c.source = r.Cache
		}
		return
	}
	from, depth := "", c.depth
	for i := range all {
		o := &all[i]
		if o != c && o.version == c.version && o.depth > depth && !now.Before(o.record.until) && !p.busy[o.target.ID] {
			from, depth = o.target.Address, o.depth
		}
	}
	if r.Cache != "" {
		if n := p.stored(r, k, c.version, now); n > depth {
			from, depth = r.Cache, n
		}
	}
	if from != "" {
		c.source = from
		c.missing = r.Tokens - r.Chain[depth-1].Tokens
	}
}

func (p *part) heldBy(target string, within time.Duration, now time.Time) bool {
	for _, h := range p.holders {
		if h.target == target {
			return now.Sub(h.at) < within
		}
	}
	return false
}
