package prefix

import "time"

const (
	// runPieces is the largest number of pieces in one run: one bit of a
	// holder's mask each.
	runPieces = 64
	// DefaultMaxPieces bounds the pieces of an Index that is given no bound.
	DefaultMaxPieces = 1 << 20
	// PieceBytes is the memory of one distinct piece in the table at its
	// fullest.
	PieceBytes = 16
	// RunBytes is the memory of one run without its holders.
	RunBytes = 32
	// HolderBytes is the memory of one engine that holds pieces of a run.
	HolderBytes = 24
)

// An Index is a map from pieces to the engines that hold them. It is a pure
// data structure: a Task owns it, and events, snapshots and time are passed in.
//
// Pieces that were stored together form a run, which is one entry: it has one
// list of holders, each with a mask of the pieces that it holds.
type Index struct {
	table   table
	runs    []run
	engines map[string]*engine
	byID    []*engine
	flights map[Key]*flight
	start   time.Time
	max     int
	dropped int
}

// A run is a chain of up to runPieces pieces that were stored together.
type run struct {
	pieces  uint8
	holders []holder
}

// A holder is an engine that holds the pieces of a run whose bits are set.
// Entries of an older epoch are dead.
type holder struct {
	engine  uint16
	epoch   uint32
	touched uint32
	mask    uint64
}

// An engine is the state of one engine's feed.
type engine struct {
	name        string
	id          uint16
	epoch       uint32
	incarnation string
	weights     string
	// ended is the incarnation before the present one.
	ended    string
	sequence uint64
	known    bool
	unsure   bool
	// life is how long the engine keeps a piece that nothing uses; zero when it
	// evicts nothing.
	life   time.Duration
	pieces int
}

// NewIndex returns an empty Index that holds at most maxPieces distinct pieces,
// or DefaultMaxPieces for zero. Start is the zero of its timestamps.
func NewIndex(maxPieces int, start time.Time) *Index {
	if maxPieces <= 0 {
		maxPieces = DefaultMaxPieces
	}
	return &Index{
		engines: map[string]*engine{},
		flights: map[Key]*flight{},
		start:   start,
		max:     maxPieces,
	}
}

// stamp returns now in milliseconds since the start of the index.
func (x *Index) stamp(now time.Time) uint32 {
	return uint32(now.Sub(x.start) / time.Millisecond)
}

// engine returns the state of the named engine, which it creates if needed.
func (x *Index) engine(name string) *engine {
	if e, ok := x.engines[name]; ok {
		return e
	}
	e := &engine{name: name, id: uint16(len(x.byID))}
	x.engines[name] = e
	x.byID = append(x.byID, e)
	return e
}

// alive tells whether a holder's entry counts.
func (x *Index) alive(h *holder) bool {
	return h.mask != 0 && h.epoch == x.byID[h.engine].epoch
}

// find returns the holder entry of an engine in a run, or nil.
func (x *Index) find(r *run, e *engine) *holder {
	for i := range r.holders {
		if r.holders[i].engine == e.id && r.holders[i].epoch == e.epoch {
			return &r.holders[i]
		}
	}
	return nil
}

// holderOf returns the holder entry of an engine in a run. It reuses dead
// entries before it adds one.
func (x *Index) holderOf(r *run, e *engine) *holder {
	if h := x.find(r, e); h != nil {
		return h
	}
	fresh := holder{engine: e.id, epoch: e.epoch}
	for i := range r.holders {
		if !x.alive(&r.holders[i]) {
			r.holders[i] = fresh
			return &r.holders[i]
		}
	}
	r.holders = append(r.holders, fresh)
	return &r.holders[len(r.holders)-1]
}
