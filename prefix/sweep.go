package prefix

import (
	"math/bits"
	"slices"

	"github.com/baobabdyke/baobabdyke/invariant"
)

// sweep frees space for new pieces. It drops the pieces and runs that no engine
// holds. If less than an eighth of the capacity is free then, it also drops the
// least recently touched runs.
func (x *Index) sweep() {
	limit := x.maxPieces - x.maxPieces/8
	x.compact(func(r *run) bool { return len(r.holders) > 0 })
	if x.table.used > limit {
		cutoff := x.cutoff(limit)
		x.compact(func(r *run) bool { return r.touched() > cutoff })
	}
	invariant.Check(x.table.used < x.maxPieces, "prefix-bound", "index has %d of %d pieces after sweep", x.table.used, x.maxPieces)
}

// cutoff returns the timestamp such that dropping all runs last touched at or
// before it leaves at most limit pieces.
func (x *Index) cutoff(limit int) uint32 {
	type age struct {
		touched uint32
		pieces  int
	}
	ages := make([]age, len(x.runs))
	for i := range x.runs {
		ages[i] = age{x.runs[i].touched(), int(x.runs[i].pieces)}
	}
	slices.SortFunc(ages, func(a, b age) int { return int(b.touched) - int(a.touched) })
	kept := 0
	for _, a := range ages {
		if kept += a.pieces; kept > limit {
			return a.touched
		}
	}
	return 0
}

// touched returns the time when any holder of the run was last touched.
func (r *run) touched() uint32 {
	var last uint32
	for i := range r.holders {
		last = max(last, r.holders[i].touched)
	}
	return last
}

// compact drops the runs for which keep returns false, and the pieces of other
// runs that no engine holds.
func (x *Index) compact(keep func(*run) bool) {
	newIndex := make([]int, len(x.runs))
	kept := x.runs[:0]
	for i := range x.runs {
		r := x.runs[i]
		x.prune(&r)
		newIndex[i] = -1
		if keep(&r) {
			newIndex[i] = len(kept)
			kept = append(kept, r)
			continue
		}
		x.subtractPieces(&r)
	}
	clear(x.runs[len(kept):])
	x.runs = kept
	x.table.rebuild(len(x.table.keys), func(p location) (location, bool) {
		id := newIndex[p.run()]
		if id < 0 || x.heldMask(id)&p.bit() == 0 {
			return 0, false
		}
		return locationAt(id, p.position()), true
	})
}

// prune removes the holders of a run that no longer count.
func (x *Index) prune(r *run) {
	kept := r.holders[:0]
	for i := range r.holders {
		if x.isCurrent(&r.holders[i]) {
			kept = append(kept, r.holders[i])
		}
	}
	r.holders = kept
}

// subtractPieces subtracts the pieces of a dropped run from its holders' counts.
func (x *Index) subtractPieces(r *run) {
	for i := range r.holders {
		x.byID[r.holders[i].engine].pieces -= bits.OnesCount64(r.holders[i].mask)
	}
}

// heldMask returns the mask of the pieces of a run that at least one engine
// holds.
func (x *Index) heldMask(id int) uint64 {
	var mask uint64
	for _, h := range x.runs[id].holders {
		mask |= h.mask
	}
	return mask
}
