package prefix

import (
	"context"
	"time"

	"github.com/baobabdyke/baobabdyke/config"
	"github.com/baobabdyke/baobabdyke/store"
	"github.com/baobabdyke/baobabdyke/target"
)

const (
	// feedRetry is the pause before a broken feed is opened again.
	feedRetry = 500 * time.Millisecond
	// snapshotEvery is the least time between two snapshots of one engine.
	snapshotEvery = 500 * time.Millisecond
	// strangeLimit is the time that an engine may report another incarnation
	// than its feed before the feed is opened again.
	strangeLimit = time.Second
)

// A feed is the reading of one engine's cache events. Its goroutine reads; the
// task owns all fields but address and cancel.
type feed struct {
	address     string
	cancel      context.CancelFunc
	incarnation string
	weights     string
	sequence    uint64
	unsure      bool
	asking      bool
	nextAsk     time.Time
	// strange is since when the engine reports another incarnation.
	strange time.Time
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
		err      error
	}
	feedBroken struct {
		feed   *feed
		engine string
	}
)

// followFeeds opens the feeds of the engines that this VM reads and closes all
// others. Entries of engines that are no longer configured are dropped.
func (t *Task) followFeeds(ctx context.Context) {
	if t.opts.Roster != nil {
		t.readers.SetLive(t.opts.Roster.Live())
	}
	wanted := map[string]*config.Target{}
	known := map[string]bool{}
	for i, targets := 0, t.opts.Config().Targets; i < len(targets); i++ {
		if targets[i].Kind != config.TargetEngine {
			continue
		}
		known[targets[i].Name] = true
		if t.reads(targets[i].Name) {
			wanted[targets[i].Name] = &targets[i]
		}
	}
	for name, f := range t.feeds {
		if w, ok := wanted[name]; !ok || w.Address != f.address {
			f.cancel()
			delete(t.feeds, name)
		}
	}
	for name := range t.index.engines {
		if !known[name] {
			t.index.Drop(name)
		}
	}
	for name, w := range wanted {
		if _, ok := t.feeds[name]; !ok {
			t.openFeed(ctx, w)
		}
	}
}

// reads tells whether this VM is the one that reads the engine's feed.
func (t *Task) reads(engine string) bool {
	return t.opts.Roster == nil || t.readers.Reader(engine) == t.opts.Self
}

// openFeed starts to read an engine. All homes get all of its entries.
func (t *Task) openFeed(ctx context.Context, w *config.Target) {
	ctx, cancel := context.WithCancel(ctx)
	f := &feed{address: w.Address, cancel: cancel, unsure: true, asking: true}
	t.feeds[w.Name] = f
	for _, o := range t.outboxes {
		o.needAll(w.Name)
	}
	go t.readFeed(ctx, f, w.Name)
}

// readFeed reads events until ctx ends, again after every break. The sequence
// number of the snapshot that is read first tells where to begin.
func (t *Task) readFeed(ctx context.Context, f *feed, name string) {
	for ctx.Err() == nil {
		s, err := t.opts.Client.Snapshot(ctx, f.address)
		if !t.say(ctx, feedSnapshot{f, name, s, err}) {
			return
		}
		if err == nil {
			t.readEvents(ctx, f, name, s.Sequence)
			t.say(ctx, feedBroken{f, name})
		}
		store.Sleep(ctx, feedRetry)
	}
}

// readEvents passes events on until the feed breaks.
func (t *Task) readEvents(ctx context.Context, f *feed, name string, after uint64) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	events, err := t.opts.Client.Events(ctx, f.address, after)
	if err != nil {
		return
	}
	for {
		select {
		case ev, ok := <-events:
			if !ok || !t.say(ctx, feedEvent{f, name, ev}) {
				return
			}
		case <-ctx.Done():
			return
		}
	}
}

