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

// knowing returns the state of VM a that knows the others.
func knowing(others ...string) *members {
	m := newMembers(record("a", 1), 1)
	for _, id := range others {
		m.apply(Update{Member: record(id, 1)}, start)
	}
	return m
}

func TestRefute(t *testing.T) {
	m := knowing("b")
	accused := Update{Member: m.self, Health: Suspect, Accusers: []string{"b", "c"}}
	m.apply(accused, start)
	must.Eq(t, 1, m.self.Sequence)
	must.SliceContainsFunc(t, m.news("b"), Update{Member: m.self}, func(a, b Update) bool {
		return a.Member == b.Member && a.Health == Alive
	})
	m.apply(accused, start)
	must.Eq(t, 1, m.self.Sequence, must.Sprint("an old accusation is answered already"))
	other := newMembers(record("z", 1), 1)
	other.apply(Update{Member: accused.Member}, start)
	other.apply(accused, start)
	must.Eq(t, Suspect, other.health("a"))
	other.apply(Update{Member: m.self}, start)
	must.Eq(t, Alive, other.health("a"))
}

func (m *members) health(id string) Health { return m.others[id].Health }

func TestTestimony(t *testing.T) {
	silent := testimony{helper: "c"}
	denies := testimony{helper: "c", heard: true}
	confirms := testimony{helper: "d", heard: true, reached: true}
	cases := []struct {
		name string
		list []testimony
		took time.Duration
		want Health
	}{
		{"a third VM agrees", []testimony{denies, silent}, 0, Suspect},
		{"a third VM reached it", []testimony{denies, confirms}, 0, Alive},
		{"no third VM answers", []testimony{silent, silent}, 0, Alive},
		{"late, after a pause", []testimony{denies}, time.Minute, Alive},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			m := knowing("b", "c", "d")
			m.testified("b", tc.list, start, start.Add(tc.took))
			must.Eq(t, tc.want, m.health("b"))
		})
	}
}

func TestSuspicionEnds(t *testing.T) {
	m := knowing("b", "c", "d")
	m.apply(Update{Member: record("b", 1), Health: Suspect, Accusers: []string{"c"}}, start)
	m.expire(start.Add(time.Hour))
	must.Eq(t, Suspect, m.health("b"), must.Sprint("one accuser is not enough"))
	m.apply(Update{Member: record("b", 1), Health: Suspect, Accusers: []string{"d"}}, start)
	m.expire(start.Add(suspicionTime - 1))
	must.Eq(t, Suspect, m.health("b"))
	m.expire(start.Add(suspicionTime))
	must.Eq(t, Down, m.health("b"))
	m.answer("b", Probe{RecordVersion: RecordVersion{Incarnation: 1}}, start)
	must.Eq(t, Alive, m.health("b"), must.Sprint("a probe of its own withdraws it"))
}

// TestMissedAfterPause takes the failure and the late answer of a probe that was
// under way during a pause of this VM.
func TestMissedAfterPause(t *testing.T) {
	m := knowing("b", "c")
	must.SliceEmpty(t, m.missed(record("b", 1), start, start.Add(time.Minute)))
	must.SliceNotEmpty(t, m.missed(record("b", 1), start, start.Add(probeTimeout)))
	reply := ProbeReply{RecordVersion: RecordVersion{Incarnation: 1}}
	m = knowing("b", "c")
	m.probed(record("b", 1), reply, start, start.Add(time.Minute))
	must.Eq(t, 1, reach(m.outcomes, 2, start.Add(time.Minute)))
	m.probed(record("b", 1), reply, start, start.Add(probeTimeout))
	must.Eq(t, 3, reach(m.outcomes, 2, start.Add(probeTimeout)))
}

func TestReachEstimate(t *testing.T) {
	cases := []struct {
		name   string
		got    []bool
		others int
		age    time.Duration
		want   int
	}{
		{"nothing known", nil, 8, 0, 1},
		{"all answer", []bool{true, true, true}, 8, 0, 9},
		{"none answers", []bool{false, false}, 8, 0, 1},
		{"half answer", []bool{true, false}, 8, 0, 5},
		{"old answers", []bool{true, true}, 8, reachWindow + 1, 1},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			m := knowing()
			for i, ok := range tc.got {
				m.note(fmt.Sprint(i), ok, start)
			}
			must.Eq(t, tc.want, reach(m.outcomes, tc.others, start.Add(tc.age)))
		})
	}
}

