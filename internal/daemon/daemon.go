// Package daemon builds one whole VM from the parts: the callers', operators'
// and peers' ports, and the tasks behind them.
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

// An Outside is all that a VM meets outside its process.
type Outside struct {
	Store     store.Store
	Directory store.Directory
	Clock     store.Clock
	Targets   target.Client
	Peers     peer.Caller
	Calls     peer.Registrar
}

// budgetBurst is the time whose calls of the object API may come at once.
const budgetBurst = 2 * time.Second

// maxKeptAnswer is the largest answer in bytes that is kept for a repeat.
const maxKeptAnswer = 16 << 10

// Credentials are the secrets of a VM.
type Credentials struct {
	OperatorToken []byte
	PeerSecret    []byte
}

// A VM is one baobabdyke process, or one of several in a test.
type VM struct {
	settings settings.Settings
	outside  Outside
	log      log.Logger

	budget  *store.Budget
	life    *vm.Lifecycle
	members *vm.Task
	keeper  *config.Manager
	placer  *entry.Placer
	limits  *limit.Task
	queue   *queue.Task
	claims  *claim.Task
	fleet   *target.Fleet
	index   *prefix.Task
	chooser *route.Chooser
	runner  *dispatch.Runner
	orders  *order.Task
	callers *caller.Handler

	operatorHandler http.Handler
	drain           chan struct{}
	self            vm.Member
}

// A Listeners are the open ports of a VM. Peer is nil when Outside brings its
// own way to other VMs.
type Listeners struct {
	Caller   net.Listener
	Operator net.Listener
	Peer     net.Listener
}

// Run serves until ctx ends or a drain is asked for, then stops as planned. It
// returns nil after a planned stop.
func (v *VM) Run(ctx context.Context, l Listeners, servePeers func(context.Context, net.Listener) error) error {
	work, cancelWork := context.WithCancel(context.WithoutCancel(ctx))
	defer cancelWork()
	g, work := errgroup.WithContext(work)
	for _, run := range v.tasks() {
		g.Go(func() error { return run(work) })
	}
	if servePeers != nil {
		g.Go(func() error { return servePeers(work, l.Peer) })
	}
	callers := v.callerServer()
	operators := v.operatorServer()
	g.Go(func() error { return serveHTTP(callers, l.Caller) })
	g.Go(func() error { return serveHTTP(operators, l.Operator) })
	g.Go(func() error {
		defer cancelWork()
		v.follow(ctx, work)
		v.stop(work, callers, operators)
		return nil
	})
	return ignoreCancelled(g.Wait())
}

// Drain begins a planned stop.
func (v *VM) Drain() {
	select {
	case v.drain <- struct{}{}:
	default:
	}
}

// tasks returns the run functions of all parts.
func (v *VM) tasks() []func(context.Context) error {
	return []func(context.Context) error{
		v.members.Run,
		v.keeper.Run,
		v.limits.Run,
		v.queue.Run,
		v.claims.Run,
		v.fleet.Run,
		v.index.Run,
		v.chooser.Run,
		v.orders.Run,
	}
}
