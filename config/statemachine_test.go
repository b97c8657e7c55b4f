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

// A hooked is a store that runs a step of something else before every Put.
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

// A machine is several pure keepers over one store, driven step by step. Writes
// of the head are under way until they are delivered, which may happen late,
// twice or never.
type stateMachine struct {
	store          *hookedStore
	vms            []*testVM
	writes         []*preparedWrite
	pendingDeletes []store.Object   // chunks that a collection has still to delete
	roots          map[int64]string // by committed version
	ids            map[string]int64 // committed patches
	patchCount     int
}

// A member is one VM: a keeper that does not run, and its state.
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

// prepare makes a write on a VM: a new patch, or the patch of an earlier one.
func (m *stateMachine) prepare(t *rapid.T) {
	v := m.drawVM(t, "vm")
	m.store.beforePut = func() {
		if rapid.Bool().Draw(t, "delete meanwhile") {
			m.deleteOne()
		}
	}
	defer func() { m.store.beforePut = nil }()
	read, err := v.readHead(t.Context())
	must.NoError(t, err)
	p := m.drawPatch(t, read.Version)
	if result := knownOutcome(read.Head, p); result != nil {
		if accepted, ok := result.(PatchAccepted); ok && accepted.Version != m.ids[p.ID] {
			t.Fatalf("patch %s made %d, not %d", p.ID, m.ids[p.ID], accepted.Version)
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

// deliver brings one write of the head to the store.
func (m *stateMachine) deliver(t *rapid.T) {
	if len(m.writes) == 0 {
		t.Skip("nothing under way")
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
	if rapid.Bool().Draw(t, "answer arrives") {
		m.drawVM(t, "writer").receivePush(w)
	}
}

// hearPush takes a committed version like a push.
func (v *testVM) receivePush(w *preparedWrite) {
	patches := []VersionedPatch{{Version: w.head.Version, Patch: w.patch, Root: w.head.Root}}
	if snap, ok := replay(v.core.snap, patches); ok {
		v.adopt(snap, patches)
	}
}

// read fetches the store's newest version.
func (m *stateMachine) fetchFromStore(t *rapid.T) {
	v := m.drawVM(t, "vm")
	f, err := v.fetchNewest(t.Context(), v.core.snap)
	must.NoError(t, err)
	v.adopt(f.snap, f.patches)
}

// pull fetches what another VM has.
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

// beginSweep plans a collection; deleteOne goes on from there. A commit may
// come between its list and its update of the head.
func (m *stateMachine) planSweep(t *rapid.T) {
	m.store.beforePut = func() {
		m.store.beforePut = nil
		if len(m.writes) > 0 && rapid.Bool().Draw(t, "commit in between") {
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

// check asserts what must hold after every step.
func (m *stateMachine) checkInvariants(t *rapid.T) {
	for _, v := range m.vms {
		version := v.Current().Version
		if version < v.highestVersion {
			t.Fatalf("version fell from %d to %d", v.highestVersion, version)
		}
		v.highestVersion = version
		if root, committed := m.roots[version]; !committed || root != v.core.snap.root {
			t.Fatalf("version %d with root %s was never committed", version, v.core.snap.root)
		}
	}
	fresh := m.newTestVM()
	if _, err := fresh.fetchNewest(t.Context(), emptySnapshot()); err != nil {
		t.Fatalf("the head leads to what is not there: %v", err)
	}
}

func TestManagerStateMachine(t *testing.T) {
	must.NoError(t, seed.Rapid())
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

// TestSweepAndCommits lets a collection meet commits that began before and
// after it: the first fails, and the second keeps a chunk that was unused.
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
	must.Len(t, 2, unused, must.Sprint("the chunk and the index of the first patch"))
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
