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
	heldTTL = 6 * time.Second
	// feedDelay is how long a segment that was just sent may be missing in an
	// engine's feed: the prompt has to be read and the event delivered.
	feedDelay = 1200 * time.Millisecond
	// storedTTL is how long after its last write a prefix is assumed to be in
	// the KV cache store. In a large fleet only some prefixes are written there,
	// so largeFleetStoredTTL is longer.
	storedTTL           = 12 * time.Second
	largeFleetStoredTTL = 30 * time.Second
	// sentReportPeriod is how long sent prefixes are reported to other VMs. In a
	// large fleet an update takes seconds to spread, so writes to the KV cache
	// store are reported for largeFleetReportPeriod.
	sentReportPeriod       = 3 * time.Second
	largeFleetReportPeriod = 8 * time.Second
	// maxHolders is the number of engines remembered for each prefix.
	maxHolders = 3
	// maxPrefixes and maxSent bound the prefixes that are remembered, which callers name at
	// will: 32,768 take about 8 MB. Further ones are placed as if they were unknown.
	maxPrefixes = 32 << 10
	maxSent     = 8 << 10
)

// A holder is an engine that was sent a prefix.
type holder struct {
	target string
	at     time.Time
}

// A prefixState is what is known of one prefix under one version of the weights.
type prefixState struct {
	holders  []holder
	storedAt time.Time
}

// A sentPrefix is a prefix that this VM sent, as reported to other VMs.
type sentPrefix struct {
	key    uint64
	target string
	stored bool
	// full reports whether the prefix contains all shared segments of its
	// prompt.
	full bool
	at   time.Time
}

// holders records which engines hold which prefixes, from what this VM sent and
// from what other VMs report.
type holders struct {
	prefixes map[uint64]*prefixState
	sent     []sentPrefix
}

func newHolders() holders { return holders{prefixes: map[uint64]*prefixState{}} }

// versionedKey returns the key of a prefix under a version of the weights.
func versionedKey(prefix uint64, version int64) uint64 {
	h := prefix ^ uint64(version)*0x9e3779b97f4a7c15
	h ^= h >> 29
	h *= 0xbf58476d1ce4e5b9
	return h ^ h>>32
}

