package config

import "time"

// A Stamped is an accepted patch with the version and the root that it made.
type VersionedPatch struct {
	Version int64  `cbor:"1,keyasint"`
	Patch   Patch  `cbor:"2,keyasint"`
	Root    string `cbor:"3,keyasint"`
}

// A Push tells a VM of a version. Patches may lack the ones that it needs.
// Relay asks the receiver to push it on within its data centre.
type Push struct {
	Version int64            `cbor:"1,keyasint"`
	Patches []VersionedPatch `cbor:"2,keyasint,omitempty"`
	Relay   bool             `cbor:"3,keyasint,omitempty"`
}

// A PushReply tells the version that the receiver has in force.
type PushReply struct {
	Version int64 `cbor:"1,keyasint"`
}

// A Pull asks for what follows version Have, or for chunks by their digests.
type Pull struct {
	Have   int64    `cbor:"1,keyasint"`
	Chunks []string `cbor:"2,keyasint,omitempty"`
}

// A PullReply holds the sender's version. Patches lead from the receiver's
// version to it; without them Root names its index, to be pulled as a chunk.
// Chunks are in the order of the request; one that the sender does not have is
// empty, and the last ones may be missing to bound the reply.
type PullReply struct {
	Version int64            `cbor:"1,keyasint"`
	Root    string           `cbor:"2,keyasint"`
	Age     time.Duration    `cbor:"3,keyasint"`
	Patches []VersionedPatch `cbor:"4,keyasint,omitempty"`
	Chunks  [][]byte         `cbor:"5,keyasint,omitempty"`
}

// A PatchResult is the outcome of a Submit: PatchAccepted, PatchRefused,
// PatchConflict, PatchNotSent or PatchUnknown.
type PatchResult interface{ patchResult() }

// PatchAccepted reports that the patch made the version.
type PatchAccepted struct{ Version int64 }

// PatchRefused reports a patch that had no effect because of what it says.
type PatchRefused struct{ Problems *Problems }

// PatchConflict reports a patch that had no effect because it is not against
// the current version.
type PatchConflict struct{ Current int64 }

// PatchNotSent reports a patch that provably had no effect because the object
// API could not be used.
type PatchNotSent struct{ Err error }

// PatchUnknown reports a patch that may have been accepted. Submitting it again
// under the same id tells.
type PatchUnknown struct{ Err error }

func (PatchAccepted) patchResult() {}
func (PatchRefused) patchResult()  {}
func (PatchConflict) patchResult() {}
func (PatchNotSent) patchResult()  {}
func (PatchUnknown) patchResult()  {}
