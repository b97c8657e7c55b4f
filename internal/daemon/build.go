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

// New returns a VM built from its settings and what lies outside it. The
// addresses of the settings are those that callers and other VMs use.
func New(s settings.Settings, c Credentials, o Outside, logger log.Logger) *VM {
	v := &VM{
		settings: s,
		outside:  o,
		log:      log.With(logger, "vm", s.VM),
		drain:    make(chan struct{}, 1),
	}
	v.self = vm.Member{
		ID:          s.VM,
		Incarnation: uint64(o.Clock.Now().UnixNano()),
		Region:      s.Region,
		DataCentre:  s.DataCentre,
		Caller:      s.Callers.Address,
		Peer:        s.Peers.Address,
		State:       vm.StateStarting,
	}
	v.buildBudget()
	v.buildMembership()
	v.buildPromises()
	v.buildRouting()
	v.buildOrders()
	v.buildPorts(c)
	v.register()
	v.publish()
	return v
}

// seed returns the seed of a VM's jitter.
func (v *VM) seed() uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(v.self.ID))
	_ = binary.Write(h, binary.BigEndian, v.self.Incarnation)
	return h.Sum64()
}

// buildBudget holds this VM to its calls of the object API.
func (v *VM) buildBudget() {
	calls := v.settings.Platform.CallsPerSecond
	v.budget = store.NewBudget(v.outside.Store, store.BudgetOptions{
		PerSecond: calls,
		Burst:     calls * budgetBurst.Seconds(),
		Clock:     v.outside.Clock,
	})
}

// buildMembership builds what knows other VMs and the configuration.
func (v *VM) buildMembership() {
	v.life = vm.NewLifecycle(nil)
	v.members = vm.NewTask(vm.Options{
		Self:      v.self,
		Directory: v.outside.Directory,
		Peers:     v.outside.Peers,
		Clock:     v.outside.Clock,
		Log:       v.log,
		Seed:      v.seed(),
	})
	v.keeper = config.NewManager(config.Options{
		Store:  v.budget.WithPriority(store.PriorityNormal),
		Peers:  v.outside.Peers,
		Roster: v.members,
		Clock:  v.outside.Clock,
		Log:    v.log,
		Self:   v.self.ID,
		Seed:   v.seed(),
	})
	v.placer = entry.NewPlacer(entry.Options{
		Roster: v.members,
		Clock:  v.outside.Clock,
		TTL:    v.settings.Entry.TTL,
		Lag:    v.settings.Entry.Lag,
		Config: v.keeper.Current,
	})
}

// buildPromises builds what holds rates and once-only work.
func (v *VM) buildPromises() {
	v.limits = limit.NewTask(limit.Options{
		Self:   v.self,
		Layout: limit.Layout{Shards: v.settings.Limits.Shards, Slots: v.settings.Limits.Slots},
		Store:  v.budget.WithPriority(store.PriorityNormal),
		Peers:  v.outside.Peers,
		Roster: v.members,
		Config: v.keeper.Current,
		Clock:  v.outside.Clock,
		Log:    v.log,
		Seed:   v.seed(),
	})
	v.queue = queue.NewTask(queue.Options{Clock: v.outside.Clock, Log: v.log})
	v.claims = claim.NewTask(claim.Options{
		Self:  v.self.ID,
		Store: v.budget.WithPriority(store.PriorityHigh),
		Clock: v.outside.Clock,
		Log:   v.log,
		Seed:  v.seed(),
	})
}

// buildRouting builds what knows targets and sends requests to them.
func (v *VM) buildRouting() {
	v.fleet = target.NewFleet(target.Options{
		Client: v.outside.Targets,
		Config: v.keeper.Current,
		Roster: v.members,
		Peers:  v.outside.Peers,
		Self:   v.self.ID,
		Clock:  v.outside.Clock,
		Log:    v.log,
	})
	v.index = prefix.NewTask(prefix.Options{
		Client: v.outside.Targets,
		Config: v.keeper.Current,
		States: v.fleet.All,
		Roster: v.members,
		Peers:  v.outside.Peers,
		Self:   v.self.ID,
		Clock:  v.outside.Clock,
		Log:    v.log,
	})
	v.chooser = route.NewChooser(route.Options{
		Fleet:      v.fleet,
		Index:      v.index,
		Clock:      v.outside.Clock,
		DataCentre: v.self.DataCentre,
	})
	v.runner = dispatch.NewRunner(dispatch.Options{
		Client:   v.outside.Targets,
		Chooser:  v.chooser,
		Reporter: v.fleet,
		Config:   v.keeper.Current,
		Clock:    v.outside.Clock,
		Log:      v.log,
	})
}

// buildPorts builds the handlers of the callers' and operators' ports.
func (v *VM) buildPorts(c Credentials) {
	v.callers = caller.NewHandler(caller.Options{
		Config:  v.keeper,
		Limiter: v.limits,
		Queue:   v.queue,
		Claims:  v.claims,
		Runner:  v.runner,
		Placer:  v.placer,
		Clock:   v.outside.Clock,
		Log:     v.log,
		Bounds: caller.Bounds{
			MaxBodyBytes:     v.settings.Callers.MaxBodyBytes,
			BodyTimeout:      v.settings.Callers.BodyTimeout,
			MaxRecordedBytes: maxKeptAnswer,
		},
		DataCentre: v.self.DataCentre,
		Accepting:  v.accepting,
		Draining:   v.draining,
	})
	v.operatorHandler = operator.NewHandler(operator.Options{
		Token:  c.OperatorToken,
		Config: v.keeper,
		Dumps:  v.dumps(),
		Ready:  v.accepting,
		Drain:  v.Drain,
		Log:    v.log,
	})
}

// register names the calls that this VM answers to other VMs.
func (v *VM) register() {
	v.members.Register(v.outside.Calls)
	v.keeper.Register(v.outside.Calls)
	v.limits.Register(v.outside.Calls)
	v.fleet.Register(v.outside.Calls)
	v.index.Register(v.outside.Calls)
}
