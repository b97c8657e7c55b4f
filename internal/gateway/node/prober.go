package node

import (
	"context"
	"sync"
	"time"

	"github.com/baobabdyke/baobabdyke/internal/fleet/site"
	"github.com/baobabdyke/baobabdyke/store"
)

// A prober checks whether targets that accepted no connection do so again.
type prober struct {
	node *Node

	mu      sync.Mutex
	targets map[string]*site.Target
}

const (
	// probePeriod is the time between two probes of a target.
	probePeriod = 700 * time.Millisecond
)

func newProber(n *Node) *prober { return &prober{node: n, targets: map[string]*site.Target{}} }

// suspect adds a target to be probed.
func (p *prober) suspect(t *site.Target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.targets[t.ID] = t
}

// run probes the targets until ctx ends.
func (p *prober) run(ctx context.Context) error {
	for store.Sleep(ctx, probePeriod) {
		for _, t := range p.due(p.node.source.View().Targets, time.Now()) {
			go p.probe(ctx, t)
		}
	}
	return nil
}

// due returns the targets to be probed now. It removes those that have ended or leave.
func (p *prober) due(listed map[string]*site.Target, now time.Time) []*site.Target {
	p.mu.Lock()
	defer p.mu.Unlock()
	var due []*site.Target
	for id, t := range p.targets {
		current, ok := listed[id]
		switch {
		case !ok || current.Born != t.Born || p.node.placer.Leaving(t.Incarnation()):
			delete(p.targets, id)
		case p.node.placer.PauseLeft(t.Incarnation(), now) == 0:
			due = append(due, t)
		}
	}
	return due
}

func (p *prober) probe(ctx context.Context, t *site.Target) {
	if err := p.node.pool.Probe(ctx, t.Address); err != nil {
		return
	}
	p.node.placer.MarkReachable(t.ID)
	_ = p.node.log.Log("msg", "target reachable again", "target", t.ID)
	p.remove(t)
}

func (p *prober) remove(t *site.Target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.targets, t.ID)
}
