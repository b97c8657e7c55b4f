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
type hooked struct {
	*store.Memory
	before func()
}

func (h *hooked) Put(ctx context.Context, key string, value []byte, expect int64) store.WriteResult {
	if h.before != nil {
		h.before()
	}
	return h.Memory.Put(ctx, key, value, expect)
}

// A machine is several pure keepers over one store, driven step by step. Writes
// of the head are under way until they are delivered, which may happen late,
// twice or never.
type machine struct {
	store  *hooked
	vms    []*member
	writes []*write
	sweep  []store.Object   // chunks that a collection has still to delete
	roots  map[int64]string // by committed version
	ids    map[string]int64 // committed patches
	next   int
}

// A member is one VM: a keeper that does not run, and its state.
type member struct {
	*Manager
	core *core
	high int64
}

func newMachine(n int) *machine {
	m := &machine{
		store: &hooked{Memory: store.NewMemory()},
		roots: map[int64]string{0: ""}, ids: map[string]int64{},
	}
	for range n {
		m.vms = append(m.vms, m.newMember())
	}
	return m
}

func (m *machine) newMember() *member {
	return &member{Manager: NewManager(Options{Store: m.store, Roster: alone{}}), core: newCore()}
}

// adopt puts a snapshot in force on a VM.
func (v *member) adopt(s *snapshot, patches []VersionedPatch) {
	v.core.adopt(s, patches)
	v.publish(v.core)
}

func (m *machine) vm(t *rapid.T, name string) *member {
	return m.vms[rapid.IntRange(0, len(m.vms)-1).Draw(t, name)]
}

