// Package vm holds the membership of entry VMs and the life of a VM's own
// process.
package vm

// States of a VM's life.
const (
	StateStarting = "starting"
	StateWarming  = "warming"
	StateServing  = "serving"
	StateDraining = "draining"
	StateStopped  = "stopped"
)

// A Member is one VM as another sees it. Incarnation is new for every process
// start and grows on one machine. Caller and Peer are IP:port.
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
	// Sequence grows with every change of the record within an incarnation.
	Sequence uint64 `cbor:"9,keyasint"`
}

// Beat returns the identity of the record.
func (m Member) RecordVersion() RecordVersion {
	return RecordVersion{Incarnation: m.Incarnation, Sequence: m.Sequence}
}

// A Roster is what the rest of a VM sees of the membership.
type Roster interface {
	// Self returns this VM.
	Self() Member
	// Live returns the VMs that are thought alive, this one included, sorted by
	// id. Draining VMs are included.
	Live() []Member
	// Listed returns the number of VMs that the platform lists.
	Listed() int
	// Removed tells whether the platform has proved that the VM has ended: it
	// was listed and is not any more.
	Removed(id string) bool
}
