package caches

import (
	"context"
	"time"

	"github.com/go-kit/log"

	"github.com/baobabdyke/baobabdyke/internal/fleet/source"
	"github.com/baobabdyke/baobabdyke/store"
)

const (
	// longPollWait is how long a read of a feed waits for events.
	waitTime = time.Second
	// batchPause is the pause between two reads of a feed, in which events
	// accumulate.
	pacePause = 200 * time.Millisecond
	// retryPause is the pause after a failed read.
	failPause = 500 * time.Millisecond
	// maxFeeds is the number of engines up to which every VM reads all feeds; in
	// larger pools no feed is read.
	mostFeeds = 40
	// refreshPeriod is the time between two checks of the list of engines.
	lookPeriod = 500 * time.Millisecond
)

// A Feed reads the events of one engine after a sequence number. It waits for at
// most wait and returns the number to continue after. A KV cache store has an
// empty id.
type Feed interface {
	Events(ctx context.Context, id, address string, after int64, wait time.Duration) (Batch, int64, error)
}

// A Reader reads the feeds of all engines and KV cache stores.
type Reader struct {
	feed  Feed
	index *Index
	view  func() *source.View
	log   log.Logger
}

// NewReader returns a Reader that fills an index.
func NewReader(f Feed, x *Index, view func() *source.View, l log.Logger) *Reader {
	return &Reader{feed: f, index: x, view: view, log: l}
}

// An endpoint is where a feed is read from.
type place struct {
	id      string
	address string
	born    int64
}

// Run reads the feeds until ctx ends.
func (r *Reader) Run(ctx context.Context) error {
	running := map[place]context.CancelFunc{}
	for store.Sleep(ctx, lookPeriod) {
		wanted := r.places()
		for p, cancel := range running {
			if !wanted[p] {
				cancel()
				delete(running, p)
				r.index.Drop(p.key())
			}
		}
		for p := range wanted {
			if _, ok := running[p]; !ok {
				feed, cancel := context.WithCancel(ctx)
				running[p] = cancel
				go r.follow(feed, p)
			}
		}
	}
	for _, cancel := range running {
		cancel()
	}
	return nil
}

// key returns the id of the endpoint in the index.
func (p place) key() string {
	if p.id == "" {
		return p.address
	}
	return p.id
}

// endpoints returns the engines and stores whose feeds are to be read.
func (r *Reader) places() map[place]bool {
	v := r.view()
	out := map[place]bool{}
	if v.Config == nil {
		return out
	}
	for _, t := range v.Targets {
		if s := v.Config.Services[t.Service]; s != nil && s.Engine != nil {
			out[place{t.ID, t.Address, t.Born}] = true
		}
	}
	if len(out) > mostFeeds {
		return nil
	}
	for _, s := range v.Config.Services {
		if s.Cache != nil {
			out[place{address: s.Cache.Address}] = true
		}
	}
	return out
}

// readFeed reads one feed until ctx ends.
func (r *Reader) follow(ctx context.Context, p place) {
	after, good := int64(0), true
	for ctx.Err() == nil {
		b, next, err := r.feed.Events(ctx, p.id, p.address, after, waitTime)
		if err != nil {
			if good && ctx.Err() == nil {
				_ = r.log.Log("msg", "cache feed lost", "engine", p.key(), "after", after, "err", err)
			}
			good = false
			store.Sleep(ctx, failPause)
			continue
		}
		if !good || b.Gap {
			_ = r.log.Log("msg", "cache feed resumed", "engine", p.key(), "gap", b.Gap, "epoch", b.Epoch, "after", after)
		}
		good, after = true, next
		r.index.Apply(p.key(), b, time.Now())
		store.Sleep(ctx, pacePause)
	}
}
