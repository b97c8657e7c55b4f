package node

import (
	"context"
	stdlog "log"
	"net"
	"net/http"
	"time"

	"github.com/go-kit/log"

	"github.com/baobabdyke/baobabdyke/internal/fleet/source"
	"github.com/baobabdyke/baobabdyke/internal/gateway/relay"
	"github.com/baobabdyke/baobabdyke/store"
)

const (
	// shutdownReserve is the part of the grace period that is left for running
	// requests after the VM stopped accepting connections.
	shutdownReserve = 1700 * time.Millisecond
	// exitMargin is the time before the end of the grace period at which the
	// process exits on its own.
	exitMargin = 400 * time.Millisecond
	// abortTime is how long a stopping VM waits for the error responses of aborted
	// requests to be written.
	abortTime = 200 * time.Millisecond
	// idleStopTime is how long no request must have arrived for a stop to finish
	// early. It exceeds the time for which callers cache an address.
	idleStopTime = 2200 * time.Millisecond
	// peerWait is how long after its start a VM waits for the state of a VM that
	// serves; peerPoll is how often it checks.
	peerWait = 600 * time.Millisecond
	peerPoll = 20 * time.Millisecond
	// longRun is the time before the end of a stopping VM from which it accepts
	// only requests whose own deadline is earlier, and maxAccept the time after the
	// beginning of the stop. Callers that have heard of the stop use another VM by then.
	longRun   = 4900 * time.Millisecond
	maxAccept = 2700 * time.Millisecond
	// stopPoll is how often a stopping VM checks its running requests.
	stopPoll = 50 * time.Millisecond
	// maxStaleFraction is the part of the revocation bound for which the
	// configuration may be unconfirmed before a withdrawal may have been missed.
	maxStaleFraction = 0.6
	// maxUnconfirmedFraction is the part of the bound of the configuration for which it
	// may be unconfirmed and still reject requests. Without faults it is confirmed every
	// half of the bound.
	maxUnconfirmedFraction = 0.75
)

// serverLog returns a logger that writes the errors of an HTTP server to the log.
func serverLog(l log.Logger) *stdlog.Logger {
	return stdlog.New(log.NewStdlibAdapter(l, log.MessageKey("msg")), "", 0)
}

// runLifecycle brings the VM into service and returns when a planned stop begins.
func (n *Node) runLifecycle(ctx, taskCtx context.Context) {
	n.transition(n.lifecycle.Warm)
	select {
	case <-ctx.Done():
		return
	case <-taskCtx.Done():
		return
	case <-n.source.Ready():
	}
	n.awaitPeer(ctx)
	n.transition(n.lifecycle.Serve)
	n.ready.Store(true)
	n.roster.Trigger()
	select {
	case <-ctx.Done():
	case <-taskCtx.Done():
	}
}

// awaitPeer waits for the state of a VM that serves, which is more complete than
// that in the store, and for the newest configuration that other VMs report, for at
// most peerWait after the start.
func (n *Node) awaitPeer(ctx context.Context) {
	n.roster.Trigger()
	isBehind := func() bool { return n.source.Positions()[source.Config].Newest < n.peerConfig.Load() }
	for time.Since(n.start) < peerWait && (!n.peerReady.Load() || isBehind()) {
		if !store.Sleep(ctx, peerPoll) {
			return
		}
	}
}

func (n *Node) transition(step func() error) {
	if err := step(); err != nil {
		_ = n.log.Log("msg", "lifecycle transition failed", "err", err)
		return
	}
	_ = n.log.Log("msg", "lifecycle state changed", "state", n.lifecycle.State())
}

// stop performs a planned stop: the VM is no longer named in directory responses,
// serves the requests that still arrive, and ends when none has arrived for
// idleStopTime or the grace period is over. Then it aborts the requests that still run.
func (n *Node) stop(taskCtx context.Context, callers *http.Server, listener net.Listener, abort context.CancelCauseFunc) {
	start := time.Now()
	n.stopStart.Store(&start)
	n.leaving.Store(true)
	n.transition(n.lifecycle.Drain)
	n.roster.Trigger()
	grace := n.bounds().Grace
	acceptUntil := start.Add(grace - shutdownReserve - exitMargin)
	for time.Now().Before(acceptUntil) && !n.idle(start) {
		store.Sleep(taskCtx, stopPoll)
	}
	ctx, cancel := context.WithDeadline(taskCtx, start.Add(grace-exitMargin))
	defer cancel()
	n.drain(ctx, callers, listener)
	if n.openConns.Load() > 0 {
		_ = n.log.Log("msg", "running requests aborted", "connections", n.openConns.Load(), "running", n.inFlight.Load())
		abort(relay.ErrStopping)
	}
	ctx, cancel = context.WithTimeout(context.WithoutCancel(taskCtx), abortTime)
	defer cancel()
	if err := callers.Shutdown(ctx); err != nil {
		_ = n.log.Log("msg", "connections closed", "err", err, "connections", n.openConns.Load(), "running", n.inFlight.Load())
	}
	n.transition(n.lifecycle.Stop)
	_ = n.log.Log("msg", "stop", "after", time.Since(start))
}

// drain accepts no further connections and serves the open ones until they are closed or
// ctx ends. Unlike http.Server.Shutdown, it answers a request on a connection that has
// not carried one before.
func (n *Node) drain(ctx context.Context, callers *http.Server, listener net.Listener) {
	_ = listener.Close()
	callers.SetKeepAlivesEnabled(false)
	for n.openConns.Load() > 0 && store.Sleep(ctx, stopPoll) {
	}
}

// trackConns counts the open connections of callers.
func (n *Node) trackConns(c net.Conn, s http.ConnState) {
	n.callers.Track(c, s)
	switch s {
	case http.StateNew:
		n.openConns.Add(1)
	case http.StateClosed, http.StateHijacked:
		n.openConns.Add(-1)
	case http.StateActive, http.StateIdle:
	}
}

// stopTimes returns the times of the planned stop; zero unless the VM is about to stop.
func (n *Node) stopTimes() relay.Stop {
	start := n.stopStart.Load()
	if start == nil {
		return relay.Stop{}
	}
	by := start.Add(n.bounds().Grace - exitMargin)
	acceptUntil := by.Add(-longRun)
	if latest := start.Add(maxAccept); latest.Before(acceptUntil) {
		acceptUntil = latest
	}
	return relay.Stop{By: by, AcceptUntil: acceptUntil}
}

// idle reports whether no request is running and none has arrived for
// idleStopTime.
func (n *Node) idle(stopStart time.Time) bool {
	idleFor := min(time.Since(stopStart), time.Since(n.start)-time.Duration(n.lastRequest.Load()))
	return n.inFlight.Load() == 0 && idleFor > idleStopTime
}

// fresh reports whether requests with a key may be served. Under a strict bound,
// a VM whose configuration is not confirmed may have missed the withdrawal of a key.
func (n *Node) fresh() bool {
	b := n.bounds()
	return !b.Strict || n.source.Age(source.Config) < time.Duration(maxStaleFraction*float64(b.Revoke))
}

// upToDate reports whether the configuration was confirmed recently, so that a request that
// it does not permit may be rejected.
func (n *Node) upToDate() bool {
	bound := n.bounds().Config
	return bound == 0 || n.source.Age(source.Config) < time.Duration(maxUnconfirmedFraction*float64(bound))
}
