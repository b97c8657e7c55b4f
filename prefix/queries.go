package prefix

import (
	"time"
)

// outOfSyncConfidence is the confidence in entries of an engine whose feed has a
// gap.
const unsureWorth = 0.5

// A Match is the number of leading pieces of a prompt that an engine is expected
// to have cached. It is valid only for the given incarnation and weight version.
type Match struct {
	Engine      string `cbor:"1,keyasint"`
	Incarnation string `cbor:"2,keyasint"`
	Weights     string `cbor:"3,keyasint"`
	Pieces      int    `cbor:"4,keyasint"`
	// Confidence is the probability, from 0 to 1, that the pieces are still
	// cached.
	Confidence float64 `cbor:"5,keyasint"`
	// InFlight is the number of leading pieces that the engine will have cached
	// when a prefill sent by another VM is done, or zero if there is none.
	InFlight int `cbor:"6,keyasint,omitempty"`

	engine *engine
}

// Lookup appends to dst one Match for each engine that has the first piece of
// keys cached, or that is computing it for another VM, and returns the extended
// slice.
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

// matchFirst appends a match for each engine that holds the first piece.
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

// extend adds the piece at depth to the matches that include all pieces before
// it, and reports whether any match grew.
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

// confidence returns the estimated probability that an entry last touched at the
// given time is still in the engine's cache. It falls from one to zero as the age
// of the entry goes from once to twice the engine's retention time.
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

// OutOfSync reports whether the engine's entries are out of sync until a snapshot
// is loaded.
func (x *Index) OutOfSync(name string) bool {
	e, ok := x.engines[name]
	return ok && e.unsure
}

// Sequence returns the incarnation of an engine and the sequence number of the
// last event applied.
func (x *Index) Sequence(name string) (incarnation string, sequence uint64) {
	e, ok := x.engines[name]
	if !ok {
		return "", 0
	}
	return e.incarnation, e.sequence
}

// A Size holds the size figures of an Index. Pieces counts distinct pieces,
// Cached counts each piece once per engine that holds it, and Bytes is the
// estimated memory.
type Size struct {
	Engines int   `json:"engines"`
	Pieces  int   `json:"pieces"`
	Cached  int   `json:"cached"`
	Runs    int   `json:"runs"`
	Holders int   `json:"holders"`
	Dropped int   `json:"dropped"`
	Bytes   int64 `json:"bytes"`
}

// Size returns the current size of the index.
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

// Export returns the entries of all engines as full parts for another index. It
// includes the pieces in the partitions for which keep returns true.
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

// fullPart returns a full part of the engine, without any entries.
func (e *engine) part() EnginePart {
	return EnginePart{
		Engine: e.name, Incarnation: e.incarnation, Weights: e.weights,
		To: e.sequence, Full: true, OutOfSync: e.unsure,
	}
}

// keyedRun holds the keys of a run by position; zero means that there is none.
type chain struct {
	run  int
	keys [runPieces]Key
}

// keyedRuns returns the keys of all runs, in the order of x.runs. Runs without
// accepted keys are nil.
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

// rawKeys converts keys to integers.
func raw(keys []Key) []uint64 {
	list := make([]uint64, len(keys))
	for i, k := range keys {
		list[i] = uint64(k)
	}
	return list
}
