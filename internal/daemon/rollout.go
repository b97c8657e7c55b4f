package daemon

import (
	"slices"

	"github.com/baobabdyke/baobabdyke/lease"
	"github.com/baobabdyke/baobabdyke/order"
	"github.com/baobabdyke/baobabdyke/store"
	"github.com/baobabdyke/baobabdyke/vm"
)

// orderCandidates is the number of VMs that compete for the lease of a pool.
const orderCandidates = 3

// buildRollout builds the task that sends load orders to engines.
func (v *VM) buildRollout() {
	v.orders = order.NewTask(order.Options{
		Self:      lease.Holder{ID: v.self.ID, Incarnation: v.self.Incarnation},
		Store:     v.budget.WithPriority(store.PriorityNormal),
		Client:    v.deps.Targets,
		Config:    v.configs.Current,
		States:    v.fleet.States,
		Candidate: v.isOrderCandidate,
		Clock:     v.deps.Clock,
		Log:       v.log,
		Seed:      v.jitterSeed(),
	})
}

// isOrderCandidate reports whether this VM is a candidate for the lease of a
// pool.
func (v *VM) isOrderCandidate(pool string) bool {
	ranked := vm.Rank("order/"+pool, v.members.Live())
	ranked = ranked[:min(orderCandidates, len(ranked))]
	return slices.ContainsFunc(ranked, func(m vm.Member) bool { return m.ID == v.self.ID })
}
