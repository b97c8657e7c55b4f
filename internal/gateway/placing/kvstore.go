package placing

import "time"

const (
	// minStoredTokens is the number of shared tokens from which a prefix is
	// worth writing to the KV cache store.
	minStoredTokens = 1000
	// rewriteInterval is the least time between two writes of the same prefix,
	// largeFleetRewriteInterval the same in a large fleet.
	rewriteInterval           = 4 * time.Second
	largeFleetRewriteInterval = 25 * time.Second
	// sharedCapacity is the share of the engines' memory that holds shared
	// segments; running requests and unshared tokens take the rest.
	sharedCapacity = 0.35
)

// assignedToStore reports whether the prefix is one of those that are written to
// the KV cache store. In a large pool, prefixes are divided between the store and
// the engines in proportion to their capacity, so that neither evicts a prefix
// before it is used again.
func (r *Request) assignedToStore(engines int, large bool) bool {
	if r.Cache == "" || !large {
		return true
	}
	storeTokens := float64(r.CacheTokens)
	engineTokens := sharedCapacity * float64(engines) * float64(r.EngineTokens)
	return hashFraction(r.fullPrefix().Hash, 2) < storeTokens/(storeTokens+engineTokens)
}

// shouldStore reports whether the prefix is to be written to the KV cache store.
func (p *Placer) shouldStore(r *Request, k *keys, version int64, now time.Time) bool {
	if r.Cache == "" || r.fullPrefix().Tokens < minStoredTokens || p.storedSegments(r, k, version, now) == len(r.Prefixes) {
		return false
	}
	state := p.holders.prefixes[versionedKey(r.fullPrefix().Hash, version)]
	interval := rewriteInterval
	if p.largeFleet() {
		interval = largeFleetRewriteInterval
	}
	return state == nil || now.Sub(state.storedAt) > interval
}
