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
	// Slots is the number of slots of the targets that take requests.
	Slots int
}

// Share returns the share of the slots that are taken; more than 1 if requests wait at the
// targets, and 0 if the targets state no slots.
func (o Occupancy) Share() float64 {
	if o.Slots <= 0 {
		return 0
	}
	return o.Running / float64(o.Slots)
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
	o.Running = float64(o.Own)
	if fresh > 0 {
		o.Running += float64(others) * float64(vms) / float64(fresh)
	}
	return o
}
