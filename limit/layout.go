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

// layoutKey is the object that holds the layout of the fleet.
const layoutKey = "limit/layout"

// slotPrefix is the prefix of the objects of slots in the store.
const slotPrefix = "limit/slot/"

// A Layout divides the customers into shards and each shard's rates and bursts
// into equal shares, one for each slot. All VMs of a fleet use the same.
type Layout struct {
	Shards int `json:"shards"`
	Slots  int `json:"slots"`
}

// Valid tells whether customers can be divided by the layout.
func (l Layout) Valid() bool { return l.Shards > 0 && l.Slots > 0 }

// Shard returns the shard of a customer.
func (l Layout) Shard(customer string) int {
	return int(xxhash.Sum64String(customer) % uint64(l.Shards))
}

// Rank returns the members in the order in which they should hold slots of a
// shard. Members that drain or stop are left out.
func (l Layout) Rank(shard int, members []vm.Member) []vm.Member {
	able := slices.DeleteFunc(slices.Clone(members), func(m vm.Member) bool {
		return m.State == vm.StateDraining || m.State == vm.StateStopped
	})
	score := func(m vm.Member) uint64 {
		return xxhash.Sum64String(strconv.Itoa(shard) + "/" + m.ID)
	}
	slices.SortFunc(able, func(a, b vm.Member) int {
		return cmp.Or(cmp.Compare(score(b), score(a)), cmp.Compare(a.ID, b.ID))
	})
	return able
}

// Wanted returns how many slots of a shard each member should hold.
func (l Layout) Wanted(shard int, members []vm.Member) map[string]int {
	ranked := l.Rank(shard, members)
	homes := min(len(ranked), l.Slots)
	wanted := make(map[string]int, homes)
	for slot := range l.Slots {
		if homes > 0 {
			wanted[ranked[slot%homes].ID]++
		}
	}
	return wanted
}

// share returns the part of a rate that a number of slots stands for.
func (l Layout) share(slots int) float64 {
	return float64(slots) / float64(l.Slots)
}

// shardPrefix returns the prefix of a shard's slots in the store.
func shardPrefix(shard int) string {
	return slotPrefix + strconv.Itoa(shard) + "/"
}

// slotKey returns the key of a slot in the store.
func slotKey(shard, slot int) string {
	return shardPrefix(shard) + strconv.Itoa(slot)
}

// slotOfKey returns the slot of a key, or false for another key.
func slotOfKey(shard int, key string) (int, bool) {
	n, err := strconv.Atoi(strings.TrimPrefix(key, shardPrefix(shard)))
	return n, err == nil && n >= 0
}
