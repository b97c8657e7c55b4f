package source

import (
	"context"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/baobabdyke/baobabdyke/internal/fleet/site"
	"github.com/baobabdyke/baobabdyke/store"
)

const (
	// returnGrace is how long after the store's return an entry of a target may
	// be missing before the target counts as gone; the platform promises entries
	// of live targets within 2 s.
	returnGrace = 1900 * time.Millisecond
	// settlePeriod is how often entries in grace are looked at.
	settlePeriod = 250 * time.Millisecond
)

// A table is one kind of objects as this VM last saw it.
type table struct {
	objects map[string]entry
	// at is the store's version up to which the table is complete.
	at int64
	// listed tells that changes after at may be read; otherwise the kind has to
	// be read whole.
	listed bool
	// hash identifies the content.
	hash uint64
	// failed tells that the last read of the kind got no answer.
	failed bool
	// returned is when the store answered again after an outage.
	returned time.Time
	// removed are the versions at which entries were removed, of those later than
	// floor.
	removed map[string]int64
	floor   int64
}

// An entry is one object with its decoded form; both forms are nil if it could
// not be decoded.
type entry struct {
	object store.Object
	target *site.Target
	config *site.Config
	// missing is when the entry was found to be missing while it may yet return;
	// zero while it is there.
	missing time.Time
}

func newTable() *table { return &table{objects: map[string]entry{}, removed: map[string]int64{}} }

// answered notes that the store has answered a read of the kind.
func (t *table) answered(now time.Time) {
	if t.failed {
		t.failed, t.returned = false, now
	}
}

// maxRemoved is the number of removals that are remembered.
const maxRemoved = 256

// remove notes the removal of an entry at a version.
func (t *table) remove(key string, at int64) {
	if len(t.removed) >= maxRemoved {
		clear(t.removed)
		t.floor = at
		return
	}
	t.removed[key] = at
}

func (t *table) rehash() {
	var h uint64
	for key, e := range t.objects {
		if e.missing.IsZero() {
			h += xxhash.Sum64String(key) ^ uint64(e.object.Version)*0x9e3779b97f4a7c15
		}
	}
	t.hash = h
}

// drop removes an entry, at once or after the grace that follows an outage.
func (t *table) drop(key string, now time.Time, grace bool) {
	e, ok := t.objects[key]
	if !ok {
		return
	}
	if grace && e.missing.IsZero() {
		e.missing = now
		t.objects[key] = e
		return
	}
	if !grace {
		delete(t.objects, key)
	}
}

// takeSnapshot replaces a table by what the store holds at a version.
func (s *Source) takeSnapshot(kind int, objects []store.Object, at int64) {
	s.mu.Lock()
	t := s.tables[kind]
	now := time.Now()
	t.answered(now)
	s.replace(kind, t, objects, now)
	t.at, t.listed = max(at, t.at), true
	// What was removed before the whole was read is not known.
	clear(t.removed)
	t.floor = t.at
	t.rehash()
	s.publish()
	s.mu.Unlock()
	s.changed()
}

// replace puts objects in the place of the table's content. The caller holds mu.
func (s *Source) replace(kind int, t *table, objects []store.Object, now time.Time) {
	there := make(map[string]bool, len(objects))
	for _, o := range objects {
		there[o.Key] = true
		s.put(kind, t, o)
	}
	grace := kind == Targets && now.Sub(t.returned) < returnGrace
	for key := range t.objects {
		if !there[key] {
			t.drop(key, now, grace)
		}
	}
}

