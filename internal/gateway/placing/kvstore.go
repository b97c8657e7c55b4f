package placing

import "time"

const (
	// minStoredTokens is the number of shared tokens from which a prefix is
	// worth writing to the KV cache store.
	leastKept = 1000
	// rewriteInterval is the least time between two writes of the same prefix,
	// largeFleetRewriteInterval the same in a large fleet.
	keepAgain  = 4 * time.Second
	crowdAgain = 25 * time.Second
	// sharedCapacity is the share of the engines' memory that holds shared
	// segments; running requests and tokens of single requests take the rest.
	sharedRoom = 0.35
)

// assignedToStore reports whether the prefix is one of those that are written to
// the KV cache store. In a large pool, prefixes are divided between the store and
// the engines in proportion to their capacity, so that neither evicts a prefix
// before it is used again.
func (r *Request) keeps(engines int, large bool) bool {
	if r.Cache == "" || !large {
		return true
	}
	store := float64(r.CacheTokens)
	room := sharedRoom * float64(engines) * float64(r.EngineTokens)
	return place(r.family().Family, 2) < store/(store+room)
}

// shouldStore reports whether the prefix is to be written to the KV cache store.
func (p *Placer) worthKeeping(r *Request, k *keys, version int64, now time.Time) bool {
	if r.Cache == "" || r.family().Tokens < leastKept || p.stored(r, k, version, now) == len(r.Chain) {
		return false
	}
	known := p.holders.parts[versioned(r.family().Family, version)]
	again := keepAgain
	if p.crowded() {
		again = crowdAgain
	}
	return known == nil || now.Sub(known.kept) > again
}
