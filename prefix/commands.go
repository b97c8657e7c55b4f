package prefix

import (
	"time"

	"github.com/baobabdyke/baobabdyke/invariant"
	"github.com/baobabdyke/baobabdyke/target"
)

// An Applied is the outcome of an event: InOrder, Repeated or Gap.
type ApplyResult interface{ applied() }

// InOrder reports an event that followed the one before it.
type InOrder struct{}

// Repeated reports an event that was seen before, or one of an incarnation that
// has ended. It changed nothing.
type Duplicate struct{}

// Gap reports that events are missing before this one. The engine's entries are
// unsure until a snapshot is loaded.
type Gap struct{}

func (InOrder) applied()   {}
func (Duplicate) applied() {}
func (Gap) applied()       {}

// Apply takes one cache event of an engine. An event of a new incarnation or
// weight version drops all entries of the engine at once.
func (x *Index) Apply(name string, ev target.CacheEvent, now time.Time) ApplyResult {
	p := EnginePart{
		Engine: name, Incarnation: ev.Incarnation, Weights: ev.Weights,
		From: ev.Sequence - 1, To: ev.Sequence,
	}
	p.add(changeOf(ev.Kind), ev.Pieces)
	return x.Merge(p, now)
}

// Load replaces all entries of an engine by those of a snapshot. A snapshot
// that is older than the events already applied is Repeated.
func (x *Index) LoadSnapshot(name string, s target.CacheSnapshot, now time.Time) ApplyResult {
	p := EnginePart{
		Engine: name, Incarnation: s.Incarnation, Weights: s.Weights,
		To: s.Sequence, Full: true,
	}
	p.add(changeStored, s.Pieces)
	return x.Merge(p, now)
}

// Merge takes the changes of one engine from a sequence number to another, or
// all of its entries.
func (x *Index) Merge(p EnginePart, now time.Time) ApplyResult {
	e := x.engine(p.Engine)
	same := e.known && e.incarnation == p.Incarnation
	switch {
	case e.known && p.Incarnation == e.ended:
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
		x.change(e, c, now)
	}
	e.sequence = p.To
	e.unsure = e.unsure || gap || p.OutOfSync
	if gap {
		return Gap{}
	}
	return InOrder{}
}

// Expect records pieces that a request which was sent will leave in an engine,
// or that it used there. It does nothing if the engine has moved on.
func (x *Index) Expect(name, incarnation, weights string, keys []Key, now time.Time) {
	e, ok := x.engines[name]
	if !ok || e.incarnation != incarnation || e.weights != weights {
		return
	}
	x.store(e, raw(keys), now)
}

// Drop removes all entries of an engine.
func (x *Index) Drop(name string) {
	if e, ok := x.engines[name]; ok {
		x.reset(e, "", "")
		e.known = false
	}
}

// Doubt makes an engine's entries unsure, after its feed broke.
func (x *Index) MarkOutOfSync(name string) {
	if e, ok := x.engines[name]; ok {
		e.unsure = true
	}
}

// Pressure sets how an engine evicts: the number of pieces that it keeps and
// the number that it evicts a second.
func (x *Index) SetEvictionRate(name string, pieces int, evictions float64) {
	e, ok := x.engines[name]
	if !ok {
		return
	}
	e.life = 0
	if evictions > 0 && pieces > 0 {
		e.life = time.Duration(float64(pieces) / evictions * float64(time.Second))
	}
}

// reset starts a new epoch of an engine, in which it holds nothing.
func (x *Index) reset(e *engine, incarnation, weights string) {
	e.epoch++
	if e.known && e.incarnation != incarnation {
		e.ended = e.incarnation
	}
	e.incarnation, e.weights = incarnation, weights
	e.sequence, e.pieces = 0, 0
	e.known, e.unsure = true, false
}

// change carries out one change.
func (x *Index) change(e *engine, c Change, now time.Time) {
	switch c.Kind {
	case changeStored:
		x.store(e, c.Pieces, now)
	case changeEvicted:
		x.evict(e, c.Pieces)
	case changeCleared:
		x.reset(e, e.incarnation, e.weights)
	}
}

// store adds pieces to an engine. Known pieces keep their place; each stretch
// of unknown pieces becomes a run.
func (x *Index) store(e *engine, pieces []uint64, now time.Time) {
	t := x.stamp(now)
	open := -1
	for _, piece := range pieces {
		if piece == 0 {
			continue
		}
		at, ok := x.table.find(Key(piece))
		if ok {
			open = -1
		} else {
			at = x.add(&open, Key(piece))
		}
		x.hold(e, at, t)
	}
}

// add places an unknown piece at the end of the open run, or of a new one.
func (x *Index) add(open *int, k Key) place {
	if x.table.used >= x.max {
		x.sweep()
		*open = -1
	}
	if *open < 0 || x.runs[*open].pieces == runPieces {
		x.runs = append(x.runs, run{})
		*open = len(x.runs) - 1
	}
	r := &x.runs[*open]
	at := placeAt(*open, int(r.pieces))
	r.pieces++
	x.table.insert(k, at)
	return at
}

// hold sets the bit of one piece.
func (x *Index) hold(e *engine, at place, t uint32) {
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
		invariant.Check(e.pieces >= 0, "prefix-pieces", "engine %s holds %d pieces", e.name, e.pieces)
	}
}
