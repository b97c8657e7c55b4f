package prefix

import (
	"context"
	"time"

	"github.com/baobabdyke/baobabdyke/config"
	"github.com/baobabdyke/baobabdyke/store"
	"github.com/baobabdyke/baobabdyke/target"
)

const (
	// feedRetryDelay is the delay before a broken feed is reopened.
	feedRetryDelay = 500 * time.Millisecond
	// minSnapshotInterval is the least time between two snapshots of one engine.
	minSnapshotInterval = 500 * time.Millisecond
	// maxMismatchTime is how long an engine may report another incarnation than
	// its feed before the feed is reopened.
	maxMismatchTime = time.Second
)

// A feed is the state of reading one engine's cache events. A goroutine reads the
// events and uses only address; all other fields belong to the task.
type feed struct {
	address         string
	cancel          context.CancelFunc
	incarnation     string
	weights         string
	sequence        uint64
	outOfSync       bool
	snapshotPending bool
	nextSnapshot    time.Time
	// mismatchSince is the time since when the engine has reported another
	// incarnation than the feed, or zero.
	mismatchSince time.Time
}

// Messages of a feed to the task. Each carries its feed, so that messages of a
// superseded feed can be dropped.
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

// updateFeeds opens the feeds of the engines assigned to this VM, closes all
// others, and drops the entries of engines that are no longer configured.
func (t *Task) updateFeeds(ctx context.Context) {
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
		if t.isReader(targets[i].Name) {
			wanted[targets[i].Name] = &targets[i]
		}
	}
	for name, f := range t.feeds {
		if cfg, ok := wanted[name]; !ok || cfg.Address != f.address {
			f.cancel()
			delete(t.feeds, name)
		}
	}
	for name := range t.index.engines {
		if !known[name] {
			t.index.Drop(name)
		}
	}
	for name, cfg := range wanted {
		if _, ok := t.feeds[name]; !ok {
			t.openFeed(ctx, cfg)
		}
	}
}

// isReader reports whether the engine's feed is assigned to this VM.
func (t *Task) isReader(engine string) bool {
	return t.opts.Roster == nil || t.readers.Reader(engine) == t.opts.Self
}

// openFeed starts to read an engine's feed. All replicas will get all entries of
// the engine.
func (t *Task) openFeed(ctx context.Context, cfg *config.Target) {
	ctx, cancel := context.WithCancel(ctx)
	f := &feed{address: cfg.Address, cancel: cancel, outOfSync: true, snapshotPending: true}
	t.feeds[cfg.Name] = f
	for _, o := range t.outboxes {
		o.requireFull(cfg.Name)
	}
	go t.readFeed(ctx, f, cfg.Name)
}

// readFeed reads events until ctx is done, and reopens the feed whenever it
// breaks. Each time it reads a snapshot first and then the events that follow the
// snapshot's sequence number.
func (t *Task) readFeed(ctx context.Context, f *feed, name string) {
	for ctx.Err() == nil {
		s, err := t.opts.Client.Snapshot(ctx, f.address)
		if !t.post(ctx, feedSnapshot{f, name, s, err}) {
			return
		}
		if err == nil {
			t.readEvents(ctx, f, name, s.Sequence)
			t.post(ctx, feedBroken{f, name})
		}
		store.Sleep(ctx, feedRetryDelay)
	}
}

// readEvents posts events to the task until the feed breaks.
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
			if !ok || !t.post(ctx, feedEvent{f, name, ev}) {
				return
			}
		case <-ctx.Done():
			return
		}
	}
}

// readSnapshot reads one snapshot while the feed is open.
func (t *Task) readSnapshot(ctx context.Context, f *feed, name string) {
	s, err := t.opts.Client.Snapshot(ctx, f.address)
	t.post(ctx, feedSnapshot{f, name, s, err})
}

// post sends a message to the task and reports whether it was accepted before ctx
// was done.
func (t *Task) post(ctx context.Context, m any) bool {
	select {
	case t.inbox <- m:
		return true
	case <-ctx.Done():
		return false
	}
}

