package limit

import (
	"cmp"
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/baobabdyke/baobabdyke/vm"
)

// Defaults of a Layout.
const (
	DefaultShards = 4
	DefaultSlots  = 8
)

// layoutKey is the key of the object that holds the layout of the fleet.
const layoutKey = "limit/layout"

// slotPrefix is the key prefix of the objects of slots.
const slotPrefix = "limit/slot/"

// A Layout divides the customers into shards, and the rates and bursts of each
// shard's customers into equal shares, one per slot. All VMs of a fleet use the
// same Layout.
type Layout struct {
	Shards int `json:"shards"`
	Slots  int `json:"slots"`
}

// Valid reports whether the numbers of shards and slots are positive.
func (l Layout) Valid() bool { return l.Shards > 0 && l.Slots > 0 }

// Shard returns the shard of a customer.
func (l Layout) Shard(customer string) int {
	return int(xxhash.Sum64String(customer) % uint64(l.Shards))
}

// Rank returns the members in the order in which slots of a shard are assigned
// to them, by rendezvous hashing. Draining and stopped members are left out.
func (l Layout) Rank(shard int, members []vm.Member) []vm.Member {
	ranked := slices.DeleteFunc(slices.Clone(members), func(m vm.Member) bool { return !eligible(m) })
	slices.SortFunc(ranked, func(a, b vm.Member) int {
		return cmp.Or(cmp.Compare(score(shard, memberHash(b)), score(shard, memberHash(a))), cmp.Compare(a.ID, b.ID))
	})
	return ranked
}

// A candidate is a member that may hold slots.
type candidate struct {
	id   string
	hash uint64
}

// candidates returns the members that may hold slots, in the order given.
func candidates(members []vm.Member) []candidate {
	list := make([]candidate, 0, len(members))
	for _, m := range members {
		if eligible(m) {
			list = append(list, candidate{id: m.ID, hash: memberHash(m)})
		}
	}
	return list
}

// preferredHolders returns the candidates to which slots of a shard are
// assigned, in the order of Rank. The candidates must be sorted by ID.
func (l Layout) preferredHolders(shard int, members []candidate) []candidate {
	best := make([]candidate, 0, l.Slots+1)
	for _, c := range members {
		s := score(shard, c.hash)
		at := len(best)
		for at > 0 && score(shard, best[at-1].hash) < s {
			at--
		}
		if at < l.Slots {
			best = slices.Insert(best, at, c)
			best = best[:min(len(best), l.Slots)]
		}
	}
	return best
}

// assignedSlots returns the number of slots of a shard that are assigned to the
// holder with the given rank among a number of holders.
func (l Layout) assignedSlots(rank, holders int) int {
	n := l.Slots / holders
	if rank < l.Slots%holders {
		n++
	}
	return n
}

func eligible(m vm.Member) bool {
	return m.State != vm.StateDraining && m.State != vm.StateStopped
}

func memberHash(m vm.Member) uint64 { return xxhash.Sum64String(m.ID) }

// score returns the weight of a member for a shard, computed by the finaliser
// of SplitMix64.
func score(shard int, member uint64) uint64 {
	x := member + uint64(shard)*0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// share returns the fraction of a rate that a number of slots represents.
func (l Layout) share(slots int) float64 {
	return float64(slots) / float64(l.Slots)
}

// shardPrefix returns the key prefix of a shard's slots in the store.
func shardPrefix(shard int) string {
	return slotPrefix + strconv.Itoa(shard) + "/"
}

// slotKey returns the key of a slot in the store.
func slotKey(shard, slot int) string {
	return shardPrefix(shard) + strconv.Itoa(slot)
}

// parseSlotKey returns the slot number of a key. It reports false if the key is
// not that of a slot of the shard.
func parseSlotKey(shard int, key string) (int, bool) {
	n, err := strconv.Atoi(strings.TrimPrefix(key, shardPrefix(shard)))
	return n, err == nil && n >= 0
}
