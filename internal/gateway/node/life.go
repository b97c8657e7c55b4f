package node

import (
	"context"
	stdlog "log"
	"net/http"
	"sync"
	"time"

	"github.com/go-kit/log"

	"github.com/baobabdyke/baobabdyke/internal/fleet/roster"
	"github.com/baobabdyke/baobabdyke/internal/fleet/site"
	"github.com/baobabdyke/baobabdyke/peer"
	"github.com/baobabdyke/baobabdyke/store"
)

const (
	// lateStop is the part of the grace in which running answers are waited for
	// after the last connection was taken.
	lateStop = 1700 * time.Millisecond
	// killMargin is the time before the end of the grace at which the process
	// ends by itself.
	killMargin = 400 * time.Millisecond
	// idleStop is how long no request has come when a stop goes on early; it
	// exceeds the time that callers keep an answer.
	idleStop = 2200 * time.Millisecond
	// wordTime is how long after its start a VM waits for the word of another one;
	// wordPoll is how often it looks.
	wordTime = 600 * time.Millisecond
	wordPoll = 20 * time.Millisecond
	// stopPoll is how often a stopping VM looks at its requests.
	stopPoll = 50 * time.Millisecond
	// staleWord is how long a VM that hears of nothing may go without word before
	// it may have missed a withdrawal, as a part of the bound.
	staleWord = 0.6
)

// quietLog sends the complaints of an HTTP server to the log.
func quietLog(l log.Logger) *stdlog.Logger {
	return stdlog.New(log.NewStdlibAdapter(l, log.MessageKey("msg")), "", 0)
}

// follow brings the VM to serving and returns when a planned stop begins.
func (n *Node) follow(ctx, work context.Context) {
	n.enter(n.life.Warm)
	select {
	case <-ctx.Done():
		return
	case <-work.Done():
		return
	case <-n.source.Ready():
	}
	n.awaitWord(ctx)
	n.enter(n.life.Serve)
	n.ready.Store(true)
	n.roster.Kick()
	select {
	case <-ctx.Done():
	case <-work.Done():
	}
}

// awaitWord waits for the word of a VM that serves, which knows more than the
// store tells, but no longer than others would take to answer.
func (n *Node) awaitWord(ctx context.Context) {
	n.roster.Kick()
	for time.Since(n.start) < wordTime && !n.told.Load() {
		if !store.Sleep(ctx, wordPoll) {
			return
		}
	}
}

func (n *Node) enter(step func() error) {
	if err := step(); err != nil {
		_ = n.log.Log("msg", "life", "err", err)
		return
	}
	_ = n.log.Log("msg", "life", "state", n.life.State())
}

// stop is a planned stop: the VM leaves the answers on which VM to use, serves
// callers that still come, and ends when they have left or the grace is over.
func (n *Node) stop(work context.Context, callers *http.Server) {
	begun := time.Now()
	n.begun.Store(&begun)
	n.leaving.Store(true)
	n.enter(n.life.Drain)
	n.roster.Kick()
	grace := n.bounds().Grace
	accept := begun.Add(grace - lateStop - killMargin)
	for time.Now().Before(accept) && !n.deserted(begun) {
		store.Sleep(work, stopPoll)
	}
	ctx, cancel := context.WithDeadline(work, begun.Add(grace-killMargin))
	defer cancel()
	if err := callers.Shutdown(ctx); err != nil {
		_ = n.log.Log("msg", "answers were cut", "err", err, "running", n.flying.Load())
	}
	n.enter(n.life.Stop)
	_ = n.log.Log("msg", "stop", "after", time.Since(begun))
}

// stopBy returns when running requests are ended; zero unless the VM is about to
// stop.
func (n *Node) stopBy() time.Time {
	begun := n.begun.Load()
	if begun == nil {
		return time.Time{}
	}
	return begun.Add(n.bounds().Grace - killMargin)
}

// deserted tells whether no request runs and none has come for a while.
func (n *Node) deserted(begun time.Time) bool {
	quiet := min(time.Since(begun), time.Since(n.start)-time.Duration(n.latest.Load()))
	return n.flying.Load() == 0 && quiet > idleStop
}

// describe fills in what this VM tells the others.
func (n *Node) describe(e *roster.Entry) {
	e.State = roster.Starting
	if n.ready.Load() {
		e.State = roster.Ready
	}
	if n.leaving.Load() {
		e.State = roster.Leaving
	}
	e.Marks = n.source.Marks()
	e.Spent = n.quota.Spent()
	e.Loads, e.Loaded = n.placer.Loads(time.Now())
	e.Names = n.source.Names(time.Now())
	e.Reads = nil
	if reads := n.placer.Reads(time.Now()); n.fewVMs.Load() {
		e.Reads = reads
	}
	e.Watch = roster.Watch{Reads: n.watches.Load(), AgeMS: time.Since(n.source.StoreAnswered()).Milliseconds()}
	e.Duty = n.orders.Duty()
}

