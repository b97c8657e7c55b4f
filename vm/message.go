package vm

import "time"

// A Word is what a VM knows of the newest version of the configuration in the
// object API, and how long ago the object API said so. A VM that never heard
// of it has the age NoWord.
type VersionReport struct {
	Version int64         `cbor:"1,keyasint"`
	Age     time.Duration `cbor:"2,keyasint"`
}

// NoWord is the age of a Word that was never heard.
const AgeUnknown = time.Duration(1<<63 - 1)

// A Probe asks for a sign of life. It carries the sender's word and news of
// members. Join asks for all members in return, Ask for the receiver's own
// record.
type Probe struct {
	RecordVersion RecordVersion `cbor:"1,keyasint"`
	Report        VersionReport `cbor:"2,keyasint"`
	Updates       []Update      `cbor:"3,keyasint,omitempty"`
	Join          bool          `cbor:"4,keyasint,omitempty"`
	WantRecord    bool          `cbor:"5,keyasint,omitempty"`
}

// A ProbeReply answers a Probe. Want asks the prober for its own record, which
// the answering VM has not seen yet.
type ProbeReply struct {
	RecordVersion RecordVersion `cbor:"1,keyasint"`
	Report        VersionReport `cbor:"2,keyasint"`
	Updates       []Update      `cbor:"3,keyasint,omitempty"`
	WantRecord    bool          `cbor:"4,keyasint,omitempty"`
}

// A Beat identifies the record of the sender: its process start and the number
// of the record since then.
type RecordVersion struct {
	Incarnation uint64 `cbor:"1,keyasint"`
	Sequence    uint64 `cbor:"2,keyasint"`
}

// Before tells whether b is older than o.
func (b RecordVersion) Before(o RecordVersion) bool {
	if b.Incarnation != o.Incarnation {
		return b.Incarnation < o.Incarnation
	}
	return b.Sequence < o.Sequence
}

// An Indirect asks a third VM to probe the VM with the id.
type IndirectProbe struct {
	VM string `cbor:"1,keyasint"`
}

// An IndirectReply tells whether the third VM reached the other.
type IndirectProbeReply struct {
	Reached bool `cbor:"1,keyasint"`
}

// A Health is what is thought of a member.
type Health uint8

// Values of Health, from the weakest to the strongest statement about one
// record of a member.
const (
	// Alive is a member that answers.
	Alive Health = iota
	// Suspect is a member that several VMs could not reach for a while.
	Suspect
	// Down is a member that stayed suspect. Only the platform's list proves
	// that it has ended.
	Down
)

// String returns the name of the health.
func (h Health) String() string {
	switch h {
	case Alive:
		return "alive"
	case Suspect:
		return "suspect"
	default:
		return "down"
	}
}

// An Update is news of one member: its record and its health. Accusers are VMs
// that could not reach it.
type Update struct {
	Member   Member   `cbor:"1,keyasint"`
	Health   Health   `cbor:"2,keyasint,omitempty"`
	Accusers []string `cbor:"3,keyasint,omitempty"`
}

// A Carrier lets another part put its word on every heartbeat and read those
// of others. The Task is one.
type Carrier interface {
	// Carry sets where heartbeats get the word of this VM and where they bring
	// those of others. Heard is called with the time at which the heartbeat
	// was sent, and must not block.
	Attach(word func() VersionReport, heard func(from Member, w VersionReport, sent time.Time))
	// Reach estimates how many of the listed VMs, this one included, this VM
	// reached within the last seconds.
	Reachable() (reached, listed int)
}
