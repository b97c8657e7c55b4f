package limit_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/baobabdyke/baobabdyke/config"
	"github.com/baobabdyke/baobabdyke/internal/model"
	"github.com/baobabdyke/baobabdyke/lease"
	"github.com/baobabdyke/baobabdyke/limit"
	"github.com/baobabdyke/baobabdyke/vm"
)

// A fleet simulates several VMs in virtual time, with the messages between them
// and the store.
type fleet struct {
	*model.Schedule
	rnd                *rand.Rand
	layout             limit.Layout
	view               *config.View
	nodes              []*node
	slots              map[string]limit.SlotRecord
	version            int64
	oracles            map[string]*oracle
	blocked            map[[2]string]bool
	latency            time.Duration // of one message
	maxJitter          time.Duration // largest extra latency
	lossRate           float64       // fraction of messages that are lost
	storeDown          bool
	loseWriteResponses bool      // responses of the store to writes are lost
	lastConfigured     time.Time // when a VM last applied a configuration
	started            int
	lastID             uint64
	bytes              int
	messages           int
	storeCalls         int
	storeWrites        int
}

// A node is one VM. A paused node processes its messages when it is resumed.
type node struct {
	f        *fleet
	member   vm.Member
	s        *limit.State
	view     *config.View
	busy     bool // the timer runs at the busy interval
	paused   bool
	dead     bool
	unlisted bool // the platform no longer lists the VM
	inbox    []func()
	replies  map[uint64]func(limit.Decision)
}

func newFleet(size int, layout limit.Layout, cfg *config.Config, seed uint64) *fleet {
	f := &fleet{
		Schedule: model.NewSchedule(time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)), rnd: rand.New(rand.NewPCG(seed, 1)),
		layout: layout, view: config.NewView(cfg), slots: map[string]limit.SlotRecord{},
		oracles: map[string]*oracle{}, blocked: map[[2]string]bool{}, latency: time.Millisecond,
	}
	for _, c := range cfg.Customers {
		f.oracles[c.Name] = &oracle{rate: c.Rate}
	}
	for range size {
		f.start("")
	}
	f.sendMembership()
	return f
}

// start adds a VM, or restarts the process of an existing one.
func (f *fleet) start(id string) *node {
	f.started++
	if id == "" {
		id = fmt.Sprintf("vm%02d", f.started)
	}
	n := &node{
		f: f, view: f.view, replies: map[uint64]func(limit.Decision){},
		member: vm.Member{ID: id, Incarnation: uint64(f.started), State: vm.StateServing},
	}
	n.s = limit.NewState(n.member, f.layout, uint64(f.started)<<32)
	i := slices.IndexFunc(f.nodes, func(o *node) bool { return o.member.ID == id })
	if i < 0 {
		f.nodes = append(f.nodes, n)
	} else {
		f.nodes[i].dead = true
		f.nodes[i] = n
	}
	n.step(limit.LayoutAgreed{Layout: f.layout})
	n.step(limit.Configured{View: n.view})
	f.updateRates(true)
	n.tick()
	return n
}

// sendMembership sends the current membership to all VMs.
func (f *fleet) sendMembership() {
	live := f.live()
	removed := map[string]bool{}
	for _, n := range f.nodes {
		removed[n.member.ID] = n.unlisted
	}
	for _, n := range f.nodes {
		n.deliver(func() { n.step(limit.Membership{Live: live, Removed: removed}) })
	}
}

// live returns the running VMs, sorted by ID.
func (f *fleet) live() []vm.Member {
	var live []vm.Member
	for _, n := range f.nodes {
		if !n.dead {
			live = append(live, n.member)
		}
	}
	slices.SortFunc(live, func(a, b vm.Member) int { return cmp.Compare(a.ID, b.ID) })
	return live
}

// node returns the running process of a VM, or nil if there is none.
func (f *fleet) node(id string) *node {
	i := slices.IndexFunc(f.nodes, func(n *node) bool { return n.member.ID == id })
	if i < 0 || f.nodes[i].dead {
		return nil
	}
	return f.nodes[i]
}

// deliver calls do on a VM: immediately, when it is resumed if it is paused, or
// never if it is dead.
func (n *node) deliver(do func()) {
	switch {
	case n.dead:
	case n.paused:
		n.inbox = append(n.inbox, do)
	default:
		do()
	}
}

// String returns the ID of the VM for the output of a failed test.
func (n *node) String() string { return n.member.ID }

func (n *node) resume() {
	n.paused = false
	inbox := n.inbox
	n.inbox = nil
	for _, do := range inbox {
		n.deliver(do)
	}
}

// tick runs the idle timer of a VM.
func (n *node) tick() {
	if n.dead {
		return
	}
	if !n.paused {
		n.step(limit.Tick{})
	}
	n.f.After(250*time.Millisecond, n.tick)
}

// busyTick is the extra tick at the busy interval while responses of other VMs
// are awaited.
func (n *node) busyTick() {
	n.busy = false
	n.deliver(func() { n.step(limit.Tick{}) })
}

// send delivers a message from one VM to another, unless it is lost.
func (f *fleet) send(from, to string, message any, do func(*node)) {
	f.messages++
	if data, err := cbor.Marshal(message); err == nil {
		f.bytes += len(data)
	}
	if f.blocked[[2]string{from, to}] || (f.lossRate > 0 && f.rnd.Float64() < f.lossRate) {
		return
	}
	d := f.latency
	if f.maxJitter > 0 {
		d += time.Duration(f.rnd.Int64N(int64(f.maxJitter)))
	}
	f.After(d, func() {
		if n := f.node(to); n != nil {
			n.deliver(func() { do(n) })
		}
	})
}

