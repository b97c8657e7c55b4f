package prefix

// minTableSlots is the initial number of slots of a table. It is a power of two,
// since the slot of a key is found with a bit mask.
const minTableSlots = 1024

// A table is an open-addressing hash table from piece keys to locations. Keys are
// hashes already, so their low bits select the slot. Key zero marks an empty
// slot.
type table struct {
	keys      []Key
	locations []location
	used      int
}

// A location is the index of a run and the position of a piece in it.
type location uint32

// positionBits is the number of low bits of a location that hold the position.
const positionBits = 6

func locationAt(runID, position int) location { return location(runID<<positionBits | position) }

func (l location) run() int { return int(l >> positionBits) }

func (l location) position() int { return int(l & (runPieces - 1)) }

func (l location) bit() uint64 { return 1 << l.position() }

// find returns the location of a key.
func (t *table) find(k Key) (location, bool) {
	if len(t.keys) == 0 || k == 0 {
		return 0, false
	}
	mask := uint64(len(t.keys) - 1)
	for i := uint64(k) & mask; ; i = (i + 1) & mask {
		switch t.keys[i] {
		case k:
			return t.locations[i], true
		case 0:
			return 0, false
		}
	}
}

// insert adds a key that is not in the table.
func (t *table) insert(k Key, p location) {
	if 4*(t.used+1) > 3*len(t.keys) {
		t.grow()
	}
	t.put(k, p)
}

func (t *table) put(k Key, p location) {
	mask := uint64(len(t.keys) - 1)
	i := uint64(k) & mask
	for t.keys[i] != 0 {
		i = (i + 1) & mask
	}
	t.keys[i], t.locations[i] = k, p
	t.used++
}

// grow doubles the number of slots.
func (t *table) grow() {
	t.rebuild(max(minTableSlots, 2*len(t.keys)), func(p location) (location, bool) { return p, true })
}

// rebuild copies the table into one of n slots. keep returns the new location of
// an entry and reports whether the entry is kept.
func (t *table) rebuild(n int, keep func(location) (location, bool)) {
	old := *t
	*t = table{keys: make([]Key, n), locations: make([]location, n)}
	for i, k := range old.keys {
		if k == 0 {
			continue
		}
		if p, ok := keep(old.locations[i]); ok {
			t.put(k, p)
		}
	}
}
