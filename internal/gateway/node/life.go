package node

import (
	"context"
	stdlog "log"
	"net/http"
	"time"

	"github.com/go-kit/log"

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
	n.roster.Trigger()
	select {
	case <-ctx.Done():
	case <-work.Done():
	}
}

// awaitWord waits for the word of a VM that serves, which knows more than the
// store tells, but no longer than others would take to answer.
func (n *Node) awaitWord(ctx context.Context) {
	n.roster.Trigger()
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
	n.roster.Trigger()
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
	if answered := n.source.LastStoreAnswer(); answered.After(word) {
		word = answered
	}
	return time.Since(word) < time.Duration(staleWord*float64(b.Revoke))
}
