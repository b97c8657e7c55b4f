package shares

import (
	"bytes"
	"context"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/shoenig/test/must"

	"github.com/baobabdyke/baobabdyke/store"
)

// A lister lists the objects in a store. The version is that of the latest object, as no VM
// lists while another one writes.
type lister struct{ *store.Memory }

func (l lister) Snapshot(ctx context.Context, kind string) ([]store.Object, int64, error) {
	objects, err := l.List(ctx, kind+"/")
	at := int64(0)
	for _, o := range objects {
		at = max(at, o.Version)
	}
	return objects, at, err
}

// A fleet is a number of VMs that renew their records in one store.
type fleet struct {
	store *store.Memory
	stops map[string]context.CancelFunc
	// scale is the factor by which renewals are less frequent than in a small fleet.
	scale float64

	// mu guards the fields below.
	mu      sync.Mutex
	members map[string]Members
	// silent are the VMs that the others do not hear.
	silent map[string]bool
	// lost are the VMs whose calls do not reach the store.
	lost map[string]bool
	gone []string
}

func newFleet() *fleet {
	return &fleet{store: store.NewMemory(), scale: 1, members: map[string]Members{}, stops: map[string]context.CancelFunc{}, silent: map[string]bool{}, lost: map[string]bool{}}
}

// startFleet starts VMs in virtual time.
func startFleet(t *testing.T, vms ...string) *fleet {
	f := newFleet()
	for _, vm := range vms {
		f.start(t, vm)
	}
	time.Sleep(10 * time.Second)
	return f
}

func (f *fleet) start(t *testing.T, vm string) {
	f.set(func() { delete(f.members, vm) })
	ctx, cancel := context.WithCancel(t.Context())
	task := NewTask(Options{
		VM: vm, Store: link{lister{f.store}, vm, f}, List: lister{f.store}, Clock: store.SystemClock{}, Log: log.NewNopLogger(),
		Needed: func() bool { return true }, Scale: func() float64 { return f.scale },
		Alive:    func(vm string) bool { return !f.isSilent(vm) },
		OnChange: func(m Members) { f.set(func() { f.members[vm] = m }) },
		OnGone:   func(_ context.Context, vm string) { f.set(func() { f.gone = append(f.gone, vm) }) },
	})
	f.stops[vm] = cancel
	go func() { _ = task.Run(ctx) }()
}

// set runs change with the lock held.
func (f *fleet) set(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

func (f *fleet) isSilent(vm string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.silent[vm]
}

// others returns the VMs that share the limits with a VM, as that knows.
func (f *fleet) others(vm string) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.members[vm].VMs
}

// freed returns the VMs whose shares are free.
func (f *fleet) freed() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.gone
}

// stop ends VMs.
func (f *fleet) stop(vms ...string) {
	for _, vm := range vms {
		f.stops[vm]()
		f.set(func() { f.silent[vm] = true })
	}
}

// lose ends VMs whose last calls do not reach the store.
func (f *fleet) lose(vms ...string) {
	for _, vm := range vms {
		f.set(func() { f.lost[vm] = true })
	}
	f.stop(vms...)
}

// A link carries the calls of a VM to the store until the VM is lost.
type link struct {
	lister
	vm string
	f  *fleet
}

// isCut reports whether the VM is lost.
func (l link) isCut() bool {
	l.f.mu.Lock()
	defer l.f.mu.Unlock()
	return l.f.lost[l.vm]
}

// Put implements store.Store.
func (l link) Put(ctx context.Context, key string, value []byte, expect int64) store.WriteResult {
	if l.isCut() {
		return store.Unknown{Err: store.ErrUnavailable}
	}
	return l.Memory.Put(ctx, key, value, expect)
}

// Delete implements store.Store.
func (l link) Delete(ctx context.Context, key string, expect int64) store.WriteResult {
	if l.isCut() {
		return store.Unknown{Err: store.ErrUnavailable}
	}
	return l.Memory.Delete(ctx, key, expect)
}

// has reports whether a VM may use its share.
func (f *fleet) has(vm string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Now().Before(f.members[vm].ShareUntil)
}

// TestShareOfSilentVM checks when the share of a VM is free, as the VM itself and the others
// see it.
func TestShareOfSilentVM(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, "a", "b", "c")
		for _, vm := range []string{"a", "b", "c"} {
			must.True(t, f.has(vm))
			must.Len(t, 2, f.others(vm))
		}
		f.lose("c")
		time.Sleep(Lease - interval)
		must.Len(t, 2, f.others("a"), must.Sprint("it may still use its share"))
		for len(f.freed()) == 0 {
			must.Len(t, 2, f.others("a"))
			time.Sleep(10 * time.Millisecond)
		}
		must.False(t, f.has("c"), must.Sprint("it stopped using its share before"))
		time.Sleep(2 * silentInterval)
		must.Eq(t, []string{"b"}, f.others("a"))
		must.Eq(t, []string{"c"}, f.freed())

		f.set(func() { f.silent["c"], f.lost["c"] = false, false })
		f.start(t, "c")
		time.Sleep(3 * interval)
		must.True(t, f.has("c"), must.Sprint("it joins again"))
		must.Len(t, 2, f.others("a"))
		f.stop("a", "b", "c")
		synctest.Wait()
	})
}

