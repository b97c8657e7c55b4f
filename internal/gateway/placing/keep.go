package placing

import "time"

const (
	// leastKept is the number of shared tokens from which on a prompt is worth
	// writing to the store of KV cache.
	leastKept = 1000
	// keepAgain is how long after a write the same parts are not written again,
	// crowdAgain the same in a large fleet.
	keepAgain  = 4 * time.Second
	crowdAgain = 25 * time.Second
	// sharedRoom is the part of the memory of engines that holds shared parts, beside
	// requests that run and what was read for one request only.
	sharedRoom = 0.35
)

// keeps tells whether the family is one of those that go to the store of KV cache.
// In a large pool families are divided between the store and the engines by their
// room, so that neither evicts a part before it returns.
func (r *Request) keeps(engines int, large bool) bool {
	if r.Cache == "" || !large {
		return true
	}
	store := float64(r.CacheTokens)
	room := sharedRoom * float64(engines) * float64(r.EngineTokens)
	return place(r.family().Family, 2) < store/(store+room)
}

// worthKeeping tells whether the prompt is to be written to the store of KV
// cache.
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
