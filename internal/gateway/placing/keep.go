package placing

import "time"

const (
	// leastKept is the number of shared tokens from which on a prompt is worth
	// writing to the store of KV cache.
	leastKept = 1000
	// keepAgain is how long after a write the same parts are not written again.
	keepAgain = 4 * time.Second
)

// worthKeeping tells whether the prompt is to be written to the store of KV
// cache.
func (p *Placer) worthKeeping(r *Request, k *keys, version int64, now time.Time) bool {
	if r.Cache == "" || r.family().Tokens < leastKept || p.stored(r, k, version, now) == len(r.Chain) {
		return false
	}
	known := p.holders.parts[versioned(r.family().Family, version)]
	return known == nil || now.Sub(known.kept) > keepAgain
}
