package placing

import (
	"time"

	"github.com/baobabdyke/baobabdyke/internal/fleet/roster"
	"github.com/baobabdyke/baobabdyke/internal/fleet/site"
)

const (
	// holdTime is how long after its last use an engine is taken to hold a shared
	// part: engines evict what has been unused for seconds.
	holdTime = 6 * time.Second
	// keptTime is how long after a part was last sent to the store of KV cache it
	// is taken to be there.
	keptTime = 12 * time.Second
	// readTell is how long sends are told to other VMs.
	readTell = 3 * time.Second
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
	at     time.Time
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

// kept tells whether the store of KV cache is taken to have a part.
func (h *holders) kept(l Link, version int64, now time.Time) bool {
	p, ok := h.parts[versioned(l.Family, version)]
	return ok && now.Sub(p.kept) < keptTime
}

// sent notes a send of this VM.
func (h *holders) sent(c Choice, chain []Link, now time.Time) {
	for i, l := range chain {
		key := versioned(l.Family, c.Weights)
		kept := c.Keep
		h.note(key, c.Target.ID, kept, now)
		if i == len(chain)-1 || len(chain) > 1 {
			h.reads = append(h.reads, read{family: key, target: c.Target.ID, kept: kept, at: now})
		}
	}
}

// tell returns the sends that other VMs are told of, and forgets what is old.
func (h *holders) tell(now time.Time) []roster.Read {
	n := 0
	for n < len(h.reads) && now.Sub(h.reads[n].at) > readTell {
		n++
	}
	h.reads = h.reads[n:]
	out := make([]roster.Read, 0, len(h.reads))
	for _, r := range h.reads {
		out = append(out, roster.Read{Family: r.family, Target: r.target, Kept: r.kept, AgeMS: now.Sub(r.at).Milliseconds()})
	}
	return out
}

// hear takes in the sends of another VM.
func (h *holders) hear(reads []roster.Read, now time.Time) {
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
		if now.Sub(last) > 2*keptTime {
			delete(h.parts, key)
		}
	}
}

// cover fills in how much of the shared parts a candidate holds or can fetch.
func (p *Placer) cover(c *candidate, r Request, all []candidate, now time.Time) {
	c.held, c.source = 0, ""
	fetched := 0
	for i := len(r.Chain) - 1; i >= 0; i-- {
		l := r.Chain[i]
		known := p.holders.parts[versioned(l.Family, c.version)]
		if known == nil {
			continue
		}
		if c.held == 0 && known.heldBy(c.target.ID, now) {
			c.held = l.Tokens
		}
		if fetched == 0 {
			if s := p.sourceOf(known, c, r, all, now); s != "" {
				c.source, fetched = s, l.Tokens
			}
		}
		if c.held > 0 {
			break
		}
	}
	if c.held >= fetched && r.Cache == "" {
		c.source = ""
	}
	c.missing = r.Tokens - max(c.held, fetched)
}

func (p *part) heldBy(target string, now time.Time) bool {
	for _, h := range p.holders {
		if h.target == target {
			return now.Sub(h.at) < holdTime
		}
	}
	return false
}

// sourceOf returns where a candidate can fetch a part: another engine that holds
// it, else the store of KV cache.
func (p *Placer) sourceOf(known *part, c *candidate, r Request, all []candidate, now time.Time) string {
	var best *site.Target
	var at time.Time
	for _, h := range known.holders {
		if h.target == c.target.ID || now.Sub(h.at) > holdTime || !h.at.After(at) {
			continue
		}
		for i := range all {
			o := &all[i]
			if o.target.ID == h.target && o.version == c.version && !now.Before(o.record.until) {
				best, at = o.target, h.at
			}
		}
	}
	if best != nil {
		return best.Address
	}
	if r.Cache != "" && now.Sub(known.kept) < keptTime {
		return r.Cache
	}
	return ""
}
