package lease

import (
	"context"
	"fmt"
	"slices"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/baobabdyke/baobabdyke/store"
)

// A restorable is a store of one object that may be restored from an earlier copy. A
// write compares revisions only, as the writer may not know of the restore yet.
type restorable struct {
	store.Store
	era, revision int64
	// written is the revision of the object, 0 if there is none.
	written int64
	value   []byte
	copies  []restorable
	// beforePut is called at the beginning of a Put.
	beforePut func()
}

func (s *restorable) Get(context.Context, string) (store.Object, error) {
	o := store.Object{Version: store.VersionIn(s.era, s.written), Value: s.value}
	if s.written == 0 {
		return o, store.ErrNotFound
	}
	return o, nil
}

func (s *restorable) Put(_ context.Context, _ string, value []byte, expect int64) store.WriteResult {
	if before := s.beforePut; before != nil {
		s.beforePut = nil
		before()
	}
	if store.Revision(expect) != s.written {
		return store.Conflict{Current: store.VersionIn(s.era, s.written)}
	}
	s.copies = append(s.copies, restorable{revision: s.revision, written: s.written, value: s.value})
	s.revision++
	s.written, s.value = s.revision, slices.Clone(value)
	return store.Done{Version: store.VersionIn(s.era, s.written)}
}

// restore goes back to the copy with the given index.
func (s *restorable) restore(i int) {
	c := s.copies[i]
	s.era++
	s.revision, s.written, s.value = c.revision, c.written, c.value
	s.copies = s.copies[:i]
}

// TestTermsIncreaseAcrossRestores guards against two holders of one term, or a lower
// term after a higher one, when the store is restored from an older copy, also just
// before a write whose expected revision was given out again.
func TestTermsIncreaseAcrossRestores(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &restorable{}
		held := map[Holder]Record{}
		holders := map[int64]Holder{}
		highest := int64(-1)
		record := func(h Holder, r Result) {
			got, ok := r.(Held)
			if !ok {
				delete(held, h)
				return
			}
			held[h] = got.Record
			term := got.Record.Lease.Term
			if known, ok := holders[term]; ok && known == h {
				return
			}
			if _, ok := holders[term]; ok || term <= highest {
				t.Fatalf("%v acquired term %d, the highest is %d of %v", h, term, highest, holders[highest])
			}
			holders[term], highest = h, term
		}
		restore := func() {
			if len(s.copies) > 0 {
				s.restore(rapid.IntRange(0, len(s.copies)-1).Draw(t, "copy"))
			}
		}
		acquire := func() {
			h := Holder{ID: fmt.Sprint(rapid.IntRange(0, 2).Draw(t, "vm")), Incarnation: 1}
			record(h, Acquire(context.Background(), s, request(h, always)))
		}
		t.Repeat(map[string]func(*rapid.T){
			"acquire": func(*rapid.T) { acquire() },
			"renew": func(*rapid.T) {
				h := Holder{ID: fmt.Sprint(rapid.IntRange(0, 2).Draw(t, "vm")), Incarnation: 1}
				if r, ok := held[h]; ok {
					record(h, Renew(context.Background(), s, "", r, nil))
				}
			},
			"restore": func(*rapid.T) { restore() },
			"restore during the next write": func(*rapid.T) {
				again := rapid.IntRange(0, 3).Draw(t, "acquisitions")
				s.beforePut = func() {
					restore()
					for range again {
						acquire()
					}
				}
			},
		})
	})
}

// TestHolderTakesNewTermAfterRestore guards against a holder that goes on under a
// term of which the restored store no longer shows the successors.
func TestHolderTakesNewTermAfterRestore(t *testing.T) {
	s := &restorable{}
	old := mustHold(t, Acquire(t.Context(), s, request(first, nil)), first, 1)
	mustHold(t, Acquire(t.Context(), s, request(second, always)), second, 2)
	s.restore(1)

	_, taken := Renew(t.Context(), s, "", old, nil).(Taken)
	must.True(t, taken)
	_, taken = Release(t.Context(), s, "", old, nil).(Taken)
	must.True(t, taken)
	_, taken = Acquire(t.Context(), s, request(second, nil)).(Taken)
	must.True(t, taken)
	// The renewal has replaced the record, whose revision was given out again.
	term := store.VersionIn(1, 2)
	held := mustHold(t, Acquire(t.Context(), s, request(first, nil)), first, term)
	held = mustHold(t, Renew(t.Context(), s, "", held, nil), first, term)
	mustHold(t, Acquire(t.Context(), s, request(second, always)), second, term+1)
	_, taken = Renew(t.Context(), s, "", held, nil).(Taken)
	must.True(t, taken)
}
