// Package node assembles one gateway VM: the ports for callers, the platform and
// other VMs, and the background tasks.
package node

import (
	"cmp"
	"context"
	"errors"
	"expvar"
	"math"
	"net"
	"net/http"
	"runtime/debug"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"golang.org/x/sync/errgroup"
	"golang.org/x/sys/unix"

	"github.com/baobabdyke/baobabdyke/internal/fleet/canary"
	"github.com/baobabdyke/baobabdyke/internal/fleet/origin"
	"github.com/baobabdyke/baobabdyke/internal/fleet/quarantine"
	"github.com/baobabdyke/baobabdyke/internal/fleet/quota"
	"github.com/baobabdyke/baobabdyke/internal/fleet/rollout"
	"github.com/baobabdyke/baobabdyke/internal/fleet/roster"
	"github.com/baobabdyke/baobabdyke/internal/fleet/shares"
	"github.com/baobabdyke/baobabdyke/internal/fleet/site"
	"github.com/baobabdyke/baobabdyke/internal/fleet/source"
	"github.com/baobabdyke/baobabdyke/internal/fleet/tally"
	"github.com/baobabdyke/baobabdyke/internal/fleet/throttle"
	"github.com/baobabdyke/baobabdyke/internal/gateway/admission"
	"github.com/baobabdyke/baobabdyke/internal/gateway/caches"
	"github.com/baobabdyke/baobabdyke/internal/gateway/conn"
	"github.com/baobabdyke/baobabdyke/internal/gateway/disconnect"
	"github.com/baobabdyke/baobabdyke/internal/gateway/hedge"
	"github.com/baobabdyke/baobabdyke/internal/gateway/inbound"
	"github.com/baobabdyke/baobabdyke/internal/gateway/intake"
	"github.com/baobabdyke/baobabdyke/internal/gateway/placing"
	"github.com/baobabdyke/baobabdyke/internal/gateway/relay"
	"github.com/baobabdyke/baobabdyke/internal/gateway/retry"
	"github.com/baobabdyke/baobabdyke/internal/logs/logline"
	"github.com/baobabdyke/baobabdyke/internal/settings"
	"github.com/baobabdyke/baobabdyke/lease"
	"github.com/baobabdyke/baobabdyke/peer"
	"github.com/baobabdyke/baobabdyke/platform"
	"github.com/baobabdyke/baobabdyke/store"
	"github.com/baobabdyke/baobabdyke/vm"
)

// Objects is the platform's object store.
type Objects interface {
	store.Store
	store.Feed
}

// A Node is one gateway VM.
type Node struct {
	settings settings.Settings
	// gateway is the part of the settings that a reload may change.
	gateway atomic.Pointer[settings.Gateway]
	log     log.Logger
	clock   store.Clock

	lifecycle *vm.Lifecycle
	leaving   atomic.Bool
	// watching reports whether this VM polls the store.
	watching atomic.Bool
	// peerReady reports whether an update of a VM that serves was received.
	peerReady atomic.Bool
	// peerConfig is the version of the newest configuration that other VMs report.
	peerConfig atomic.Int64
	// stopStart is the start of a planned stop, nil before.
	stopStart atomic.Pointer[time.Time]
	ready     atomic.Bool
	inFlight  atomic.Int64
	// openConns is the number of open connections of callers.
	openConns atomic.Int64
	// lastRequest is when the latest request arrived, as the time since start.
	lastRequest atomic.Int64
	start       time.Time

	// memory is the budget for all that callers can make the VM keep.
	memory *intake.Memory

	source *source.Source
	roster *roster.Task
	quota  *quota.Limiter
	// callers are the connections of callers.
	callers *inbound.Set
	// teller exchanges what the VMs of a large fleet admit.
	teller *tally.Teller
	// shares decides which VMs share the customers' limits.
	shares *shares.Task
	// quarantine holds the prompt segments that crash engines.
	quarantine *quarantine.List
	// origins knows at which software version of their targets streams began.
	origins *origin.Task
	// limits holds the rates of requests that targets accept.
	limits *throttle.Table
	// admission refuses requests of overloaded services.
	admission *admission.Controller
	placer    *placing.Placer
	pool      *conn.Pool
	// storeAnswers is the budget for answers of the object store, apart from that for
	// answers of targets, which faulty targets may fill.
	storeAnswers *intake.Budget
	orders       *rollout.Task
	// gate and canary are nil unless orders move traffic between versions of targets.
	gate   *canary.Gate
	canary *canary.Task
	relay  *relay.Handler
	// watch cancels the requests of callers that leave.
	watch   disconnect.Watch
	metrics *relay.Metrics
	// noticeLog selects the pauses and limits that are logged.
	noticeLog logline.Sampler
	budget    *retry.Budget
	hedger    *hedge.Hedger
	index     *caches.Index
	feeds     *caches.Reader
	prober    *prober
	server    *peer.Server
	client    peer.Caller
	pulls     pullState
	// loaded records with which settings this VM runs.
	loaded settingsRecord
}

