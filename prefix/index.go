package prefix

import "time"

const (
	// runPieces is the maximum number of pieces in a run, each of which takes one
	// bit of a holder's mask.
	runPieces = 64
	// DefaultMaxPieces is the default maximum number of distinct pieces in an
	// Index.
	DefaultMaxPieces = 1 << 20
	// PieceBytes is the memory of one distinct piece when the hash table is as
	// full as it gets.
	PieceBytes = 16
	// RunBytes is the memory of a run without its holders.
	RunBytes = 32
	// HolderBytes is the memory of one holder of a run.
	HolderBytes = 24
)

// An Index maps pieces to the engines that have them cached. It does no I/O and
// reads no clock: events, snapshots and the current time are passed in. It is not
// safe for concurrent use; a Task owns it.
//
// To save memory, pieces that were stored together form a run, which has one list
// of holders, each with a mask of the pieces that it holds.
type Index struct {
	table     table
	runs      []run
	engines   map[string]*engine
	byID      []*engine
	prefills  map[Key]*prefill
	start     time.Time
	maxPieces int
	dropped   int
}

// A run is a sequence of up to runPieces pieces that were stored together.
type run struct {
	pieces  uint8
	holders []holder
}

// A holder is an engine that holds those pieces of a run whose bits are set in
// mask. It counts only while its epoch is the current one of the engine, so that
// all entries of an engine can be dropped at once.
type holder struct {
	engine  uint16
	epoch   uint32
	touched uint32
	mask    uint64
}

// An engine is the state of an engine in the index.
type engine struct {
	name        string
	id          uint16
	epoch       uint32
	incarnation string
	weights     string
	// previous is the previous incarnation, whose late events are ignored.
	previous string
	sequence uint64
	// known reports whether the incarnation and the entries are known.
	known     bool
	outOfSync bool
	// retention is how long the engine keeps an unused piece, or zero if it
	// evicts nothing.
	retention time.Duration
	pieces    int
}

// NewIndex returns an empty Index for at most maxPieces distinct pieces, or
// DefaultMaxPieces if maxPieces is not positive. Timestamps in the index are
// relative to start.
func NewIndex(maxPieces int, start time.Time) *Index {
	if maxPieces <= 0 {
		maxPieces = DefaultMaxPieces
	}
	return &Index{
		engines:   map[string]*engine{},
		prefills:  map[Key]*prefill{},
		start:     start,
		maxPieces: maxPieces,
	}
}

// timestamp returns now in milliseconds since the start of the index.
func (x *Index) timestamp(now time.Time) uint32 {
	return uint32(now.Sub(x.start) / time.Millisecond)
}

// engine returns the state of the named engine and creates it if needed.
func (x *Index) engine(name string) *engine {
	if e, ok := x.engines[name]; ok {
		return e
	}
	e := &engine{name: name, id: uint16(len(x.byID))}
	x.engines[name] = e
	x.byID = append(x.byID, e)
	return e
}

// isCurrent reports whether the holder holds any pieces in the engine's current
// epoch.
func (x *Index) isCurrent(h *holder) bool {
	return h.mask != 0 && h.epoch == x.byID[h.engine].epoch
}

// find returns the holder of a run that is the given engine, or nil.
func (x *Index) find(r *run, e *engine) *holder {
	for i := range r.holders {
		if r.holders[i].engine == e.id && r.holders[i].epoch == e.epoch {
			return &r.holders[i]
		}
	}
	return nil
}

// holderOf returns the holder of a run that is the given engine. If there is none
// it creates one, preferably in place of a holder that no longer counts.
func (x *Index) holderOf(r *run, e *engine) *holder {
	if h := x.find(r, e); h != nil {
		return h
	}
	added := holder{engine: e.id, epoch: e.epoch}
	for i := range r.holders {
		if !x.isCurrent(&r.holders[i]) {
			r.holders[i] = added
			return &r.holders[i]
		}
	}
	r.holders = append(r.holders, added)
	return &r.holders[len(r.holders)-1]
}
