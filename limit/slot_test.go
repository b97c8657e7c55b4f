package limit_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/baobabdyke/baobabdyke/config"
	"github.com/baobabdyke/baobabdyke/internal/seed"
	"github.com/baobabdyke/baobabdyke/limit"
	"github.com/baobabdyke/baobabdyke/vm"
)

// countSlots returns the number of slots that a VM holds, and how many of them
// are active.
func countSlots(f *fleet, n *node) (held, active int) {
	for _, s := range n.s.Dump(f.Now()).Slots {
		if s.Mine {
			held++
		}
		if s.Active {
			active++
		}
	}
	return held, active
}

// remove stops the VM and removes it from the platform's list.
func (n *node) remove() {
	n.dead = true
	n.unlisted = true
}

// slowRefillFleet returns a fleet of one VM that holds all slots of a customer
// whose bucket refills slowly.
func slowRefillFleet(slots int) (*fleet, *node) {
	slow := config.Rate{Requests: 10, RequestBurst: 160, Tokens: 1, TokenBurst: 16000}
	f := newFleet(1, limit.Layout{Shards: 1, Slots: slots}, oneCustomer(slow), seed.Value())
	f.Advance(20 * time.Second)
	return f, f.nodes[0]
}

func TestSlots(t *testing.T) {
	t.Run("a new holder waits until earlier transfers have expired", func(t *testing.T) {
		f := newFleet(1, limit.Layout{Shards: 1, Slots: 1}, oneCustomer(hakataRate), seed.Value())
		f.Advance(300 * time.Millisecond)
		f.nodes[0].step(limit.Tick{})
		held, active := countSlots(f, f.nodes[0])
		must.Eq(t, 1, held)
		must.Zero(t, active)
	})
	t.Run("the first holder of a slot starts with a full share", func(t *testing.T) {
		f, first := slowRefillFleet(1)
		mustAdmit(t, decide(f, first, limit.Cost{Requests: 1, Tokens: 12000}))
		mustRefuse(t, decide(f, first, limit.Cost{Requests: 1, Tokens: 5000}))
	})
	t.Run("a holder starts empty if the previous one did not release the slot", func(t *testing.T) {
		f, first := slowRefillFleet(1)
		first.remove()
		second := f.start("vm02")
		f.sendMembership()
		f.Advance(time.Minute)
		_, active := countSlots(f, second)
		must.Eq(t, 1, active)
		mustRefuse(t, decide(f, second, limit.Cost{Requests: 1, Tokens: 500}))
	})
	t.Run("a holder starts with the levels handed over by the previous one", func(t *testing.T) {
		f, first := slowRefillFleet(1)
		mustAdmit(t, decide(f, first, limit.Cost{Requests: 1, Tokens: 12000}))
		first.step(limit.ReleaseAll{})
		f.Advance(time.Second)
		first.remove()
		second := f.start("vm02")
		f.sendMembership()
		f.Advance(time.Minute)
		mustRefuse(t, decide(f, second, limit.Cost{Requests: 1, Tokens: 5000}))
		mustAdmit(t, decide(f, second, limit.Cost{Requests: 1, Tokens: 3500}))
		mustNotExceedLimits(t, f)
	})
	t.Run("a handover is valid for one term", func(t *testing.T) {
		f, first := slowRefillFleet(1)
		first.step(limit.ReleaseAll{})
		f.Advance(time.Second)
		first.remove()
		second := f.start("vm02")
		f.sendMembership()
		f.Advance(time.Minute)
		mustAdmit(t, decide(f, second, limit.Cost{Requests: 1, Tokens: 15000}))
		second.remove()
		third := f.start("vm03")
		f.sendMembership()
		f.Advance(time.Minute)
		mustRefuse(t, decide(f, third, limit.Cost{Requests: 1, Tokens: 5000}))
		mustNotExceedLimits(t, f)
	})
	t.Run("the first VM to start leaves slots to the other listed VMs", func(t *testing.T) {
		f := newFleet(1, limit.Layout{Shards: 1, Slots: 8}, oneCustomer(hakataRate), seed.Value())
		n := f.nodes[0]
		alone := limit.Membership{Live: []vm.Member{n.member}, Listed: 3}
		n.step(alone)
		f.Advance(5 * time.Second)
		held, _ := countSlots(f, n)
		must.Eq(t, 3, held)
		f.Advance(6 * time.Second)
		n.step(alone)
		f.Advance(5 * time.Second)
		held, _ = countSlots(f, n)
		must.Eq(t, 8, held)
	})
	t.Run("a VM leaves all slots until it has read the platform's list", func(t *testing.T) {
		f := newFleet(1, limit.Layout{Shards: 1, Slots: 8}, oneCustomer(hakataRate), seed.Value())
		n := f.nodes[0]
		unread := limit.Membership{Live: []vm.Member{n.member}, ListUnread: true}
		n.step(unread)
		f.Advance(4 * time.Second)
		held, _ := countSlots(f, n)
		must.Eq(t, 0, held)
		must.False(t, n.s.Warm(f.Now()))
		n.step(limit.Membership{Live: []vm.Member{n.member}, Listed: 3})
		f.Advance(time.Second)
		held, _ = countSlots(f, n)
		must.Eq(t, 3, held)
		must.True(t, n.s.Warm(f.Now()))
	})
	t.Run("a VM that cannot read the platform's list acquires slots after the grace", func(t *testing.T) {
		f := newFleet(1, limit.Layout{Shards: 1, Slots: 8}, oneCustomer(hakataRate), seed.Value())
		n := f.nodes[0]
		unread := limit.Membership{Live: []vm.Member{n.member}, ListUnread: true}
		n.step(unread)
		f.Advance(11 * time.Second)
		n.step(unread)
		f.Advance(5 * time.Second)
		held, _ := countSlots(f, n)
		must.Eq(t, 8, held)
	})
	t.Run("releasing a slot removes its part from the account", func(t *testing.T) {
		f, first := slowRefillFleet(2)
		mustAdmit(t, decide(f, first, limit.Cost{Requests: 1, Tokens: 12000}))
		second := f.start("vm02")
		f.sendMembership()
		f.Advance(time.Minute)
		_, active := countSlots(f, second)
		must.Eq(t, 1, active)
		mustAdmit(t, decide(f, second, limit.Cost{Requests: 1, Tokens: 3500}))
		mustRefuse(t, decide(f, second, limit.Cost{Requests: 1, Tokens: 1000}))
		mustNotExceedLimits(t, f)
	})
	t.Run("levels are not counted twice if the release of a slot fails", func(t *testing.T) {
		f, first := slowRefillFleet(2)
		mustAdmit(t, decide(f, first, limit.Cost{Requests: 1, Tokens: 12000}))
		second := f.start("vm02")
		f.sendMembership()
		f.Advance(5 * time.Second)
		f.storeDown = true
		f.Advance(10 * time.Second)
		held, _ := countSlots(f, first)
		must.Eq(t, 1, held)
		f.storeDown = false
		second.remove()
		f.sendMembership()
		f.Advance(time.Minute)
		held, _ = countSlots(f, first)
		must.Eq(t, 2, held)
		mustRefuse(t, decide(f, first, limit.Cost{Requests: 1, Tokens: 4500}))
		mustNotExceedLimits(t, f)
	})
	t.Run("slots read under another layout are ignored", func(t *testing.T) {
		s := limit.NewState(vm.Member{ID: "vm01", Incarnation: 1}, limit.Layout{Shards: 7, Slots: 3}, 1)
		s.Step(limit.LayoutAgreed{Layout: limit.Layout{Shards: 2, Slots: 3}}, time.Time{})
		must.SliceEmpty(t, s.Step(limit.SlotsListed{Shard: 6}, time.Time{}))
	})
	t.Run("slots of a dead VM are acquired only once its end is proven", func(t *testing.T) {
		f := settledFleet(2, hakataRate)
		f.nodes[1].dead = true
		f.sendMembership()
		f.Advance(time.Hour)
		held, _ := countSlots(f, f.nodes[0])
		must.Eq(t, 4, held)
		f.nodes[1].unlisted = true
		f.sendMembership()
		f.Advance(30 * time.Second)
		held, _ = countSlots(f, f.nodes[0])
		must.Eq(t, 8, held)
	})
	t.Run("a restarted VM reacquires its slots", func(t *testing.T) {
		f := settledFleet(2, hakataRate)
		n := f.start("vm02")
		f.sendMembership()
		f.Advance(20 * time.Second)
		_, active := countSlots(f, n)
		must.Eq(t, 4, active)
		mustNotExceedLimits(t, f)
	})
	t.Run("a paused VM keeps its slots and can spend them when resumed", func(t *testing.T) {
		f := settledFleet(2, hakataRate)
		f.nodes[1].paused = true
		f.Advance(time.Minute)
		must.Eq(t, "vm02", f.slots["0/"+slotOf(f, "vm02")].Lease.Holder)
		f.nodes[1].resume()
		mustAdmit(t, within(f, 3*time.Millisecond)(f.nodes[1], 8000))
		mustAdmit(t, within(f, 3*time.Millisecond)(f.nodes[0], 8000))
		mustNotExceedLimits(t, f)
	})
	t.Run("a replaced process drops its slots and acquires none", func(t *testing.T) {
		f := settledFleet(1, hakataRate)
		old := f.nodes[0]
		f.start("vm01")
		f.sendMembership()
		f.Advance(20 * time.Second)
		var slots []limit.SlotRecord
		for _, r := range f.slots {
			slots = append(slots, r)
		}
		must.SliceEmpty(t, old.s.Step(limit.SlotsListed{Shard: 0, Slots: slots}, f.Now()))
		held, _ := countSlots(f, old)
		must.Zero(t, held)
	})
	t.Run("released slots are acquired by other VMs", func(t *testing.T) {
		f := settledFleet(2, hakataRate)
		f.nodes[1].step(limit.ReleaseAll{})
		f.nodes[1].member.State = vm.StateDraining
		held, _ := countSlots(f, f.nodes[1])
		must.Zero(t, held)
		f.Advance(time.Second)
		f.sendMembership()
		f.Advance(60 * time.Second)
		held, _ = countSlots(f, f.nodes[0])
		must.Eq(t, 8, held)
		mustNotExceedLimits(t, f)
	})
	t.Run("an outage of the store does not affect holders", func(t *testing.T) {
		f := settledFleet(3, hakataRate)
		f.storeDown = true
		f.Advance(30 * time.Minute)
		mustAdmit(t, decide(f, f.nodes[0], limit.Cost{Requests: 1, Tokens: 16000}))
		mustNotExceedLimits(t, f)
	})
	t.Run("slots are acquired after responses to their writes were lost", func(t *testing.T) {
		f := newFleet(2, limit.Layout{Shards: 1, Slots: 4}, oneCustomer(hakataRate), seed.Value())
		f.loseWriteResponses = true
		f.Advance(10 * time.Second)
		must.Zero(t, f.nodes[0].s.HeldSlots())
		f.loseWriteResponses = false
		f.Advance(30 * time.Second)
		must.Eq(t, 2, f.nodes[0].s.HeldSlots())
	})
	t.Run("a new VM gets slots from VMs with a surplus", func(t *testing.T) {
		f := settledFleet(2, hakataRate)
		n := f.start("")
		f.sendMembership()
		f.Advance(5 * time.Minute)
		must.Positive(t, n.s.HeldSlots())
		mustNotExceedLimits(t, f)
	})
}

// slotOf returns the number of a slot that a VM holds.
func slotOf(f *fleet, id string) string {
	for n := range f.layout.Slots {
		if number := strconv.Itoa(n); f.slots["0/"+number].Lease.Holder == id {
			return number
		}
	}
	return ""
}
