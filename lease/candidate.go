package lease

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

// A candidate tries to acquire and keep one lease, in its own goroutine.
type candidate struct {
	name string
	opts *Options
	rand *rand.Rand
	stop context.CancelFunc
	done chan struct{}

	// mu guards the tracker, which queries read.
	mu      sync.Mutex
	tracker Tracker
}

func newCandidate(name string, o *Options, seed uint64, stop context.CancelFunc) *candidate {
	return &candidate{
		name:    name,
		opts:    o,
		rand:    rand.New(rand.NewPCG(o.Seed, seed)),
		stop:    stop,
		done:    make(chan struct{}),
		tracker: Tracker{Self: o.Self, TTL: o.TTL},
	}
}

// run tries to hold the lease until ctx ends, then releases it.
func (c *candidate) run(ctx context.Context) {
	defer close(c.done)
	for {
		c.try(ctx)
		timer := time.NewTimer(c.nextDelay())
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			c.release(ctx)
			return
		}
	}
}

// nextDelay returns the jittered time until the next call of the object store.
func (c *candidate) nextDelay() time.Duration {
	d := c.opts.TTL / renewDivisor
	return d - d/8 + time.Duration(c.rand.Int64N(int64(d/4)))
}

// try renews the lease if it is held, and tries to acquire it otherwise.
func (c *candidate) try(ctx context.Context) {
	sentAt := c.opts.Clock.Now()
	c.handleResult(c.renewOrAcquire(ctx), sentAt)
}

func (c *candidate) renewOrAcquire(ctx context.Context) Result {
	ctx, cancel := context.WithTimeout(ctx, c.opts.TTL/2)
	defer cancel()
	if tracker := c.current(); tracker.Held() {
		return Renew(ctx, c.opts.Store, "", tracker.Record, nil)
	}
	return Acquire(ctx, c.opts.Store, Request{Name: c.name, Self: c.opts.Self, TTL: c.opts.TTL, HolderGone: c.expired})
}

func (c *candidate) current() Tracker {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tracker
}

func (c *candidate) expired(r Record) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tracker.Expired(r, c.opts.Clock.Now())
}

// handleResult updates the tracker with the result of a call that was started at
// the time sentAt. NotSent and Unknown leave the right to act unchanged: it ends at
// ValidUntil.
func (c *candidate) handleResult(r Result, sentAt time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	held := c.tracker.Held()
	switch r := r.(type) {
	case Held:
		c.tracker.MarkHeld(r.Record, sentAt)
	case Taken:
		c.tracker.MarkLost()
		c.tracker.Observe(r.Record, c.opts.Clock.Now())
	case Free:
		c.tracker.MarkLost()
	case NotSent:
		c.log(level.Debug, "cannot write lease", r.Err)
	case Unknown:
		c.log(level.Warn, "lease state unknown", r.Err)
	}
	if held != c.tracker.Held() {
		_ = level.Info(c.opts.Log).Log("msg", "lease changed", "duty", c.name, "held", c.tracker.Held(), "term", c.tracker.Record.Lease.Term)
	}
}

func (c *candidate) log(at func(log.Logger) log.Logger, msg string, err error) {
	_ = at(c.opts.Log).Log("msg", msg, "duty", c.name, "err", err)
}

// release releases the lease during a graceful shutdown. The right to act ends
// before the write is sent.
func (c *candidate) release(ctx context.Context) {
	c.mu.Lock()
	tracker := c.tracker
	c.tracker.MarkLost()
	c.mu.Unlock()
	if !tracker.Held() {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
	defer cancel()
	Release(ctx, c.opts.Store, "", tracker.Record, nil)
}
