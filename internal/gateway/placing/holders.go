package placing

import (
	"time"

	"github.com/baobabdyke/baobabdyke/internal/fleet/roster"
	"github.com/baobabdyke/baobabdyke/internal/gateway/caches"
)

const (
	// holdTime is how long after its last use an engine is taken to hold a shared
	// part: engines evict what has been unused for seconds.
	holdTime = 6 * time.Second
	// sentTime is how long after a send its parts may be missing in an engine's
	// feed: the prompt has to be read and the event told.
	sentTime = 1200 * time.Millisecond
	// keptTime is how long after a part was last sent to the store of KV cache it
	// is taken to be there; crowdKept is the same in a large fleet, where only some
	// families go there.
	keptTime  = 12 * time.Second
	crowdKept = 30 * time.Second
	// readTell is how long sends are told to other VMs, crowdTell how long writes to
	// the store of KV cache are in a large fleet, where a telling takes seconds.
	readTell  = 3 * time.Second
	crowdTell = 8 * time.Second
	// maxHolders is the number of engines remembered for a part.
	maxHolders = 3
)

// A holder is an engine that was sent a shared part.
type holder struct {
	target string
	at     time.Time
}

// A part is what is known of one shared part under one version of the weights.
type part struct {
	holders []holder
	kept    time.Time
}

// A read is a send of this VM that other VMs are told of.
type read struct {
	family uint64
	target string
	kept   bool
	// whole tells that the family is all shared parts of a prompt.
	whole bool
	at    time.Time
}

// holders knows which engines hold which shared parts, from this VM's sends and
// from what other VMs tell of theirs.
type holders struct {
	parts map[uint64]*part
	reads []read
}

func newHolders() holders { return holders{parts: map[uint64]*part{}} }

// versioned returns the key of a part under a version of the weights.
func versioned(family uint64, version int64) uint64 {
	h := family ^ uint64(version)*0x9e3779b97f4a7c15
	h ^= h >> 29
	h *= 0xbf58476d1ce4e5b9
	return h ^ h>>32
}

// note remembers that an engine holds a part since a time.
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

// sent notes a send of this VM.
func (h *holders) sent(c Choice, chain []Link, now time.Time) {
	for i, l := range chain {
		key := versioned(l.Family, c.Weights)
		h.note(key, c.Target.ID, c.Keep, now)
		h.reads = append(h.reads, read{family: key, target: c.Target.ID, kept: c.Keep, whole: i == len(chain)-1, at: now})
	}
}

// tell returns the sends that other VMs are told of, and forgets what is old.
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

// hear takes in the sends of another VM.
func (h *holders) hear(reads []roster.CachedPrefix, now time.Time) {
	for _, r := range reads {
		h.note(r.Family, r.Target, r.Kept, now.Add(-time.Duration(r.AgeMS)*time.Millisecond))
	}
}

// prune forgets parts that nobody holds any more.
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

// keys are the names of a prompt's shared parts in engines' caches, by version of
// the weights.
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

// holds fills in how many of the shared parts a candidate holds: those that its
// feed tells of, and those that it was sent since. Without a feed, those that it
// was sent lately.
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

// presume marks the engine that is taken to hold a family in a large pool: the
// home if it has been up for a while, else the one that was the home before it. In
// a large fleet VMs learn of that at different times, and no other is presumed.
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

// earlierHome returns the engine that was the home before another one came to have
// the same weights.
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

// stored returns how many of the shared parts the store of KV cache holds.
func (p *Placer) stored(r *Request, k *keys, version int64, now time.Time) int {
	list := k.of(version)
	if whole := p.holders.parts[versioned(r.family().Family, version)]; p.crowded() && whole != nil && now.Sub(whole.kept) < crowdKept {
		// Large fleets tell of whole families only.
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

// cover fills in how much of the prompt a candidate has to read, and where it
// fetches what it does not hold.
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
