package config

import (
	"context"
	"time"

	"github.com/baobabdyke/baobabdyke/store"
)

const (
	// watchersPerDataCentre is the number of VMs in each data centre that
	// watch the head.
	watchersPerDataCentre = 2
	// minSettleTime and maxSettleTime bound how long a starting VM waits for
	// membership information before it may become a watcher.
	minSettleTime = time.Second
	maxSettleTime = 5 * time.Second
)

// updateWatch starts or stops the watch of the head when this VM becomes a
// watcher or ceases to be one.
func (l *loop) updateWatch(now time.Time) {
	shouldWatch := l.membershipSettled(now) && l.isWatcher()
	switch {
	case shouldWatch && l.cancelWatch == nil:
		ctx, cancel := context.WithCancel(l.ctx)
		l.cancelWatch = cancel
		l.nextPoll = now
		runInBackground(ctx, &l.work, l.watchHead)
	case !shouldWatch && l.cancelWatch != nil:
		l.cancelWatch()
		l.cancelWatch = nil
	}
}

// membershipSettled reports whether enough of the membership is known to
// choose watchers. Without this check, every VM would become a watcher when
// the whole fleet restarts.
func (l *loop) membershipSettled(now time.Time) bool {
	age := now.Sub(l.started)
	if age < minSettleTime {
		return false
	}
	return age > maxSettleTime || 20*len(l.opts.Roster.Live()) >= 19*l.opts.Roster.Listed()
}

// watchHead watches the head until ctx ends. If the watch delivers no events
// without breaking, this VM still learns of new versions from its polls.
func (m *Manager) watchHead(ctx context.Context) {
	for ctx.Err() == nil {
		m.reads.Add(1)
		events, err := m.opts.Store.Watch(ctx, headKey, 0)
		if err == nil {
			m.forwardEvents(ctx, events)
		}
		store.Sleep(ctx, retryInterval+m.jitter(retryInterval))
	}
}

// forwardEvents forwards the events of one watch until it breaks. An event
// does not confirm that its version is the newest, since it may be delayed.
func (m *Manager) forwardEvents(ctx context.Context, events <-chan store.Event) {
	for e := range events {
		if e.Deleted || e.Object.Key != headKey {
			continue
		}
		if s, err := decodeHead(e.Object); err == nil {
			m.send(ctx, versionReport{version: s.Version})
		}
	}
}
