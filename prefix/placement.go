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
	maxUnpartitionedVMs = 16
	// replicasPerPartition is the number of replicas of a partition with more
	// VMs than that.
	replicasPerPartition = 2
	// groups is the number of groups into which the partitions are divided. The
	// partitions of a group have the same replicas.
	groups = 1024
	// groupShift maps a partition to its group: 10 is the binary logarithm of
	// groups.
	groupShift = partitionBits - 10
)

// A Placement assigns replicas to each partition of the index. It is immutable.
type Placement struct {
	members  []vm.Member
	replicas [][replicasPerPartition]int16
}

// NewPlacement assigns the partitions to the live VMs by rendezvous hashing, so
// that only the partitions of a VM that joins or leaves are reassigned. With few
// VMs, every VM is a replica of all partitions.
func NewPlacement(live []vm.Member) *Placement {
	p := &Placement{members: slices.Clone(live)}
	if len(live) <= maxUnpartitionedVMs {
		return p
	}
	p.replicas = make([][replicasPerPartition]int16, groups)
	for group := range p.replicas {
		p.replicas[group] = p.placeGroup(group)
	}
	return p
}

// placeGroup returns the indexes of the VMs with the highest hashes for a group.
func (p *Placement) placeGroup(group int) [replicasPerPartition]int16 {
	var best [replicasPerPartition]int16
	var hashes [replicasPerPartition]uint64
	for i := range p.members {
		h := rendezvousHash(p.members[i].ID, group)
		for n := range hashes {
			if h > hashes[n] {
				copy(hashes[n+1:], hashes[n:])
				copy(best[n+1:], best[n:])
				hashes[n], best[n] = h, int16(i)
				break
			}
		}
	}
	return best
}

func rendezvousHash(id string, group int) uint64 {
	var d xxhash.Digest
	d.Reset()
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], uint64(group))
	_, _ = d.WriteString(id)
	_, _ = d.Write(b[:])
	return d.Sum64()
}

// IsReplica reports whether the VM is a replica of the partition.
func (p *Placement) IsReplica(id string, partition Partition) bool {
	if p.replicas == nil {
		return true
	}
	for _, i := range p.replicas[partition>>groupShift] {
		if p.members[i].ID == id {
			return true
		}
	}
	return false
}

// Replicas returns the replicas of the partition in order of preference.
func (p *Placement) Replicas(partition Partition) []vm.Member {
	if p.replicas == nil {
		return p.members
	}
	list := make([]vm.Member, 0, replicasPerPartition)
	for _, i := range p.replicas[partition>>groupShift] {
		list = append(list, p.members[i])
	}
	return list
}

// isFor reports whether the placement was made for the given VMs.
func (p *Placement) isFor(live []vm.Member) bool {
	return slices.EqualFunc(p.members, live, func(a, b vm.Member) bool {
		return a.ID == b.ID && a.Incarnation == b.Incarnation && a.Peer == b.Peer
	})
}
