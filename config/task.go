package config

import (
	"context"
	"sync"
	"time"

	"github.com/baobabdyke/baobabdyke/vm"
)

const (
	inboxSize = 64
	// tickInterval is the time between two checks for periodic work.
	tickInterval = 500 * time.Millisecond
	// watcherPollInterval is how often a watcher reads the head in addition to
	// its watch.
	watcherPollInterval = 2 * time.Second
	// isolatedPollInterval is how often a VM reads the head if it reaches fewer
	// than half of the listed VMs and its version has not been confirmed
	// recently.
	isolatedPollInterval = time.Second
	// idlePollInterval is how often any other VM reads the head.
	idlePollInterval = time.Minute
	// startupPollDelay is how long a starting VM relies on the watchers and
	// other VMs before it reads the head itself, so that a restart of the
	// fleet does not overload the object store.
	startupPollDelay = 10 * time.Second
	// retryInterval is the time between two attempts to fetch a version.
	retryInterval = time.Second
)

// A message is an input of the goroutine that executes Run: versionReport,
// headResult, fetchResult or adoptRequest.
type message interface{ message() }

// A versionReport states that version was the newest at the time confirmed.
// The time is zero if the object store did not confirm it.
type versionReport struct {
	version   int64
	confirmed time.Time
	source    string
}

// A headResult is the result of reading the head.
type headResult struct {
	head Head
	sent time.Time
	err  error
}

// A fetchResult is the result of a fetch.
type fetchResult struct {
	fetchedVersion
	err error
}

// An adoptRequest requests the adoption of a version that is already complete
// on this VM, because it was pushed or committed here. The version is then
// pushed to the VMs that pushLocal and pushRemote select. Done is closed when
// the request has been handled.
type adoptRequest struct {
	fetchedVersion
	pushLocal  bool
	pushRemote bool
	done       chan struct{}
}

func (versionReport) message() {}
func (headResult) message()    {}
func (fetchResult) message()   {}
func (adoptRequest) message()  {}

// A loop is the state of the goroutine that executes Run.
type loop struct {
	*Manager
	*core
	ctx  context.Context
	work sync.WaitGroup

	started       time.Time
	nextPoll      time.Time
	polling       bool
	fetching      bool
	nextFetch     time.Time
	attempts      int
	cancelWatch   context.CancelFunc
	pushedVersion int64 // newest version that was pushed within the data centre
}

// Run keeps the configuration up to date until ctx ends.
func (m *Manager) Run(ctx context.Context) error {
	now := m.opts.Clock.Now()
	l := &loop{Manager: m, core: newCore(), ctx: ctx, started: now}
	l.nextPoll = now.Add(m.jitter(tickInterval))
	defer l.work.Wait()
	ticks := time.NewTicker(tickInterval)
	defer ticks.Stop()
	runInBackground(ctx, &l.work, m.runSweeper)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticks.C:
			l.tick(m.opts.Clock.Now())
		case msg := <-m.inbox:
			l.handle(msg, m.opts.Clock.Now())
		}
		m.publish(l.core)
	}
}

// handle processes one message.
func (l *loop) handle(msg message, now time.Time) {
	switch msg := msg.(type) {
	case versionReport:
		l.observe(msg.version, msg.confirmed, msg.source, now)
	case headResult:
		l.polling = false
		if msg.err != nil {
			_ = l.opts.Log.Log("msg", "reading configuration head failed", "err", msg.err)
			break
		}
		l.observe(msg.head.Version, msg.sent, "", now)
	case fetchResult:
		l.fetching = false
		l.finishFetch(msg, now)
	case adoptRequest:
		l.activate(msg.fetchedVersion, msg.pushLocal, msg.pushRemote, now)
		close(msg.done)
	}
	l.fetch(now)
}

// finishFetch processes the result of a fetch.
func (l *loop) finishFetch(msg fetchResult, now time.Time) {
	if msg.err != nil {
		_ = l.opts.Log.Log("msg", "fetching configuration failed", "wanted", l.wanted, "err", msg.err)
		l.scheduleRetry(now)
		return
	}
	before := l.snap.version
	watched := msg.source == "" && l.cancelWatch != nil
	l.activate(msg.fetchedVersion, watched, false, now)
	if l.snap.version == before && l.isLagging() {
		// The source no longer has the version.
		l.scheduleRetry(now)
		return
	}
	l.attempts = 0
}

