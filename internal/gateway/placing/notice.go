package placing

import (
	"time"

	"github.com/baobabdyke/baobabdyke/internal/fleet/site"
	"github.com/baobabdyke/baobabdyke/internal/fleet/source"
)

// maxPause is the longest pause that a target may ask for. Longer ones are ignored,
// since a wrong value would take the target out of use for good.
const maxPause = 10 * time.Minute

// A noticeState is what one incarnation of a target has stated about further
// requests. It is kept apart from the targetState, which is dropped while the
// target is unused.
type noticeState struct {
	leaving     bool
	pausedUntil time.Time
	// listedAt is when the target was last known to be listed.
	listedAt time.Time
}

// RecordNotice records what a target states in a response. It reports whether the
// target leaves and had not stated that before, and whether it asks for a pause and
// none was in force.
func (p *Placer) RecordNotice(target site.Incarnation, n site.Notice, now time.Time) (leaves, pauses bool) {
	if n.Pause > maxPause {
		n.Pause = 0
	}
	if !n.Leaving && n.Pause <= 0 {
		return false, false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	s, ok := p.notices[target]
	if !ok {
		s = &noticeState{listedAt: now}
		p.notices[target] = s
	}
	if n.Leaving {
		leaves = !s.leaving
		s.leaving = true
	}
	if until := now.Add(n.Pause); n.Pause > 0 && until.After(s.pausedUntil) {
		pauses = !now.Before(s.pausedUntil)
		s.pausedUntil = until
	}
	return leaves, pauses
}

// Leaving reports whether a target has stated that it leaves.
func (p *Placer) Leaving(target site.Incarnation) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.leaving(target)
}

// PauseLeft returns how much longer a target wants no requests.
func (p *Placer) PauseLeft(target site.Incarnation, now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.pauseLeft(target, now)
}

// ServiceWait returns the time until the first target of a service may be sent requests
// again if all of them, except those that leave, have asked for a pause or are at their
// limits, and otherwise 0.
func (p *Placer) ServiceWait(v *source.View, service string, now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	shortest := time.Duration(0)
	for _, t := range v.Targets {
		if t.Service != service || t.Leaving || p.leaving(t.Incarnation()) {
			continue
		}
		left := p.wait(t.Incarnation(), now)
		if left == 0 {
			return 0
		}
		if shortest == 0 || left < shortest {
			shortest = left
		}
	}
	return shortest
}

// wait returns the time until a target may be sent a request.
func (p *Placer) wait(target site.Incarnation, now time.Time) time.Duration {
	return max(p.pauseLeft(target, now), p.limits.Wait(target, now))
}

func (p *Placer) leaving(target site.Incarnation) bool {
	s, ok := p.notices[target]
	return ok && s.leaving
}

func (p *Placer) pauseLeft(target site.Incarnation, now time.Time) time.Duration {
	s, ok := p.notices[target]
	if !ok {
		return 0
	}
	return max(0, s.pausedUntil.Sub(now))
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
	p.limits.Prune(func(target site.Incarnation) bool {
		t, ok := v.Targets[target.ID]
		return ok && t.Born == target.Born
	}, now)
}
