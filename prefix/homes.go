package prefix

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/baobabdyke/baobabdyke/vm"
)

const (
	// maxUnpartitionedVMs is the largest number of VMs with which each VM holds
	// the whole index.
	wholeFleet = 16
	// replicasPerPartition is the number of replicas of a partition with more
	// VMs than that.
	homesEach = 2
	// groups is the number of groups into which the partitions are divided. The
	// partitions of a group have the same replicas.
	rows      = 1024
	rowsShift = divisionBits - 10
)

// A Placement assigns replicas to each partition of the index. It is immutable.
type Placement struct {
	members []vm.Member
	homes   [][homesEach]int16
}

// NewPlacement assigns the partitions to the live VMs by rendezvous hashing, so
// that only the partitions of a VM that joins or leaves are reassigned. With few
// VMs, every VM is a replica of all partitions.
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

// placeGroup returns the indexes of the VMs with the highest hashes for a group.
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

// IsReplica reports whether the VM is a replica of the partition.
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

// Replicas returns the replicas of the partition in order of preference.
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

// isFor reports whether the placement was made for the given VMs.
func (p *Placement) same(live []vm.Member) bool {
	return slices.EqualFunc(p.members, live, func(a, b vm.Member) bool {
		return a.ID == b.ID && a.Incarnation == b.Incarnation && a.Peer == b.Peer
	})
}
