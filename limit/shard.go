package limit

import (
	"maps"
	"slices"
	"time"

	"github.com/baobabdyke/baobabdyke/lease"
)

const (
	// relistInterval is the age at which a shard's slots are read again.
	relistEvery = 30 * time.Second
	// urgentRelistInterval is the age at which they are read again while this VM
	// lacks slots, slots have no holder, or the known records are out of date.
	relistSoon = 5 * time.Second
	// storeRetryPause is the pause after a read or write of the store that
	// failed.
	writeRetry = 2 * time.Second
	// startJitterPerVM is multiplied by the number of live VMs to give the time
	// over which VMs that start together spread their first reads of the store.
	startSpread = 20 * time.Millisecond
	// joinGrace is the time for which a starting VM leaves slots to VMs that are
	// listed by the platform but not in the membership yet.
	joinTime = 10 * time.Second
	// surplusGrace is the time for which this VM must hold too many slots before
	// it releases one.
	giveAfter = 10 * time.Second
)

// A shard is a group of customers and the slots that represent the shares of
// their rates and bursts.
type shard struct {
	id    int
	slots []slot
	// held contains the slots that this VM holds, by number.
	held map[int]*holding
	// startedTerms contains, by slot, the last term in which this VM started to
	// spend.
	begun map[int]int64
	// listed is when the slots were last read; zero if never.
	listed  time.Time
	listing bool
	wrong   bool
	writing int
	retryAt time.Time // earliest time of the next write
	listAt  time.Time // earliest time of the next read
	// assigned is the number of slots that this VM should hold. Its rank among
	// the given number of preferred holders is -1 if it is none of them.
	wanted int
	rank   int
	homes  int
	// otherHolders caches the number of slots of each other holder; nil if it
	// has to be recomputed.
	others  map[string]int
	surplus time.Time // since when this VM has held too many slots
}

// A slot is the last known state of one slot in the store.
type slot struct {
	record SlotRecord
	known  bool
}

// A holding is one slot that this VM holds. It becomes active some time after
// its acquisition, when all transfers of the previous holder have expired.
type holding struct {
	record SlotRecord
	from   time.Time
	active bool
	// inherited is the levels at acquisition; nil if there are none.
	start *Handover
}

func newShard(id int, l Layout) *shard {
	return &shard{id: id, slots: make([]slot, l.Slots), held: map[int]*holding{}, begun: map[int]int64{}}
}

// startTerm returns the levels with which this VM starts in a term of a slot.
// It returns nil for a term that this VM has started before, because the levels
// were counted then.
func (sh *shard) begin(n int, l lease.Lease, version int64) *Handover {
	if l.Term <= sh.begun[n] {
		return nil
	}
	sh.begun[n] = l.Term
	return inherited(l, version)
}

// active returns the number of held slots that are active.
func (sh *shard) active() int {
	n := 0
	for _, h := range sh.held {
		if h.active {
			n++
		}
	}
	return n
}

// heldNumbers returns the numbers of the held slots in ascending order.
func (sh *shard) numbers() []int {
	return slices.Sorted(maps.Keys(sh.held))
}
