package config

import "time"

// A VersionedPatch is an accepted patch with the version that it made and the
// root of that version.
type VersionedPatch struct {
	Version int64  `cbor:"1,keyasint"`
	Patch   Patch  `cbor:"2,keyasint"`
	Root    string `cbor:"3,keyasint"`
}

// A Push sends a new version to a VM. If Patches does not contain all patches
// that the receiver needs, it fetches the version itself. Relay requests that
// the receiver pushes the version on within its data centre.
type Push struct {
	Version int64            `cbor:"1,keyasint"`
	Patches []VersionedPatch `cbor:"2,keyasint,omitempty"`
	Relay   bool             `cbor:"3,keyasint,omitempty"`
}

// A PushReply contains the version that the receiver has in force.
type PushReply struct {
	Version int64 `cbor:"1,keyasint"`
}

// A Pull requests the patches after version Have, or chunks by their digests.
type Pull struct {
	Have   int64    `cbor:"1,keyasint"`
	Chunks []string `cbor:"2,keyasint,omitempty"`
}

// A PullReply describes the version that the responding VM has in force. Age
// is the time since the object store confirmed it as the newest. Patches lead
// from the requester's version to it; if they are missing, Root is the digest
// of the index, which can be pulled as a chunk. Chunks are in the order of the
// request. They end before the first chunk that the responding VM does not
// have, or that does not fit into the reply.
type PullReply struct {
	Version int64            `cbor:"1,keyasint"`
	Root    string           `cbor:"2,keyasint"`
	Age     time.Duration    `cbor:"3,keyasint"`
	Patches []VersionedPatch `cbor:"4,keyasint,omitempty"`
	Chunks  [][]byte         `cbor:"5,keyasint,omitempty"`
}

// A PatchResult is the result of Submit: PatchAccepted, PatchRefused,
// PatchConflict, PatchNotSent or PatchUnknown.
type PatchResult interface{ patchResult() }

// PatchAccepted reports that the patch was committed and made the version.
type PatchAccepted struct{ Version int64 }

// PatchRefused reports that the patch had no effect because it is invalid.
type PatchRefused struct{ Problems *Problems }

// PatchConflict reports that the patch had no effect because its base is not
// the current version.
type PatchConflict struct{ Current int64 }

// PatchNotSent reports that the patch certainly had no effect because the
// object store could not be used.
type PatchNotSent struct{ Err error }

// PatchUnknown reports that the patch may or may not have been committed.
// Submitting it again under the same id determines the outcome.
type PatchUnknown struct{ Err error }

func (PatchAccepted) patchResult() {}
func (PatchRefused) patchResult()  {}
func (PatchConflict) patchResult() {}
func (PatchNotSent) patchResult()  {}
func (PatchUnknown) patchResult()  {}
