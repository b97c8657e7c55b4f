package order

import (
	"slices"
	"strings"
)

// A Dump is the state of a Task, for operators.
type Dump struct {
	Leases any    `json:"leases"`
	Pools  []Pool `json:"pools"`
}

// A Pool is the state of one pool in a Dump: the lease term and the last order to
// each target.
type Pool struct {
	Pool string          `json:"pool"`
	Term int64           `json:"term"`
	Sent map[string]Sent `json:"sent"`
}

// Dump returns the leases and the state of each pool.
func (t *Task) Dump() any {
	t.mu.Lock()
	defer t.mu.Unlock()
	d := Dump{Leases: t.leases.Dump()}
	for _, r := range t.groups {
		d.Pools = append(d.Pools, r.group.dump())
	}
	slices.SortFunc(d.Pools, func(a, b Pool) int { return strings.Compare(a.Pool, b.Pool) })
	return d
}

func (g *group) dump() Pool {
	g.mu.Lock()
	defer g.mu.Unlock()
	p := Pool{Pool: g.pool, Term: g.term, Sent: make(map[string]Sent, len(g.sent))}
	for name, s := range g.sent {
		p.Sent[name] = s
	}
	return p
}
