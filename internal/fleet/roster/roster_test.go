package roster

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/shoenig/test/must"

	"github.com/baobabdyke/baobabdyke/store"
)

var epoch = time.Unix(1000, 0)

func entry(vm string, born int64, seq uint64) Entry {
	return Entry{VM: vm, Born: born, Seq: seq, Peers: vm + ":1"}
}

func TestMerge(t *testing.T) {
	t.Run("a later entry replaces an earlier one", func(t *testing.T) {
		table := NewTable(entry("self", 1, 0))
		must.Len(t, 1, table.Merge("a", []Entry{entry("a", 1, 5)}, epoch))
		must.Len(t, 0, table.Merge("b", []Entry{entry("a", 1, 4), entry("self", 9, 9)}, epoch))
		must.Len(t, 1, table.Merge("b", []Entry{entry("a", 2, 1)}, epoch))
		must.Eq(t, 2, table.Members()[0].Entry.Born)
	})
	t.Run("a silent VM may restart with an earlier wall clock time", func(t *testing.T) {
		table := NewTable(entry("self", 1, 0))
		table.Merge("a", []Entry{entry("a", 100, 5)}, epoch)
		must.Len(t, 0, table.Merge("a", []Entry{entry("a", 50, 1)}, epoch.Add(time.Second)))
		must.Len(t, 1, table.Merge("a", []Entry{entry("a", 50, 2)}, epoch.Add(2*time.Second)))
	})
	t.Run("a registered VM is not alive until an entry arrives", func(t *testing.T) {
		table := NewTable(entry("self", 1, 0))
		table.AddRegistered(entry("a", 1, 0), epoch)
		must.False(t, table.members["a"].Alive(epoch))
		must.Len(t, 0, table.EntriesFor("b", epoch)[1:])
		table.Merge("a", []Entry{entry("a", 1, 1)}, epoch)
		must.True(t, table.members["a"].Alive(epoch))
	})
	t.Run("a VM whose address another VM uses is removed", func(t *testing.T) {
		table := NewTable(entry("self", 1, 0))
		table.Merge("a", []Entry{entry("a", 1, 1)}, epoch)
		next := entry("b", 1, 1)
		next.Peers = "a:1"
		now := epoch.Add(3 * time.Second)
		table.Merge("b", []Entry{next}, now)
		must.Eq(t, []string{"a"}, table.RemoveGone(now))
	})
}

// exchange performs one exchange between two VMs and returns the number of entries
// that were sent.
func exchange(a, b *Table, nameA, nameB string, now time.Time) int {
	if a.Large() {
		back, want := b.Diff(a.Digest(now), now)
		a.Merge(nameB, back, now)
		out := a.EntriesOf(want, now)
		b.Merge(nameA, out, now)
		return len(out) + len(back)
	}
	out := a.EntriesFor(nameB, now)
	b.Merge(nameA, out, now)
	a.MarkDelivered(nameB, out)
	back := b.EntriesFor(nameA, now)
	a.Merge(nameB, back, now)
	b.MarkDelivered(nameA, back)
	return len(out) + len(back)
}

// TestPropagation simulates rounds in which each VM contacts two others at random.
// It checks that updates reach all VMs within a bounded number of rounds and that
// hardly any entry is sent twice to the same VM.
func TestPropagation(t *testing.T) {
	for _, n := range []int{8, 72} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			random := rand.New(rand.NewPCG(1, uint64(n)))
			tables := make([]*Table, n)
			name := func(i int) string { return fmt.Sprintf("vm-%02d", i) }
			for i := range tables {
				tables[i] = NewTable(entry(name(i), 1, 0))
			}
			now, sent := epoch, 0
			for round := range 12 {
				now = now.Add(baseInterval)
				for i, a := range tables {
					if i == 0 || round == 0 {
						a.UpdateSelf(func(*Entry) {})
					}
					for range fanout {
						j := random.IntN(n)
						if j == i {
							continue
						}
						sent += exchange(a, tables[j], name(i), name(j), now)
					}
				}
			}
			for i := 1; i < n; i++ {
				must.Greater(t, 7, int(tables[i].members[name(0)].Entry.Seq))
			}
			// Each update goes to each VM once, except for a few that are sent twice
			// concurrently.
			must.LessEq(t, 3*n*(n+12), sent)
		})
	}
}

// TestOddRegistration guards against a registration that names another VM or cannot be
// decoded, and that is logged at each read.
func TestOddRegistration(t *testing.T) {
	objects := store.NewMemory().For("vm-1")
	odd := map[string]string{
		"text":         `{"vm":7}`,
		"another":      `{"vm":"vm-2","born":9000000000000000000,"peers":"10.0.0.9:1"}`,
		"nameless":     `{"peers":"10.0.0.9:1"}`,
		"out-of-range": `{"vm":"out-of-range","born":` + strings.Repeat("9", 1000) + `,"peers":"10.0.0.9:1"}`,
		"nested":       strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000),
	}
	put := func(name, value string) {
		_, ok := objects.Put(t.Context(), Kind+"/"+name, []byte(value), store.MustNotExist).(store.Done)
		must.True(t, ok)
	}
	for name, value := range odd {
		put(name, value)
	}
	put("vm-2", `{"vm":"vm-2","born":1,"peers":"10.0.0.2:1"}`)
	var lines bytes.Buffer
	task := NewTask(Options{Self: entry("vm-1", 1, 0), Store: objects, Log: log.NewLogfmtLogger(&lines)})
	for range 3 {
		_, ok := task.list(t.Context())
		must.True(t, ok)
	}
	must.Len(t, 1, task.Members())
	must.Eq(t, "10.0.0.2:1", task.Members()[0].Entry.Peers)
	must.Eq(t, len(odd), strings.Count(lines.String(), "registration ignored"))
	must.StrNotContains(t, lines.String(), strings.Repeat("9", 500))
}
