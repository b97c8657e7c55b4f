package source

import (
	"bytes"
	"context"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/baobabdyke/baobabdyke/internal/fleet/site"
	"github.com/baobabdyke/baobabdyke/internal/logs/logline"
	"github.com/baobabdyke/baobabdyke/store"
)

const (
	// recoveryGrace is how long after an outage of the store the entry of a target
	// may be missing before the target is removed. The platform guarantees that
	// live targets write their entries again within 2 s.
	recoveryGrace = 1900 * time.Millisecond
	// expireInterval is the time between two checks for missing entries whose grace
	// period has ended.
	expireInterval = 250 * time.Millisecond
)

// A table holds the objects of one kind as last read.
type table struct {
	objects map[string]entry
	// at is the store's version up to which the table is complete.
	at int64
	// listed reports whether changes after at may be read. Otherwise a snapshot of
	// the kind has to be read.
	listed bool
	// confirmed is a time up to which the table has all changes that the store had
	// acknowledged, as far as known.
	confirmed time.Time
	// selfReading reports whether this VM reads the kind from the store because no
	// other VM confirms it.
	selfReading bool
	// hash identifies the content.
	hash uint64
	// losses counts the reads without a usable history since the last one that
	// returned changes, or that there were none.
	losses int
	// failed reports whether the last read of the kind got no response, at failedAt.
	// silentSince is since when the store has been silent at most.
	failed                bool
	failedAt, silentSince time.Time
	// recovered is when the store responded again after an outage in which entries may
	// have expired.
	recovered time.Time
	// gapEnd is the end of the last minOutage or more in which the table was not confirmed.
	gapEnd time.Time
	// removed holds, by key, the versions of removals later than floor. Earlier
	// removals are not recorded.
	removed map[string]int64
	floor   int64
	// left holds, by key, the targets that were leaving when they were removed. A
	// restored store may show them again as they were before.
	left map[string]*site.Target
}

// An entry is one object with its decoded form. Target and config are nil, and
// weights is 0, if the object could not be decoded.
type entry struct {
	object store.Object
	target *site.Target
	config *site.Config
	// weights is the announced version of the model.
	model   string
	weights int64
	order   *site.Order
	// missingSince is when the entry was found missing during the grace period after
	// an outage; zero if the entry is not missing.
	missingSince time.Time
}

// version returns the version of the configuration, or 0 if there is none.
func (e entry) version() int64 {
	if e.config == nil {
		return 0
	}
	return e.config.Version
}

// isIn reports whether the entry's object is among the given ones.
func (e entry) isIn(objects []store.Object) bool {
	return slices.ContainsFunc(objects, func(o store.Object) bool {
		return o.Key == e.object.Key && o.Version == e.object.Version
	})
}

func newTable() *table {
	return &table{objects: map[string]entry{}, removed: map[string]int64{}, left: map[string]*site.Target{}}
}

// maxRemoved is the number of removals that are recorded.
const maxRemoved = 256

// recordLeft records that a target was removed while it was leaving.
func (t *table) recordLeft(key string, target *site.Target) {
	if target == nil || !target.Leaving {
		return
	}
	if len(t.left) >= maxRemoved {
		clear(t.left)
	}
	t.left[key] = target
}

// isLeaving reports whether the start of a target that an entry describes is known to
// be leaving.
func (t *table) isLeaving(key string, target *site.Target) bool {
	for _, known := range []*site.Target{t.objects[key].target, t.left[key]} {
		if known != nil && known.Leaving && known.Born == target.Born {
			return true
		}
	}
	return false
}

// recordRemoval records the removal of an entry at a version.
func (t *table) recordRemoval(key string, at int64) {
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
		if e.missingSince.IsZero() {
			h += xxhash.Sum64String(key) ^ uint64(e.object.Version)*0x9e3779b97f4a7c15
		}
	}
	t.hash = h
}

// remove removes an entry, or marks it as missing during the grace period after an
// outage.
func (t *table) remove(key string, now time.Time, grace bool) {
	e, ok := t.objects[key]
	if !ok {
		return
	}
	if grace && e.missingSince.IsZero() {
		e.missingSince = now
		t.objects[key] = e
		return
	}
	if !grace {
		t.recordLeft(key, e.target)
		delete(t.objects, key)
	}
}

