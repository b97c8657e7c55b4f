package prefix

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/baobabdyke/baobabdyke/vm"
)

const (
	// wholeFleet is the largest number of VMs that are each a home of the whole
	// index.
	wholeFleet = 16
	// homesEach is the number of homes of a division in a larger fleet.
	homesEach = 2
	// rows is the number of groups of divisions that are placed together.
	rows      = 1024
	rowsShift = divisionBits - 10
)

// A Placement tells which VMs are the homes of each division. It is immutable.
type Placement struct {
	members []vm.Member
	homes   [][homesEach]int16
}

// NewPlacement places the divisions over the live VMs by rendezvous hashing, so
// that a VM that comes or goes moves only its own share. In a small fleet every
// VM is a home of all.
func NewPlacement(live []vm.Member) *Placement {
	p := &Placement{members: slices.Clone(live)}
	if len(live) <= wholeFleet {
		return p
	}
	p.homes = make([][homesEach]int16, rows)
	for row := range p.homes {
		p.homes[row] = p.place(row)
	}
	return p
}

// place returns the VMs with the highest hashes for a row.
func (p *Placement) place(row int) [homesEach]int16 {
	var best [homesEach]int16
	var scores [homesEach]uint64
	for i := range p.members {
		h := rendezvous(p.members[i].ID, row)
		for n := range scores {
			if h > scores[n] {
				copy(scores[n+1:], scores[n:])
				copy(best[n+1:], best[n:])
				scores[n], best[n] = h, int16(i)
				break
			}
		}
	}
	return best
}

func rendezvous(id string, row int) uint64 {
	var d xxhash.Digest
	d.Reset()
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], uint64(row))
	_, _ = d.WriteString(id)
	_, _ = d.Write(b[:])
	return d.Sum64()
}

// Home tells whether the VM is a home of the division.
func (p *Placement) IsReplica(id string, d Partition) bool {
	if p.homes == nil {
		return true
	}
	for _, i := range p.homes[d>>rowsShift] {
		if p.members[i].ID == id {
			return true
		}
	}
	return false
}

// Homes returns the homes of the division, in the order of preference.
func (p *Placement) Replicas(d Partition) []vm.Member {
	if p.homes == nil {
		return p.members
	}
	list := make([]vm.Member, 0, homesEach)
	for _, i := range p.homes[d>>rowsShift] {
		list = append(list, p.members[i])
	}
	return list
}

// same tells whether the placement is that of the given VMs.
func (p *Placement) same(live []vm.Member) bool {
	return slices.EqualFunc(p.members, live, func(a, b vm.Member) bool {
		return a.ID == b.ID && a.Incarnation == b.Incarnation && a.Peer == b.Peer
	})
}
