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
	// shutdownReserve is the part of the grace period that is left for running
	// requests after the VM stopped accepting connections.
	lateStop = 1700 * time.Millisecond
	// exitMargin is the time before the end of the grace period at which the
	// process exits on its own.
	killMargin = 400 * time.Millisecond
	// idleStopTime is how long no request must have arrived for a stop to finish
	// early. It exceeds the time for which callers cache an address.
	idleStop = 2200 * time.Millisecond
	// peerWait is how long after its start a VM waits for the state of a VM that
	// serves; peerPoll is how often it checks.
	wordTime = 600 * time.Millisecond
	wordPoll = 20 * time.Millisecond
	// stopPoll is how often a stopping VM checks its running requests.
	stopPoll = 50 * time.Millisecond
	// maxStaleFraction is the part of the revocation bound for which a VM may
	// receive no updates before it may have missed a withdrawal.
	staleWord = 0.6
)

// serverLog returns a logger that writes the errors of an HTTP server to the log.
func quietLog(l log.Logger) *stdlog.Logger {
	return stdlog.New(log.NewStdlibAdapter(l, log.MessageKey("msg")), "", 0)
}

// runLifecycle brings the VM into service and returns when a planned stop begins.
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

// awaitPeer waits for the state of a VM that serves, which is more complete than
// that in the store, for at most peerWait after the start.
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
		_ = n.log.Log("msg", "lifecycle transition failed", "err", err)
		return
	}
	_ = n.log.Log("msg", "lifecycle state changed", "state", n.life.State())
}

// stop performs a planned stop: the VM is no longer named in directory responses,
// serves the requests that still arrive, and ends when none has arrived for
// idleStopTime or the grace period is over.
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
		_ = n.log.Log("msg", "running requests aborted", "err", err, "running", n.flying.Load())
	}
	n.enter(n.life.Stop)
	_ = n.log.Log("msg", "stop", "after", time.Since(begun))
}

// stopBy returns when running requests are aborted; zero unless the VM is about
// to stop.
func (n *Node) stopBy() time.Time {
	begun := n.begun.Load()
	if begun == nil {
		return time.Time{}
	}
	return begun.Add(n.bounds().Grace - killMargin)
}

// idle reports whether no request is running and none has arrived for
// idleStopTime.
func (n *Node) deserted(begun time.Time) bool {
	quiet := min(time.Since(begun), time.Since(n.start)-time.Duration(n.latest.Load()))
	return n.flying.Load() == 0 && quiet > idleStop
}

// fresh reports whether requests with a key may be served. Under a strict bound,
// a VM that has received no updates may have missed the withdrawal of a key.
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