// readSnapshot reads one snapshot beside the events.
func (t *Task) readSnapshot(ctx context.Context, f *feed, name string) {
	s, err := t.opts.Client.Snapshot(ctx, f.address)
	t.say(ctx, feedSnapshot{f, name, s, err})
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

// takeEvent passes an event to this VM's index and to the other homes.
func (t *Task) takeEvent(m feedEvent, now time.Time) {
	f, ev := m.feed, m.event
	if t.feeds[m.engine] != f {
		return
	}
	same := f.incarnation == ev.Incarnation
	if same && ev.Sequence <= f.sequence {
		return
	}
	gap := ev.Sequence != f.sequence+1
	if !same {
		gap = ev.Sequence != 1
	}
	if !same || f.weights != ev.Weights {
		f.incarnation, f.weights = ev.Incarnation, ev.Weights
		for _, o := range t.outboxes {
			o.needAll(m.engine)
		}
		f.unsure = f.unsure || len(t.outboxes) > 0
	}
	f.unsure = f.unsure || gap
	f.sequence = ev.Sequence
	t.spread(f, m.engine, ev, now)
}

// spread gives one event to all homes.
func (t *Task) spread(f *feed, engine string, ev target.CacheEvent, now time.Time) {
	kind := changeOf(ev.Kind)
	own := EnginePart{
		Engine: engine, Incarnation: f.incarnation, Weights: f.weights,
		From: ev.Sequence - 1, To: ev.Sequence, OutOfSync: f.unsure,
	}
	own.add(kind, t.placement.mine(t.opts.Self, ev.Pieces))
	t.index.Merge(own, now)
	for id, o := range t.outboxes {
		if pieces := t.placement.mine(id, ev.Pieces); len(pieces) > 0 || kind == changeCleared || f.unsure {
			o.add(f, engine, kind, pieces)
		}
	}
}

// takeSnapshot gives all entries of an engine to this VM's index, if the feed
// had a gap, and to the homes that need them.
func (t *Task) takeSnapshot(m feedSnapshot, now time.Time) {
	f, s := m.feed, m.snapshot
	if t.feeds[m.engine] != f {
		return
	}
	f.asking = false
	t.tried[m.engine] = true
	if m.err != nil || f.incarnation == s.Incarnation && s.Sequence < f.sequence {
		return
	}
	if f.unsure || f.incarnation != s.Incarnation || f.weights != s.Weights {
		f.incarnation, f.weights, f.sequence, f.unsure = s.Incarnation, s.Weights, s.Sequence, false
		t.index.Merge(full(m.engine, s, t.placement.mine(t.opts.Self, s.Pieces)), now)
		for _, o := range t.outboxes {
			o.needAll(m.engine)
		}
	}
	for id, o := range t.outboxes {
		if o.full[m.engine] {
			o.replace(full(m.engine, s, t.placement.mine(id, s.Pieces)))
		}
	}
}

// full returns a part that replaces all entries of an engine.
func full(engine string, s target.CacheSnapshot, pieces []uint64) EnginePart {
	p := EnginePart{
		Engine: engine, Incarnation: s.Incarnation, Weights: s.Weights, To: s.Sequence, Full: true,
	}
	p.add(changeStored, pieces)
	return p
}

// compare opens a feed again whose engine has restarted without the feed showing
// it: what it asked to be sent after belongs to the incarnation before.
func (t *Task) compare(ctx context.Context, s *target.State, now time.Time) {
	f, ok := t.feeds[s.Target.Name]
	switch {
	case !ok || !s.Reported:
		return
	case f.incarnation == s.Report.Incarnation || f.incarnation == "":
		f.strange = time.Time{}
	case f.strange.IsZero():
		f.strange = now
	case now.Sub(f.strange) >= strangeLimit:
		f.cancel()
		t.openFeed(ctx, s.Target)
	}
}

// takeBroken makes the engine's entries unsure.
func (t *Task) takeBroken(m feedBroken) {
	if t.feeds[m.engine] == m.feed {
		m.feed.unsure = true
		t.index.MarkOutOfSync(m.engine)
	}
}

// askSnapshots reads the snapshots that are needed, not too often.
func (t *Task) askSnapshots(ctx context.Context, now time.Time) {
	for name, f := range t.feeds {
		if f.asking || now.Before(f.nextAsk) || !t.needsSnapshot(f, name) {
			continue
		}
		f.asking = true
		f.nextAsk = now.Add(snapshotEvery)
		go t.readSnapshot(ctx, f, name)
	}
}

func (t *Task) needsSnapshot(f *feed, name string) bool {
	if f.unsure {
		return true
	}
	for _, o := range t.outboxes {
		if o.full[name] {
			return true
		}
	}
	return false
}
