package config

import (
	"context"
	"time"

	"github.com/baobabdyke/baobabdyke/store"
)

const (
	// watchersPerDataCentre is the number of VMs that watch the head in each
	// data centre.
	watchersPerDataCentre = 2
	// settleEarly and settleLate bound how long a VM that starts waits to know
	// the other VMs before it takes on a duty.
	minSettleTime = time.Second
	maxSettleTime = 5 * time.Second
)

// keepWatch begins or ends the watch of the head as this VM's duty changes.
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

// settled tells whether the membership is known well enough to choose watchers,
// so that not every VM of a herd that starts takes itself for one.
func (l *loop) membershipSettled(now time.Time) bool {
	age := now.Sub(l.started)
	if age < minSettleTime {
		return false
	}
	return age > maxSettleTime || 20*len(l.opts.Roster.Live()) >= 19*l.opts.Roster.Listed()
}

// watchHead follows the head until ctx ends. A watch that is silent for good is
// made up for by the polls.
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

// follow reads one watch until it breaks. An event tells of a version, but not
// that it is the newest, since it may be late.
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