// marks keeps what other VMs are ahead in, so that a pull waits for this VM's
// own read.
type marks struct {
	mu sync.Mutex
	// ahead is when a kind was first seen to be behind.
	ahead map[int]time.Time
	word  time.Time
}

// pullDelay is how long this VM's own read has before another VM is asked.
const pullDelay = 150 * time.Millisecond

// heard takes in new entries of other VMs.
func (n *Node) heard(from string, fresh []roster.Entry) {
	now := time.Now()
	for _, e := range fresh {
		n.source.HearNames(e.Names, now)
		if e.State == roster.Ready {
			n.told.Store(true)
		}
	}
	v := n.source.View()
	for _, e := range fresh {
		n.quota.Hear(e.VM, e.Born, e.Spent)
		n.placer.Hear(e, v, now)
		if e.VM == from {
			n.compare(e, now)
		}
	}
	n.refreshBusy(now)
	n.chooseWatchers(now)
}

// compare pulls from a VM what it knows later than this one.
func (n *Node) compare(e roster.Entry, now time.Time) {
	behind := n.source.Behind(e.Marks)
	n.mark.mu.Lock()
	if n.mark.ahead == nil {
		n.mark.ahead = map[int]time.Time{}
	}
	var pull []int
	for _, kind := range behind {
		since, ok := n.mark.ahead[kind]
		switch {
		case !n.watches.Load() || ok && now.Sub(since) >= pullDelay:
			pull = append(pull, kind)
			delete(n.mark.ahead, kind)
		case !ok:
			n.mark.ahead[kind] = now
		}
	}
	if len(behind) == 0 {
		clear(n.mark.ahead)
	}
	n.mark.word = now
	n.mark.mu.Unlock()
	for _, kind := range pull {
		go n.pull(peer.Destination{VM: e.VM, Address: e.Peers}, kind)
	}
}

func (n *Node) pull(from peer.Destination, kind int) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if err := n.source.PullFrom(ctx, n.client, from, kind); err != nil {
		_ = n.log.Log("msg", "state not pulled", "from", from.VM, "kind", kind, "err", err)
	}
}

// siteChanged puts a new view of the site into force.
func (n *Node) siteChanged() {
	v := n.source.View()
	if v.Config != nil {
		n.quota.Prepare(v.Config.Customers)
	}
	n.roster.Kick()
}

func (n *Node) dutyChanged() {
	n.refreshBusy(time.Now())
	n.roster.Kick()
}

// refreshBusy collects the engines that any VM is about to order.
func (n *Node) refreshBusy(now time.Time) {
	busy := map[string]bool{}
	for _, id := range n.orders.Duty().Busy {
		busy[id] = true
	}
	for _, m := range n.roster.Members() {
		if !m.Alive(now) {
			continue
		}
		for _, id := range m.Entry.Duty.Busy {
			busy[id] = true
		}
	}
	n.placer.SetBusy(busy)
}

// fresh tells whether keyed requests may be served: under a strict bound, a VM
// that has heard from nobody may have missed the withdrawal of a key.
func (n *Node) fresh() bool {
	b := n.bounds()
	if !b.Strict {
		return true
	}
	n.mark.mu.Lock()
	word := n.mark.word
	n.mark.mu.Unlock()
	if answered := n.source.StoreAnswered(); answered.After(word) {
		word = answered
	}
	return time.Since(word) < time.Duration(staleWord*float64(b.Revoke))
}

// A prober asks targets that took no connection whether they do again.
type prober struct {
	node *Node

	mu      sync.Mutex
	targets map[string]*site.Target
}

const (
	// probePeriod is the time between two connections to a target that took none.
	probePeriod = 700 * time.Millisecond
)

func newProber(n *Node) *prober { return &prober{node: n, targets: map[string]*site.Target{}} }

// suspect adds a target.
func (p *prober) suspect(t *site.Target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.targets[t.ID] = t
}

// run asks until ctx ends.
func (p *prober) run(ctx context.Context) error {
	for store.Sleep(ctx, probePeriod) {
		p.mu.Lock()
		targets := make([]*site.Target, 0, len(p.targets))
		for _, t := range p.targets {
			targets = append(targets, t)
		}
		p.mu.Unlock()
		listed := p.node.source.View().Targets
		for _, t := range targets {
			if now, ok := listed[t.ID]; !ok || now.Born != t.Born {
				p.drop(t)
				continue
			}
			go p.ask(ctx, t)
		}
	}
	return nil
}

func (p *prober) ask(ctx context.Context, t *site.Target) {
	if err := p.node.pool.Reachable(ctx, t.Address); err != nil {
		return
	}
	p.node.placer.Reached(t.ID)
	_ = p.node.log.Log("msg", "target reached again", "target", t.ID)
	p.drop(t)
}

func (p *prober) drop(t *site.Target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.targets, t.ID)
}
