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

// A fleet is several pure VMs in virtual time, with the messages between them
// and the store.
type fleet struct {
	*model.Schedule
	rnd      *rand.Rand
	layout   limit.Layout
	view     *config.View
	nodes    []*node
	slots    map[string]limit.SlotRecord
	version  int64
	oracles  map[string]*oracle
	cuts     map[[2]string]bool
	latency  time.Duration // of one message
	slow     time.Duration // largest extra latency
	lossy    float64       // part of messages that are lost
	storeOff bool
	unsure   bool      // answers of writes to the store are lost
	patched  time.Time // when a VM last put a configuration into force
	started  int
	lastID   uint64
	bytes    int
	messages int
	calls    int
	writes   int
}

// A node is one VM. A paused one handles its messages when it wakes up.
type node struct {
	f       *fleet
	member  vm.Member
	s       *limit.State
	view    *config.View
	quick   bool // the timer runs at the busy pace
	paused  bool
	dead    bool
	gone    bool // the platform does not list it any more
	inbox   []func()
	replies map[uint64]func(limit.Decision)
}

func newFleet(size int, layout limit.Layout, cfg *config.Config, seed uint64) *fleet {
	f := &fleet{
		Schedule: model.NewSchedule(time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)), rnd: rand.New(rand.NewPCG(seed, 1)),
		layout: layout, view: config.NewView(cfg), slots: map[string]limit.SlotRecord{},
		oracles: map[string]*oracle{}, cuts: map[[2]string]bool{}, latency: time.Millisecond,
	}
	for _, c := range cfg.Customers {
		f.oracles[c.Name] = &oracle{rate: c.Rate}
	}
	for range size {
		f.start("")
	}
	f.members()
	return f
}

// start adds a VM, or starts the process of an existing one again.
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
	n.step(limit.Agreed{Layout: f.layout})
	n.step(limit.Configured{View: n.view})
	f.inForce(true)
	n.tick()
	return n
}

// members tells all VMs the membership.
func (f *fleet) members() {
	live := f.live()
	removed := map[string]bool{}
	for _, n := range f.nodes {
		removed[n.member.ID] = n.gone
	}
	for _, n := range f.nodes {
		n.deliver(func() { n.step(limit.Membership{Live: live, Removed: removed}) })
	}
}

// live returns the VMs that run, sorted by id.
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

// node returns the process of a VM that runs now.
func (f *fleet) node(id string) *node {
	i := slices.IndexFunc(f.nodes, func(n *node) bool { return n.member.ID == id })
	if i < 0 || f.nodes[i].dead {
		return nil
	}
	return f.nodes[i]
}

// deliver runs something on a VM: now, when it wakes up, or never.
func (n *node) deliver(do func()) {
	switch {
	case n.dead:
	case n.paused:
		n.inbox = append(n.inbox, do)
	default:
		do()
	}
}

// String names the VM in the output of a failed run.
func (n *node) String() string { return n.member.ID }

func (n *node) resume() {
	n.paused = false
	inbox := n.inbox
	n.inbox = nil
	for _, do := range inbox {
		n.deliver(do)
	}
}

// tick is the timer of a VM.
func (n *node) tick() {
	if n.dead {
		return
	}
	if !n.paused {
		n.step(limit.Tick{})
	}
	n.f.After(250*time.Millisecond, n.tick)
}

// hurry ticks at the busy pace while requests wait for other VMs.
func (n *node) hurry() {
	n.quick = false
	n.deliver(func() { n.step(limit.Tick{}) })
}

// send passes a message from one VM to another, unless it is lost.
func (f *fleet) send(from, to string, message any, do func(*node)) {
	f.messages++
	if data, err := cbor.Marshal(message); err == nil {
		f.bytes += len(data)
	}
	if f.cuts[[2]string{from, to}] || (f.lossy > 0 && f.rnd.Float64() < f.lossy) {
		return
	}
	d := f.latency
	if f.slow > 0 {
		d += time.Duration(f.rnd.Int64N(int64(f.slow)))
	}
	f.After(d, func() {
		if n := f.node(to); n != nil {
			n.deliver(func() { do(n) })
		}
	})
}

