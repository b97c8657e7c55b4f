package entry

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/baobabdyke/baobabdyke/config"
	"github.com/baobabdyke/baobabdyke/vm"
)

// A roster is a vm.Roster with fixed members.
type roster struct {
	members []vm.Member
	leaving map[string]bool
}

func (r *roster) Self() vm.Member        { return r.members[0] }
func (r *roster) Live() []vm.Member      { return r.members }
func (r *roster) Listed() int            { return len(r.members) }
func (r *roster) Removed(string) bool    { return false }
func (r *roster) Leaving(id string) bool { return r.leaving[id] }

// newRoster returns n serving VMs in four data centres of two regions.
func newRoster(n int) *roster {
	r := &roster{leaving: map[string]bool{}}
	for i := range n {
		r.members = append(r.members, vm.Member{
			ID: fmt.Sprintf("vm-%03d", i), Incarnation: 1, State: vm.StateServing,
			Region: fmt.Sprintf("r-%d", i%2), DataCentre: fmt.Sprintf("dc-%d", i%4),
			Caller: fmt.Sprintf("10.0.%d.%d:80", i/200, i%200+1),
		})
	}
	return r
}

// A clock is a store.Clock that is set by a test.
type clock struct{ now time.Time }

func (c *clock) Now() time.Time { return c.now }

func newPlacer(r *roster) *Placer {
	return NewPlacer(Options{Roster: r, Clock: &clock{now: time.Unix(1000, 0)}})
}

func addresses(resp Response) []string {
	var list []string
	for _, v := range resp.VMs {
		list = append(list, v.Address)
	}
	return list
}

func TestResolve(t *testing.T) {
	req := Request{Customer: "c", Family: 7, DataCentre: "dc-1"}
	t.Run("nearest data centre first, another one among the fallbacks", func(t *testing.T) {
		a := newPlacer(newRoster(16)).Resolve(req)
		must.Len(t, minHomes+fallbacks, a.VMs)
		must.Eq(t, "dc-1", a.VMs[0].DataCentre)
		must.Eq(t, "dc-1", a.VMs[1].DataCentre)
		must.NotEq(t, "dc-1", a.VMs[3].DataCentre)
		must.Eq(t, int(DefaultTTL/time.Second), a.TTL)
	})
	t.Run("own region before others", func(t *testing.T) {
		r := newRoster(8)
		r.members = append(r.members[:1], r.members[2:5]...) // the only VM in dc-1 is vm-001
		r.members = append(r.members, newRoster(8).members[1])
		a := newPlacer(r).Resolve(req)
		must.Eq(t, "dc-1", a.VMs[0].DataCentre)
		must.Eq(t, "dc-3", a.VMs[1].DataCentre)
	})
	t.Run("same on every VM", func(t *testing.T) {
		r, s := newRoster(16), newRoster(16)
		s.members[0], s.members[5] = s.members[5], s.members[0]
		must.Eq(t, newPlacer(r).Resolve(req), newPlacer(s).Resolve(req))
	})
	t.Run("only serving VMs", func(t *testing.T) {
		for _, state := range []string{vm.StateStarting, vm.StateWarming, vm.StateDraining, vm.StateStopped} {
			r := newRoster(16)
			first := newPlacer(r).Resolve(req).VMs[0].Address
			for i := range r.members {
				if r.members[i].Caller == first {
					r.members[i].State = state
				}
			}
			must.SliceNotContains(t, addresses(newPlacer(r).Resolve(req)), first)
		}
	})
	t.Run("no VM that the platform lists as leaving", func(t *testing.T) {
		r := newRoster(16)
		first := newPlacer(r).Resolve(req).VMs[0].Address
		for _, m := range r.members {
			r.leaving[m.ID] = m.Caller == first
		}
		must.SliceNotContains(t, addresses(newPlacer(r).Resolve(req)), first)
	})
	t.Run("no serving VM", func(t *testing.T) {
		r := newRoster(1)
		r.members[0].State = vm.StateDraining
		must.SliceEmpty(t, newPlacer(r).Resolve(req).VMs)
	})
}

func TestHomes(t *testing.T) {
	t.Run("the number of home VMs grows with the rate", func(t *testing.T) {
		for _, tc := range []struct {
			rate config.Rate
			want int
		}{
			{config.Rate{Requests: 1, Tokens: 100}, 2},
			{config.Rate{Requests: 120, Tokens: 100}, 5},
			{config.Rate{Requests: 1, Tokens: 60_000}, 6},
			{config.Rate{Requests: 1e9, Tokens: 1}, maxVMs - fallbacks},
		} {
			must.Eq(t, tc.want, homeCount(tc.rate))
		}
	})
	t.Run("the families of a customer share its homes", func(t *testing.T) {
		p := newPlacer(newRoster(40))
		homes := map[string]int{}
		for f := range uint64(100) {
			homes[p.Homes("c", f)[0].ID]++
		}
		must.MapLen(t, minHomes, homes)
		for _, n := range homes {
			must.Between(t, 30, n, 70)
		}
	})
	t.Run("only customers of a removed VM move", func(t *testing.T) {
		r := newRoster(40)
		before := firstHomes(newPlacer(r))
		gone := r.members[4].ID
		r.members = append(r.members[:4:4], r.members[5:]...)
		after := firstHomes(newPlacer(r))
		for c, id := range before {
			must.True(t, id == gone || after[c] == id, must.Sprintf("%s moved from %s", c, id))
		}
	})
	t.Run("weights", func(t *testing.T) {
		r := newRoster(8)
		p := NewPlacer(Options{Roster: r, Weight: func(m vm.Member) float64 {
			if m.ID == "vm-000" {
				return 3
			}
			return 1
		}})
		n := 0
		for _, id := range firstHomes(p) {
			if id == "vm-000" {
				n++
			}
		}
		must.Between(t, 700, n, 800, must.Sprint("three quarters of 1000"))
	})
}

// firstHomes returns the IDs of the first home VMs of 1000 customers.
func firstHomes(p *Placer) map[string]string {
	list := map[string]string{}
	for i := range 1000 {
		c := fmt.Sprintf("c-%d", i)
		members, _ := p.homes(placementKey{customer: c}, 1, "dc-0")
		list[c] = members[0].ID
	}
	return list
}

// TestPopularFamily checks that many callers of one family within one TTL are
// spread over more home VMs, and that a few callers later share one again.
func TestPopularFamily(t *testing.T) {
	c := &clock{now: time.Unix(1000, 0)}
	p := NewPlacer(Options{Roster: newRoster(40), Clock: c})
	req := Request{Customer: "c", Family: 7, Rate: config.Rate{Requests: 100}, DataCentre: "dc-0"}
	count := func(n int) int {
		seen := map[string]bool{}
		for range n {
			seen[p.Resolve(req).VMs[0].Address] = true
		}
		return len(seen)
	}
	must.Eq(t, 1, count(responsesPerHome))
	must.Eq(t, 4, count(10*responsesPerHome))
	c.now = c.now.Add(3 * DefaultTTL)
	must.Eq(t, 1, count(responsesPerHome))
}

func ExamplePlacer() {
	p := NewPlacer(Options{Roster: newRoster(9)})
	a := p.Resolve(Request{Customer: "hakata", Route: "seats", Family: 42, DataCentre: "dc-2"})
	fmt.Println(len(a.VMs), a.VMs[0].DataCentre, a.TTL)
	// Output: 4 dc-2 10
}
