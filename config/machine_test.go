package config

import (
	"context"
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/baobabdyke/baobabdyke/internal/seed"
	"github.com/baobabdyke/baobabdyke/store"
)

// A hookedStore is a store that runs a function before every Put, to simulate
// concurrent operations.
type hookedStore struct {
	*store.Memory
	beforePut func()
}

func (h *hookedStore) Put(ctx context.Context, key string, value []byte, expect int64) store.WriteResult {
	if h.beforePut != nil {
		h.beforePut()
	}
	return h.Memory.Put(ctx, key, value, expect)
}

// A stateMachine drives several managers over one store step by step, without
// running them. Writes of the head are in flight until they are delivered,
// which may happen late, more than once or never.
type stateMachine struct {
	store          *hookedStore
	vms            []*testVM
	writes         []*preparedWrite
	pendingDeletes []store.Object   // chunks that a sweep has not deleted yet
	roots          map[int64]string // roots by committed version
	ids            map[string]int64 // versions by id of the committed patch
	patchCount     int
}

// A testVM is one VM: a manager that does not run, and its state.
type testVM struct {
	*Manager
	core           *core
	highestVersion int64
}

func newStateMachine(n int) *stateMachine {
	m := &stateMachine{
		store: &hookedStore{Memory: store.NewMemory()},
		roots: map[int64]string{0: ""}, ids: map[string]int64{},
	}
	for range n {
		m.vms = append(m.vms, m.newTestVM())
	}
	return m
}

func (m *stateMachine) newTestVM() *testVM {
	return &testVM{Manager: NewManager(Options{Store: m.store, Roster: singleVMRoster{}}), core: newCore()}
}

// adopt puts a snapshot in force on a VM.
func (v *testVM) adopt(s *snapshot, patches []VersionedPatch) {
	v.core.adopt(s, patches)
	v.publish(v.core)
}

func (m *stateMachine) drawVM(t *rapid.T, name string) *testVM {
	return m.vms[rapid.IntRange(0, len(m.vms)-1).Draw(t, name)]
}

// prepare prepares a write on a VM, either of a new patch or of the patch of
// an earlier write.
func (m *stateMachine) prepare(t *rapid.T) {
	v := m.drawVM(t, "vm")
	m.store.beforePut = func() {
		if rapid.Bool().Draw(t, "concurrent delete") {
			m.deleteOne()
		}
	}
	defer func() { m.store.beforePut = nil }()
	read, err := v.readHead(t.Context())
	must.NoError(t, err)
	p := m.drawPatch(t, read.Version)
	if result := knownOutcome(read.Head, p); result != nil {
		if accepted, ok := result.(PatchAccepted); ok && accepted.Version != m.ids[p.ID] {
			t.Fatalf("patch %s made version %d, but was reported as %d", p.ID, m.ids[p.ID], accepted.Version)
		}
		return
	}
	w, result := v.prepare(t.Context(), read, p)
	if result != nil {
		t.Fatalf("%#v", result)
	}
	m.writes = append(m.writes, w)
}

func (m *stateMachine) drawPatch(t *rapid.T, base int64) Patch {
	if len(m.writes) > 0 && rapid.Bool().Draw(t, "again") {
		return m.writes[rapid.IntRange(0, len(m.writes)-1).Draw(t, "write")].patch
	}
	m.patchCount++
	p := Patch{ID: fmt.Sprintf("p%d", m.patchCount), Base: base}
	piece := 1 + rapid.IntRange(0, 1).Draw(t, "piece")
	p.Set.Models = []Model{{Name: "m", Versions: []string{"1"}, Piece: piece}}
	return p
}

// deliver applies one of the writes of the head to the store.
func (m *stateMachine) deliver(t *rapid.T) {
	if len(m.writes) == 0 {
		t.Skip("no write in flight")
	}
	m.applyWrite(t, m.writes[rapid.IntRange(0, len(m.writes)-1).Draw(t, "write")])
}

func (m *stateMachine) applyWrite(t *rapid.T, w *preparedWrite) {
	done, ok := m.store.Put(t.Context(), headKey, w.value, w.read.objectVersion).(store.Done)
	if !ok {
		return
	}
	if done.Version == 0 || m.roots[w.head.Version] != "" {
		t.Fatalf("version %d was committed twice", w.head.Version)
	}
	if _, committed := m.ids[w.patch.ID]; committed {
		t.Fatalf("patch %s was committed twice", w.patch.ID)
	}
	m.roots[w.head.Version], m.ids[w.patch.ID] = w.head.Root, w.head.Version
	if rapid.Bool().Draw(t, "response arrives") {
		m.drawVM(t, "writer").receivePush(w)
	}
}

// receivePush adopts a committed version as if it had been pushed.
func (v *testVM) receivePush(w *preparedWrite) {
	patches := []VersionedPatch{{Version: w.head.Version, Patch: w.patch, Root: w.head.Root}}
	if snap, ok := replay(v.core.snap, patches); ok {
		v.adopt(snap, patches)
	}
}

