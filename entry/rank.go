package entry

import (
	"encoding/binary"
	"math"
	"sort"

	"github.com/cespare/xxhash/v2"

	"github.com/baobabdyke/baobabdyke/vm"
)

// A placementKey identifies the requests that get the same home VMs in the same
// order.
type placementKey struct {
	customer string
	family   uint64
}

// Tiers of VMs by distance from a data centre, nearest first.
const (
	tierDataCentre = iota
	tierRegion
	tierOther
)

// A rankedVM is a VM with its sort criteria.
type rankedVM struct {
	member vm.Member
	tier   int
	score  float64
}

// homes returns the first n VMs in the customer's order, sorted in the order of
// the family, and the other VMs in the customer's order.
func (p *Placer) homes(key placementKey, n int, dataCentre string) (homes, rest []vm.Member) {
	members := p.usable()
	list := p.rank(members, dataCentre, xxhash.Sum64String(key.customer))
	n = min(n, len(list))
	homes = p.rank(list[:n], dataCentre, key.hash())
	return homes, list[n:]
}

// usable returns the VMs that may be listed, which are serving and not leaving.
func (p *Placer) usable() []vm.Member {
	leaving, _ := p.opts.Roster.(interface{ Leaving(id string) bool })
	var list []vm.Member
	for _, m := range p.opts.Roster.Live() {
		if m.State != vm.StateServing || leaving != nil && leaving.Leaving(m.ID) {
			continue
		}
		list = append(list, m)
	}
	return list
}

// rank sorts VMs by tier and then by weighted rendezvous hashing of the key.
func (p *Placer) rank(members []vm.Member, dataCentre string, key uint64) []vm.Member {
	region := regionOf(members, dataCentre)
	list := make([]rankedVM, len(members))
	for i, m := range members {
		list[i] = rankedVM{
			member: m,
			tier:   tierOf(m, dataCentre, region),
			score:  score(key, m.ID, p.opts.Weight(m)),
		}
	}
	sort.Slice(list, func(i, j int) bool {
		if list[i].tier != list[j].tier {
			return list[i].tier < list[j].tier
		}
		if list[i].score != list[j].score {
			return list[i].score > list[j].score
		}
		return list[i].member.ID < list[j].member.ID
	})
	out := make([]vm.Member, len(list))
	for i, r := range list {
		out[i] = r.member
	}
	return out
}

// regionOf returns the region of a data centre, or "" if no VM is there.
func regionOf(members []vm.Member, dataCentre string) string {
	for _, m := range members {
		if m.DataCentre == dataCentre {
			return m.Region
		}
	}
	return ""
}

func tierOf(m vm.Member, dataCentre, region string) int {
	switch {
	case dataCentre == "" || m.DataCentre == dataCentre:
		return tierDataCentre
	case region != "" && m.Region == region:
		return tierRegion
	default:
		return tierOther
	}
}

// score returns the weighted rendezvous score of a VM for a key. A VM with twice
// the weight comes first for twice as many keys.
func score(key uint64, id string, weight float64) float64 {
	var buf [8]byte
	binary.LittleEndian.PutUint64(buf[:], key)
	d := xxhash.New()
	_, _ = d.Write(buf[:])
	_, _ = d.WriteString(id)
	const mantissa = 53
	uniform := (float64(d.Sum64()>>(64-mantissa)) + 0.5) / (1 << mantissa)
	return -weight / math.Log(uniform)
}

// hash returns a hash of the customer and the family.
func (k placementKey) hash() uint64 {
	var buf [8]byte
	binary.LittleEndian.PutUint64(buf[:], k.family)
	d := xxhash.New()
	_, _ = d.WriteString(k.customer)
	_, _ = d.Write(buf[:])
	return d.Sum64()
}
