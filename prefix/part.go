package prefix

import "github.com/baobabdyke/baobabdyke/target"

// Values of Change.Kind.
const (
	changeStored uint8 = iota + 1
	changeEvicted
	changeCleared
)

// A Part is an index update that a VM sends to a replica: the changes, from the
// feeds that the sender reads, of the pieces in the replica's partitions.
type Part struct {
	Engines []EnginePart `cbor:"1,keyasint"`
}

// An EnginePart holds the changes of one engine after sequence number From up to
// To, or all of its entries at To if Full is set. OutOfSync reports whether
// events are missing.
type EnginePart struct {
	_           struct{} `cbor:",toarray"`
	Engine      string
	Incarnation string
	Weights     string
	From        uint64
	To          uint64
	Full        bool
	OutOfSync   bool
	Changes     []Change
}

// A Change is a list of pieces that an engine stored or evicted, or the clearing
// of its cache.
type Change struct {
	_      struct{} `cbor:",toarray"`
	Kind   uint8
	Pieces []uint64
}

// A PartReply lists the engines of which the receiver needs all entries.
type PartReply struct {
	Missing []string `cbor:"1,keyasint,omitempty"`
}

// A Pull requests all entries of the caller's partitions.
type Pull struct{}

// A LookupRequest asks a replica which engines have a prefix of Keys cached.
type LookupRequest struct {
	Keys []uint64 `cbor:"1,keyasint"`
}

// A LookupReply is the reply to a LookupRequest.
type LookupReply struct {
	Matches []Match `cbor:"1,keyasint"`
}

// add appends a change, or extends the last change if it is of the same kind.
func (p *EnginePart) add(kind uint8, pieces []uint64) {
	if kind != changeCleared && len(pieces) == 0 {
		return
	}
	if n := len(p.Changes); n > 0 && p.Changes[n-1].Kind == kind {
		p.Changes[n-1].Pieces = append(p.Changes[n-1].Pieces, pieces...)
		return
	}
	p.Changes = append(p.Changes, Change{Kind: kind, Pieces: append([]uint64(nil), pieces...)})
}

// changeKind returns the Change.Kind of a cache event kind.
func changeKind(kind string) uint8 {
	switch kind {
	case target.EventStored:
		return changeStored
	case target.EventEvicted:
		return changeEvicted
	case target.EventCleared:
		return changeCleared
	}
	return 0
}
