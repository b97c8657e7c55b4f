package placing

import (
	"time"

	"github.com/baobabdyke/baobabdyke/internal/fleet/site"
	"github.com/baobabdyke/baobabdyke/internal/fleet/source"
)

// A noticeState is what one incarnation of a target has stated about further
// requests. It is kept apart from the targetState, which is dropped while the
// target is unused.
type noticeState struct {
	leaving bool
	// listedAt is when the target was last known to be listed.
	listedAt time.Time
}

// RecordNotice records what a target states in a response. It reports whether the
// target had not stated before that it leaves.
func (p *Placer) RecordNotice(target site.Incarnation, n site.Notice, now time.Time) bool {
	if !n.Leaving {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	s, ok := p.notices[target]
	if !ok {
		s = &noticeState{listedAt: now}
		p.notices[target] = s
	}
	left := !s.leaving
	s.leaving = true
	return left
}

// Leaving reports whether a target has stated that it leaves.
func (p *Placer) Leaving(target site.Incarnation) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.leaving(target)
}

func (p *Placer) leaving(target site.Incarnation) bool {
	s, ok := p.notices[target]
	return ok && s.leaving
}

// PruneNotices removes the notices of targets that have not been listed for
// stateRetention.
func (p *Placer) PruneNotices(v *source.View, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for target, s := range p.notices {
		if t, ok := v.Targets[target.ID]; ok && t.Born == target.Born {
			s.listedAt = now
		} else if now.Sub(s.listedAt) > stateRetention {
			delete(p.notices, target)
		}
	}
}