// applySnapshot replaces the content of a table with the store's objects at a
// version, which were requested at start. It returns false if the table's state is
// later, as when it was pulled from another VM in the meantime.
func (s *Source) applySnapshot(kind int, objects []store.Object, at int64, start time.Time) bool {
	s.mu.Lock()
	t := s.tables[kind]
	now := time.Now()
	s.endOutage(t, now)
	s.log("msg", "snapshot read", "kind", s.opts.Decoder.Kinds[kind], "at", at, "before", t.at,
		"objects", len(objects), "notlater", t.countNotLater(objects), "bytes", objectBytes(objects), "took", now.Sub(start))
	if at < t.at {
		s.mu.Unlock()
		return false
	}
	if s.isRestored(kind, t, at) {
		// Entries that were written after the copy may be missing for a while.
		t.recovered = now
	}
	s.replace(kind, t, objects, now)
	t.at, t.listed = at, true
	s.confirm(t, start)
	// Removals before the snapshot are not known.
	clear(t.removed)
	t.floor = t.at
	t.rehash()
	s.publish()
	s.mu.Unlock()
	s.changed()
	return true
}

// objectBytes returns the size of objects.
func objectBytes(objects []store.Object) int {
	n := 0
	for _, o := range objects {
		n += len(o.Value)
	}
	return n
}

// isRestored reports whether the store was restored between the table's state and one
// of the given version, and records and logs it. The caller holds mu.
func (s *Source) isRestored(kind int, t *table, at int64) bool {
	if store.Era(at) > store.Era(s.restored) {
		s.restored, s.restoredAt = at, time.Now()
	}
	if t.at == 0 || store.Era(at) <= store.Era(t.at) {
		return false
	}
	s.log("msg", "object store restored", "kind", s.opts.Decoder.Kinds[kind], "era", store.Era(at), "before", store.Era(t.at),
		"at", store.Revision(at), "was", store.Revision(t.at), "known", len(t.objects), "config", s.newest.version())
	return true
}

// countNotLater returns the number of objects that differ from those in the table
// although their versions are not higher.
func (t *table) countNotLater(objects []store.Object) int {
	n := 0
	for _, o := range objects {
		known, ok := t.objects[o.Key]
		if ok && known.object.Version >= o.Version && !bytes.Equal(known.object.Value, o.Value) {
			n++
		}
	}
	return n
}

// replace replaces the table's content with the given objects. The caller holds
// mu.
func (s *Source) replace(kind int, t *table, objects []store.Object, now time.Time) {
	present := make(map[string]bool, len(objects))
	for _, o := range objects {
		present[o.Key] = true
		s.put(kind, t, o)
	}
	grace := kind == Targets && now.Sub(t.recovered) < recoveryGrace
	for key := range t.objects {
		if !present[key] {
			t.remove(key, now, grace)
		}
	}
}

// applyEvents applies the changes that a read from version after returned, which contain all
// that the store had acknowledged at the time confirmed.
func (s *Source) applyEvents(kind int, after int64, events []store.Event, at int64, confirmed time.Time) {
	s.mu.Lock()
	t := s.tables[kind]
	if !t.listed || t.at < after || t.at > max(at, after) {
		// A later state was received from another VM in the meantime.
		s.mu.Unlock()
		return
	}
	now := time.Now()
	s.endOutage(t, now)
	t.losses = 0
	grace := kind == Targets && now.Sub(t.recovered) < recoveryGrace
	for _, e := range events {
		if known := t.objects[e.Object.Key].object; t.at > after && known.Version > e.Object.Version {
			// A read that was sent later has brought a later state of the object.
			continue
		}
		if e.Deleted {
			t.remove(e.Object.Key, now, grace)
			t.recordRemoval(e.Object.Key, max(at, after))
			continue
		}
		delete(t.removed, e.Object.Key)
		s.put(kind, t, e.Object)
	}
	t.at = max(at, after)
	s.confirm(t, confirmed)
	if len(events) == 0 {
		s.mu.Unlock()
		return
	}
	t.rehash()
	s.publish()
	s.mu.Unlock()
	s.changed()
}

