package config

import (
	"context"
	"sync"
	"time"

	"github.com/baobabdyke/baobabdyke/vm"
)

const (
	inboxSize = 64
	// tickPeriod is the time between two looks at what is due.
	tickPeriod = 500 * time.Millisecond
	// watchPoll is how often a watcher reads the head, besides its watch.
	watchPoll = 2 * time.Second
	// alonePoll is how often a VM that is out of reach of the others reads it.
	alonePoll = time.Second
	// slowPoll is how often any other VM reads the head.
	slowPoll = time.Minute
	// startWait is how long a VM that starts leaves the object API to the
	// watchers and asks other VMs.
	startWait = 10 * time.Second
	// retryWait is the time between two tries to fetch a version.
	retryWait = time.Second
)

// A message is an input of the Keeper's goroutine: word, headRead, fetchDone or
// adoption.
type message interface{ message() }

// A word is news that a version was the newest at a time.
type word struct {
	version int64
	at      time.Time
	source  string
}

// A headRead is the result of reading the head.
type headRead struct {
	head Head
	sent time.Time
	err  error
}

// A fetchDone is the result of a fetch.
type fetchDone struct {
	fetched
	err error
}

// An adoption is a version that is already complete on this VM, by a push or a
// commit. Near and far ask to push it on. Done is closed when it is in force.
type adoption struct {
	fetched
	near bool
	far  bool
	done chan struct{}
}

func (word) message()      {}
func (headRead) message()  {}
func (fetchDone) message() {}
func (adoption) message()  {}

// A loop is the state of the Keeper's goroutine.
type loop struct {
	*Manager
	*core
	ctx  context.Context
	work sync.WaitGroup

	started  time.Time
	nextPoll time.Time
	polling  bool
	fetching bool
	nextTry  time.Time
	tries    int
	watch    context.CancelFunc
	pushed   int64 // the newest version that was pushed near
}

// Run keeps the configuration until ctx ends.
func (k *Manager) Run(ctx context.Context) error {
	now := k.opts.Clock.Now()
	l := &loop{Manager: k, core: newCore(), ctx: ctx, started: now}
	l.nextPoll = now.Add(k.jitter(tickPeriod))
	defer l.work.Wait()
	ticks := time.NewTicker(tickPeriod)
	defer ticks.Stop()
	do(ctx, &l.work, k.sweepAgain)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticks.C:
			l.tick(k.opts.Clock.Now())
		case msg := <-k.inbox:
			l.handle(msg, k.opts.Clock.Now())
		}
		k.publish(l.core)
	}
}

// handle takes one message.
func (l *loop) handle(msg message, now time.Time) {
	switch msg := msg.(type) {
	case word:
		l.hear(msg.version, msg.at, msg.source, now)
	case headRead:
		l.polling = false
		if msg.err != nil {
			_ = l.opts.Log.Log("msg", "configuration head not read", "err", msg.err)
			break
		}
		l.hear(msg.head.Version, msg.sent, "", now)
	case fetchDone:
		l.fetching = false
		l.finish(msg, now)
	case adoption:
		l.take(msg.fetched, msg.near, msg.far, now)
		close(msg.done)
	}
	l.fetch(now)
}

// finish takes the result of a fetch.
func (l *loop) finish(msg fetchDone, now time.Time) {
	if msg.err != nil {
		_ = l.opts.Log.Log("msg", "configuration not fetched", "wanted", l.wanted, "err", msg.err)
		l.retry(now)
		return
	}
	before := l.snap.version
	watched := msg.source == "" && l.watch != nil
	l.take(msg.fetched, watched, false, now)
	if l.snap.version == before && l.lagging() {
		// The source does not have the version any more.
		l.retry(now)
		return
	}
	l.tries = 0
}

// retry puts the next fetch off.
func (l *loop) retry(now time.Time) {
	l.tries++
	l.nextTry = now.Add(retryWait/2 + l.jitter(retryWait))
}