// step applies an event to a VM and executes its effects.
func (n *node) step(e limit.Event) {
	effects := n.s.Step(e, n.f.Now())
	if n.s.Busy() && !n.busy {
		n.busy = true
		n.f.After(10*time.Millisecond, n.busyTick)
	}
	for _, effect := range effects {
		switch effect := effect.(type) {
		case limit.Decide:
			n.replies[effect.ID](effect.Decision)
			delete(n.replies, effect.ID)
		case limit.SendTransferRequest:
			n.f.send(n.member.ID, effect.To, effect.Request, func(to *node) {
				to.step(limit.TransferRequested{From: n.member.ID, Request: effect.Request})
			})
		case limit.SendTransfer:
			n.f.send(n.member.ID, effect.To, effect.Transfer, func(to *node) {
				to.step(limit.TransferResult{ID: effect.Transfer.ID, Transfer: effect.Transfer})
			})
		case limit.SendTransferReturn:
			n.f.send(n.member.ID, effect.To, effect.Return, func(to *node) {
				to.step(limit.TransferReturned{From: n.member.ID, Return: effect.Return})
			})
		case limit.ListSlots:
			n.list(effect)
		case limit.AcquireSlot:
			n.write(effect.Shard, effect.Slot, func(r lease.Record) lease.Event {
				ended := effect.Ended.ID != "" && r.Lease.HeldBy(effect.Ended)
				return lease.Take{Self: n.holder(), Nonce: fmt.Sprint(n.f.version), HolderGone: ended}
			})
		case limit.ReleaseSlot:
			n.write(effect.Shard, effect.Slot, func(lease.Record) lease.Event {
				return lease.GiveBack{Self: n.holder(), Nonce: fmt.Sprint(n.f.version), Term: effect.Record.Lease.Term, Data: effect.Data}
			})
		}
	}
}

func (n *node) holder() lease.Holder {
	return lease.Holder{ID: n.member.ID, Incarnation: n.member.Incarnation}
}

func (n *node) list(e limit.ListSlots) {
	f := n.f
	f.storeCalls++
	listed := limit.SlotsListed{Shard: e.Shard, Failed: f.storeDown}
	for slot := range f.layout.Slots {
		if r, ok := f.slots[fmt.Sprint(e.Shard, "/", slot)]; ok && !f.storeDown {
			listed.Slots = append(listed.Slots, r)
		}
	}
	f.After(5*time.Millisecond, func() { n.deliver(func() { n.step(listed) }) })
}

// write updates a slot in the store. The response may be lost.
func (n *node) write(shard, slot int, event func(lease.Record) lease.Event) {
	f := n.f
	f.storeCalls++
	f.storeWrites++
	f.After(5*time.Millisecond, func() {
		w := limit.SlotWritten{Shard: shard, Slot: slot, Record: limit.SlotRecord{Slot: slot}}
		key := fmt.Sprint(shard, "/", slot)
		if r := f.slots[key]; !f.storeDown {
			if effect, ok := lease.Step(r.Record, event(r.Record)).(lease.Write); ok {
				f.version++
				f.slots[key] = limit.SlotRecord{Slot: slot, Record: lease.Record{Lease: effect.Lease, Version: f.version}}
			}
			if !f.loseWriteResponses {
				w.Record = f.slots[key]
				w.Held = w.Record.Lease.HeldBy(n.holder())
			}
		}
		f.After(5*time.Millisecond, func() { n.deliver(func() { n.step(w) }) })
	})
}

// reserve reserves a cost on a VM and calls done with the decision and the
// oracle's number of the admission, or -1 if the request was not admitted.
func (n *node) reserve(customer string, c limit.Cost, done func(d limit.Decision, admission int)) {
	n.f.lastID++
	id := n.f.lastID
	n.replies[id] = func(d limit.Decision) {
		number := -1
		if _, ok := d.(limit.Admitted); ok {
			number = n.f.oracles[customer].admit(n.f.Now(), c)
		}
		done(d, number)
	}
	n.step(limit.Reserve{ID: id, Customer: customer, Cost: c})
}

// violations returns how often a customer's limit was exceeded, and by how much
// at most.
func (f *fleet) violations() (int, float64) {
	count, worst := 0, 0.0
	for _, o := range f.oracles {
		count += o.violations
		worst = max(worst, o.worstExcess)
	}
	return count, worst
}

// configure applies a configuration on a VM, now or when it is resumed.
func (n *node) configure(v *config.View) {
	n.deliver(func() {
		n.view = v
		n.step(limit.Configured{View: v})
		n.f.updateRates(true)
		n.f.lastConfigured = n.f.Now()
		n.f.After(settlePeriod, func() { n.f.updateRates(n.f.Now().Sub(n.f.lastConfigured) < settlePeriod) })
	})
}

// settlePeriod is the time for which tokens transferred under an earlier rate
// may still be spent.
const settlePeriod = 250 * time.Millisecond

// updateRates passes the highest rates that any VM applies to the oracles. With
// keep, earlier rates count as well.
func (f *fleet) updateRates(keep bool) {
	for name, o := range f.oracles {
		var top config.Rate
		if keep {
			top = o.rate
		}
		for _, n := range f.nodes {
			if c := n.view.Customer(name); c != nil && !n.dead {
				top = maxRate(top, c.Rate)
			}
		}
		o.setRate(top)
	}
}