// TestGossip runs some VMs that restart, accuse each other, are removed and
// exchange news in any order. No VM ever goes back to an older record, none
// holds itself accused after it heard of it, and news that everybody has
// exchanged leaves all with the same records.
func TestGossip(t *testing.T) {
	must.NoError(t, seed.Rapid())
	ids := []string{"a", "b", "c", "d"}
	rapid.Check(t, func(t *rapid.T) {
		states := map[string]*members{}
		newest := map[string]map[string]RecordVersion{}
		for _, id := range ids {
			states[id] = newMembers(record(id, 1), 1)
			newest[id] = map[string]RecordVersion{}
		}
		tell := func(from, to string) {
			m := states[to]
			for _, u := range states[from].all() {
				m.apply(u, start)
			}
		}
		id := rapid.SampledFrom(ids)
		t.Repeat(map[string]func(*rapid.T){
			"tell": func(t *rapid.T) { tell(id.Draw(t, "from"), id.Draw(t, "to")) },
			"restart": func(t *rapid.T) {
				one := id.Draw(t, "vm")
				next := states[one].self.Incarnation + 1
				states[one] = newMembers(record(one, next), 1)
				newest[one] = map[string]RecordVersion{}
			},
			"accuse": func(t *rapid.T) {
				m := states[id.Draw(t, "by")]
				if k := m.others[id.Draw(t, "vm")]; k != nil {
					m.accuse(k, rapid.SampledFrom([]Health{Suspect, Down}).Draw(t, "health"), []string{m.self.ID}, start)
				}
			},
			"change": func(t *rapid.T) {
				states[id.Draw(t, "vm")].change(rapid.SampledFrom([]string{StateServing, StateDraining}).Draw(t, "state"))
			},
			"": func(t *rapid.T) {
				for owner, m := range states {
					for other, k := range m.others {
						if k.Member.RecordVersion().Before(newest[owner][other]) {
							t.Fatalf("%s went back to %+v of %s", owner, k.Member.RecordVersion(), other)
						}
						newest[owner][other] = k.Member.RecordVersion()
					}
				}
			},
		})
		for range 2 * len(ids) {
			for _, from := range ids {
				for _, to := range ids {
					tell(from, to)
				}
			}
		}
		for _, owner := range ids {
			for other, k := range states[owner].others {
				self := states[other].self
				if k.Health != Alive || k.Member.RecordVersion() != self.RecordVersion() || k.Member.State != self.State {
					t.Fatalf("%s holds %+v of %s, which is %+v", owner, k.Update, other, self)
				}
			}
		}
	})
}

func TestRemoved(t *testing.T) {
	m := knowing("b", "c")
	list := func(ids ...string) {
		var records []store.VMRecord
		for _, id := range ids {
			records = append(records, store.VMRecord{ID: id, Address: "10.0.0.1"})
		}
		m.list(records)
	}
	list("a", "b")
	must.False(t, m.removed("c"), must.Sprint("c was never listed"))
	list("a")
	must.True(t, m.removed("b"))
	m.apply(Update{Member: record("b", 2)}, start)
	must.MapNotContainsKey(t, m.others, "b", must.Sprint("news of a removed VM is old"))
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

// FuzzProbe decodes bytes as a probe and as a reply and takes them: records
// never go back, and what is sent in turn stays bounded.
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
		m := knowing("b", "c")
		before := m.self.RecordVersion()
		var p Probe
		if peer.Decode(data, &p) == nil {
			m.answer("b", p, start)
		}
		var r ProbeReply
		if peer.Decode(data, &r) == nil {
			m.probed(record("b", 1), r, start, start)
		}
		for _, e := range m.tick(start.Add(time.Hour)) {
			if probe, ok := e.(sendProbe); ok {
				must.LessEq(t, maxNews+1, len(probe.probe.Updates))
			}
		}
		must.False(t, m.self.RecordVersion().Before(before))
		for _, id := range []string{"b", "c"} {
			must.False(t, m.others[id].Member.RecordVersion().Before(RecordVersion{Incarnation: 1}))
			must.LessEq(t, maxAccusers, len(m.others[id].Accusers))
		}
	})
}
