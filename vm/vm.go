// Package vm implements the membership protocol of entry VMs and the lifecycle
// of a VM's own process.
package vm

// States of a VM's lifecycle.
const (
	StateStarting = "starting"
	StateWarming  = "warming"
	StateServing  = "serving"
	StateDraining = "draining"
	StateStopped  = "stopped"
)

// A Member is the record of one VM, which the VM itself publishes. Incarnation
// identifies one start of the process and increases with every start on the
// same VM. Caller and Peer are IP:port.
type Member struct {
	ID          string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
	Region      string `cbor:"3,keyasint"`
	DataCentre  string `cbor:"4,keyasint"`
	Caller      string `cbor:"5,keyasint"`
	Peer        string `cbor:"6,keyasint"`
	State       string `cbor:"7,keyasint"`
	// Config is the version of the configuration that the VM has in force.
	Config int64 `cbor:"8,keyasint"`
	// Sequence increases with every change of the record within an incarnation.
	Sequence uint64 `cbor:"9,keyasint"`
}

// RecordVersion returns the version of the record.
func (m Member) RecordVersion() RecordVersion {
	return RecordVersion{Incarnation: m.Incarnation, Sequence: m.Sequence}
}

// A Roster is the read-only view of the membership for other packages.
type Roster interface {
	// Self returns this VM.
	Self() Member
	// Live returns the VMs that are not Down, including this one and draining
	// ones, sorted by id.
	Live() []Member
	// Listed returns the number of VMs on the platform's list, or 0 before the
	// first read of it.
	Listed() int
	// Removed reports whether the VM was on the platform's list and is no longer,
	// which proves that it has ended.
	Removed(id string) bool
}
