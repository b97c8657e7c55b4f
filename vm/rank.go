package vm

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Rank returns the members in the order of rendezvous hashing for a key: all
// VMs that see the same members place the key on the same first ones, and a
// member that comes or goes moves only the keys that it is first for.
func Rank(key string, members []Member) []Member {
	ranked := slices.Clone(members)
	slices.SortFunc(ranked, func(a, b Member) int {
		return cmp.Or(cmp.Compare(score(key, b.ID), score(key, a.ID)), cmp.Compare(a.ID, b.ID))
	})
	return ranked
}

// First returns the id of the member that Rank puts first, or "" for none.
func HighestRanked(key string, members []Member) string {
	var best uint64
	id := ""
	for i := range members {
		s := score(key, members[i].ID)
		if id == "" || s > best || s == best && members[i].ID < id {
			best, id = s, members[i].ID
		}
	}
	return id
}

func score(key, id string) uint64 {
	return xxhash.Sum64String(key + "\x00" + id)
}
