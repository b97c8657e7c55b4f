package limit

import (
	"maps"
	"slices"
	"time"

	"github.com/baobabdyke/baobabdyke/lease"
)

const (
	// relistInterval is the age at which a shard's slots are read again.
	relistInterval = 30 * time.Second
	// urgentRelistInterval is the age at which they are read again while this VM
	// lacks slots, slots have no holder, or the known records are out of date.
	urgentRelistInterval = 5 * time.Second
	// storeRetryPause is the pause after a read or write of the store that
	// failed.
	storeRetryPause = 2 * time.Second
	// startJitterPerVM is multiplied by the number of live VMs to give the time
	// over which VMs that start together spread their first reads of the store.
	startJitterPerVM = 20 * time.Millisecond
	// joinGrace is the time for which a starting VM leaves slots to VMs that are
	// listed by the platform but not in the membership yet.
	joinGrace = 10 * time.Second
	// surplusGrace is the time for which this VM must hold too many slots before
	// it releases one.
	surplusGrace = 10 * time.Second
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
	startedTerms map[int]int64
	// listedAt is when the slots were last read; zero if never.
	listedAt  time.Time
	listing   bool
	outdated  bool
	writes    int
	nextWrite time.Time // earliest time of the next write
	nextList  time.Time // earliest time of the next read
	// assigned is the number of slots that this VM should hold. rank is its
	// position among the preferred holders, or -1 if it is none of them, and
	// holders is the number of VMs over which the slots are divided.
	assigned int
	rank     int
	holders  int
	// otherHolders caches the number of slots of each other holder; nil if it
	// has to be recomputed.
	otherHolders map[string]int
	surplusSince time.Time // since when this VM has held too many slots
}

// A slot is the last known state of one slot in the store.
type slot struct {
	record SlotRecord
	known  bool
}

// A holding is one slot that this VM holds. It becomes active some time after
// its acquisition, when all transfers of the previous holder have expired.
type holding struct {
	record     SlotRecord
	activeFrom time.Time
	active     bool
	// inherited is the levels at acquisition; nil if there are none.
	inherited *Handover
}

func newShard(id int, l Layout) *shard {
	return &shard{id: id, slots: make([]slot, l.Slots), held: map[int]*holding{}, startedTerms: map[int]int64{}}
}

// startTerm returns the levels with which this VM starts in a term of a slot.
// It returns nil for a term that this VM has started before, because the levels
// were counted then.
func (sh *shard) startTerm(n int, l lease.Lease, version int64) *Handover {
	if l.Term <= sh.startedTerms[n] {
		return nil
	}
	sh.startedTerms[n] = l.Term
	return inheritedLevels(l, version)
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
func (sh *shard) heldNumbers() []int {
	return slices.Sorted(maps.Keys(sh.held))
}