// put adds or replaces one object. The caller holds mu.
func (s *Source) put(kind int, t *table, o store.Object) {
	old, known := t.objects[o.Key]
	if known && old.object.Version >= o.Version && old.missingSince.IsZero() {
		return
	}
	e := entry{object: o}
	switch kind {
	case Targets:
		e.target = s.decodeTarget(o)
		if e.target != nil && !e.target.Leaving && t.isLeaving(o.Key, e.target) {
			s.log("msg", "older target entry", "target", e.target.ID, "kept", "leaving")
			e.target.Leaving = true
		}
		if e.target == nil || old.target != nil && old.target.Born != e.target.Born {
			t.recordLeft(o.Key, old.target)
		}
		s.logTarget(old.target, e.target)
	case Config:
		e.config = s.decodeConfig(o)
	case WeightVersions:
		e.model, e.weights = s.decodeWeights(o)
	case Orders:
		e.order = s.decodeOrder(o)
	}
	t.objects[o.Key] = e
}

func (s *Source) decodeTarget(o store.Object) *site.Target {
	_, id, _ := strings.Cut(o.Key, "/")
	t, err := s.opts.Decoder.Target(id, o.Value)
	if err != nil {
		s.logIgnored("target entry ignored", o, err)
		return nil
	}
	return t
}

func (s *Source) decodeConfig(o store.Object) *site.Config {
	cfg, err := s.opts.Decoder.Config(o.Value)
	if err != nil {
		s.logIgnored("configuration ignored", o, err)
		return nil
	}
	return cfg
}

func (s *Source) decodeWeights(o store.Object) (model string, version int64) {
	model, version, err := s.opts.Decoder.Weights(o.Value)
	if err != nil {
		s.logIgnored("weights ignored", o, err)
		return "", 0
	}
	return model, version
}

func (s *Source) decodeOrder(o store.Object) *site.Order {
	if s.opts.Decoder.Order == nil {
		return nil
	}
	_, name, _ := strings.Cut(o.Key, "/")
	order := s.opts.Decoder.Order(name, o.Value)
	order.Version = o.Version
	return order
}

func (s *Source) logIgnored(msg string, o store.Object, err error) {
	s.log("msg", msg, "err", logline.ErrorText(err), "version", o.Version)
}

// logTarget logs that a target was added or began to leave.
func (s *Source) logTarget(old, updated *site.Target) {
	switch {
	case updated == nil:
	case old == nil || old.Born != updated.Born:
		s.log("msg", "target listed", "target", updated.ID, "service", updated.Service, "address", updated.Address, "leaving", updated.Leaving)
	case updated.Leaving && !old.Leaving:
		s.log("msg", "target leaves", "target", updated.ID)
	}
}

// expireMissing removes the missing entries whose grace period has ended.
func (s *Source) expireMissing(ctx context.Context) {
	for store.Sleep(ctx, expireInterval) {
		s.mu.Lock()
		t := s.tables[Targets]
		removed := 0
		now := time.Now()
		for key, e := range t.objects {
			if !e.missingSince.IsZero() && now.Sub(t.recovered) >= recoveryGrace {
				t.recordLeft(key, e.target)
				delete(t.objects, key)
				s.log("msg", "target removed", "target", key)
				removed++
			}
		}
		if removed > 0 {
			t.rehash()
			s.publish()
		}
		s.mu.Unlock()
		if removed > 0 {
			s.changed()
		}
	}
}

func (s *Source) changed() {
	if s.opts.OnChange != nil {
		s.opts.OnChange()
	}
}

// publish builds a new view from the tables. The caller holds mu.
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
	s.addWeights(v)
	for _, e := range s.tables[Orders].objects {
		if e.order != nil {
			if v.Orders == nil {
				v.Orders = map[string]*site.Order{}
			}
			v.Orders[e.order.Service] = e.order
		}
	}
	s.view.Store(v)
	if v.Config != nil && s.tables[Targets].at > 0 && (!s.isRead(Orders) || s.tables[Orders].at > 0) {
		s.readyOnce.Do(func() { close(s.ready) })
	}
}

// newestConfig returns the newest configuration known, whose version never decreases,
// also if the store shows an older one. The caller holds mu.
func (s *Source) newestConfig(inForce *site.Config) *site.Config {
	for _, e := range s.tables[Config].objects {
		if e.version() > s.newest.version() {
			s.recordBase(s.newest.object)
			s.newest = e
		}
	}
	if cfg := s.newest.config; cfg != inForce {
		s.log("msg", "configuration in force", "version", cfg.Version, "object", s.newest.object.Version, "routes", len(cfg.Routes), "customers", len(cfg.Customers))
	}
	return s.newest.config
}
