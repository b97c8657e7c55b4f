package limit

import (
	"maps"
	"slices"
	"time"

	"github.com/baobabdyke/baobabdyke/lease"
)

const (
	// relistEvery is the age at which a shard's slots are read again.
	relistEvery = 30 * time.Second
	// relistSoon is the age at which they are read again while this VM lacks
	// slots or its picture is wrong.
	relistSoon = 5 * time.Second
	// writeRetry is the pause after a write that did not succeed.
	writeRetry = 2 * time.Second
	// startSpread is, for each live VM, the time over which VMs that start
	// together spread their first reads of the store.
	startSpread = 20 * time.Millisecond
	// joinTime is how long a VM that starts leaves slots to VMs that are listed
	// and not heard of.
	joinTime = 10 * time.Second
	// giveAfter is how long a surplus of slots must last before one is given
	// back.
	giveAfter = 10 * time.Second
)

// A shard is a group of customers with the slots of their shares.
type shard struct {
	id    int
	slots []slot
	// held is the slots that belong to this VM, by number.
	held map[int]*holding
	// begun is the last term in which this VM began to spend from a slot.
	begun map[int]int64
	// listed is when the slots were last read; zero for never.
	listed  time.Time
	listing bool
	wrong   bool
	writing int
	retryAt time.Time // not before: the next write
	listAt  time.Time // not before: the next read
	// wanted is how many slots this VM should hold as the home with the given
	// rank, or -1, among a number of homes.
	wanted int
	rank   int
	homes  int
	// others is the number of slots of each other home; nil when it has to be
	// worked out anew.
	others  map[string]int
	surplus time.Time // since when this VM holds too many
}

// A slot is what is known of one slot from the store.
type slot struct {
	record SlotRecord
	known  bool
}

// A holding is one slot that belongs to this VM. It refills from a time after
// its taking at which every transfer of the former holder has lapsed.
type holding struct {
	record SlotRecord
	from   time.Time
	active bool
	// start is what the slot held at its taking; nil for nothing.
	start *Handover
}

func newShard(id int, l Layout) *shard {
	return &shard{id: id, slots: make([]slot, l.Slots), held: map[int]*holding{}, begun: map[int]int64{}}
}

// begin returns what this VM may begin with in a slot's term. A term that it
// has begun before brings nothing: its part was given out then.
func (sh *shard) begin(n int, l lease.Lease, version int64) *Handover {
	if l.Term <= sh.begun[n] {
		return nil
	}
	sh.begun[n] = l.Term
	return inherited(l, version)
}

// active returns the number of slots whose share counts.
func (sh *shard) active() int {
	n := 0
	for _, h := range sh.held {
		if h.active {
			n++
		}
	}
	return n
}

// numbers returns the numbers of the held slots in order.
func (sh *shard) numbers() []int {
	return slices.Sorted(maps.Keys(sh.held))
}