// handleEvent applies an event to this VM's index and queues it for the other
// replicas.
func (t *Task) handleEvent(m feedEvent, now time.Time) {
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
			o.requireFull(m.engine)
		}
		f.outOfSync = f.outOfSync || len(t.outboxes) > 0
	}
	f.outOfSync = f.outOfSync || gap
	f.sequence = ev.Sequence
	t.distribute(f, m.engine, ev, now)
}

// distribute gives one event to the replicas of its pieces, this VM included.
func (t *Task) distribute(f *feed, engine string, ev target.CacheEvent, now time.Time) {
	kind := changeKind(ev.Kind)
	own := EnginePart{
		Engine: engine, Incarnation: f.incarnation, Weights: f.weights,
		From: ev.Sequence - 1, To: ev.Sequence, OutOfSync: f.outOfSync,
	}
	own.add(kind, t.placement.filter(t.opts.Self, ev.Pieces))
	t.index.Merge(own, now)
	for id, o := range t.outboxes {
		if pieces := t.placement.filter(id, ev.Pieces); len(pieces) > 0 || kind == changeCleared || f.outOfSync {
			o.add(f, engine, kind, pieces)
		}
	}
}

// handleSnapshot loads a snapshot into this VM's index if the feed was out of
// sync, and queues it for the replicas that need all entries.
func (t *Task) handleSnapshot(m feedSnapshot, now time.Time) {
	f, s := m.feed, m.snapshot
	if t.feeds[m.engine] != f {
		return
	}
	f.snapshotPending = false
	t.snapshotTried[m.engine] = true
	if m.err != nil || f.incarnation == s.Incarnation && s.Sequence < f.sequence {
		return
	}
	if f.outOfSync || f.incarnation != s.Incarnation || f.weights != s.Weights {
		f.incarnation, f.weights, f.sequence, f.outOfSync = s.Incarnation, s.Weights, s.Sequence, false
		t.index.Merge(snapshotPart(m.engine, s, t.placement.filter(t.opts.Self, s.Pieces)), now)
		for _, o := range t.outboxes {
			o.requireFull(m.engine)
		}
	}
	for id, o := range t.outboxes {
		if o.needsFull[m.engine] {
			o.setFull(snapshotPart(m.engine, s, t.placement.filter(id, s.Pieces)))
		}
	}
}

// snapshotPart returns a full part of an engine with the given pieces.
func snapshotPart(engine string, s target.CacheSnapshot, pieces []uint64) EnginePart {
	p := EnginePart{
		Engine: engine, Incarnation: s.Incarnation, Weights: s.Weights, To: s.Sequence, Full: true,
	}
	p.add(changeStored, pieces)
	return p
}

// checkIncarnation reopens a feed if its engine reports another incarnation for
// longer than maxMismatchTime. An engine can restart without an event in the open
// feed, since the feed was opened after a sequence number of the former
// incarnation.
func (t *Task) checkIncarnation(ctx context.Context, s *target.State, now time.Time) {
	f, ok := t.feeds[s.Target.Name]
	switch {
	case !ok || !s.Reported:
		return
	case f.incarnation == s.Report.Incarnation || f.incarnation == "":
		f.mismatchSince = time.Time{}
	case f.mismatchSince.IsZero():
		f.mismatchSince = now
	case now.Sub(f.mismatchSince) >= maxMismatchTime:
		f.cancel()
		t.openFeed(ctx, s.Target)
	}
}

// handleBroken marks the engine's entries as out of sync.
func (t *Task) handleBroken(m feedBroken) {
	if t.feeds[m.engine] == m.feed {
		m.feed.outOfSync = true
		t.index.MarkOutOfSync(m.engine)
	}
}

// requestSnapshots starts to read the snapshots that are needed and due.
func (t *Task) requestSnapshots(ctx context.Context, now time.Time) {
	for name, f := range t.feeds {
		if f.snapshotPending || now.Before(f.nextSnapshot) || !t.needsSnapshot(f, name) {
			continue
		}
		f.snapshotPending = true
		f.nextSnapshot = now.Add(minSnapshotInterval)
		go t.readSnapshot(ctx, f, name)
	}
}

func (t *Task) needsSnapshot(f *feed, name string) bool {
	if f.outOfSync {
		return true
	}
	for _, o := range t.outboxes {
		if o.needsFull[name] {
			return true
		}
	}
	return false
}
