package prefix

import (
	"math/bits"
	"slices"

	"github.com/baobabdyke/baobabdyke/invariant"
)

// sweep makes room: it drops the pieces and runs that no engine holds, and the
// runs that were touched longest ago if an eighth of the room is not free then.
func (x *Index) sweep() {
	limit := x.max - x.max/8
	x.compact(func(r *run) bool { return len(r.holders) > 0 })
	if x.table.used > limit {
		oldest := x.cutoff(limit)
		x.compact(func(r *run) bool { return r.touched() > oldest })
	}
	invariant.Check(x.table.used < x.max, "prefix-bound", "%d pieces of %d after a sweep", x.table.used, x.max)
}

// cutoff returns the time of the last touch up to which runs must go so that at
// most limit pieces stay.
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

// touched returns when the run was last touched.
func (r *run) touched() uint32 {
	var last uint32
	for i := range r.holders {
		last = max(last, r.holders[i].touched)
	}
	return last
}

// compact keeps the runs that keep accepts and the pieces of them that an
// engine holds.
func (x *Index) compact(keep func(*run) bool) {
	moved := make([]int, len(x.runs))
	kept := x.runs[:0]
	for i := range x.runs {
		r := x.runs[i]
		x.prune(&r)
		moved[i] = -1
		if keep(&r) {
			moved[i] = len(kept)
			kept = append(kept, r)
			continue
		}
		x.forget(&r)
	}
	clear(x.runs[len(kept):])
	x.runs = kept
	x.table.rebuild(len(x.table.keys), func(p place) (place, bool) {
		id := moved[p.run()]
		if id < 0 || x.union(id)&p.bit() == 0 {
			return 0, false
		}
		return placeAt(id, p.position()), true
	})
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

// forget takes the pieces of a run that is dropped off its holders' counts.
func (x *Index) forget(r *run) {
	for i := range r.holders {
		x.byID[r.holders[i].engine].pieces -= bits.OnesCount64(r.holders[i].mask)
	}
}

// union returns the mask of the pieces of a run that any engine holds.
func (x *Index) union(id int) uint64 {
	var mask uint64
	for _, h := range x.runs[id].holders {
		mask |= h.mask
	}
	return mask
}