// scheduleRetry delays the next fetch after a failed one.
func (l *loop) scheduleRetry(now time.Time) {
	l.attempts++
	l.nextFetch = now.Add(retryInterval/2 + l.jitter(retryInterval))
}

// activate puts a version in force, and pushes it to other VMs if that has not
// been done.
func (l *loop) activate(f fetchedVersion, pushLocal, pushRemote bool, now time.Time) {
	l.observe(f.version, f.confirmed, f.source, now)
	if l.adopt(f.snap, f.patches) {
		l.observe(f.version, f.confirmed, f.source, now)
		_ = l.opts.Log.Log("msg", "configuration in force", "version", f.snap.version)
		l.publish(l.core)
	}
	if l.snap.version != f.snap.version || l.pushedVersion >= f.snap.version {
		return
	}
	push := newPush(f.snap.version, f.patches)
	if pushLocal {
		l.pushedVersion = f.snap.version
		runInBackground(l.ctx, &l.work, func(ctx context.Context) { l.pushLocal(ctx, push) })
	}
	if pushRemote {
		runInBackground(l.ctx, &l.work, func(ctx context.Context) { l.pushRemote(ctx, push) })
	}
}

// tick performs the periodic work.
func (l *loop) tick(now time.Time) {
	if l.Fresh() {
		l.lastFresh = now
	}
	l.updateWatch(now)
	if l.isIsolated(now) && l.nextPoll.Sub(now) > isolatedPollInterval {
		l.nextPoll = now
	}
	if !l.polling && !now.Before(l.nextPoll) {
		l.poll(now)
	}
	l.fetch(now)
}

// poll reads the head, unless this VM is starting and leaves that to the
// watchers.
func (l *loop) poll(now time.Time) {
	watching := l.cancelWatch != nil
	isolated := l.isIsolated(now)
	starting := l.snap.version == 0 && now.Sub(l.started) < startupPollDelay
	switch {
	case watching:
		l.nextPoll = now.Add(watcherPollInterval)
	case isolated && !starting:
		l.nextPoll = now.Add(isolatedPollInterval)
	case starting:
		l.nextPoll = now.Add(tickInterval)
		return
	default:
		l.nextPoll = now.Add(idlePollInterval/2 + l.jitter(idlePollInterval))
	}
	l.polling = true
	runInBackground(l.ctx, &l.work, func(ctx context.Context) {
		sent := l.opts.Clock.Now()
		s, err := l.readHead(ctx)
		l.send(ctx, headResult{head: s.Head, sent: sent, err: err})
	})
}

// isIsolated reports whether the version in force has not been confirmed
// recently and fewer than half of the listed VMs are reachable.
func (l *loop) isIsolated(now time.Time) bool {
	reached, listed := l.reachableVMs()
	return listed > 1 && !l.freshnessState().recentlyConfirmed(now) && 2*reached < listed
}

// fetch starts to fetch the newest known version if this VM is lagging. Every
// third attempt reads from the object store instead of from the VM that
// reported the version.
func (l *loop) fetch(now time.Time) {
	if l.fetching || !l.isLagging() || now.Before(l.nextFetch) {
		return
	}
	l.fetching = true
	base, source := l.snap, l.source
	fromStore := source == "" || l.attempts%3 == 2
	runInBackground(l.ctx, &l.work, func(ctx context.Context) {
		var f fetchedVersion
		var err error
		if m, ok := l.member(source); ok && !fromStore {
			f, err = l.fetchPeer(ctx, base, m)
		} else {
			f, err = l.fetchNewest(ctx, base)
		}
		l.send(ctx, fetchResult{fetchedVersion: f, err: err})
	})
}

// fetchNewest fetches the newest version from the object store.
func (m *Manager) fetchNewest(ctx context.Context, base *snapshot) (fetchedVersion, error) {
	sent := m.opts.Clock.Now()
	s, err := m.readHead(ctx)
	if err != nil {
		return fetchedVersion{}, err
	}
	f := fetchedVersion{snap: base, version: s.Version, confirmed: sent}
	if s.Version <= base.version {
		return f, nil
	}
	f.snap, err = m.fetchStored(ctx, base, s.Head)
	return f, err
}

// send passes a message to the goroutine that executes Run.
func (m *Manager) send(ctx context.Context, msg message) {
	select {
	case m.inbox <- msg:
	case <-ctx.Done():
	}
}

// member returns the live VM with the id.
func (m *Manager) member(id string) (vm.Member, bool) {
	for _, member := range m.otherMembers() {
		if member.ID == id {
			return member, true
		}
	}
	return vm.Member{}, false
}
