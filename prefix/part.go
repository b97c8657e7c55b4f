package prefix

import "github.com/baobabdyke/baobabdyke/target"

// Values of Change.Kind.
const (
	changeStored uint8 = iota + 1
	changeEvicted
	changeCleared
)

// A Part is what one VM tells another of the engines whose feeds it reads: the
// changes of the pieces whose home the other VM is.
type Part struct {
	Engines []EnginePart `cbor:"1,keyasint"`
}

// An EnginePart holds the changes of one engine after sequence number From up
// to To, or all of its entries at To if it is Full. Unsure tells that events
// are missing.
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

// A Change is pieces that an engine stored or evicted, or that it cleared all.
type Change struct {
	_      struct{} `cbor:",toarray"`
	Kind   uint8
	Pieces []uint64
}

// A PartReply names the engines of which the receiver needs all entries.
type PartReply struct {
	Missing []string `cbor:"1,keyasint,omitempty"`
}

// A Pull asks for all entries that the calling VM is a home of.
type Pull struct{}

// A HeldRequest asks a home for the engines that hold pieces of Keys.
type LookupRequest struct {
	Keys []uint64 `cbor:"1,keyasint"`
}

// A HeldReply answers a HeldRequest.
type LookupReply struct {
	Matches []Match `cbor:"1,keyasint"`
}

// add appends a change, to the last one if that is of the same kind.
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

// changeOf returns the kind of change of a cache event.
func changeOf(kind string) uint8 {
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
