package target

import (
	"slices"

	"github.com/baobabdyke/baobabdyke/vm"
)

// Reader returns the id of the VM that reads the state and the event feed of a
// target on behalf of all VMs. It is chosen by rendezvous hashing.
func Reader(live []vm.Member, name string) string {
	return vm.HighestRanked("reader/"+name, live)
}

// Readers caches the reader of each target until the set of live VMs changes. The
// zero value is ready to use.
type Readers struct {
	live    []vm.Member
	readers map[string]string
}

// SetLive sets the live VMs.
func (r *Readers) SetLive(live []vm.Member) {
	same := slices.EqualFunc(r.live, live, func(a, b vm.Member) bool { return a.ID == b.ID })
	if r.readers != nil && same {
		return
	}
	r.live = slices.Clone(live)
	r.readers = map[string]string{}
}

// Reader returns the id of the VM that reads the target.
func (r *Readers) Reader(name string) string {
	id, ok := r.readers[name]
	if !ok {
		id = Reader(r.live, name)
		r.readers[name] = id
	}
	return id
}
