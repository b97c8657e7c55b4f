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

// planInterval is the time between two plans for a pool.
const planInterval = 500 * time.Millisecond

// A group sends the orders to one pool while this VM holds the pool's lease.
type group struct {
	pool    string
	opts    *Options
	leases  *lease.Task
	slots   *slots
	results chan result

	// mu guards the fields below, which Dump reads.
	mu         sync.Mutex
	term       int64
	termStart  time.Time
	sent       map[string]Sent
	openOrders int
}

// A result is the outcome of one planned order. If sent is false, the order was
// not sent.
type result struct {
	order   PlannedOrder
	sent    bool
	outcome target.OrderResult
}

func leaseName(pool string) string { return "order/" + pool }

func (g *group) run(ctx context.Context) {
	g.leases.Add(leaseName(g.pool))
	defer g.leases.Remove(leaseName(g.pool))
	defer g.drain()
	ticker := time.NewTicker(planInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case r := <-g.results:
			g.recordResult(r)
		case <-ticker.C:
			g.step(ctx)
		}
	}
}

// drain waits for all open orders, so that the lease is not released before they
// have ended.
func (g *group) drain() {
	for g.openOrders > 0 {
		g.recordResult(<-g.results)
	}
}

// step makes a plan and sends its orders.
func (g *group) step(ctx context.Context) {
	grant, ok := g.leases.Held(leaseName(g.pool))
	if !ok {
		return
	}
	now := g.opts.Clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if grant.Term != g.term {
		g.term = grant.Term
		g.termStart = now
		g.sent = map[string]Sent{}
	}
	in := PlanInput{
		View:      g.opts.Config(),
		Pool:      g.pool,
		Engines:   EnginesOf(g.opts.States(g.pool)),
		Sent:      g.sent,
		TermStart: g.termStart,
		Now:       now,
	}
	for _, p := range Plan(in) {
		g.launch(ctx, p, now)
	}
}

// launch sends one order in its own goroutine. The caller must hold mu.
func (g *group) launch(ctx context.Context, p PlannedOrder, now time.Time) {
	name := p.Engine.Target.Name
	invariant.Check(!g.sent[name].Open, "order-one-open", "target %s has an open order", name)
	p.Order.FencingToken = g.term
	p.Order.ID = fmt.Sprintf("%s-%d-%016x", g.pool, g.term, rand.Uint64())
	g.sent[name] = Sent{Order: p.Order, Open: true, Ends: now.Add(maxLifetime)}
	g.openOrders++
	go func() { g.results <- g.execute(ctx, p) }()
}

// execute sends one order and waits for its outcome. A load needs a slot.
func (g *group) execute(ctx context.Context, p PlannedOrder) result {
	if !p.isLoad() {
		return g.send(ctx, p)
	}
	s, ok := g.slots.acquire(ctx)
	if !ok {
		return result{order: p}
	}
	r := g.send(ctx, p)
	if _, lost := r.outcome.(target.OrderLost); lost {
		// The load may still be running.
		store.Sleep(ctx, s.acquiredAt.Add(maxLifetime).Sub(g.opts.Clock.Now()))
	}
	store.Sleep(ctx, s.acquiredAt.Add(loadGap).Sub(g.opts.Clock.Now()))
	g.slots.release(context.WithoutCancel(ctx), s)
	return r
}

// send sends one order if this VM still holds the lease. It checks the lease
// immediately before sending and limits the lifetime of the order to that of the
// lease. An order that has been sent is not cancelled when ctx is done.
func (g *group) send(ctx context.Context, p PlannedOrder) result {
	if ctx.Err() != nil {
		return result{order: p}
	}
	grant, ok := g.leases.Held(leaseName(g.pool))
	lifetime := min(grant.Remaining, maxLifetime)
	if !ok || grant.Term != p.Order.FencingToken || lifetime < minLifetime {
		return result{order: p}
	}
	invariant.Check(lifetime <= grant.Remaining, "order-within-lease", "order lifetime %s exceeds remaining lease time %s", lifetime, grant.Remaining)
	p.Order.Lifetime = lifetime
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), lifetime)
	defer cancel()
	return result{order: p, sent: true, outcome: g.opts.Client.Order(ctx, p.Engine.Target.Address, p.Order)}
}

// recordResult records the outcome of an order.
func (g *group) recordResult(r result) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.openOrders--
	name := r.order.Engine.Target.Name
	if r.order.Order.FencingToken != g.term {
		return
	}
	now := g.opts.Clock.Now()
	if !r.sent {
		delete(g.sent, name)
		return
	}
	s := g.sent[name]
	s.Open = false
	s.Settled = now.Add(settleTime)
	switch outcome := r.outcome.(type) {
	case target.OrderDone:
		s.Ends = now
	case target.OrderRefused:
		s.Ends = now
		s.Again = now.Add(refusedDelay)
		s.Settled = now
		_ = level.Warn(g.opts.Log).Log("msg", "order refused", "target", name, "reason", outcome.Reason, "fenced", outcome.Fenced)
	case target.OrderLost:
		// The engine may carry out the order until Ends; later reports show
		// whether it did.
		s.Again = s.Ends
		_ = level.Warn(g.opts.Log).Log("msg", "order outcome unknown", "target", name, "err", outcome.Err)
	}
	g.sent[name] = s
}