// New returns a Node that uses the addresses in its settings.
func New(s settings.Settings, logger log.Logger) *Node {
	logger = log.With(logger, "vm", s.VM)
	client := peer.NewClient(peer.ClientOptions{Self: s.VM, Log: logger})
	server := peer.NewServer(peer.ServerOptions{Self: s.VM, Log: logger})
	metrics.Set(s.VM+".peers", expvar.Func(client.Dump))
	answers := intake.NewBudget(s.Gateway.AnswerBytes())
	n := newNode(s, logger, platform.NewObjects(s.Platform.Address, answers), client, server)
	n.storeAnswers = answers
	n.server = server
	return n
}

// newNode returns a Node that calls other VMs with client and registers its own
// handlers with registrar.
func newNode(s settings.Settings, logger log.Logger, objects Objects, client peer.Caller, registrar peer.Registrar) *Node {
	index, limits := caches.NewIndex(), throttle.NewTable(s.VM)
	n := &Node{
		settings:  s,
		log:       logger,
		client:    client,
		clock:     store.BootClock{},
		start:     time.Now(),
		noticeLog: logline.Sampler{PerSecond: loggedNotices},
		lifecycle: vm.NewLifecycle(nil),
		placer:    placing.New(s.DataCentre, s.Gateway.Bounds.Weights, index, limits),
		limits:    limits,
		index:     index,
		pool:      conn.NewPool(intake.NewBudget(s.Gateway.AnswerBytes())),
		metrics:   relay.NewMetrics(),
	}
	n.gateway.Store(s.Gateway)
	n.loaded.load(s.Gateway, nil)
	n.watching.Store(true)
	n.limitMemory()
	n.quota = quota.NewLimiter(n.clock)
	n.memory = intake.NewMemory(s.Gateway.RequestBytes())
	n.callers = n.newConnSet(cmp.Or(s.Gateway.Connections, fileShare(callersFiles)))
	n.quarantine = quarantine.NewList(n.log)
	n.prober = newProber(n)
	n.buildFleet(objects, registrar)
	n.buildRelay()
	metrics.Set(s.VM, n.metrics.Vars())
	metrics.Set(s.VM+".connections", expvar.Func(n.connections))
	metrics.Set(s.VM+".hedges", expvar.Func(func() any { return n.hedger.Report(time.Now()) }))
	metrics.Set(s.VM+".memory", expvar.Func(n.memory.Vars))
	metrics.Set(s.VM+".callers", n.callers.Vars())
	metrics.Set(s.VM+".admission", expvar.Func(func() any { return n.admission.Status() }))
	return n
}

// metrics holds the counters of each VM of this process, by its id.
var metrics = expvar.NewMap("gateway")

// connections returns the counters of connections to targets.
func (n *Node) connections() any {
	dials, reuses, failures := n.pool.Counts()
	return map[string]int64{"dials": dials, "reuses": reuses, "failures": failures}
}

