package daemon

import (
	"slices"

	"github.com/baobabdyke/baobabdyke/lease"
	"github.com/baobabdyke/baobabdyke/order"
	"github.com/baobabdyke/baobabdyke/store"
	"github.com/baobabdyke/baobabdyke/vm"
)

// orderCandidates is the number of VMs that try to hold the lease of a pool.
const orderCandidates = 3

// buildOrders builds what gives orders to engines.
func (v *VM) buildOrders() {
	v.orders = order.NewTask(order.Options{
		Self:      lease.Holder{ID: v.self.ID, Incarnation: v.self.Incarnation},
		Store:     v.budget.WithPriority(store.PriorityNormal),
		Client:    v.outside.Targets,
		Config:    v.keeper.Current,
		States:    v.fleet.States,
		Candidate: v.ordersPool,
		Clock:     v.outside.Clock,
		Log:       v.log,
		Seed:      v.seed(),
	})
}

// ordersPool tells whether this VM is one of those that may hold the lease of a
// pool's targets.
func (v *VM) ordersPool(pool string) bool {
	ranked := vm.Rank("order/"+pool, v.members.Live())
	ranked = ranked[:min(orderCandidates, len(ranked))]
	return slices.ContainsFunc(ranked, func(m vm.Member) bool { return m.ID == v.self.ID })
}
