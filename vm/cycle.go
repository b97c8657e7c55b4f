package vm

import (
	"math/rand/v2"
	"slices"
)

// A cycle visits ids in a random order, each once before any twice.
type cycle struct{ order []string }

// next returns the next of the ids, or "" when there are none.
func (c *cycle) next(ids []string, rng *rand.Rand) string {
	for range 2 {
		for len(c.order) > 0 {
			id := c.order[len(c.order)-1]
			c.order = c.order[:len(c.order)-1]
			if slices.Contains(ids, id) {
				return id
			}
		}
		c.order = slices.Clone(ids)
		rng.Shuffle(len(c.order), func(i, j int) {
			c.order[i], c.order[j] = c.order[j], c.order[i]
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
