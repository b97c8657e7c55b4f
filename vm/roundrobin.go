package vm

import (
	"math/rand/v2"
	"slices"
)

// A roundRobin visits ids in random order, each once per round.
type roundRobin struct{ remaining []string }

// next returns the next of the ids, or "" if there are none.
func (r *roundRobin) next(ids []string, rng *rand.Rand) string {
	for range 2 {
		for len(r.remaining) > 0 {
			id := r.remaining[len(r.remaining)-1]
			r.remaining = r.remaining[:len(r.remaining)-1]
			if slices.Contains(ids, id) {
				return id
			}
		}
		r.remaining = slices.Clone(ids)
		rng.Shuffle(len(r.remaining), func(i, j int) {
			r.remaining[i], r.remaining[j] = r.remaining[j], r.remaining[i]
		})
	}
	return ""
}

// hash is the 64-bit FNV-1a hash of a string.
func hash(s string) uint64 {
	const offset, prime = 14695981039346656037, 1099511628211
	h := uint64(offset)
	for i := range len(s) {
		h = (h ^ uint64(s[i])) * prime
	}
	return h
}
