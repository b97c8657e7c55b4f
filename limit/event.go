package limit

import (
	"time"

	"github.com/baobabdyke/baobabdyke/config"
	"github.com/baobabdyke/baobabdyke/lease"
	"github.com/baobabdyke/baobabdyke/vm"
)

// An Event is what Step reacts to.
type Event interface{ event() }

// Reserve asks for a cost. IDs are new for every reservation of a process.
type Reserve struct {
	ID       uint64
	Customer string
	Cost     Cost
}

// Settle ends a reservation with what was really used.
type Settle struct {
	Reservation Reservation
	Used        Cost
}

// Asked is another VM's Ask.
type Asked struct {
	From string
	Ask  TransferRequest
}

// Answered is the answer to an own ask. Failed tells that there was none.
type Answered struct {
	ID       uint64
	Transfer Transfer
	Failed   bool
}

// Returned is what another VM sent back.
type Returned struct {
	From   string
	Return TransferReturn
}

// Tick lets time pass.
type Tick struct{}

// Agreed tells the layout that the fleet uses. No slot is taken before.
type Agreed struct{ Layout Layout }

// Configured tells the rates now in force.
type Configured struct{ View *config.View }

// Membership tells the VMs that are thought alive, sorted by id, the number of
// VMs that the platform lists, and which holders of slots have provably ended.
type Membership struct {
	Live    []vm.Member
	Listed  int
	Removed map[string]bool
}

// Listed is the state of a shard's slots in the store. Failed tells that the
// store did not answer.
type Listed struct {
	Shard  int
	Slots  []SlotRecord
	Failed bool
}

// SlotWritten is the end of a TakeSlot or a GiveSlot. Held tells that the slot
// provably belongs to this VM now.
type SlotWritten struct {
	Shard  int
	Slot   int
	Record SlotRecord
	Held   bool
}

// GiveUp hands all slots back: the VM stops.
type GiveUp struct{}

func (Reserve) event()     {}
func (Settle) event()      {}
func (Asked) event()       {}
func (Answered) event()    {}
func (Returned) event()    {}
func (Tick) event()        {}
func (Agreed) event()      {}
func (Configured) event()  {}
func (Membership) event()  {}
func (Listed) event()      {}
func (SlotWritten) event() {}
func (GiveUp) event()      {}

// An Effect is what a step asks its task to do.
type Effect interface{ effect() }

// Decide ends a Reserve.
type Decide struct {
	ID       uint64
	Decision Decision
}

// SendAsk asks another VM.
type SendAsk struct {
	To  string
	Ask TransferRequest
}

// SendTransfer answers an Asked.
type SendTransfer struct {
	To       string
	Transfer Transfer
}

// SendReturn sends back what was not needed.
type SendReturn struct {
	To     string
	Return TransferReturn
}

// ListShard reads a shard's slots from the store.
type ListShard struct{ Shard int }

// TakeSlot acquires a slot. Ended is the process that provably does not spend
// from it any more; it is empty for a free slot.
type TakeSlot struct {
	Shard int
	Slot  int
	Ended lease.Holder
}

// GiveSlot releases a slot. Data is what goes with its record.
type GiveSlot struct {
	Shard  int
	Slot   int
	Record lease.Record
	Data   []byte
}

func (Decide) effect()       {}
func (SendAsk) effect()      {}
func (SendTransfer) effect() {}
func (SendReturn) effect()   {}
func (ListShard) effect()    {}
func (TakeSlot) effect()     {}
func (GiveSlot) effect()     {}

// A SlotRecord is one slot as the store holds it.
type SlotRecord struct {
	Slot int
	lease.Record
}

// Times of transfers.
const (
	// TransferLifetime is the time after its ask in which a transfer may be
	// spent, by the monotonic clock of the VM that asked.
	TransferLifetime = 200 * time.Millisecond
	// clockDrift is the difference of two clocks over TransferLifetime that is
	// allowed for.
	clockDrift = 20 * time.Millisecond
	// closedFor is how long a sender keeps the room of a transfer closed.
	closedFor = TransferLifetime + clockDrift
)