// step applies an event to a VM and carries its effects out.
func (n *node) step(e limit.Event) {
	effects := n.s.Step(e, n.f.Now())
	if n.s.Busy() && !n.quick {
		n.quick = true
		n.f.After(10*time.Millisecond, n.hurry)
	}
	for _, effect := range effects {
		switch effect := effect.(type) {
		case limit.Decide:
			n.replies[effect.ID](effect.Decision)
			delete(n.replies, effect.ID)
		case limit.SendAsk:
			n.f.send(n.member.ID, effect.To, effect.Ask, func(to *node) {
				to.step(limit.Asked{From: n.member.ID, Ask: effect.Ask})
			})
		case limit.SendTransfer:
			n.f.send(n.member.ID, effect.To, effect.Transfer, func(to *node) {
				to.step(limit.Answered{ID: effect.Transfer.ID, Transfer: effect.Transfer})
			})
		case limit.SendReturn:
			n.f.send(n.member.ID, effect.To, effect.Return, func(to *node) {
				to.step(limit.Returned{From: n.member.ID, Return: effect.Return})
			})
		case limit.ListShard:
			n.list(effect)
		case limit.TakeSlot:
			n.write(effect.Shard, effect.Slot, func(r lease.Record) lease.Event {
				gone := effect.Ended.ID != "" && r.Lease.HeldBy(effect.Ended)
				return lease.Take{Self: n.holder(), Nonce: fmt.Sprint(n.f.version), HolderGone: gone}
			})
		case limit.GiveSlot:
			n.write(effect.Shard, effect.Slot, func(lease.Record) lease.Event {
				return lease.GiveBack{Self: n.holder(), Nonce: fmt.Sprint(n.f.version), Term: effect.Record.Lease.Term, Data: effect.Data}
			})
		}
	}
}

func (n *node) holder() lease.Holder {
	return lease.Holder{ID: n.member.ID, Incarnation: n.member.Incarnation}
}

func (n *node) list(e limit.ListShard) {
	f := n.f
	f.calls++
	listed := limit.Listed{Shard: e.Shard, Failed: f.storeOff}
	for slot := range f.layout.Slots {
		if r, ok := f.slots[fmt.Sprint(e.Shard, "/", slot)]; ok && !f.storeOff {
			listed.Slots = append(listed.Slots, r)
		}
	}
	f.After(5*time.Millisecond, func() { n.deliver(func() { n.step(listed) }) })
}

// write makes an update of a slot, whose answer may be lost.
func (n *node) write(shard, slot int, event func(lease.Record) lease.Event) {
	f := n.f
	f.calls++
	f.writes++
	f.After(5*time.Millisecond, func() {
		w := limit.SlotWritten{Shard: shard, Slot: slot, Record: limit.SlotRecord{Slot: slot}}
		key := fmt.Sprint(shard, "/", slot)
		if r := f.slots[key]; !f.storeOff {
			if effect, ok := lease.Step(r.Record, event(r.Record)).(lease.Write); ok {
				f.version++
				f.slots[key] = limit.SlotRecord{Slot: slot, Record: lease.Record{Lease: effect.Lease, Version: f.version}}
			}
			if !f.unsure {
				w.Record = f.slots[key]
				w.Held = w.Record.Lease.HeldBy(n.holder())
			}
		}
		f.After(5*time.Millisecond, func() { n.deliver(func() { n.step(w) }) })
	})
}

// reserve asks a VM to admit a request; done is told the decision.
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

// violations returns how often the promise was broken, and by how much.
func (f *fleet) violations() (int, float64) {
	count, worst := 0, 0.0
	for _, o := range f.oracles {
		count += o.violations
		worst = max(worst, o.worst)
	}
	return count, worst
}

// configure puts a configuration into force on a VM, now or when it wakes up.
func (n *node) configure(v *config.View) {
	n.deliver(func() {
		n.view = v
		n.step(limit.Configured{View: v})
		n.f.inForce(true)
		n.f.patched = n.f.Now()
		n.f.After(settleTime, func() { n.f.inForce(n.f.Now().Sub(n.f.patched) < settleTime) })
	})
}

// settleTime is how long what was given out under an earlier rate may still be
// spent.
const settleTime = 250 * time.Millisecond

// inForce tells the oracles the highest rates that any VM may have in force;
// with keep, rates of before count as well.
func (f *fleet) inForce(keep bool) {
	for name, o := range f.oracles {
		var top config.Rate
		if keep {
			top = o.rate
		}
		for _, n := range f.nodes {
			if c := n.view.Customer(name); c != nil && !n.dead {
				top = highest(top, c.Rate)
			}
		}
		o.inForce(top)
	}
}
