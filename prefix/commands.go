package prefix

import (
	"math/bits"
	"time"

	"github.com/baobabdyke/baobabdyke/invariant"
	"github.com/baobabdyke/baobabdyke/target"
)

// An Applied is the outcome of an event: InOrder, Repeated or Gap.
type Applied interface{ applied() }

// InOrder reports an event that followed the one before it.
type InOrder struct{}

// Repeated reports an event that was seen before, or one of an incarnation that
// has ended. It changed nothing.
type Repeated struct{}

// Gap reports that events are missing before this one. The engine's entries are
// unsure until a snapshot is loaded.
type Gap struct{}

func (InOrder) applied()  {}
func (Repeated) applied() {}
func (Gap) applied()      {}

// Apply takes one cache event of an engine. An event of another incarnation or
// weight version drops all entries of the engine at once.
func (x *Index) Apply(name string, ev target.CacheEvent, now time.Time) Applied {
	e := x.engine(name)
	if !e.known || e.incarnation != ev.Incarnation || e.weights != ev.Weights {
		x.reset(e, ev.Incarnation, ev.Weights)
		x.change(e, ev.Kind, ev.Pieces, now)
		e.sequence = ev.Sequence
		e.unsure = ev.Sequence > 1
		if e.unsure {
			return Gap{}
		}
		return InOrder{}
	}
	if ev.Sequence <= e.sequence {
		return Repeated{}
	}
	gap := ev.Sequence != e.sequence+1
	e.sequence = ev.Sequence
	x.change(e, ev.Kind, ev.Pieces, now)
	if gap {
		e.unsure = true
		return Gap{}
	}
	return InOrder{}
}

// Load replaces all entries of an engine by those of a snapshot. It ignores a
// snapshot that is older than the events already applied.
func (x *Index) Load(name string, s target.CacheSnapshot, now time.Time) bool {
	e := x.engine(name)
	same := e.known && e.incarnation == s.Incarnation && e.weights == s.Weights
	if same && s.Sequence < e.sequence {
		return false
	}
	x.reset(e, s.Incarnation, s.Weights)
	e.sequence = s.Sequence
	x.store(e, s.Pieces, now)
	return true
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
func (x *Index) Doubt(name string) {
	if e, ok := x.engines[name]; ok {
		e.unsure = true
	}
}

// Pressure sets how an engine evicts: the number of pieces that it keeps and
// the number that it evicts a second.
func (x *Index) Pressure(name string, pieces int, evictions float64) {
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
	e.incarnation, e.weights = incarnation, weights
	e.sequence, e.pieces = 0, 0
	e.known, e.unsure = true, false
}

// change carries out one event.
func (x *Index) change(e *engine, kind string, pieces []uint64, now time.Time) {
	switch kind {
	case target.EventStored:
		x.store(e, pieces, now)
	case target.EventEvicted:
		x.evict(e, pieces)
	case target.EventCleared:
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
			at, ok = x.add(&open, Key(piece))
		}
		if ok {
			x.hold(e, at, t)
		}
	}
}

// add places an unknown piece at the end of the open run, or of a new one.
func (x *Index) add(open *int, k Key) (place, bool) {
	if x.table.used >= x.max && !x.sweep(open) {
		x.dropped++
		return 0, false
	}
	if *open < 0 || x.runs[*open].pieces == runPieces {
		x.runs = append(x.runs, run{})
		*open = len(x.runs) - 1
	}
	r := &x.runs[*open]
	at := placeAt(*open, int(r.pieces))
	r.pieces++
	x.table.insert(k, at)
	return at, true
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
		invariant.Hold(e.pieces >= 0, "prefix-pieces", "engine %s holds %d pieces", e.name, e.pieces)
	}
}

// sweep drops the pieces and runs that no engine holds, and tells whether at
// least an eighth of the room became free. The open run is closed.
func (x *Index) sweep(open *int) bool {
	*open = -1
	moved := make([]int, len(x.runs))
	kept := x.runs[:0]
	for i := range x.runs {
		x.prune(&x.runs[i])
		moved[i] = -1
		if len(x.runs[i].holders) > 0 {
			moved[i] = len(kept)
			kept = append(kept, x.runs[i])
		}
	}
	clear(x.runs[len(kept):])
	x.runs = kept
	x.table.rebuild(len(x.table.keys), func(p place) (place, bool) {
		id := moved[p.run()]
		if id < 0 || x.union(id)&p.bit() == 0 {
			return 0, false
		}
		return placeAt(id, bits.TrailingZeros64(p.bit())), true
	})
	return x.table.used <= x.max-x.max/8
}

// prune removes the dead holders of a run.
func (x *Index) prune(r *run) {
	kept := r.holders[:0]
	for i := range r.holders {
		if x.alive(&r.holders[i]) {
			kept = append(kept, r.holders[i])
		}
	}
	r.holders = kept
}

// union returns the mask of the pieces of a run that any engine holds.
func (x *Index) union(id int) uint64 {
	var mask uint64
	for _, h := range x.runs[id].holders {
		mask |= h.mask
	}
	return mask
}
