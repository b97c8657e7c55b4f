package vm

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/baobabdyke/baobabdyke/internal/seed"
	"github.com/baobabdyke/baobabdyke/peer"
	"github.com/baobabdyke/baobabdyke/store"
)

var start = time.Unix(1000, 0)

func record(id string, incarnation uint64) Member {
	return Member{ID: id, Incarnation: incarnation, Peer: id + ":1", State: StateServing}
}

// newMembershipOf returns the state of VM a with the others as members.
func newMembershipOf(others ...string) *membership {
	m := newMembership(record("a", 1), 1)
	for _, id := range others {
		m.apply(Update{Member: record(id, 1)}, start)
	}
	return m
}

func TestRefute(t *testing.T) {
	m := newMembershipOf("b")
	suspected := Update{Member: m.self, Health: Suspect, Accusers: []string{"b", "c"}}
	m.apply(suspected, start)
	must.Eq(t, 1, m.self.Sequence)
	must.SliceContainsFunc(t, m.nextUpdates("b"), Update{Member: m.self}, func(a, b Update) bool {
		return a.Member == b.Member && a.Health == Alive
	})
	m.apply(suspected, start)
	must.Eq(t, 1, m.self.Sequence, must.Sprint("an outdated suspicion is not refuted again"))
	other := newMembership(record("z", 1), 1)
	other.apply(Update{Member: suspected.Member}, start)
	other.apply(suspected, start)
	must.Eq(t, Suspect, other.health("a"))
	other.apply(Update{Member: m.self}, start)
	must.Eq(t, Alive, other.health("a"))
}

func (m *membership) health(id string) Health { return m.others[id].Health }

func TestHandleHelperResults(t *testing.T) {
	noResponse := helperResult{helper: "c"}
	notReached := helperResult{helper: "c", responded: true}
	reached := helperResult{helper: "d", responded: true, reached: true}
	cases := []struct {
		name string
		list []helperResult
		took time.Duration
		want Health
	}{
		{"a third VM did not reach it either", []helperResult{notReached, noResponse}, 0, Suspect},
		{"a third VM reached it", []helperResult{notReached, reached}, 0, Alive},
		{"no third VM responds", []helperResult{noResponse, noResponse}, 0, Alive},
		{"late, after a pause", []helperResult{notReached}, time.Minute, Alive},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			m := newMembershipOf("b", "c", "d")
			m.handleHelperResults("b", tc.list, start, start.Add(tc.took))
			must.Eq(t, tc.want, m.health("b"))
		})
	}
}

func TestSuspicionExpires(t *testing.T) {
	m := newMembershipOf("b", "c", "d")
	m.apply(Update{Member: record("b", 1), Health: Suspect, Accusers: []string{"c"}}, start)
	m.expireSuspicions(start.Add(time.Hour))
	must.Eq(t, Suspect, m.health("b"), must.Sprint("a single accuser does not suffice"))
	m.apply(Update{Member: record("b", 1), Health: Suspect, Accusers: []string{"d"}}, start)
	m.expireSuspicions(start.Add(suspicionTime - 1))
	must.Eq(t, Suspect, m.health("b"))
	m.expireSuspicions(start.Add(suspicionTime))
	must.Eq(t, Down, m.health("b"))
	m.handleProbe("b", Probe{RecordVersion: RecordVersion{Incarnation: 1}}, start)
	must.Eq(t, Alive, m.health("b"), must.Sprint("a probe from the member itself clears the suspicion"))
}

// TestLateProbeResults guards against wrong conclusions after a pause of this
// VM: a failure or a reply that arrives long after the probe's timeout is
// evidence neither against the member nor of its reachability.
func TestLateProbeResults(t *testing.T) {
	m := newMembershipOf("b", "c")
	must.SliceEmpty(t, m.handleFailure(record("b", 1), start, start.Add(time.Minute)))
	must.SliceNotEmpty(t, m.handleFailure(record("b", 1), start, start.Add(probeTimeout)))
	reply := ProbeReply{RecordVersion: RecordVersion{Incarnation: 1}}
	m = newMembershipOf("b", "c")
	m.handleReply(record("b", 1), reply, start, start.Add(time.Minute))
	must.Eq(t, 1, estimateReachable(m.outcomes, 2, start.Add(time.Minute)))
	m.handleReply(record("b", 1), reply, start, start.Add(probeTimeout))
	must.Eq(t, 3, estimateReachable(m.outcomes, 2, start.Add(probeTimeout)))
}

func TestEstimateReachable(t *testing.T) {
	cases := []struct {
		name   string
		got    []bool
		others int
		age    time.Duration
		want   int
	}{
		{"no outcomes", nil, 8, 0, 1},
		{"all respond", []bool{true, true, true}, 8, 0, 9},
		{"none responds", []bool{false, false}, 8, 0, 1},
		{"half respond", []bool{true, false}, 8, 0, 5},
		{"outdated outcomes", []bool{true, true}, 8, outcomeWindow + 1, 1},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			m := newMembershipOf()
			for i, ok := range tc.got {
				m.recordOutcome(fmt.Sprint(i), ok, start)
			}
			must.Eq(t, tc.want, estimateReachable(m.outcomes, tc.others, start.Add(tc.age)))
		})
	}
}

