package vm

import "time"

// A VersionReport is the version of the configuration that a VM has in force,
// and how long ago the object store confirmed it as the newest. Age is
// AgeUnknown if it never did or if that time is not known.
type VersionReport struct {
	Version int64         `cbor:"1,keyasint"`
	Age     time.Duration `cbor:"2,keyasint"`
}

// AgeUnknown is the age of a version that the object store has not confirmed.
const AgeUnknown = time.Duration(1<<63 - 1)

// A Probe checks whether the receiver is alive. It carries the sender's version
// report and updates of members. Join requests the records of all members in
// the reply, WantRecord the receiver's own record.
type Probe struct {
	RecordVersion RecordVersion `cbor:"1,keyasint"`
	Report        VersionReport `cbor:"2,keyasint"`
	Updates       []Update      `cbor:"3,keyasint,omitempty"`
	Join          bool          `cbor:"4,keyasint,omitempty"`
	WantRecord    bool          `cbor:"5,keyasint,omitempty"`
}

// A ProbeReply is the response to a Probe. WantRecord requests the record of the
// prober, whose current version the replying VM does not have yet.
type ProbeReply struct {
	RecordVersion RecordVersion `cbor:"1,keyasint"`
	Report        VersionReport `cbor:"2,keyasint"`
	Updates       []Update      `cbor:"3,keyasint,omitempty"`
	WantRecord    bool          `cbor:"4,keyasint,omitempty"`
}

// A RecordVersion is the version of a member's record: the incarnation of its
// process and the sequence number of the record within it.
type RecordVersion struct {
	Incarnation uint64 `cbor:"1,keyasint"`
	Sequence    uint64 `cbor:"2,keyasint"`
}

// Before reports whether v is older than o.
func (v RecordVersion) Before(o RecordVersion) bool {
	if v.Incarnation != o.Incarnation {
		return v.Incarnation < o.Incarnation
	}
	return v.Sequence < o.Sequence
}

// An IndirectProbe asks a third VM to probe the VM with the id.
type IndirectProbe struct {
	VM string `cbor:"1,keyasint"`
}

// An IndirectProbeReply reports whether the third VM reached the probed one.
type IndirectProbeReply struct {
	Reached bool `cbor:"1,keyasint"`
}

// A Health is the failure detector's assessment of a member.
type Health uint8

// Values of Health. For one version of a member's record, a higher value
// overrides a lower one.
const (
	// Alive is a member that responds to probes.
	Alive Health = iota
	// Suspect is a member that direct and, where possible, indirect probes could
	// not reach.
	Suspect
	// Down is a member that stayed suspect for the suspicion time, or whose
	// address now belongs to another VM. Only the platform's list proves that
	// a member has ended.
	Down
)

// String returns the name of h.
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

// An Update is the record of one member with its health, as VMs gossip it.
// Accusers are the ids of VMs that could not reach the member.
type Update struct {
	Member   Member   `cbor:"1,keyasint"`
	Health   Health   `cbor:"2,keyasint,omitempty"`
	Accusers []string `cbor:"3,keyasint,omitempty"`
}

// A Carrier sends the version report of another component with every heartbeat
// (a probe or its reply) and delivers those of other VMs. Task implements it.
type Carrier interface {
	// Attach sets the functions that return the version report of this VM and
	// receive those of other VMs. onReport is called with the time at which the
	// heartbeat was sent, and must not block.
	Attach(report func() VersionReport, onReport func(from Member, r VersionReport, sent time.Time))
	// Reachable estimates how many of the listed VMs, including this one, this
	// VM has reached within the last few seconds.
	Reachable() (reachable, listed int)
}
