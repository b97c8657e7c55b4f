package limit

import (
	"time"

	"github.com/baobabdyke/baobabdyke/config"
	"github.com/baobabdyke/baobabdyke/lease"
	"github.com/baobabdyke/baobabdyke/vm"
)

// An Event is an input of State.Step.
type Event interface{ event() }

// Reserve requests the admission of a request. IDs are unique within a process.
type Reserve struct {
	ID       uint64
	Customer string
	Cost     Cost
}

// Settle ends a reservation with the cost that was actually used.
type Settle struct {
	Reservation Reservation
	Used        Cost
}

// TransferRequested is the receipt of another VM's transfer request.
type TransferRequested struct {
	From    string
	Request TransferRequest
}

// TransferResult is the result of a transfer request of this VM. With Failed
// there was no response.
type TransferResult struct {
	ID       uint64
	Transfer Transfer
	Failed   bool
}

// TransferReturned is the receipt of another VM's return.
type TransferReturned struct {
	From   string
	Return TransferReturn
}

// Tick runs the periodic work. It is sent at short intervals.
type Tick struct{}

// LayoutAgreed is the layout that the fleet uses. No slot is acquired before.
type LayoutAgreed struct{ Layout Layout }

// Configured is a new configuration with the rates of the customers.
type Configured struct{ View *config.View }

// Membership is the current membership: the VMs that are considered alive,
// sorted by ID, the number of VMs that the platform lists, and the holders of
// slots that are proven to have ended. ListUnread reports whether this VM has not
// read the platform's list yet.
type Membership struct {
	Live       []vm.Member
	Listed     int
	ListUnread bool
	Removed    map[string]bool
}

// SlotsListed is the state of a shard's slots in the store. With Failed the
// store could not be read.
type SlotsListed struct {
	Shard  int
	Slots  []SlotRecord
	Failed bool
}

// SlotWritten is the result of an AcquireSlot or a ReleaseSlot. With Held the
// slot is proven to belong to this VM. Record is zero except for its slot if
// the result is not known.
type SlotWritten struct {
	Shard  int
	Slot   int
	Record SlotRecord
	Held   bool
}

// ReleaseAll releases all slots, because the VM is about to stop.
type ReleaseAll struct{}

func (Reserve) event()           {}
func (Settle) event()            {}
func (TransferRequested) event() {}
func (TransferResult) event()    {}
func (TransferReturned) event()  {}
func (Tick) event()              {}
func (LayoutAgreed) event()      {}
func (Configured) event()        {}
func (Membership) event()        {}
func (SlotsListed) event()       {}
func (SlotWritten) event()       {}
func (ReleaseAll) event()        {}

// An Effect is an action that State.Step requests.
type Effect interface{ effect() }

// Decide completes a Reserve.
type Decide struct {
	ID       uint64
	Decision Decision
}

// SendTransferRequest sends a transfer request to another VM.
type SendTransferRequest struct {
	To      string
	Request TransferRequest
}

// SendTransfer responds to a TransferRequested event.
type SendTransfer struct {
	To       string
	Transfer Transfer
}

// SendTransferReturn returns tokens to the VM that transferred them.
type SendTransferReturn struct {
	To     string
	Return TransferReturn
}

// ListSlots reads a shard's slots from the store.
type ListSlots struct{ Shard int }

// AcquireSlot acquires a slot. Ended is the previous holder, which is proven to
// have stopped spending from the slot; it is empty for a free slot.
type AcquireSlot struct {
	Shard int
	Slot  int
	Ended lease.Holder
}

// ReleaseSlot releases a slot. Data is stored with the record of the slot.
type ReleaseSlot struct {
	Shard  int
	Slot   int
	Record lease.Record
	Data   []byte
}

func (Decide) effect()              {}
func (SendTransferRequest) effect() {}
func (SendTransfer) effect()        {}
func (SendTransferReturn) effect()  {}
func (ListSlots) effect()           {}
func (AcquireSlot) effect()         {}
func (ReleaseSlot) effect()         {}

// A SlotRecord is the record of one slot in the store.
type SlotRecord struct {
	Slot int
	lease.Record
}

// Validity of transfers.
const (
	// TransferLifetime is the time after its request in which a transfer may be
	// spent, by the monotonic clock of the requesting VM.
	TransferLifetime = 200 * time.Millisecond
	// maxClockDrift is the largest tolerated drift between the clocks of two VMs
	// over TransferLifetime.
	maxClockDrift = 20 * time.Millisecond
	// transitTime is the time for which the sender counts a transfer as in
	// transit.
	transitTime = TransferLifetime + maxClockDrift
)
