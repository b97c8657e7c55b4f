package store

import (
	"context"
	"sort"
	"strings"
	"sync"
	"time"
)

const (
	// watchBuffer is the number of events by which a watcher may lag behind
	// before its watch is closed.
	watchBuffer = 1024
	// maxHistoryBytes is the maximum size of the values that a Memory keeps for
	// watches that start at an earlier version and for stale reads.
	maxHistoryBytes = 32 << 20
)

// A Memory is an in-memory Store and Directory with fault injection, for tests
// and the demo. For returns the view of one VM, so that the store can fail for
// one VM and work for others.
type Memory struct {
	view *MemoryView

	mu      sync.Mutex
	version int64
	objects map[string]Object
	history []Event
	// historyBytes is the size of the values in history; droppedVersion is the
	// version of the newest event that was removed from it.
	historyBytes   int
	droppedVersion int64
	watches        map[*memoryWatch]struct{}
	vms            []VMRecord
	fault          func(Call) Fault
	muted          map[string]bool
	rate           rateWindow
	counts         map[string]Counts
}

type memoryWatch struct {
	from   string
	prefix string
	events chan Event
}

// NewMemory returns an empty Memory.
func NewMemory() *Memory {
	m := &Memory{
		objects: map[string]Object{},
		watches: map[*memoryWatch]struct{}{},
		muted:   map[string]bool{},
		counts:  map[string]Counts{},
	}
	m.view = m.For("")
	return m
}

// For returns the view of the Memory for the VM with the given id.
func (m *Memory) For(vm string) *MemoryView {
	return &MemoryView{memory: m, from: vm}
}

// Get implements Store.
func (m *Memory) Get(ctx context.Context, key string) (Object, error) {
	return m.view.Get(ctx, key)
}

// List implements Store.
func (m *Memory) List(ctx context.Context, prefix string) ([]Object, error) {
	return m.view.List(ctx, prefix)
}

// Put implements Store.
func (m *Memory) Put(ctx context.Context, key string, value []byte, expect int64) WriteResult {
	return m.view.Put(ctx, key, value, expect)
}

// Delete implements Store.
func (m *Memory) Delete(ctx context.Context, key string, expect int64) WriteResult {
	return m.view.Delete(ctx, key, expect)
}

// Watch implements Store.
func (m *Memory) Watch(ctx context.Context, prefix string, after int64) (<-chan Event, error) {
	return m.view.Watch(ctx, prefix, after)
}

// VMs implements Directory.
func (m *Memory) VMs(ctx context.Context) ([]VMRecord, error) {
	return m.view.VMs(ctx)
}

// SetVMs replaces the list that VMs returns.
func (m *Memory) SetVMs(vms []VMRecord) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.vms = append([]VMRecord(nil), vms...)
}

// get returns an object as of stale changes ago.
func (m *Memory) get(key string, stale int64) (Object, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	o, ok := m.objectAt(key, m.version-stale)
	if !ok {
		return Object{}, ErrNotFound
	}
	return o, nil
}

// list returns the objects under prefix as of stale changes ago.
func (m *Memory) list(prefix string, stale int64) []Object {
	m.mu.Lock()
	defer m.mu.Unlock()
	keys := map[string]bool{}
	for key := range m.objects {
		keys[key] = strings.HasPrefix(key, prefix)
	}
	if stale > 0 {
		for _, e := range m.history {
			keys[e.Object.Key] = strings.HasPrefix(e.Object.Key, prefix)
		}
	}
	var list []Object
	for key, matches := range keys {
		if !matches {
			continue
		}
		if o, ok := m.objectAt(key, m.version-stale); ok {
			list = append(list, o)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Key < list[j].Key })
	return list
}

// objectAt returns the object as of a version, or the current one if the history
// is not long enough. The caller holds mu.
func (m *Memory) objectAt(key string, version int64) (Object, bool) {
	current, ok := m.objects[key]
	if version >= m.version || version < m.droppedVersion || (ok && current.Version <= version) {
		return current, ok
	}
	for i := len(m.history) - 1; i >= 0; i-- {
		e := m.history[i]
		if e.Object.Key == key && e.Object.Version <= version {
			return e.Object, !e.Deleted
		}
	}
	if m.droppedVersion > 0 {
		return current, ok
	}
	return Object{}, false
}

// write executes one conditional update; a nil value deletes the object.
func (m *Memory) write(key string, value []byte, expect int64) WriteResult {
	m.mu.Lock()
	defer m.mu.Unlock()
	current := m.objects[key].Version
	isDelete := value == nil
	if current != expect || (isDelete && expect == MustNotExist) {
		return Conflict{Current: current}
	}
	m.version++
	if isDelete {
		delete(m.objects, key)
		m.publish(Event{Object: Object{Key: key, Version: m.version}, Deleted: true})
		return Done{Version: m.version}
	}
	o := Object{Key: key, Version: m.version, Value: value}
	m.objects[key] = o
	m.publish(Event{Object: o})
	return Done{Version: o.Version}
}

// watch starts a watch of one VM.
func (m *Memory) watch(ctx context.Context, from, prefix string, after int64) <-chan Event {
	m.mu.Lock()
	defer m.mu.Unlock()
	w := &memoryWatch{from: from, prefix: prefix, events: make(chan Event, watchBuffer)}
	m.watches[w] = struct{}{}
	for _, e := range m.eventsAfter(after) {
		m.send(w, e)
	}
	context.AfterFunc(ctx, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.endWatch(w)
	})
	return w.events
}

// eventsAfter returns the events after a version: those in the history, or the
// current objects if the history does not reach back far enough. The caller
// holds mu.
func (m *Memory) eventsAfter(after int64) []Event {
	if after >= m.droppedVersion {
		i := sort.Search(len(m.history), func(i int) bool { return m.history[i].Object.Version > after })
		return m.history[i:]
	}
	var events []Event
	for _, o := range m.objects {
		if o.Version > after {
			events = append(events, Event{Object: o})
		}
	}
	sort.Slice(events, func(i, j int) bool { return events[i].Object.Version < events[j].Object.Version })
	return events
}

// publish adds the event to the history and sends it to the watches. The caller
// holds mu.
func (m *Memory) publish(e Event) {
	m.history = append(m.history, e)
	m.historyBytes += len(e.Object.Value)
	for m.historyBytes > maxHistoryBytes {
		m.historyBytes -= len(m.history[0].Object.Value)
		m.droppedVersion = m.history[0].Object.Version
		m.history = m.history[1:]
	}
	for w := range m.watches {
		m.send(w, e)
	}
}

// send sends one event to a watch, or closes the watch if it lags too far
// behind. The caller holds mu.
func (m *Memory) send(w *memoryWatch, e Event) {
	if m.muted[w.from] || !strings.HasPrefix(e.Object.Key, w.prefix) {
		return
	}
	if _, open := m.watches[w]; !open {
		return
	}
	select {
	case w.events <- e:
	default:
		m.endWatch(w)
	}
}

// endWatch closes a watch if it is open. The caller holds mu.
func (m *Memory) endWatch(w *memoryWatch) {
	if _, open := m.watches[w]; !open {
		return
	}
	delete(m.watches, w)
	close(w.events)
}

// admit counts a call and returns its fault.
func (m *Memory) admit(c Call) Fault {
	m.mu.Lock()
	fault := m.fault
	counts := m.counts[c.From]
	counts.add(c.Kind)
	m.counts[c.From] = counts
	overLimit := m.rate.exceeded(time.Now())
	m.mu.Unlock()
	var f Fault
	if fault != nil {
		f = fault(c)
	}
	f.Refuse = f.Refuse || overLimit
	return f
}
