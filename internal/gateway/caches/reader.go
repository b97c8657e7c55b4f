package caches

import (
	"context"
	"time"

	"github.com/go-kit/log"

	"github.com/baobabdyke/baobabdyke/internal/fleet/site"
	"github.com/baobabdyke/baobabdyke/internal/fleet/source"
	"github.com/baobabdyke/baobabdyke/store"
)

const (
	// longPollWait is how long a read of a feed waits for events.
	longPollWait = time.Second
	// batchPause is the pause between two reads of a feed, in which events
	// accumulate.
	batchPause = 200 * time.Millisecond
	// retryPause is the pause after a failed read.
	retryPause = 500 * time.Millisecond
	// maxFeeds is the number of engines up to which every VM reads all feeds; in
	// larger pools no feed is read.
	maxFeeds = 40
	// refreshPeriod is the time between two checks of the list of engines.
	refreshPeriod = 500 * time.Millisecond
)

// A Feed reads the events of one engine after a sequence number. It waits for at
// most wait and returns the number to continue after. A KV cache store has an
// empty id.
type Feed interface {
	Events(ctx context.Context, id, address string, after int64, wait time.Duration) (Batch, int64, error)
}

// Options are the parameters of a Reader.
type Options struct {
	Feed  Feed
	Index *Index
	View  func() *source.View
	Log   log.Logger
	// Leaving reports whether an engine has stated that it leaves. Its feed is not
	// read.
	Leaving func(engine site.Incarnation) bool
	// PauseLeft returns how much longer an engine wants no requests. Its feed is not
	// read until then.
	PauseLeft func(engine site.Incarnation) time.Duration
	// OnNotice is called with what an engine states about further requests.
	OnNotice func(engine site.Incarnation, n site.Notice)
}

// A Reader reads the feeds of all engines and KV cache stores into an index.
type Reader struct{ opts Options }

// NewReader returns a Reader.
func NewReader(o Options) *Reader { return &Reader{opts: o} }

// An endpoint is where a feed is read from.
type endpoint struct {
	id      string
	address string
	born    int64
}

// Run reads the feeds until ctx ends.
func (r *Reader) Run(ctx context.Context) error {
	running := map[endpoint]context.CancelFunc{}
	for store.Sleep(ctx, refreshPeriod) {
		wanted := r.endpoints()
		for e, cancel := range running {
			if !wanted[e] {
				cancel()
				delete(running, e)
				r.opts.Index.Drop(e.key())
			}
		}
		for e := range wanted {
			if _, ok := running[e]; !ok {
				feedCtx, cancel := context.WithCancel(ctx)
				running[e] = cancel
				go r.readFeed(feedCtx, e)
			}
		}
	}
	for _, cancel := range running {
		cancel()
	}
	return nil
}

// key returns the id of the endpoint in the index.
func (e endpoint) key() string {
	if e.id == "" {
		return e.address
	}
	return e.id
}

// incarnation returns the engine that the feed belongs to.
func (e endpoint) incarnation() site.Incarnation { return site.Incarnation{ID: e.id, Born: e.born} }

// endpoints returns the engines and stores whose feeds are to be read.
func (r *Reader) endpoints() map[endpoint]bool {
	v := r.opts.View()
	out := map[endpoint]bool{}
	if v.Config == nil {
		return out
	}
	for _, t := range v.Targets {
		if t.Leaving || r.opts.Leaving(t.Incarnation()) {
			continue
		}
		if s := v.Config.Services[t.Service]; s != nil && s.Engine != nil {
			out[endpoint{t.ID, t.Address, t.Born}] = true
		}
	}
	if len(out) > maxFeeds {
		return nil
	}
	for _, s := range v.Config.Services {
		if s.Cache != nil {
			out[endpoint{address: s.Cache.Address}] = true
		}
	}
	return out
}

// readFeed reads one feed until ctx ends.
func (r *Reader) readFeed(ctx context.Context, e endpoint) {
	after, healthy := int64(0), true
	for ctx.Err() == nil {
		if left := r.opts.PauseLeft(e.incarnation()); left > 0 {
			store.Sleep(ctx, left)
			continue
		}
		b, next, err := r.opts.Feed.Events(ctx, e.id, e.address, after, longPollWait)
		if e.id != "" {
			r.opts.OnNotice(e.incarnation(), b.Notice)
		}
		if err != nil {
			if healthy && ctx.Err() == nil {
				_ = r.opts.Log.Log("msg", "cache feed lost", "engine", e.key(), "after", after, "err", err)
			}
			healthy = false
			store.Sleep(ctx, retryPause)
			continue
		}
		if !healthy || b.Gap {
			_ = r.opts.Log.Log("msg", "cache feed resumed", "engine", e.key(), "gap", b.Gap, "epoch", b.Epoch, "after", after)
		}
		healthy, after = true, next
		r.opts.Index.Apply(e.key(), b, time.Now())
		store.Sleep(ctx, batchPause)
	}
}
