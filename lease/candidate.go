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
	duty string
	opts *Options
	rand *rand.Rand
	stop context.CancelFunc
	done chan struct{}

	// mu guards the tracker, which queries read.
	mu    sync.Mutex
	watch Tracker
}

func newCandidate(duty string, o *Options, seed uint64, stop context.CancelFunc) *candidate {
	return &candidate{
		duty:  duty,
		opts:  o,
		rand:  rand.New(rand.NewPCG(o.Seed, seed)),
		stop:  stop,
		done:  make(chan struct{}),
		watch: Tracker{Self: o.Self, TTL: o.TTL},
	}
}

// run tries to hold the lease until ctx ends, then releases it.
func (c *candidate) run(ctx context.Context) {
	defer close(c.done)
	for {
		c.try(ctx)
		timer := time.NewTimer(c.wait())
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
func (c *candidate) wait() time.Duration {
	d := c.opts.TTL / renewPart
	return d - d/8 + time.Duration(c.rand.Int64N(int64(d/4)))
}

// try renews the lease if it is held, and tries to acquire it otherwise.
func (c *candidate) try(ctx context.Context) {
	asked := c.opts.Clock.Now()
	c.note(c.ask(ctx), asked)
}

func (c *candidate) ask(ctx context.Context) Result {
	ctx, cancel := context.WithTimeout(ctx, c.opts.TTL/2)
	defer cancel()
	if w := c.current(); w.Held() {
		return Renew(ctx, c.opts.Store, "", w.Record, nil)
	}
	return Acquire(ctx, c.opts.Store, Request{Name: c.duty, Self: c.opts.Self, TTL: c.opts.TTL, HolderGone: c.lapsed})
}

func (c *candidate) current() Tracker {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.watch
}

func (c *candidate) lapsed(r Record) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.watch.Expired(r, c.opts.Clock.Now())
}

// handleResult updates the tracker with the result of a call that was started at
// the time sentAt. NotSent and Unknown leave the right to act unchanged: it ends at
// ValidUntil.
func (c *candidate) note(r Result, asked time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	held := c.watch.Held()
	switch r := r.(type) {
	case Held:
		c.watch.MarkHeld(r.Record, asked)
	case Taken:
		c.watch.MarkLost()
		c.watch.Observe(r.Record, c.opts.Clock.Now())
	case Free:
		c.watch.MarkLost()
	case NotSent:
		c.log(level.Debug, "lease not written, store unavailable", r.Err)
	case Unknown:
		c.log(level.Warn, "lease state unknown", r.Err)
	}
	if held != c.watch.Held() {
		_ = level.Info(c.opts.Log).Log("msg", "lease changed", "duty", c.duty, "held", c.watch.Held(), "term", c.watch.Record.Lease.Term)
	}
}

func (c *candidate) log(at func(log.Logger) log.Logger, msg string, err error) {
	_ = at(c.opts.Log).Log("msg", msg, "duty", c.duty, "err", err)
}

// release releases the lease during a graceful shutdown. The right to act ends
// before the write is sent.
func (c *candidate) release(ctx context.Context) {
	c.mu.Lock()
	w := c.watch
	c.watch.MarkLost()
	c.mu.Unlock()
	if !w.Held() {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
	defer cancel()
	Release(ctx, c.opts.Store, "", w.Record, nil)
}
