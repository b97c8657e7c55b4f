package placing

import (
	"time"

	"github.com/baobabdyke/baobabdyke/internal/fleet/source"
)

// An Occupancy is how many slots of a service's targets are taken.
type Occupancy struct {
	// Own is the number of requests of this VM, and Running that of all VMs as estimated from
	// the VMs whose loads are known.
	Own     int
	Running float64
	// VMs is the number of VMs that sent updates lately, with this one.
	VMs int
	// Slots is the number of slots of the targets that take requests.
	Slots int
}

// Occupancy returns how many slots of a service's targets are taken. The loads of other VMs
// are those of their last updates, which are seconds old in a large fleet.
func (p *Placer) Occupancy(v *source.View, service string, now time.Time) Occupancy {
	p.mu.Lock()
	defer p.mu.Unlock()
	var o Occupancy
	others, fresh, vms := 0, 0, 0
	for _, peer := range p.peers {
		if now.Sub(peer.received) <= stateRetention/2 {
			vms++
		}
		if now.Sub(peer.received) <= peerLoadTTL {
			fresh++
		}
	}
	totals := p.loadTotals(now)
	for _, t := range v.Targets {
		if t.Service != service {
			continue
		}
		own := 0
		if s, ok := p.states[t.ID]; ok && s.born == t.Born {
			own = s.running
			if now.Before(s.avoidUntil) {
				continue
			}
		}
		if target := t.Incarnation(); t.Leaving || p.busy[t.ID] || p.leaving(target) || p.wait(target, now) > 0 {
			continue
		}
		o.Own += own
		others += totals[t.ID].running
		o.Slots += t.Slots
	}
	o.Running, o.VMs = float64(o.Own), vms+1
	if fresh > 0 {
		o.Running += float64(others) * float64(vms) / float64(fresh)
	}
	return o
}