// takeEvents applies the changes that a read from version after returned.
func (s *Source) takeEvents(kind int, after int64, events []store.Event, at int64) {
	s.mu.Lock()
	t := s.tables[kind]
	if t.at != after || !t.listed {
		// Another VM has told of a later state meanwhile.
		s.mu.Unlock()
		return
	}
	now := time.Now()
	t.answered(now)
	grace := kind == Targets && now.Sub(t.returned) < returnGrace
	for _, e := range events {
		if e.Deleted {
			t.drop(e.Object.Key, now, grace)
			t.remove(e.Object.Key, max(at, after))
			continue
		}
		delete(t.removed, e.Object.Key)
		s.put(kind, t, e.Object)
	}
	t.at = max(at, after)
	if len(events) == 0 {
		s.mu.Unlock()
		return
	}
	t.rehash()
	s.publish()
	s.mu.Unlock()
	s.changed()
}

// put takes in one object. The caller holds mu.
func (s *Source) put(kind int, t *table, o store.Object) {
	old, known := t.objects[o.Key]
	if known && old.object.Version >= o.Version && old.missing.IsZero() {
		return
	}
	e := entry{object: o}
	switch kind {
	case Targets:
		e.target = s.decodeTarget(o)
		s.logTarget(old.target, e.target)
	case Config:
		e.config = s.decodeConfig(o)
	}
	t.objects[o.Key] = e
}

func (s *Source) decodeTarget(o store.Object) *site.Target {
	_, id, _ := strings.Cut(o.Key, "/")
	t, err := s.opts.Decoder.Target(id, o.Value)
	if err != nil {
		s.log("msg", "target entry ignored", "err", err, "version", o.Version)
		return nil
	}
	return t
}

func (s *Source) decodeConfig(o store.Object) *site.Config {
	cfg, err := s.opts.Decoder.Config(o.Value)
	if err != nil {
		s.log("msg", "configuration ignored", "err", err, "version", o.Version)
		return nil
	}
	return cfg
}

// logTarget notes that a target came or began to leave.
func (s *Source) logTarget(old, now *site.Target) {
	switch {
	case now == nil:
	case old == nil || old.Born != now.Born:
		s.log("msg", "target listed", "target", now.ID, "service", now.Service, "address", now.Address, "leaving", now.Leaving)
	case now.Leaving && !old.Leaving:
		s.log("msg", "target leaves", "target", now.ID)
	}
}

// settle removes the entries whose grace has ended.
func (s *Source) settle(ctx context.Context) {
	for store.Sleep(ctx, settlePeriod) {
		s.mu.Lock()
		t := s.tables[Targets]
		gone := 0
		now := time.Now()
		for key, e := range t.objects {
			if !e.missing.IsZero() && now.Sub(t.returned) >= returnGrace {
				delete(t.objects, key)
				s.log("msg", "target gone", "target", key)
				gone++
			}
		}
		if gone > 0 {
			t.rehash()
			s.publish()
		}
		s.mu.Unlock()
		if gone > 0 {
			s.changed()
		}
	}
}

func (s *Source) changed() {
	if s.opts.OnChange != nil {
		s.opts.OnChange()
	}
}

// publish makes a new view of the tables. The caller holds mu.
func (s *Source) publish() {
	old := s.view.Load()
	v := &View{
		Config:  s.newestConfig(old.Config),
		Targets: make(map[string]*site.Target, len(s.tables[Targets].objects)),
		Weights: old.Weights,
	}
	for _, e := range s.tables[Targets].objects {
		if e.target != nil {
			v.Targets[e.target.ID] = e.target
		}
	}
	s.nameWeights(v)
	s.view.Store(v)
	if v.Config != nil && s.tables[Targets].at > 0 {
		s.opened.Do(func() { close(s.ready) })
	}
}

// newestConfig returns the configuration in the table if it is newer than the
// one in force, which never goes back.
func (s *Source) newestConfig(now *site.Config) *site.Config {
	for _, e := range s.tables[Config].objects {
		if cfg := e.config; cfg != nil && (now == nil || cfg.Version > now.Version) {
			s.log("msg", "configuration in force", "version", cfg.Version, "object", e.object.Version, "routes", len(cfg.Routes), "customers", len(cfg.Customers))
			now = cfg
		}
	}
	return now
}
