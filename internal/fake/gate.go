package fake

import (
	"context"
	"sync"
)

// A gate lets a few users in at once. Larger priorities enter first, and equal
// ones in the order in which they came.
type gate struct {
	mu      sync.Mutex
	free    int
	waiting []*entrant
}

type entrant struct {
	priority int
	admitted chan struct{}
}

func newGate(capacity int) *gate { return &gate{free: capacity} }

// enter waits for a place. It returns false if ctx ended first.
func (g *gate) enter(ctx context.Context, priority int) bool {
	e := &entrant{priority: priority, admitted: make(chan struct{})}
	g.mu.Lock()
	g.insert(e)
	g.admit()
	g.mu.Unlock()
	select {
	case <-e.admitted:
		return true
	case <-ctx.Done():
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.remove(e) {
		g.free++
		g.admit()
	}
	return false
}

func (g *gate) leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.free++
	g.admit()
}

func (g *gate) waitingCount() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.waiting)
}

func (g *gate) insert(e *entrant) {
	i := len(g.waiting)
	for i > 0 && g.waiting[i-1].priority < e.priority {
		i--
	}
	g.waiting = append(g.waiting[:i], append([]*entrant{e}, g.waiting[i:]...)...)
}

func (g *gate) remove(e *entrant) bool {
	for i, other := range g.waiting {
		if other == e {
			g.waiting = append(g.waiting[:i], g.waiting[i+1:]...)
			return true
		}
	}
	return false
}

func (g *gate) admit() {
	for g.free > 0 && len(g.waiting) > 0 {
		g.free--
		close(g.waiting[0].admitted)
		g.waiting = g.waiting[1:]
	}
}