const (
	// memoryDivisor divides the configured memory to get the garbage collector's
	// limit; the rest is for stacks, buffers and the C library.
	memoryDivisor = 2
	// maxHeaderBytes bounds the header of a request.
	maxHeaderBytes = 64 << 10
	// headerTimeout bounds how long a caller may take to send the header of a
	// request, and idleTimeout how long a connection may be idle, unless the
	// configuration has lower limits.
	headerTimeout = 10 * time.Second
	idleTimeout   = 3 * time.Minute
	// callersFiles is the share of the descriptors that callers' connections may use
	// before idle ones are closed for new ones. The rest is for calls to targets, the
	// store and other VMs.
	callersFiles = 0.7
	// loggedNotices is the number of pauses and limits of targets that are logged per
	// second.
	loggedNotices = 20
	// sweepPeriod is the time between two checks for idle connections and silent VMs.
	sweepPeriod = time.Second
)

// buildFleet builds the tasks that track the site and the other VMs.
func (n *Node) buildFleet(objects Objects, registrar peer.Registrar) {
	s := n.settings
	n.source = source.New(source.Options{
		Feed: objects,
		Log:  n.log,
		Decoder: source.Decoder{
			Kinds:   n.kinds(),
			Config:  platform.DecodeConfig,
			Target:  platform.DecodeTarget,
			Weights: platform.DecodeWeights,
			Order:   platform.DecodeOrder,
		},
		OnChange:      n.siteChanged,
		OnStoreStatus: n.storeStatusChanged,
		Watching:      n.watching.Load,
		Watchers:      func() []peer.Destination { return watcherAddresses(n.roster.Members(), time.Now()) },
		Peers:         n.client,
		Bounds:        n.sourceBounds,
	})
	engines := platform.NewEngines(n.pool.Budget())
	onNotice := func(engine site.Incarnation, notice site.Notice) { n.recordNotice(engine, notice, "", time.Now()) }
	n.feeds = caches.NewReader(caches.Options{
		Feed: engines, Index: n.index, View: n.source.View, Log: n.log, Leaving: n.placer.Leaving,
		PauseLeft: func(engine site.Incarnation) time.Duration { return n.placer.PauseLeft(engine, time.Now()) },
		OnNotice:  onNotice,
	})
	born := time.Now().UnixNano()
	n.roster = roster.NewTask(roster.Options{
		Self: roster.Entry{
			VM: s.VM, Born: born, Region: s.Region, DataCentre: s.DataCentre,
			Callers: s.Callers.Address, Peers: s.Peers.Address,
		},
		Seeds:    func() []string { return n.gateway.Load().Seeds },
		Peers:    n.client,
		Store:    objects,
		Log:      n.log,
		Describe: n.describe,
		OnUpdate: n.applyUpdates,
	})
	n.orders = rollout.NewTask(rollout.Options{
		Self:          lease.Holder{ID: s.VM, Incarnation: uint64(born)},
		Store:         objects,
		Clock:         n.clock,
		Engines:       engines,
		Log:           n.log,
		HandoverDelay: func() time.Duration { return n.bounds().Quiet + quietMargin },
		View:          n.source.View,
		LastRestore:   n.source.LastRestore,
		Members:       n.roster.Members,
		Version:       n.placer.Version,
		Running:       func(t *site.Target) int { return n.placer.Running(t, time.Now()) },
		Suspect:       func(t *site.Target) bool { return n.placer.Suspect(t, time.Now()) },
		Leaving:       n.placer.Leaving,
		Paused:        func(engine site.Incarnation) bool { return n.placer.PauseLeft(engine, time.Now()) > 0 },
		OnNotice:      onNotice,
		Unreachable:   n.placer.Unreachable,
		OnVersion: func(t *site.Target, model string, version int64) {
			if n.placer.ObserveWeights(t, model, version, time.Now()) {
				n.roster.Trigger()
			}
		},
		OnStatusChange: n.leaseChanged,
	})
	if n.movesTraffic() {
		n.buildCanary(objects, born)
	}
	n.teller = tally.NewTeller(tally.TellerOptions{
		VM: s.VM, Born: born, Peers: n.client, Clock: n.clock, Log: n.log,
		Relays: n.roster.Relays, Needed: n.quota.UsesTotals, Report: n.quota.Report, OnTotal: n.quota.UpdateTotals,
		Levels: func(total tally.Report) map[string]int64 { return n.quota.Levels(s.VM, total) },
	})
	n.teller.Register(registrar)
	n.shares = shares.NewTask(shares.Options{
		VM: s.VM, Store: objects, List: objects, Clock: n.clock, Log: n.log,
		Needed: n.needsShares, Scale: n.roster.IntervalFactor, Alive: n.roster.IsAlive,
		OnChange: n.quota.SetMembers, OnGone: n.forgetVM,
	})
	n.origins = origin.NewTask(origin.Options{
		VM: s.VM, Store: objects, Peers: n.client, Log: n.log, View: n.source.View, Fresh: n.targetsFresh,
		Bound:     func() time.Duration { return n.bounds().Drain },
		Scale:     n.roster.IntervalFactor,
		Recorders: func() ([]peer.Destination, bool) { return recorders(s.VM, n.roster.Members(), time.Now()) },
	})
	n.origins.Register(registrar)
	peer.Handle(registrar, CallSettings, func(context.Context, string, struct{}) (SettingsStatus, error) {
		return n.loaded.read(), nil
	})
	n.roster.Register(registrar)
	n.source.Register(registrar)
}

