package prefix

import (
	"time"
)

// outOfSyncConfidence is the confidence in entries of an engine whose feed has a
// gap.
const outOfSyncConfidence = 0.5

// A Match is the number of leading pieces of a prompt that an engine is expected
// to have cached. It is valid only for the given incarnation and weights version.
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
	t := x.timestamp(now)
	first := len(dst)
	for depth, k := range keys {
		at, ok := x.table.find(k)
		if !ok {
			break
		}
		r := &x.runs[at.run()]
		var grown bool
		if depth == 0 {
			dst = x.matchFirst(dst, r, at, t)
			grown = len(dst) > first
		} else {
			grown = x.extend(dst[first:], r, at, depth, t)
		}
		if !grown {
			break
		}
	}
	return x.addInFlight(dst, first, keys, now)
}

// matchFirst appends a match for each engine that holds the first piece.
func (x *Index) matchFirst(dst []Match, r *run, at location, t uint32) []Match {
	for i := range r.holders {
		h := &r.holders[i]
		if !x.isCurrent(h) || h.mask&at.bit() == 0 {
			continue
		}
		e := x.byID[h.engine]
		dst = append(dst, Match{
			Engine:      e.name,
			Incarnation: e.incarnation,
			Weights:     e.weights,
			Pieces:      1,
			Confidence:  e.confidence(t, h.touched),
			engine:      e,
		})
	}
	return dst
}

// extend adds the piece at depth to the matches that include all pieces before
// it, and reports whether any match grew.
func (x *Index) extend(matches []Match, r *run, at location, depth int, t uint32) bool {
	grown := false
	for i := range matches {
		if matches[i].Pieces != depth {
			continue
		}
		e := matches[i].engine
		h := x.find(r, e)
		if h == nil || h.mask&at.bit() == 0 {
			continue
		}
		matches[i].Pieces++
		matches[i].Confidence = min(matches[i].Confidence, e.confidence(t, h.touched))
		grown = true
	}
	return grown
}

// confidence returns the estimated probability that an entry last touched at the
// given time is still in the engine's cache. It falls from one to zero as the age
// of the entry goes from once to twice the engine's retention time.
func (e *engine) confidence(t, touched uint32) float64 {
	confidence := 1.0
	if e.outOfSync {
		confidence = outOfSyncConfidence
	}
	if e.retention <= 0 {
		return confidence
	}
	age := time.Duration(t-touched) * time.Millisecond
	excess := float64(age-e.retention) / float64(e.retention)
	return confidence * min(1, max(0, 1-excess))
}

// OutOfSync reports whether the engine's entries are out of sync until a snapshot
// is loaded.
func (x *Index) OutOfSync(name string) bool {
	e, ok := x.engines[name]
	return ok && e.outOfSync
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
	partIndex := make([]int, len(x.byID))
	for i, e := range x.byID {
		partIndex[i] = -1
		if e.known {
			partIndex[i] = len(parts)
			parts = append(parts, e.fullPart())
		}
	}
	for _, r := range x.keyedRuns(keep) {
		x.exportRun(parts, partIndex, r)
	}
	return parts
}

// fullPart returns a full part of the engine, without any entries.
func (e *engine) fullPart() EnginePart {
	return EnginePart{
		Engine: e.name, Incarnation: e.incarnation, Weights: e.weights,
		To: e.sequence, Full: true, OutOfSync: e.outOfSync,
	}
}

// keyedRun holds the keys of a run by position; zero means that there is none.
type keyedRun struct {
	run  int
	keys [runPieces]Key
}

// keyedRuns returns the keys of all runs, in the order of x.runs. Runs without
// accepted keys are nil.
func (x *Index) keyedRuns(keep func(Partition) bool) []*keyedRun {
	runs := make([]*keyedRun, len(x.runs))
	for i, k := range x.table.keys {
		if k == 0 || !keep(k.Partition()) {
			continue
		}
		at := x.table.locations[i]
		r := runs[at.run()]
		if r == nil {
			r = &keyedRun{run: at.run()}
			runs[at.run()] = r
		}
		r.keys[at.position()] = k
	}
	return runs
}

// exportRun adds the pieces of one run to the parts of its holders.
func (x *Index) exportRun(parts []EnginePart, partIndex []int, r *keyedRun) {
	if r == nil {
		return
	}
	for i := range x.runs[r.run].holders {
		h := &x.runs[r.run].holders[i]
		if !x.isCurrent(h) || partIndex[h.engine] < 0 {
			continue
		}
		var pieces []uint64
		for position, k := range r.keys {
			if k != 0 && h.mask&(1<<position) != 0 {
				pieces = append(pieces, uint64(k))
			}
		}
		parts[partIndex[h.engine]].add(changeStored, pieces)
	}
}

// rawKeys converts keys to integers.
func rawKeys(keys []Key) []uint64 {
	list := make([]uint64, len(keys))
	for i, k := range keys {
		list[i] = uint64(k)
	}
	return list
}
