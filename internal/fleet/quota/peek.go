package quota

import (
	"maps"
	"time"

	"github.com/baobabdyke/baobabdyke/internal/fleet/site"
)

// Peek returns what Admit would decide, and changes nothing: it decides on a copy of the
// state. In a large fleet without totals the decision depends on chance.
func (s *State) Peek(c *site.Customer, cost float64, now time.Time) Decision {
	return s.copyState().Admit(c, cost, now)
}

// copyState returns a copy of what a decision changes. What it only reads is shared.
func (s *State) copyState() *State {
	out := *s
	out.buckets = make(map[string]*bucket, len(s.buckets))
	for name, b := range s.buckets {
		copied := *b
		out.buckets[name] = &copied
	}
	out.peers = make(map[string]*peer, len(s.peers))
	for vm, p := range s.peers {
		copied := *p
		copied.reported, copied.assumed = maps.Clone(p.reported), maps.Clone(p.assumed)
		copied.flows = maps.Clone(p.flows)
		for name, f := range copied.flows {
			flow := *f
			copied.flows[name] = &flow
		}
		out.peers[vm] = &copied
	}
	out.spent, out.refused = maps.Clone(s.spent), maps.Clone(s.refused)
	return &out
}

// Peek returns what Admit would decide.
func (l *Limiter) Peek(c *site.Customer, cost float64) Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state.Peek(c, cost, l.clock.Now())
}