// forgetVM removes what a VM that is gone has written to the store.
func (n *Node) forgetVM(ctx context.Context, vm string) {
	n.roster.Forget(ctx, vm)
	n.origins.Forget(ctx, vm)
}

// countVMs returns the number of VMs among which the retry budget is divided. One that has been
// silent for so long that the roster has forgotten it may still use its part.
func (n *Node) countVMs() int {
	return max(n.roster.Count(), n.quota.Share().Members)
}

// needsShares reports whether any customer or target has a limit.
func (n *Node) needsShares() bool {
	cfg := n.source.View().Config
	return n.limits.IsInUse() || cfg != nil && slices.ContainsFunc(cfg.Customers, func(c site.Customer) bool { return c.Rate > 0 })
}

// fileShare returns a share of the number of descriptors that the process may open.
func fileShare(share float64) int {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return math.MaxInt32
	}
	return max(int(share*float64(min(limit.Cur, math.MaxInt32))), 1)
}

// newConnSet returns the set of connections to a port, which count in the memory.
func (n *Node) newConnSet(limit int) *inbound.Set {
	set := inbound.NewSet(limit)
	set.Memory = n.memory
	return set
}

// bounds returns the bounds in force.
func (n *Node) bounds() settings.Bounds { return n.gateway.Load().Bounds }

// sourceBounds returns the times within which changes must be in force, by kind.
func (n *Node) sourceBounds() (bounds source.Bounds) {
	b := n.bounds()
	bounds[source.Config], bounds[source.Targets], bounds[source.WeightVersions] = b.Config, b.Drain, b.Weights
	bounds[source.Orders] = b.Config
	return bounds
}

// limitMemory sets the garbage collector's memory limit and the budgets for answers.
func (n *Node) limitMemory() {
	if memory := n.gateway.Load().MemoryMB; memory > 0 {
		debug.SetMemoryLimit(memory << 20 / memoryDivisor)
	}
	answers := n.gateway.Load().AnswerBytes()
	n.pool.Budget().SetLimit(answers)
	if n.memory != nil {
		n.memory.SetLimit(n.gateway.Load().RequestBytes())
	}
	n.storeAnswers.SetLimit(answers)
}

// Reload applies changed settings: seeds, memory, bounds and hedges. Ports and the VM's
// location remain as they were at the start.
func (n *Node) Reload(s settings.Settings) {
	before := n.settings
	before.Gateway = n.gateway.Load()
	var changed, later []string
	for _, c := range settings.Changes(before, s) {
		if c.Reloaded() {
			changed = append(changed, c.String())
		} else {
			later = append(later, c.Name)
		}
	}
	n.gateway.Store(s.Gateway)
	n.limitMemory()
	n.placer.SetMaxWeightsAge(s.Gateway.Bounds.Weights)
	n.budget.SetLimits(limitsOf(s.Gateway.Bounds.Retries))
	n.hedger.SetRules(hedgeRules(s.Gateway.Hedge))
	n.loaded.load(s.Gateway, later)
	_ = n.log.Log("msg", "settings reloaded", "version", n.loaded.read().Version, "seeds", len(s.Gateway.Seeds), "changed", strings.Join(changed, "; "),
		"afterrestart", strings.Join(later, " "))
}