// prepare makes a write on a VM: a new patch, or the patch of an earlier one.
func (m *machine) prepare(t *rapid.T) {
	v := m.vm(t, "vm")
	m.store.before = func() {
		if rapid.Bool().Draw(t, "delete meanwhile") {
			m.deleteOne()
		}
	}
	defer func() { m.store.before = nil }()
	read, err := v.readHead(t.Context())
	must.NoError(t, err)
	p := m.patch(t, read.Version)
	if result := judge(read.Head, p); result != nil {
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

func (m *machine) patch(t *rapid.T, base int64) Patch {
	if len(m.writes) > 0 && rapid.Bool().Draw(t, "again") {
		return m.writes[rapid.IntRange(0, len(m.writes)-1).Draw(t, "write")].patch
	}
	m.next++
	p := Patch{ID: fmt.Sprintf("p%d", m.next), Base: base}
	piece := 1 + rapid.IntRange(0, 1).Draw(t, "piece")
	p.Set.Models = []Model{{Name: "m", Versions: []string{"1"}, Piece: piece}}
	return p
}

// deliver brings one write of the head to the store.
func (m *machine) deliver(t *rapid.T) {
	if len(m.writes) == 0 {
		t.Skip("nothing under way")
	}
	m.put(t, m.writes[rapid.IntRange(0, len(m.writes)-1).Draw(t, "write")])
}

func (m *machine) put(t *rapid.T, w *write) {
	done, ok := m.store.Put(t.Context(), headKey, w.value, w.before.object).(store.Done)
	if !ok {
		return
	}
	if done.Version == 0 || m.roots[w.head.Version] != "" {
		t.Fatalf("version %d was committed twice", w.head.Version)
	}
	if _, twice := m.ids[w.patch.ID]; twice {
		t.Fatalf("patch %s was committed twice", w.patch.ID)
	}
	m.roots[w.head.Version], m.ids[w.patch.ID] = w.head.Root, w.head.Version
	if rapid.Bool().Draw(t, "answer arrives") {
		m.vm(t, "writer").hearPush(w)
	}
}

// hearPush takes a committed version like a push.
func (v *member) hearPush(w *write) {
	patches := []VersionedPatch{{Version: w.head.Version, Patch: w.patch, Root: w.head.Root}}
	if snap, whole := replay(v.core.snap, patches); whole {
		v.adopt(snap, patches)
	}
}

// read fetches the store's newest version.
func (m *machine) read(t *rapid.T) {
	v := m.vm(t, "vm")
	f, err := v.fetchNewest(t.Context(), v.core.snap)
	must.NoError(t, err)
	v.adopt(f.snap, f.patches)
}

// pull fetches what another VM has.
func (m *machine) pull(t *rapid.T) {
	v, from := m.vm(t, "vm"), m.vm(t, "from")
	reply, err := from.handlePull(t.Context(), "", Pull{Have: v.core.snap.version})
	must.NoError(t, err)
	if reply.Version <= v.core.snap.version {
		v.adopt(from.core.snap, nil)
		return
	}
	if snap, whole := replay(v.core.snap, reply.Patches); whole && snap.version == reply.Version {
		v.adopt(snap, reply.Patches)
		return
	}
	get := func(digests []string) ([][]byte, error) {
		r, err := from.handlePull(t.Context(), "", Pull{Chunks: digests})
		return r.Chunks, err
	}
	snap, err := complete(v.core.snap, Head{Version: reply.Version, Root: reply.Root}, get)
	must.NoError(t, err)
	v.adopt(snap, nil)
}

// beginSweep plans a collection; deleteOne goes on from there. A commit may
// come between its list and its update of the head.
func (m *machine) beginSweep(t *rapid.T) {
	m.store.before = func() {
		m.store.before = nil
		if len(m.writes) > 0 && rapid.Bool().Draw(t, "commit in between") {
			m.deliver(t)
		}
	}
	defer func() { m.store.before = nil }()
	list, err := m.vm(t, "vm").planSweep(t.Context())
	must.NoError(t, err)
	m.sweep = list
}

func (m *machine) deleteOne() {
	if len(m.sweep) == 0 {
		return
	}
	o := m.sweep[0]
	m.sweep = m.sweep[1:]
	m.store.Delete(context.Background(), o.Key, o.Version)
}

// check asserts what must hold after every step.
func (m *machine) check(t *rapid.T) {
	for _, v := range m.vms {
		version := v.Current().Version
		if version < v.high {
			t.Fatalf("version fell from %d to %d", v.high, version)
		}
		v.high = version
		if root, committed := m.roots[version]; !committed || root != v.core.snap.root {
			t.Fatalf("version %d with root %s was never committed", version, v.core.snap.root)
		}
	}
	fresh := m.newMember()
	if _, err := fresh.fetchNewest(t.Context(), emptySnapshot()); err != nil {
		t.Fatalf("the head leads to what is not there: %v", err)
	}
}

func TestKeepers(t *testing.T) {
	must.NoError(t, seed.Rapid())
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine(3)
		t.Repeat(map[string]func(*rapid.T){
			"prepare": m.prepare,
			"submit": func(t *rapid.T) {
				before := len(m.writes)
				m.prepare(t)
				for _, w := range m.writes[before:] {
					m.put(t, w)
				}
			},
			"deliver": m.deliver,
			"read":    m.read,
			"pull":    m.pull,
			"sweep":   m.beginSweep,
			"delete":  func(*rapid.T) { m.deleteOne() },
			"restart": func(t *rapid.T) {
				m.vms[rapid.IntRange(0, len(m.vms)-1).Draw(t, "vm")] = m.newMember()
			},
			"": m.check,
		})
	})
}

// TestSweepAndCommits lets a collection meet commits that began before and
// after it: the first fails, and the second keeps a chunk that was unused.
func TestSweepAndCommits(t *testing.T) {
	m := newMachine(1)
	k := m.vms[0]
	prepare := func(piece int) *write {
		read, err := k.readHead(t.Context())
		must.NoError(t, err)
		m.next++
		p := Patch{ID: fmt.Sprint("p", m.next), Base: read.Version}
		p.Set.Models = []Model{{Name: "m", Versions: []string{"1"}, Piece: piece}}
		w, result := k.prepare(t.Context(), read, p)
		must.Nil(t, result)
		return w
	}
	commit := func(w *write) bool {
		_, done := k.putHead(t.Context(), w).(store.Done)
		return done
	}
	must.True(t, commit(prepare(1)))
	must.True(t, commit(prepare(2)))
	before := prepare(1)
	unused, err := k.planSweep(t.Context())
	must.NoError(t, err)
	must.Len(t, 2, unused, must.Sprint("the chunk and the index of the first patch"))
	must.False(t, commit(before))
	after := prepare(1)
	m.sweep = unused
	for range unused {
		m.deleteOne()
	}
	must.True(t, commit(after))
	_, err = k.fetchNewest(t.Context(), emptySnapshot())
	must.NoError(t, err)
}