// TestShareOfStoppedVMIsFree checks that a planned stop frees the share without a wait.
func TestShareOfStoppedVMIsFree(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, "a", "b", "c")
		f.stop("c")
		time.Sleep(2 * interval)
		must.Eq(t, []string{"b"}, f.others("a"))
		must.Len(t, 0, f.freed())
		f.stop("a", "b")
		synctest.Wait()
	})
}

// TestSilentVMThatRenewsKeepsShare guards against the share of a VM that is given to others
// although it is only cut off from them.
func TestSilentVMThatRenewsKeepsShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, "a", "b")
		f.set(func() { f.silent["a"], f.silent["b"] = true, true })
		time.Sleep(time.Hour)
		must.True(t, f.has("a"))
		must.True(t, f.has("b"))
		must.Eq(t, []string{"b"}, f.others("a"))
		must.Len(t, 0, f.freed())
		f.stop("a", "b")
		synctest.Wait()
	})
}

// TestNewVMHasNoShareBeforeOthersKnow guards against a VM that uses a share of which those
// that divide the limits do not know.
func TestNewVMHasNoShareBeforeOthersKnow(t *testing.T) {
	now := time.Unix(1000, 0)
	alive := func(string) bool { return false }
	r := NewRegistry("n", now)
	other := Record{VM: "a", Seen: 5, LeaseMS: Lease.Milliseconds(), version: 6}
	r.Apply([]Record{other}, 10, now, alive)
	must.True(t, r.Members().ShareUntil.IsZero(), must.Sprint("it has no record"))
	own, _ := r.Next()
	r.Renewed(now)
	list := []Record{other, own.At(11)}
	r.Apply(list, 11, now, alive)
	r.Renewed(now)
	must.True(t, r.Members().ShareUntil.IsZero(), must.Sprint("the other VM does not know of it"))

	now = now.Add(Lease + Lease/10)
	must.Len(t, 0, r.Apply(list, 12, now, alive), must.Sprint("nor may it remove the record of that VM"))
	must.Len(t, 1, r.Apply(list, 13, now.Add(unawareTimeout), alive), must.Sprint("that did not renew it for long"))

	other.Seen, other.version = 11, 14
	r.Apply([]Record{other, own.At(11)}, 14, now, alive)
	must.True(t, r.Members().ShareUntil.IsZero(), must.Sprint("its record states no part"))
	own, _ = r.Next()
	r.Renewed(now)
	must.True(t, r.Members().ShareUntil.IsZero(), must.Sprint("another VM may have stated one at the same time"))
	r.Apply([]Record{other, own.At(15)}, 15, now, alive)
	must.Eq(t, now.Add(JoinLease), r.Members().ShareUntil)
	must.Eq(t, 0.5, r.Members().Part)
	r.Apply([]Record{other}, 16, now, alive)
	must.True(t, r.Members().ShareUntil.IsZero(), must.Sprint("its record was removed"))
}

// TestRestoredStoreFreesNoShare guards against VMs that count as gone because a restored store
// lacks their records.
func TestRestoredStoreFreesNoShare(t *testing.T) {
	now := time.Unix(1000, 0)
	alive := func(string) bool { return true }
	r := NewRegistry("a", now)
	own, other := Record{VM: "a", version: 5, Since: 1, Seen: 4}, Record{VM: "b", version: 6, Since: 2, Seen: 5}
	r.Apply([]Record{own, other}, 6, now, alive)
	restored := store.VersionIn(1, 3)
	r.Apply([]Record{own.At(restored)}, restored, now.Add(time.Second), alive)
	must.Eq(t, []string{"b"}, r.Members().VMs)
	r.Apply([]Record{own.At(restored)}, restored, now.Add(2*Lease), alive)
	must.Len(t, 0, r.Members().VMs)
}

// TestOddRecordIsLoggedOnce guards against a log that repeats an odd record at each read.
func TestOddRecordIsLoggedOnce(t *testing.T) {
	var lines bytes.Buffer
	s := store.NewMemory()
	s.Put(t.Context(), Kind+"/odd", []byte(`{`), store.MustNotExist)
	task := NewTask(Options{VM: "a", List: lister{s}, Clock: store.SystemClock{}, Log: log.NewLogfmtLogger(&lines)})
	for range 3 {
		_, _, err := task.list(t.Context())
		must.NoError(t, err)
	}
	must.Eq(t, 1, strings.Count(lines.String(), "share record ignored"))
}

// TestOddRecord checks which objects are taken for records.
func TestOddRecord(t *testing.T) {
	for value, ok := range map[string]bool{
		`{"vm":"a","seen":3,"lease":30000}`:     true,
		`{"vm":"b","seen":3,"lease":30000}`:     false,
		`{"vm":"a","seen":3,"lease":-1}`:        false,
		`{"vm":"a","seen":3,"lease":999999999}`: false,
		`"a"`:                                   false,
		`{`:                                     false,
	} {
		_, err := decode(store.Object{Key: Kind + "/a", Value: []byte(value)})
		must.Eq(t, ok, err == nil, must.Sprint(value))
	}
}