func limitsOf(r settings.Retries) retry.Limits {
	return retry.Limits{Ratio: r.Ratio, Slack: r.Slack, Window: r.Window}
}

func hedgeRules(s settings.Hedge) hedge.Rules {
	return hedge.Rules{Routes: s.Routes, Requests: s.Requests, Tokens: s.Tokens, Quantile: s.Quantile}
}

// quietMargin is added to the minimum time between the orders of two VMs, for
// calls that are still in transit.
const quietMargin = 500 * time.Millisecond

// buildRelay builds the handler that serves callers.
func (n *Node) buildRelay() {
	n.budget = retry.NewBudget(limitsOf(n.bounds().Retries))
	n.hedger = hedge.NewHedger(hedgeRules(n.gateway.Load().Hedge))
	ordered := platform.ReadContracts(n.gateway.Load().Contracts).Admission
	n.admission = admission.NewController(func() bool { return ordered || n.gateway.Load().Admission }, n.log)
	n.relay = relay.NewHandler(relay.Options{
		View:       n.source.View,
		Quota:      n.quota,
		Quarantine: n.quarantine,
		OnSuspect:  n.roster.Trigger,
		Admission:  n.admission,
		Placer:     n.placer,
		Pool:       n.pool,
		Budget:     n.budget,
		Hedger:     n.hedger,
		Log:        n.log,
		Gate:       n.gate,
		Origins:    n.origins,
		VMs:        n.countVMs,
		Fresh:      n.fresh,
		UpToDate:   n.upToDate,

		Stop:     n.stopTimes,
		OnNotice: n.recordNotice,
		Suspect:  n.prober.suspect,
		Metrics:  n.metrics,
		Memory:   n.memory,
	})
}

// Run serves on open ports until ctx ends and then performs a planned stop.
func (n *Node) Run(ctx context.Context, listeners Listeners) error {
	taskCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	_ = n.log.Log("msg", "start", "callers", n.settings.Callers.Address, "peers", n.settings.Peers.Address)
	g, taskCtx := errgroup.WithContext(taskCtx)
	requestCtx, abort := context.WithCancelCause(context.WithoutCancel(ctx))
	defer abort(nil)
	callers := n.callerServer(requestCtx)
	for _, run := range []func(context.Context) error{
		n.source.Run, n.roster.Run, n.teller.Run, n.shares.Run, n.orders.Run, n.prober.run, n.feeds.Run, n.sweep, n.runWatching, n.runCanary, n.origins.Run,
	} {
		g.Go(func() error { return run(taskCtx) })
	}
	g.Go(func() error { return n.server.Serve(taskCtx, n.boundPeers(listeners.peers)) })
	g.Go(func() error {
		return serve(callers, inbound.Listener{Listener: disconnect.Listener{Listener: listeners.callers}, Set: n.callers})
	})
	for _, l := range n.sideServers(listeners) {
		g.Go(func() error { return serve(l.server, l.listener) })
	}
	g.Go(func() error {
		n.runLifecycle(ctx, taskCtx)
		n.stop(taskCtx, callers, listeners.callers, abort)
		cancel()
		listeners.Close()
		return nil
	})
	if err := g.Wait(); err != nil && !errors.Is(err, context.Canceled) {
		return err
	}
	return nil
}

func serve(s *http.Server, l net.Listener) error {
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
		return err
	}
	return nil
}

// sweep closes idle connections to targets, and notices VMs that have gone although no
// update arrives. It logs connections of callers that were closed for others.
func (n *Node) sweep(ctx context.Context) error {
	closed := int64(0)
	for store.Sleep(ctx, sweepPeriod) {
		if now := n.callers.Closed(); now != closed {
			_ = n.log.Log("msg", "connections of callers closed for others", "closed", now-closed, "open", n.openConns.Load())
			closed = now
		}
		n.pool.Sweep(time.Now())
		n.shareLimits(time.Now())
	}
	n.pool.Close()
	return nil
}
