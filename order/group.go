package order

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"github.com/baobabdyke/baobabdyke/invariant"
	"github.com/baobabdyke/baobabdyke/lease"
	"github.com/baobabdyke/baobabdyke/store"
	"github.com/baobabdyke/baobabdyke/target"
)

// stepTime is the time between two looks at a pool.
const stepTime = 500 * time.Millisecond

// A group is the goroutine that gives the orders of one pool, while this VM
// holds the pool's lease.
type group struct {
	pool    string
	opts    *Options
	leases  *lease.Task
	slots   *slots
	results chan result

	// mu guards what follows, for Dump.
	mu    sync.Mutex
	term  int64
	since time.Time
	sent  map[string]Sent
	open  int
}

// A result is the outcome of one order. Kept is false if it was not sent.
type result struct {
	intent PlannedOrder
	kept   bool
	out    target.OrderResult
}

func duty(pool string) string { return "order/" + pool }

func (g *group) run(ctx context.Context) {
	g.leases.Add(duty(g.pool))
	defer g.leases.Remove(duty(g.pool))
	defer g.drain()
	ticker := time.NewTicker(stepTime)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case r := <-g.results:
			g.note(r)
		case <-ticker.C:
			g.step(ctx)
		}
	}
}

// drain waits for open orders, so that the lease is not handed back before.
func (g *group) drain() {
	for g.open > 0 {
		g.note(<-g.results)
	}
}

// step sends what the plan asks for.
func (g *group) step(ctx context.Context) {
	grant, ok := g.leases.Held(duty(g.pool))
	if !ok {
		return
	}
	now := g.opts.Clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if grant.Term != g.term {
		g.term = grant.Term
		g.since = now
		g.sent = map[string]Sent{}
	}
	s := PlanInput{
		View:      g.opts.Config(),
		Pool:      g.pool,
		Engines:   EnginesOf(g.opts.States(g.pool)),
		Sent:      g.sent,
		TermStart: g.since,
		Now:       now,
	}
	for _, i := range Plan(s) {
		g.launch(ctx, i, now)
	}
}

// launch sends one order in a goroutine of its own. The caller holds mu.
func (g *group) launch(ctx context.Context, i PlannedOrder, now time.Time) {
	name := i.Engine.Target.Name
	invariant.Check(!g.sent[name].Open, "order-one-open", "target %s has an open order", name)
	i.Order.FencingToken = g.term
	i.Order.ID = fmt.Sprintf("%s-%d-%016x", g.pool, g.term, rand.Uint64())
	g.sent[name] = Sent{Order: i.Order, Open: true, Ends: now.Add(maxLifetime)}
	g.open++
	go func() { g.results <- g.carry(ctx, i) }()
}

// carry sends one order, a load only under a slot.
func (g *group) carry(ctx context.Context, i PlannedOrder) result {
	if !i.loads() {
		return g.send(ctx, i)
	}
	k, ok := g.slots.take(ctx)
	if !ok {
		return result{intent: i}
	}
	r := g.send(ctx, i)
	if _, lost := r.out.(target.OrderLost); lost {
		// The load may still run.
		store.Sleep(ctx, k.taken.Add(maxLifetime).Sub(g.opts.Clock.Now()))
	}
	store.Sleep(ctx, k.taken.Add(loadGap).Sub(g.opts.Clock.Now()))
	g.slots.give(context.WithoutCancel(ctx), k)
	return r
}

// send asks directly before sending whether this VM may still act, and bounds
// the order so that it ends before the lease does. A planned stop lets a sent
// order finish.
func (g *group) send(ctx context.Context, i PlannedOrder) result {
	if ctx.Err() != nil {
		return result{intent: i}
	}
	grant, ok := g.leases.Held(duty(g.pool))
	lifetime := min(grant.Remaining, maxLifetime)
	if !ok || grant.Term != i.Order.FencingToken || lifetime < minLifetime {
		return result{intent: i}
	}
	invariant.Check(lifetime <= grant.Remaining, "order-within-lease", "order of %s in a lease of %s", lifetime, grant.Remaining)
	i.Order.Lifetime = lifetime
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), lifetime)
	defer cancel()
	return result{intent: i, kept: true, out: g.opts.Client.Order(ctx, i.Engine.Target.Address, i.Order)}
}

// note takes in the outcome of an order.
func (g *group) note(r result) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.open--
	name := r.intent.Engine.Target.Name
	if r.intent.Order.FencingToken != g.term {
		return
	}
	now := g.opts.Clock.Now()
	if !r.kept {
		delete(g.sent, name)
		return
	}
	s := g.sent[name]
	s.Open = false
	s.Settled = now.Add(settleTime)
	switch out := r.out.(type) {
	case target.OrderDone:
		s.Ends = now
	case target.OrderRefused:
		s.Ends = now
		s.Again = now.Add(refusedWait)
		s.Settled = now
		_ = level.Warn(g.opts.Log).Log("msg", "order refused", "target", name, "reason", out.Reason, "fenced", out.Fenced)
	case target.OrderLost:
		// It may be carried out until Ends; then the report tells.
		s.Again = s.Ends
		_ = level.Warn(g.opts.Log).Log("msg", "order lost", "target", name, "err", out.Err)
	}
	g.sent[name] = s
}