// take puts a version in force, and pushes it on once.
func (l *loop) take(f fetched, near, far bool, now time.Time) {
	l.hear(f.version, f.at, f.source, now)
	if l.adopt(f.snap, f.patches) {
		l.hear(f.version, f.at, f.source, now)
		_ = l.opts.Log.Log("msg", "configuration in force", "version", f.snap.version)
		l.publish(l.core)
	}
	if l.snap.version != f.snap.version || l.pushed >= f.snap.version {
		return
	}
	push := newPush(f.snap.version, f.patches)
	if near {
		l.pushed = f.snap.version
		do(l.ctx, &l.work, func(ctx context.Context) { l.pushNear(ctx, push) })
	}
	if far {
		do(l.ctx, &l.work, func(ctx context.Context) { l.pushFar(ctx, push) })
	}
}

// tick starts what is due.
func (l *loop) tick(now time.Time) {
	if l.Fresh() {
		l.good = now
	}
	l.keepWatch(now)
	if l.alone(now) && l.nextPoll.Sub(now) > alonePoll {
		l.nextPoll = now
	}
	if !l.polling && !now.Before(l.nextPoll) {
		l.poll(now)
	}
	l.fetch(now)
}

// poll reads the head, unless the watchers do it for this VM.
func (l *loop) poll(now time.Time) {
	watching := l.watch != nil
	alone := l.alone(now)
	starting := l.snap.version == 0 && now.Sub(l.started) < startWait
	switch {
	case watching:
		l.nextPoll = now.Add(watchPoll)
	case alone && !starting:
		l.nextPoll = now.Add(alonePoll)
	case starting:
		l.nextPoll = now.Add(tickPeriod)
		return
	default:
		l.nextPoll = now.Add(slowPoll/2 + l.jitter(slowPoll))
	}
	l.polling = true
	do(l.ctx, &l.work, func(ctx context.Context) {
		sent := l.opts.Clock.Now()
		s, err := l.readHead(ctx)
		l.send(ctx, headRead{head: s.Head, sent: sent, err: err})
	})
}

// alone tells whether this VM has no young word and few VMs in reach.
func (l *loop) alone(now time.Time) bool {
	reached, listed := l.inReach()
	return listed > 1 && !l.standing().heard(now) && 2*reached < listed
}

// fetch starts to fetch a newer version that is known of.
func (l *loop) fetch(now time.Time) {
	if l.fetching || !l.lagging() || now.Before(l.nextTry) {
		return
	}
	l.fetching = true
	base, source := l.snap, l.source
	fromStore := source == "" || l.tries%3 == 2
	do(l.ctx, &l.work, func(ctx context.Context) {
		var f fetched
		var err error
		if m, ok := l.member(source); ok && !fromStore {
			f, err = l.fetchPeer(ctx, base, m)
		} else {
			f, err = l.fetchNewest(ctx, base)
		}
		l.send(ctx, fetchDone{fetched: f, err: err})
	})
}

// fetchNewest gets what the object API has.
func (k *Manager) fetchNewest(ctx context.Context, base *snapshot) (fetched, error) {
	sent := k.opts.Clock.Now()
	s, err := k.readHead(ctx)
	if err != nil {
		return fetched{}, err
	}
	f := fetched{snap: base, version: s.Version, at: sent}
	if s.Version <= base.version {
		return f, nil
	}
	f.snap, err = k.fetchStored(ctx, base, s.Head)
	return f, err
}

// send passes a message to the task's goroutine.
func (k *Manager) send(ctx context.Context, msg message) {
	select {
	case k.inbox <- msg:
	case <-ctx.Done():
	}
}

// member returns the live VM with the id.
func (k *Manager) member(id string) (vm.Member, bool) {
	for _, m := range k.otherMembers() {
		if m.ID == id {
			return m, true
		}
	}
	return vm.Member{}, false
}
