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
	settleEarly = time.Second
	settleLate  = 5 * time.Second
)

// keepWatch begins or ends the watch of the head as this VM's duty changes.
func (l *loop) keepWatch(now time.Time) {
	duty := l.settled(now) && l.watches()
	switch {
	case duty && l.watch == nil:
		ctx, cancel := context.WithCancel(l.ctx)
		l.watch = cancel
		l.nextPoll = now
		do(ctx, &l.work, l.watchHead)
	case !duty && l.watch != nil:
		l.watch()
		l.watch = nil
	}
}

// settled tells whether the membership is known well enough to choose watchers,
// so that not every VM of a herd that starts takes itself for one.
func (l *loop) settled(now time.Time) bool {
	age := now.Sub(l.started)
	if age < settleEarly {
		return false
	}
	return age > settleLate || 20*len(l.opts.Roster.Live()) >= 19*l.opts.Roster.Listed()
}

// watchHead follows the head until ctx ends. A watch that is silent for good is
// made up for by the polls.
func (k *Manager) watchHead(ctx context.Context) {
	for ctx.Err() == nil {
		k.reads.Add(1)
		events, err := k.opts.Store.Watch(ctx, headKey, 0)
		if err == nil {
			k.follow(ctx, events)
		}
		store.Sleep(ctx, retryWait+k.jitter(retryWait))
	}
}

// follow reads one watch until it breaks. An event tells of a version, but not
// that it is the newest, since it may be late.
func (k *Manager) follow(ctx context.Context, events <-chan store.Event) {
	for e := range events {
		if e.Deleted || e.Object.Key != headKey {
			continue
		}
		if s, err := decodeHead(e.Object); err == nil {
			k.send(ctx, word{version: s.Version})
		}
	}
}
