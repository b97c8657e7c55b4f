package vm

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Rank returns the members in the order of rendezvous hashing for a key. All
// VMs with the same members get the same order, and a member that joins or
// leaves moves only the keys for which it ranks highest.
func Rank(key string, members []Member) []Member {
	ranked := slices.Clone(members)
	slices.SortFunc(ranked, func(a, b Member) int {
		return cmp.Or(cmp.Compare(score(key, b.ID), score(key, a.ID)), cmp.Compare(a.ID, b.ID))
	})
	return ranked
}

// HighestRanked returns the id of the first member in the order of Rank, or ""
// if there are no members.
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
