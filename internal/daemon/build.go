package daemon

import (
	"encoding/binary"
	"hash/fnv"

	"github.com/go-kit/log"

	"github.com/baobabdyke/baobabdyke/claim"
	"github.com/baobabdyke/baobabdyke/config"
	"github.com/baobabdyke/baobabdyke/dispatch"
	"github.com/baobabdyke/baobabdyke/entry"
	"github.com/baobabdyke/baobabdyke/internal/caller"
	"github.com/baobabdyke/baobabdyke/internal/operator"
	"github.com/baobabdyke/baobabdyke/internal/settings"
	"github.com/baobabdyke/baobabdyke/limit"
	"github.com/baobabdyke/baobabdyke/prefix"
	"github.com/baobabdyke/baobabdyke/queue"
	"github.com/baobabdyke/baobabdyke/route"
	"github.com/baobabdyke/baobabdyke/store"
	"github.com/baobabdyke/baobabdyke/target"
	"github.com/baobabdyke/baobabdyke/vm"
)

// New returns a VM built from its settings and dependencies. The addresses in
// the settings are those that callers and other VMs connect to.
func New(s settings.Settings, c Credentials, deps Dependencies, logger log.Logger) *VM {
	v := &VM{
		settings: s,
		deps:     deps,
		log:      log.With(logger, "vm", s.VM),
		drain:    make(chan struct{}, 1),
	}
	v.self = vm.Member{
		ID:          s.VM,
		Incarnation: uint64(deps.Clock.Now().UnixNano()),
		Region:      s.Region,
		DataCentre:  s.DataCentre,
		Caller:      s.Callers.Address,
		Peer:        s.Peers.Address,
		State:       vm.StateStarting,
	}
	v.buildBudget()
	v.buildMembership()
	v.buildAdmission()
	v.buildRouting()
	v.buildRollout()
	v.buildHandlers(c)
	v.registerCalls()
	v.publishState()
	return v
}

// jitterSeed returns the seed for the jitter of the VM's tasks. It differs
// between VMs and between incarnations of a VM.
func (v *VM) jitterSeed() uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(v.self.ID))
	_ = binary.Write(h, binary.BigEndian, v.self.Incarnation)
	return h.Sum64()
}

// buildBudget builds the rate limit on this VM's calls of the object store.
func (v *VM) buildBudget() {
	calls := v.settings.Platform.CallsPerSecond
	v.budget = store.NewBudget(v.deps.Store, store.BudgetOptions{
		PerSecond: calls,
		Burst:     calls * budgetBurstPeriod.Seconds(),
		Clock:     v.deps.Clock,
	})
}

// buildMembership builds the membership, configuration and entry components.
func (v *VM) buildMembership() {
	v.lifecycle = vm.NewLifecycle(nil)
	v.members = vm.NewTask(vm.Options{
		Self:      v.self,
		Directory: v.deps.Directory,
		Peers:     v.deps.Peers,
		Clock:     v.deps.Clock,
		Log:       v.log,
		Seed:      v.jitterSeed(),
	})
	v.configs = config.NewManager(config.Options{
		Store:  v.budget.WithPriority(store.PriorityNormal),
		Peers:  v.deps.Peers,
		Roster: v.members,
		Clock:  v.deps.Clock,
		Log:    v.log,
		Self:   v.self.ID,
		Seed:   v.jitterSeed(),
	})
	v.placer = entry.NewPlacer(entry.Options{
		Roster: v.members,
		Clock:  v.deps.Clock,
		TTL:    v.settings.Entry.TTL,
		Lag:    v.settings.Entry.Lag,
		Config: v.configs.Current,
	})
}

// buildAdmission builds the rate limiter, the queue and the claims of
// at-most-once requests.
func (v *VM) buildAdmission() {
	v.limits = limit.NewTask(limit.Options{
		Self:   v.self,
		Layout: limit.Layout{Shards: v.settings.Limits.Shards, Slots: v.settings.Limits.Slots},
		Store:  v.budget.WithPriority(store.PriorityNormal),
		Peers:  v.deps.Peers,
		Roster: v.members,
		Config: v.configs.Current,
		Clock:  v.deps.Clock,
		Log:    v.log,
		Seed:   v.jitterSeed(),
	})
	v.queue = queue.NewTask(queue.Options{Clock: v.deps.Clock, Log: v.log})
	v.claims = claim.NewTask(claim.Options{
		Self:  v.self.ID,
		Store: v.budget.WithPriority(store.PriorityHigh),
		Clock: v.deps.Clock,
		Log:   v.log,
		Seed:  v.jitterSeed(),
	})
}

// buildRouting builds the components that track targets, select one for a request
// and send the request to it.
func (v *VM) buildRouting() {
	v.fleet = target.NewFleet(target.Options{
		Client: v.deps.Targets,
		Config: v.configs.Current,
		Roster: v.members,
		Peers:  v.deps.Peers,
		Self:   v.self.ID,
		Clock:  v.deps.Clock,
		Log:    v.log,
	})
	v.index = prefix.NewTask(prefix.Options{
		Client: v.deps.Targets,
		Config: v.configs.Current,
		States: v.fleet.All,
		Roster: v.members,
		Peers:  v.deps.Peers,
		Self:   v.self.ID,
		Clock:  v.deps.Clock,
		Log:    v.log,
	})
	v.chooser = route.NewChooser(route.Options{
		Fleet:      v.fleet,
		Index:      v.index,
		Clock:      v.deps.Clock,
		DataCentre: v.self.DataCentre,
	})
	v.runner = dispatch.NewRunner(dispatch.Options{
		Client:   v.deps.Targets,
		Chooser:  v.chooser,
		Reporter: v.fleet,
		Config:   v.configs.Current,
		Clock:    v.deps.Clock,
		Log:      v.log,
	})
}

// buildHandlers builds the HTTP handlers of the callers' and operators' ports.
func (v *VM) buildHandlers(c Credentials) {
	v.callers = caller.NewHandler(caller.Options{
		Config:  v.configs,
		Limiter: v.limits,
		Queue:   v.queue,
		Claims:  v.claims,
		Runner:  v.runner,
		Placer:  v.placer,
		Clock:   v.deps.Clock,
		Log:     v.log,
		Bounds: caller.Bounds{
			MaxBodyBytes:     v.settings.Callers.MaxBodyBytes,
			BodyTimeout:      v.settings.Callers.BodyTimeout,
			MaxRecordedBytes: maxRecordedResponseBytes,
		},
		DataCentre: v.self.DataCentre,
		Accepting:  v.checkAccepting,
		Draining:   v.isDraining,
	})
	v.operatorHandler = operator.NewHandler(operator.Options{
		Token:  c.OperatorToken,
		Config: v.configs,
		Dumps:  v.dumps(),
		Ready:  v.checkAccepting,
		Drain:  v.Drain,
		Log:    v.log,
	})
}

// registerCalls registers the calls that this VM serves to other VMs.
func (v *VM) registerCalls() {
	v.members.Register(v.deps.Calls)
	v.configs.Register(v.deps.Calls)
	v.limits.Register(v.deps.Calls)
	v.fleet.Register(v.deps.Calls)
	v.index.Register(v.deps.Calls)
}