// fetchFromStore fetches the newest version from the store.
func (m *stateMachine) fetchFromStore(t *rapid.T) {
	v := m.drawVM(t, "vm")
	f, err := v.fetchNewest(t.Context(), v.core.snap)
	must.NoError(t, err)
	v.adopt(f.snap, f.patches)
}

// pullFromPeer fetches the version of another VM.
func (m *stateMachine) pullFromPeer(t *rapid.T) {
	v, from := m.drawVM(t, "vm"), m.drawVM(t, "from")
	reply, err := from.handlePull(t.Context(), "", Pull{Have: v.core.snap.version})
	must.NoError(t, err)
	if reply.Version <= v.core.snap.version {
		v.adopt(from.core.snap, nil)
		return
	}
	if snap, ok := replay(v.core.snap, reply.Patches); ok && snap.version == reply.Version {
		v.adopt(snap, reply.Patches)
		return
	}
	get := func(digests []string) ([][]byte, error) {
		r, err := from.handlePull(t.Context(), "", Pull{Chunks: digests})
		return r.Chunks, err
	}
	snap, err := buildSnapshot(v.core.snap, Head{Version: reply.Version, Root: reply.Root}, get)
	must.NoError(t, err)
	v.adopt(snap, nil)
}

// planSweep plans a sweep, whose deletions deleteOne performs. A commit may
// take effect between its list and its update of the head.
func (m *stateMachine) planSweep(t *rapid.T) {
	m.store.beforePut = func() {
		m.store.beforePut = nil
		if len(m.writes) > 0 && rapid.Bool().Draw(t, "concurrent commit") {
			m.deliver(t)
		}
	}
	defer func() { m.store.beforePut = nil }()
	list, err := m.drawVM(t, "vm").planSweep(t.Context())
	must.NoError(t, err)
	m.pendingDeletes = list
}

func (m *stateMachine) deleteOne() {
	if len(m.pendingDeletes) == 0 {
		return
	}
	o := m.pendingDeletes[0]
	m.pendingDeletes = m.pendingDeletes[1:]
	m.store.Delete(context.Background(), o.Key, o.Version)
}

// checkInvariants checks the invariants after every step.
func (m *stateMachine) checkInvariants(t *rapid.T) {
	for _, v := range m.vms {
		version := v.Current().Version
		if version < v.highestVersion {
			t.Fatalf("version decreased from %d to %d", v.highestVersion, version)
		}
		v.highestVersion = version
		if root, committed := m.roots[version]; !committed || root != v.core.snap.root {
			t.Fatalf("version %d with root %s was never committed", version, v.core.snap.root)
		}
	}
	fresh := m.newTestVM()
	if _, err := fresh.fetchNewest(t.Context(), emptySnapshot()); err != nil {
		t.Fatalf("the head refers to missing chunks: %v", err)
	}
}

func TestManagerStateMachine(t *testing.T) {
	must.NoError(t, seed.SetRapid())
	rapid.Check(t, func(t *rapid.T) {
		m := newStateMachine(3)
		t.Repeat(map[string]func(*rapid.T){
			"prepare": m.prepare,
			"submit": func(t *rapid.T) {
				before := len(m.writes)
				m.prepare(t)
				for _, w := range m.writes[before:] {
					m.applyWrite(t, w)
				}
			},
			"deliver": m.deliver,
			"read":    m.fetchFromStore,
			"pull":    m.pullFromPeer,
			"sweep":   m.planSweep,
			"delete":  func(*rapid.T) { m.deleteOne() },
			"restart": func(t *rapid.T) {
				m.vms[rapid.IntRange(0, len(m.vms)-1).Draw(t, "vm")] = m.newTestVM()
			},
			"": m.checkInvariants,
		})
	})
}

// TestSweepWithConcurrentCommits checks that a sweep fails commits that began
// before it, and keeps unused chunks that a later commit uses again.
func TestSweepWithConcurrentCommits(t *testing.T) {
	m := newStateMachine(1)
	v := m.vms[0]
	prepare := func(piece int) *preparedWrite {
		read, err := v.readHead(t.Context())
		must.NoError(t, err)
		m.patchCount++
		p := Patch{ID: fmt.Sprint("p", m.patchCount), Base: read.Version}
		p.Set.Models = []Model{{Name: "m", Versions: []string{"1"}, Piece: piece}}
		w, result := v.prepare(t.Context(), read, p)
		must.Nil(t, result)
		return w
	}
	commit := func(w *preparedWrite) bool {
		_, done := v.putHead(t.Context(), w).(store.Done)
		return done
	}
	must.True(t, commit(prepare(1)))
	must.True(t, commit(prepare(2)))
	before := prepare(1)
	unused, err := v.planSweep(t.Context())
	must.NoError(t, err)
	must.Len(t, 2, unused, must.Sprint("chunk and index of the first patch"))
	must.False(t, commit(before))
	after := prepare(1)
	m.pendingDeletes = unused
	for range unused {
		m.deleteOne()
	}
	must.True(t, commit(after))
	_, err = v.fetchNewest(t.Context(), emptySnapshot())
	must.NoError(t, err)
}
