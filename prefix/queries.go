package prefix

import (
	"time"
)

// unsureWorth is the worth of entries of an engine whose feed has a gap.
const unsureWorth = 0.5

// A Holding is how much of a prompt an engine is thought to hold from its
// start. It counts only with the same incarnation and weight version.
type Match struct {
	Engine      string `cbor:"1,keyasint"`
	Incarnation string `cbor:"2,keyasint"`
	Weights     string `cbor:"3,keyasint"`
	Pieces      int    `cbor:"4,keyasint"`
	// Worth is the probability, from 0 to 1, that the pieces are still there.
	Confidence float64 `cbor:"5,keyasint"`
	// Flight is the number of pieces from the start that the engine will hold
	// when a prefill that another VM sent is done; zero for none.
	InFlight int `cbor:"6,keyasint,omitempty"`

	engine *engine
}

// Held appends to dst one Holding for each engine that holds the first piece of
// keys, or is about to, and returns the extended slice.
func (x *Index) Lookup(dst []Match, keys []Key, now time.Time) []Match {
	t := x.stamp(now)
	first := len(dst)
	for depth, k := range keys {
		at, ok := x.table.find(k)
		if !ok {
			break
		}
		r := &x.runs[at.run()]
		var grown bool
		if depth == 0 {
			dst = x.begin(dst, r, at, t)
			grown = len(dst) > first
		} else {
			grown = x.extend(dst[first:], r, at, depth, t)
		}
		if !grown {
			break
		}
	}
	return x.inFlight(dst, first, keys, now)
}

// begin appends the engines that hold the first piece.
func (x *Index) begin(dst []Match, r *run, at place, t uint32) []Match {
	for i := range r.holders {
		h := &r.holders[i]
		if !x.alive(h) || h.mask&at.bit() == 0 {
			continue
		}
		e := x.byID[h.engine]
		dst = append(dst, Match{
			Engine:      e.name,
			Incarnation: e.incarnation,
			Weights:     e.weights,
			Pieces:      1,
			Confidence:  e.worth(t, h.touched),
			engine:      e,
		})
	}
	return dst
}

// extend counts the piece at depth for the holdings that reach up to it.
func (x *Index) extend(held []Match, r *run, at place, depth int, t uint32) bool {
	grown := false
	for i := range held {
		if held[i].Pieces != depth {
			continue
		}
		e := held[i].engine
		h := x.find(r, e)
		if h == nil || h.mask&at.bit() == 0 {
			continue
		}
		held[i].Pieces++
		held[i].Confidence = min(held[i].Confidence, e.worth(t, h.touched))
		grown = true
	}
	return grown
}

// worth returns the probability that an entry last touched at the given time is
// still in the engine's cache. It falls from one to zero between once and twice
// the time that the engine keeps an unused piece.
func (e *engine) worth(t, touched uint32) float64 {
	worth := 1.0
	if e.unsure {
		worth = unsureWorth
	}
	if e.life <= 0 {
		return worth
	}
	age := time.Duration(t-touched) * time.Millisecond
	over := float64(age-e.life) / float64(e.life)
	return worth * min(1, max(0, 1-over))
}

// Unsure tells whether the engine's entries wait for a snapshot.
func (x *Index) OutOfSync(name string) bool {
	e, ok := x.engines[name]
	return ok && e.unsure
}

// Sequence returns the sequence number of the last event of an engine, with its
// incarnation.
func (x *Index) Sequence(name string) (incarnation string, sequence uint64) {
	e, ok := x.engines[name]
	if !ok {
		return "", 0
	}
	return e.incarnation, e.sequence
}

// A Size is the extent of an index.
type Size struct {
	Engines int   `json:"engines"`
	Pieces  int   `json:"pieces"`
	Cached  int   `json:"cached"`
	Runs    int   `json:"runs"`
	Holders int   `json:"holders"`
	Dropped int   `json:"dropped"`
	Bytes   int64 `json:"bytes"`
}

// Size returns the extent of the index. Pieces are distinct, Cached counts each
// piece once for every engine that holds it.
func (x *Index) Size() Size {
	s := Size{Engines: len(x.engines), Pieces: x.table.used, Runs: len(x.runs), Dropped: x.dropped}
	for i := range x.runs {
		s.Holders += cap(x.runs[i].holders)
	}
	for _, e := range x.engines {
		s.Cached += e.pieces
	}
	s.Bytes = int64(len(x.table.keys))*12 + int64(cap(x.runs))*RunBytes + int64(s.Holders)*HolderBytes
	return s
}

// Export returns all entries of the engines as parts that replace what another
// index has, of the pieces whose division keep accepts.
func (x *Index) Export(keep func(Partition) bool) []EnginePart {
	parts := make([]EnginePart, 0, len(x.byID))
	at := make([]int, len(x.byID))
	for i, e := range x.byID {
		at[i] = -1
		if e.known {
			at[i] = len(parts)
			parts = append(parts, e.part())
		}
	}
	for _, pieces := range x.chains(keep) {
		x.exportRun(parts, at, pieces)
	}
	return parts
}

// part returns an empty part that replaces the entries of the engine.
func (e *engine) part() EnginePart {
	return EnginePart{
		Engine: e.name, Incarnation: e.incarnation, Weights: e.weights,
		To: e.sequence, Full: true, OutOfSync: e.unsure,
	}
}

// A chain is the keys of a run by position, zero where there is none.
type chain struct {
	run  int
	keys [runPieces]Key
}

// chains returns the keys of all runs in the order of their making.
func (x *Index) chains(keep func(Partition) bool) []*chain {
	list := make([]*chain, len(x.runs))
	for i, k := range x.table.keys {
		if k == 0 || !keep(k.Partition()) {
			continue
		}
		at := x.table.places[i]
		c := list[at.run()]
		if c == nil {
			c = &chain{run: at.run()}
			list[at.run()] = c
		}
		c.keys[at.position()] = k
	}
	return list
}

// exportRun adds the pieces of one run to the parts of its holders.
func (x *Index) exportRun(parts []EnginePart, at []int, c *chain) {
	if c == nil {
		return
	}
	for i := range x.runs[c.run].holders {
		h := &x.runs[c.run].holders[i]
		if !x.alive(h) || at[h.engine] < 0 {
			continue
		}
		var pieces []uint64
		for position, k := range c.keys {
			if k != 0 && h.mask&(1<<position) != 0 {
				pieces = append(pieces, uint64(k))
			}
		}
		parts[at[h.engine]].add(changeStored, pieces)
	}
}

// raw returns the keys as numbers.
func raw(keys []Key) []uint64 {
	list := make([]uint64, len(keys))
	for i, k := range keys {
		list[i] = uint64(k)
	}
	return list
}
