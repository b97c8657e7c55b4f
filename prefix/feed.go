package prefix

import (
	"context"
	"time"

	"github.com/baobabdyke/baobabdyke/config"
	"github.com/baobabdyke/baobabdyke/target"
)

const (
	// feedRetry is the pause before a broken feed is opened again.
	feedRetry = 500 * time.Millisecond
	// snapshotEvery is the least time between two snapshots of one engine.
	snapshotEvery = 500 * time.Millisecond
)

// A feed is the reading of one engine's cache events.
type feed struct {
	address  string
	cancel   context.CancelFunc
	snapshot chan struct{}
}

// Messages of a feed to the task. Each carries the feed that it is of, so that
// what a superseded feed still sends is dropped.
type (
	feedEvent struct {
		feed   *feed
		engine string
		event  target.CacheEvent
	}
	feedSnapshot struct {
		feed     *feed
		engine   string
		snapshot target.CacheSnapshot
	}
	feedBroken struct {
		feed   *feed
		engine string
	}
)

// followFeeds opens the feeds of the configured engines and closes all others.
func (t *Task) followFeeds(ctx context.Context, _ time.Time) {
	wanted := map[string]*config.Target{}
	for i, targets := 0, t.opts.Config().Targets; i < len(targets); i++ {
		if targets[i].Kind == config.TargetEngine {
			wanted[targets[i].Name] = &targets[i]
		}
	}
	for name, f := range t.feeds {
		if w, ok := wanted[name]; !ok || w.Address != f.address {
			f.cancel()
			delete(t.feeds, name)
			t.index.Drop(name)
		}
	}
	for name, w := range wanted {
		if _, ok := t.feeds[name]; !ok {
			t.feeds[name] = t.openFeed(ctx, w)
		}
	}
}

func (t *Task) openFeed(ctx context.Context, w *config.Target) *feed {
	ctx, cancel := context.WithCancel(ctx)
	f := &feed{address: w.Address, cancel: cancel, snapshot: make(chan struct{}, 1)}
	go t.readFeed(ctx, f, w.Name)
	return f
}

// readFeed reads a snapshot and then events, again after every break.
func (t *Task) readFeed(ctx context.Context, f *feed, name string) {
	for ctx.Err() == nil {
		t.readOnce(ctx, f, name)
		if !t.say(ctx, feedBroken{f, name}) {
			return
		}
		wait(ctx, feedRetry)
	}
}

// readOnce reads until the feed breaks.
func (t *Task) readOnce(ctx context.Context, f *feed, name string) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s, err := t.opts.Client.Snapshot(ctx, f.address)
	if err != nil || !t.say(ctx, feedSnapshot{f, name, s}) {
		return
	}
	events, err := t.opts.Client.Events(ctx, f.address, s.Sequence)
	if err != nil {
		return
	}
	for {
		select {
		case ev, ok := <-events:
			if !ok || !t.say(ctx, feedEvent{f, name, ev}) {
				return
			}
		case <-f.snapshot:
			go t.readSnapshot(ctx, f, name)
		case <-ctx.Done():
			return
		}
	}
}

// readSnapshot reads one snapshot beside the events.
func (t *Task) readSnapshot(ctx context.Context, f *feed, name string) {
	wait(ctx, snapshotEvery)
	if s, err := t.opts.Client.Snapshot(ctx, f.address); err == nil {
		t.say(ctx, feedSnapshot{f, name, s})
	}
}

// say sends a message to the task, and tells whether it was taken.
func (t *Task) say(ctx context.Context, m any) bool {
	select {
	case t.inbox <- m:
		return true
	case <-ctx.Done():
		return false
	}
}

func wait(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

func (t *Task) takeEvent(m feedEvent, now time.Time) {
	if t.feeds[m.engine] != m.feed {
		return
	}
	t.index.Apply(m.engine, m.event, now)
	t.wantSnapshot(m.feed, m.engine)
}

func (t *Task) takeSnapshot(m feedSnapshot, now time.Time) {
	if t.feeds[m.engine] != m.feed {
		return
	}
	t.index.Load(m.engine, m.snapshot, now)
	t.wantSnapshot(m.feed, m.engine)
	t.warm.Store(t.loaded())
}

func (t *Task) takeBroken(m feedBroken, _ time.Time) {
	if t.feeds[m.engine] == m.feed {
		t.index.Doubt(m.engine)
	}
}

// wantSnapshot asks for a snapshot if the engine's entries are unsure.
func (t *Task) wantSnapshot(f *feed, engine string) {
	if !t.index.Unsure(engine) {
		return
	}
	select {
	case f.snapshot <- struct{}{}:
	default:
	}
}

// loaded tells whether every engine's entries were loaded once.
func (t *Task) loaded() bool {
	for name := range t.feeds {
		if incarnation, _ := t.index.Sequence(name); incarnation == "" {
			return false
		}
	}
	return true
}
