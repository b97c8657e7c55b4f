// Package daemon assembles a VM from its components: the callers', operators' and
// peers' ports, and the tasks that serve them.
package daemon

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/go-kit/log"
	"golang.org/x/sync/errgroup"

	"github.com/baobabdyke/baobabdyke/claim"
	"github.com/baobabdyke/baobabdyke/config"
	"github.com/baobabdyke/baobabdyke/dispatch"
	"github.com/baobabdyke/baobabdyke/entry"
	"github.com/baobabdyke/baobabdyke/internal/caller"
	"github.com/baobabdyke/baobabdyke/internal/gateway/disconnect"
	"github.com/baobabdyke/baobabdyke/internal/settings"
	"github.com/baobabdyke/baobabdyke/limit"
	"github.com/baobabdyke/baobabdyke/order"
	"github.com/baobabdyke/baobabdyke/peer"
	"github.com/baobabdyke/baobabdyke/prefix"
	"github.com/baobabdyke/baobabdyke/queue"
	"github.com/baobabdyke/baobabdyke/route"
	"github.com/baobabdyke/baobabdyke/store"
	"github.com/baobabdyke/baobabdyke/target"
	"github.com/baobabdyke/baobabdyke/vm"
)

// Dependencies are the interfaces through which a VM reaches everything outside
// its process.
type Dependencies struct {
	Store     store.Store
	Directory store.Directory
	Clock     store.Clock
	Targets   target.Client
	Peers     peer.Caller
	Calls     peer.Registrar
}

// budgetBurstPeriod is the burst of the object store's rate limit, as the time in
// which that many calls accrue.
const budgetBurstPeriod = 2 * time.Second

// maxRecordedResponseBytes is the largest response body that is recorded for repeats
// of an at-most-once request.
const maxRecordedResponseBytes = 16 << 10

// Credentials are the secrets of a VM.
type Credentials struct {
	OperatorToken []byte
	PeerSecret    []byte
}

// A VM is one instance of baobabdyke. A process runs one, tests run several.
type VM struct {
	settings settings.Settings
	deps     Dependencies
	log      log.Logger

	budget    *store.Budget
	lifecycle *vm.Lifecycle
	members   *vm.Task
	configs   *config.Manager
	placer    *entry.Placer
	limits    *limit.Task
	queue     *queue.Task
	claims    *claim.Task
	fleet     *target.Fleet
	index     *prefix.Task
	chooser   *route.Chooser
	runner    *dispatch.Runner
	orders    *order.Task
	callers   *caller.Handler
	// watch cancels the requests of callers that leave.
	watch disconnect.Watch

	operatorHandler http.Handler
	drain           chan struct{}
	self            vm.Member
}

// Listeners are the open ports of a VM. Peer is nil if Dependencies.Calls does
// not use the network.
type Listeners struct {
	Caller   net.Listener
	Operator net.Listener
	Peer     net.Listener
}

// Run serves until ctx ends or Drain is called, then shuts down gracefully. It
// returns nil after a graceful shutdown.
func (v *VM) Run(ctx context.Context, l Listeners, servePeers func(context.Context, net.Listener) error) error {
	taskCtx, cancelTasks := context.WithCancel(context.WithoutCancel(ctx))
	defer cancelTasks()
	g, taskCtx := errgroup.WithContext(taskCtx)
	for _, run := range v.tasks() {
		g.Go(func() error { return run(taskCtx) })
	}
	if servePeers != nil {
		g.Go(func() error { return servePeers(taskCtx, l.Peer) })
	}
	callers := v.callerServer()
	operators := v.operatorServer()
	g.Go(func() error { return serveHTTP(callers, disconnect.Listener{Listener: l.Caller}) })
	g.Go(func() error { return serveHTTP(operators, l.Operator) })
	g.Go(func() error {
		defer cancelTasks()
		v.serveUntilStop(ctx, taskCtx)
		v.stop(taskCtx, callers, operators)
		return nil
	})
	return ignoreCancelled(g.Wait())
}

// Drain starts a graceful shutdown.
func (v *VM) Drain() {
	select {
	case v.drain <- struct{}{}:
	default:
	}
}

// tasks returns the run functions of all components.
func (v *VM) tasks() []func(context.Context) error {
	return []func(context.Context) error{
		v.members.Run,
		v.configs.Run,
		v.limits.Run,
		v.queue.Run,
		v.claims.Run,
		v.fleet.Run,
		v.index.Run,
		v.chooser.Run,
		v.orders.Run,
	}
}
