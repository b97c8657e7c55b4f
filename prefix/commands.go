package prefix

import (
	"time"

	"github.com/baobabdyke/baobabdyke/invariant"
	"github.com/baobabdyke/baobabdyke/target"
)

// An ApplyResult is the result of applying changes to an Index: InOrder,
// Duplicate or Gap.
type ApplyResult interface{ applied() }

// InOrder reports that no events are missing before the changes.
type InOrder struct{}

// Duplicate reports changes that were already applied, or that belong to a former
// incarnation of the engine. They were ignored.
type Duplicate struct{}

// Gap reports that events are missing before the changes. The engine's entries
// are out of sync until a snapshot is loaded.
type Gap struct{}

func (InOrder) applied()   {}
func (Duplicate) applied() {}
func (Gap) applied()       {}

// Apply applies one cache event of an engine. An event of a new incarnation or
// weights version first drops all entries of the engine.
func (x *Index) Apply(name string, ev target.CacheEvent, now time.Time) ApplyResult {
	p := EnginePart{
		Engine: name, Incarnation: ev.Incarnation, Weights: ev.Weights,
		From: ev.Sequence - 1, To: ev.Sequence,
	}
	p.add(changeKind(ev.Kind), ev.Pieces)
	return x.Merge(p, now)
}

// LoadSnapshot replaces all entries of an engine by those of a snapshot. A
// snapshot that is older than the events already applied is a Duplicate.
func (x *Index) LoadSnapshot(name string, s target.CacheSnapshot, now time.Time) ApplyResult {
	p := EnginePart{
		Engine: name, Incarnation: s.Incarnation, Weights: s.Weights,
		To: s.Sequence, Full: true,
	}
	p.add(changeStored, s.Pieces)
	return x.Merge(p, now)
}

// Merge applies the changes of one engine between two sequence numbers, or
// replaces all of its entries if the part is full.
func (x *Index) Merge(p EnginePart, now time.Time) ApplyResult {
	e := x.engine(p.Engine)
	same := e.known && e.incarnation == p.Incarnation
	switch {
	case e.known && p.Incarnation == e.previous:
		return Duplicate{}
	case same && p.Full && p.To < e.sequence:
		return Duplicate{}
	case same && !p.Full && p.To <= e.sequence:
		return Duplicate{}
	}
	gap := !p.Full && p.From > e.sequence
	if !same {
		gap = !p.Full && p.From > 0
	}
	if p.Full || !same || e.weights != p.Weights {
		x.reset(e, p.Incarnation, p.Weights)
	}
	for _, c := range p.Changes {
		x.applyChange(e, c, now)
	}
	e.sequence = p.To
	e.outOfSync = e.outOfSync || gap || p.OutOfSync
	if gap {
		return Gap{}
	}
	return InOrder{}
}

// Expect records pieces that a sent request will store in the engine's cache or
// has used there. It does nothing if the engine has another incarnation or weight
// version by now.
func (x *Index) Expect(name, incarnation, weights string, keys []Key, now time.Time) {
	e, ok := x.engines[name]
	if !ok || e.incarnation != incarnation || e.weights != weights {
		return
	}
	x.store(e, rawKeys(keys), now)
}

// Drop removes all entries of an engine.
func (x *Index) Drop(name string) {
	if e, ok := x.engines[name]; ok {
		x.reset(e, "", "")
		e.known = false
	}
}

// MarkOutOfSync marks the engine's entries as out of sync, after its feed broke.
func (x *Index) MarkOutOfSync(name string) {
	if e, ok := x.engines[name]; ok {
		e.outOfSync = true
	}
}

// SetEvictionRate sets the number of pieces in the engine's cache and the number
// that it evicts per second, from which the retention time of unused pieces is
// derived.
func (x *Index) SetEvictionRate(name string, pieces int, evictions float64) {
	e, ok := x.engines[name]
	if !ok {
		return
	}
	e.retention = 0
	if evictions > 0 && pieces > 0 {
		e.retention = time.Duration(float64(pieces) / evictions * float64(time.Second))
	}
}

// reset starts a new epoch of an engine, without any entries.
func (x *Index) reset(e *engine, incarnation, weights string) {
	e.epoch++
	if e.known && e.incarnation != incarnation {
		e.previous = e.incarnation
	}
	e.incarnation, e.weights = incarnation, weights
	e.sequence, e.pieces = 0, 0
	e.known, e.outOfSync = true, false
}

// applyChange applies one change.
func (x *Index) applyChange(e *engine, c Change, now time.Time) {
	switch c.Kind {
	case changeStored:
		x.store(e, c.Pieces, now)
	case changeEvicted:
		x.evict(e, c.Pieces)
	case changeCleared:
		x.reset(e, e.incarnation, e.weights)
	}
}

// store adds pieces to an engine. Known pieces keep their location; each sequence
// of consecutive unknown pieces is stored in runs of its own.
func (x *Index) store(e *engine, pieces []uint64, now time.Time) {
	t := x.timestamp(now)
	open := -1
	for _, piece := range pieces {
		if piece == 0 {
			continue
		}
		at, ok := x.table.find(Key(piece))
		if ok {
			open = -1
		} else {
			at = x.addPiece(&open, Key(piece))
		}
		x.markHeld(e, at, t)
	}
}

// addPiece appends an unknown piece to the run with index *open, or to a new run
// if *open is negative or the run is full.
func (x *Index) addPiece(open *int, k Key) location {
	if x.table.used >= x.maxPieces {
		x.sweep()
		*open = -1
	}
	if *open < 0 || x.runs[*open].pieces == runPieces {
		x.runs = append(x.runs, run{})
		*open = len(x.runs) - 1
	}
	r := &x.runs[*open]
	at := locationAt(*open, int(r.pieces))
	r.pieces++
	x.table.insert(k, at)
	return at
}

// markHeld records that the engine holds the piece at a location.
func (x *Index) markHeld(e *engine, at location, t uint32) {
	h := x.holderOf(&x.runs[at.run()], e)
	if h.mask&at.bit() == 0 {
		h.mask |= at.bit()
		e.pieces++
	}
	h.touched = t
}

// evict removes pieces from an engine.
func (x *Index) evict(e *engine, pieces []uint64) {
	for _, piece := range pieces {
		at, ok := x.table.find(Key(piece))
		if !ok {
			continue
		}
		h := x.find(&x.runs[at.run()], e)
		if h == nil || h.mask&at.bit() == 0 {
			continue
		}
		h.mask &^= at.bit()
		e.pieces--
		invariant.Check(e.pieces >= 0, "prefix-pieces", "negative number of pieces for engine %s: %d", e.name, e.pieces)
	}
}
