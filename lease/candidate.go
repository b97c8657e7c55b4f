package lease

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

// A candidate is the goroutine that tries to hold one duty.
type candidate struct {
	duty string
	opts *Options
	rand *rand.Rand
	stop context.CancelFunc
	done chan struct{}

	// mu guards the watch, which queries read.
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

// run tries to hold the duty until ctx ends, then hands it back.
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

// wait is the jittered time until the next call of the object API.
func (c *candidate) wait() time.Duration {
	d := c.opts.TTL / renewPart
	return d - d/8 + time.Duration(c.rand.Int64N(int64(d/4)))
}

// try renews the duty if it is held, and asks for it otherwise.
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

// note takes in the outcome of a call that was begun at a time. An outcome that
// says nothing leaves the right to act as it was: it ends by itself.
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
		c.log(level.Debug, "lease not written", r.Err)
	case Unknown:
		c.log(level.Warn, "lease write unknown", r.Err)
	}
	if held != c.watch.Held() {
		_ = level.Info(c.opts.Log).Log("msg", "lease changed", "duty", c.duty, "held", c.watch.Held(), "term", c.watch.Record.Lease.Term)
	}
}

func (c *candidate) log(at func(log.Logger) log.Logger, msg string, err error) {
	_ = at(c.opts.Log).Log("msg", msg, "duty", c.duty, "err", err)
}

// release hands the duty back at a planned stop. The right to act ends before
// the write is sent.
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