// record records that an engine held a prefix at a time, and, if stored, that the
// prefix was written to the KV cache store.
func (h *holders) record(key uint64, target string, stored bool, at time.Time) {
	p, ok := h.prefixes[key]
	if !ok && len(h.prefixes) >= maxPrefixes {
		return
	}
	if !ok {
		p = &prefixState{}
		h.prefixes[key] = p
	}
	if stored && at.After(p.storedAt) {
		p.storedAt = at
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

// recordSent records the prefixes that this VM sent.
func (h *holders) recordSent(c Choice, prefixes []Prefix, now time.Time) {
	for i, prefix := range prefixes {
		key := versionedKey(prefix.Hash, c.Weights)
		h.record(key, c.Target.ID, c.StoreKV, now)
		if len(h.sent) >= maxSent {
			continue
		}
		h.sent = append(h.sent, sentPrefix{key: key, target: c.Target.ID, stored: c.StoreKV, full: i == len(prefixes)-1, at: now})
	}
}

// recentlySent returns the sent prefixes to report to other VMs, and drops those
// that are too old.
func (h *holders) recentlySent(largeFleet bool, now time.Time) []roster.CachedPrefix {
	period := sentReportPeriod
	if largeFleet {
		period = largeFleetReportPeriod
	}
	n := 0
	for n < len(h.sent) && now.Sub(h.sent[n].at) > period {
		n++
	}
	h.sent = h.sent[n:]
	out := make([]roster.CachedPrefix, 0, len(h.sent))
	for _, s := range h.sent {
		if largeFleet {
			if s.stored && s.full {
				out = append(out, roster.CachedPrefix{Family: s.key, Kept: true, AgeMS: now.Sub(s.at).Milliseconds()})
			}
			continue
		}
		out = append(out, roster.CachedPrefix{Family: s.key, Target: s.target, Kept: s.stored, AgeMS: now.Sub(s.at).Milliseconds()})
	}
	return out
}

// merge adds the prefixes that another VM reported as sent.
func (h *holders) merge(sent []roster.CachedPrefix, now time.Time) {
	for _, s := range sent {
		h.record(s.Family, s.Target, s.Kept, now.Add(-time.Duration(s.AgeMS)*time.Millisecond))
	}
}

// prune removes prefixes that no engine and no store is assumed to hold any more.
func (h *holders) prune(now time.Time) {
	for key, p := range h.prefixes {
		last := p.storedAt
		for _, holder := range p.holders {
			if holder.at.After(last) {
				last = holder.at
			}
		}
		if now.Sub(last) > largeFleetStoredTTL {
			delete(h.prefixes, key)
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

func (k *keys) forVersion(version int64) []caches.Key {
	if list, ok := k.byVersion[version]; ok {
		return list
	}
	salt := k.request.Salt(version)
	list := make([]caches.Key, 0, len(k.request.Prefixes))
	for _, prefix := range k.request.Prefixes {
		list = append(list, caches.KeyOf(salt, prefix.Segment))
	}
	k.byVersion[version] = list
	return list
}

// countHeld sets the number of leading shared segments that the candidate holds:
// those in its feed and those that it was sent after the feed's last events.
// Without a feed, those that it was sent recently count.
func (p *Placer) countHeld(c *candidate, r *Request, k *keys, now time.Time) {
	c.heldSegments, c.heldTokens = 0, 0
	if len(r.Prefixes) == 0 {
		return
	}
	list := k.forVersion(c.version)
	for i, prefix := range r.Prefixes {
		held, known := p.index.Holds(c.target.ID, list[i], now)
		within := feedDelay
		if !known {
			within = heldTTL
		}
		sent := p.holders.prefixes[versionedKey(prefix.Hash, c.version)]
		if !held && (sent == nil || !sent.heldBy(c.target.ID, within, now)) {
			return
		}
		c.heldSegments, c.heldTokens = i+1, prefix.Tokens
	}
}

// assumeHeld marks the engine that is assumed to hold the full prefix in a large
// pool: the home engine if its weights have not changed recently, else the one
// that was the home engine before. VMs of a large fleet learn of new weights at
// different times, so there no previous home engine is assumed.
func assumeHeld(candidates []candidate, home *candidate, r *Request, largeFleet bool, now time.Time) {
	if home == nil {
		return
	}
	holder := home
	if now.Sub(home.state.weightsChanged) < warmUpTime {
		holder = nil
		if !largeFleet {
			holder = previousHome(candidates, home)
		}
	}
	if holder != nil && holder.heldSegments == 0 {
		holder.heldSegments, holder.heldTokens, holder.assumed = len(r.Prefixes), r.fullPrefix().Tokens, true
	}
}

// previousHome returns the engine that was the home engine before the current one
// received the same weights.
func previousHome(candidates []candidate, home *candidate) *candidate {
	var holder *candidate
	for i := range candidates {
		c := &candidates[i]
		earlier := c.version == home.version && c.state.weightsChanged.Before(home.state.weightsChanged)
		if earlier && (holder == nil || c.rank > holder.rank) {
			holder = c
		}
	}
	return holder
}

// storedSegments returns the number of leading shared segments that the KV cache
// store holds.
func (p *Placer) storedSegments(r *Request, k *keys, version int64, now time.Time) int {
	list := k.forVersion(version)
	if full := p.holders.prefixes[versionedKey(r.fullPrefix().Hash, version)]; p.largeFleet() && full != nil && now.Sub(full.storedAt) < largeFleetStoredTTL {
		// VMs of a large fleet report full prefixes only.
		return len(r.Prefixes)
	}
	for i, prefix := range r.Prefixes {
		held, known := p.index.Holds(r.Cache, list[i], now)
		within := feedDelay
		if !known {
			within = storedTTL
		}
		sent := p.holders.prefixes[versionedKey(prefix.Hash, version)]
		if !held && (sent == nil || now.Sub(sent.storedAt) > within) {
			return i
		}
	}
	return len(r.Prefixes)
}

// planFetch sets the number of tokens that a candidate has to prefill and the
// source to fetch segments from that it does not hold.
func (p *Placer) planFetch(c *candidate, r *Request, k *keys, all []candidate, now time.Time) {
	c.source, c.missingTokens = "", r.Tokens-c.heldTokens
	if c.heldSegments == len(r.Prefixes) {
		if c.assumed && r.Cache != "" && p.storedSegments(r, k, c.version, now) == c.heldSegments {
			c.source = r.Cache
		}
		return
	}
	from, segments := "", c.heldSegments
	for i := range all {
		o := &all[i]
		if r.Hedge && contains(r.Tried, o.target.ID) {
			continue
		}
		if o != c && o.version == c.version && o.heldSegments > segments && !now.Before(o.state.avoidUntil) && !p.busy[o.target.ID] {
			from, segments = o.target.Address, o.heldSegments
		}
	}
	if r.Cache != "" {
		if n := p.storedSegments(r, k, c.version, now); n > segments {
			from, segments = r.Cache, n
		}
	}
	if from != "" {
		c.source = from
		c.missingTokens = r.Tokens - r.Prefixes[segments-1].Tokens
	}
}

func (p *prefixState) heldBy(target string, within time.Duration, now time.Time) bool {
	for _, h := range p.holders {
		if h.target == target {
			return now.Sub(h.at) < within
		}
	}
	return false
}