// TestUpdatesConverge runs random sequences of restarts, suspicions, state
// changes and exchanges of records between VMs. No VM ever returns to an older
// record, and after all have exchanged their records every VM has the current
// record of every other one, as Alive.
func TestUpdatesConverge(t *testing.T) {
	must.NoError(t, seed.SetRapid())
	ids := []string{"a", "b", "c", "d"}
	rapid.Check(t, func(t *rapid.T) {
		states := map[string]*membership{}
		newest := map[string]map[string]RecordVersion{}
		for _, id := range ids {
			states[id] = newMembership(record(id, 1), 1)
			newest[id] = map[string]RecordVersion{}
		}
		exchange := func(from, to string) {
			m := states[to]
			for _, u := range states[from].allUpdates() {
				m.apply(u, start)
			}
		}
		id := rapid.SampledFrom(ids)
		t.Repeat(map[string]func(*rapid.T){
			"tell": func(t *rapid.T) { exchange(id.Draw(t, "from"), id.Draw(t, "to")) },
			"restart": func(t *rapid.T) {
				one := id.Draw(t, "vm")
				next := states[one].self.Incarnation + 1
				states[one] = newMembership(record(one, next), 1)
				newest[one] = map[string]RecordVersion{}
			},
			"accuse": func(t *rapid.T) {
				m := states[id.Draw(t, "by")]
				if s := m.others[id.Draw(t, "vm")]; s != nil {
					m.recordFailure(s, rapid.SampledFrom([]Health{Suspect, Down}).Draw(t, "health"), []string{m.self.ID}, start)
				}
			},
			"change": func(t *rapid.T) {
				states[id.Draw(t, "vm")].setState(rapid.SampledFrom([]string{StateServing, StateDraining}).Draw(t, "state"))
			},
			"": func(t *rapid.T) {
				for owner, m := range states {
					for other, s := range m.others {
						if s.Member.RecordVersion().Before(newest[owner][other]) {
							t.Fatalf("%s returned to the older record %+v of %s", owner, s.Member.RecordVersion(), other)
						}
						newest[owner][other] = s.Member.RecordVersion()
					}
				}
			},
		})
		for range 2 * len(ids) {
			for _, from := range ids {
				for _, to := range ids {
					exchange(from, to)
				}
			}
		}
		for _, owner := range ids {
			for other, s := range states[owner].others {
				self := states[other].self
				if s.Health != Alive || s.Member.RecordVersion() != self.RecordVersion() || s.Member.State != self.State {
					t.Fatalf("%s has record %+v of %s, want %+v", owner, s.Update, other, self)
				}
			}
		}
	})
}

func TestRemoved(t *testing.T) {
	m := newMembershipOf("b", "c")
	list := func(ids ...string) {
		var records []store.VMRecord
		for _, id := range ids {
			records = append(records, store.VMRecord{ID: id, Address: "10.0.0.1"})
		}
		m.setListed(records)
	}
	list("a", "b")
	must.False(t, m.removed("c"), must.Sprint("c was never listed"))
	list("a")
	must.True(t, m.removed("b"))
	m.apply(Update{Member: record("b", 2)}, start)
	must.MapNotContainsKey(t, m.others, "b", must.Sprint("updates of a removed VM are ignored"))
	must.False(t, m.removed("c"))
}

func ExampleLifecycle() {
	l := NewLifecycle(func(state string) { fmt.Println(state) })
	_ = l.Warm()
	_ = l.Serve()
	fmt.Println(l.Warm() != nil)
	// Output:
	// warming
	// serving
	// true
}

// FuzzProbe decodes bytes as a probe and as a reply and applies them: no record
// is replaced by an older one, and the messages sent afterwards stay bounded.
func FuzzProbe(f *testing.F) {
	for _, msg := range []any{
		Probe{RecordVersion: RecordVersion{Incarnation: 2, Sequence: 1}, Join: true, Updates: []Update{{Member: record("c", 3), Health: Down, Accusers: []string{"x", "y"}}}},
		ProbeReply{RecordVersion: RecordVersion{Incarnation: 1}, WantRecord: true, Updates: []Update{{Member: record("a", 1), Health: Suspect}}},
	} {
		data, err := peer.Encode(msg)
		must.NoError(f, err)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		m := newMembershipOf("b", "c")
		before := m.self.RecordVersion()
		var p Probe
		if peer.Decode(data, &p) == nil {
			m.handleProbe("b", p, start)
		}
		var r ProbeReply
		if peer.Decode(data, &r) == nil {
			m.handleReply(record("b", 1), r, start, start)
		}
		for _, e := range m.tick(start.Add(time.Hour)) {
			if probe, ok := e.(sendProbe); ok {
				must.LessEq(t, maxUpdates+1, len(probe.probe.Updates))
			}
		}
		must.False(t, m.self.RecordVersion().Before(before))
		for _, id := range []string{"b", "c"} {
			must.False(t, m.others[id].Member.RecordVersion().Before(RecordVersion{Incarnation: 1}))
			must.LessEq(t, maxAccusers, len(m.others[id].Accusers))
		}
	})
}
