package shares

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/go-kit/log"

	"github.com/baobabdyke/baobabdyke/internal/logs/logline"
	"github.com/baobabdyke/baobabdyke/store"
)

const (
	// neededInterval is the time between two checks of whether any limit is divided.
	neededInterval = 50 * time.Millisecond
	// stopTimeout bounds the write of this VM's record at the end.
	stopTimeout = 200 * time.Millisecond
)

// A Lister returns all objects of a kind and the version at which they were read.
type Lister interface {
	Snapshot(ctx context.Context, kind string) ([]store.Object, int64, error)
}

// Options are the parameters of a Task.
type Options struct {
	VM    string
	Store store.Store
	List  Lister
	Clock store.Clock
	Log   log.Logger
	// Needed reports whether any limit is divided.
	Needed func() bool
	// Scale is the factor by which renewals are less frequent than in a small fleet.
	Scale func() float64
	// Alive reports whether another VM was heard from lately.
	Alive func(vm string) bool
	// OnChange is called with the VMs that share the limits after each renewal, and OnGone with
	// a VM whose record was removed.
	OnChange func(Members)
	OnGone   func(ctx context.Context, vm string)
}

// A Task keeps the record of a VM and those of VMs that are gone.
type Task struct {
	opts     Options
	registry *Registry
	// written is the version of the record that this VM wrote last.
	written int64
	// ignored holds, by key, the versions of records that could not be decoded.
	ignored map[string]int64
	// members, shares and held are what was logged last.
	members int
	shares  bool
	held    map[string]bool
}

// NewTask returns a Task of a VM that starts now.
func NewTask(o Options) *Task {
	return &Task{opts: o, registry: NewRegistry(o.VM, o.Clock.Now()), ignored: map[string]int64{}}
}

// Run renews the record until ctx ends, and then marks it as that of a stopped VM. The VM must not
// use its share any more then.
func (t *Task) Run(ctx context.Context) error {
	defer t.stop(context.WithoutCancel(ctx))
	for {
		delay := neededInterval
		if t.opts.Needed() {
			delay = joinInterval
			if t.renew(ctx) {
				delay = time.Duration(float64(t.registry.Interval(t.opts.Alive)) * t.opts.Scale())
			}
		}
		if delay > 0 {
			delay = delay/2 + rand.N(delay)
		}
		if !store.Sleep(ctx, delay) {
			return nil
		}
	}
}

// renew reads all records, renews that of this VM and removes those of VMs that are gone. It
// reports whether this VM's record is renewed.
func (t *Task) renew(ctx context.Context) bool {
	list, at, err := t.list(ctx)
	if err != nil {
		return false
	}
	t.registry.SetLease(time.Duration(float64(Lease) * t.opts.Scale()))
	gone := t.registry.Apply(list, at, t.opts.Clock.Now(), t.opts.Alive)
	// The VMs in the list share the limits from now on, whether or not the write succeeds.
	t.publish()
	rec, replaces := t.registry.Next()
	done := t.write(ctx, rec, replaces)
	t.publish()
	for _, g := range gone {
		t.remove(ctx, g)
	}
	return done
}

// list returns all records and the version at which they were read.
func (t *Task) list(ctx context.Context) (list []Record, at int64, err error) {
	objects, at, err := t.opts.List.Snapshot(ctx, Kind)
	if err != nil {
		return nil, 0, err
	}
	for _, o := range objects {
		r, err := decode(o)
		if err != nil {
			if t.ignored[o.Key] != o.Version {
				t.ignored[o.Key] = o.Version
				_ = t.opts.Log.Log("msg", "share record ignored", "object", o.Key, "err", logline.ErrorText(err))
			}
			continue
		}
		list = append(list, r)
	}
	return list, at, nil
}

// write writes this VM's record and reports whether that is known to have succeeded.
func (t *Task) write(ctx context.Context, rec Record, replaces int64) bool {
	value, err := json.Marshal(rec)
	if err != nil {
		return false
	}
	sent := t.opts.Clock.Now()
	done, ok := t.opts.Store.Put(ctx, Kind+"/"+rec.VM, value, replaces).(store.Done)
	if !ok || replaces != 0 && store.Era(done.Version) != store.Era(replaces) {
		return false
	}
	t.registry.Renewed(sent)
	t.written = done.Version
	return true
}

// stop leaves a record for the next process of this VM's machine, and frees the VM's part at once.
func (t *Task) stop(ctx context.Context) {
	if t.written == 0 {
		return
	}
	rec := t.registry.Stop(t.written)
	value, err := json.Marshal(rec)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	t.opts.Store.Put(ctx, Kind+"/"+rec.VM, value, t.written)
}

// remove removes the record of a VM that is gone, unless it has changed.
func (t *Task) remove(ctx context.Context, gone Record) {
	if _, ok := t.opts.Store.Delete(ctx, Kind+"/"+gone.VM, gone.version).(store.Done); !ok {
		return
	}
	if gone.Stopped {
		_ = t.opts.Log.Log("msg", "record of stopped VM removed", "peer", gone.VM)
		return
	}
	_ = t.opts.Log.Log("msg", "share of VM is free", "peer", gone.VM, "lease", time.Duration(gone.LeaseMS)*time.Millisecond)
	t.opts.OnGone(ctx, gone.VM)
}

// publish passes on the VMs that share the limits, and logs changes.
func (t *Task) publish() {
	m := t.registry.Members()
	t.opts.OnChange(m)
	shares := t.opts.Clock.Now().Before(m.ShareUntil)
	if len(m.VMs) != t.members || shares != t.shares {
		t.members, t.shares = len(m.VMs), shares
		_ = t.opts.Log.Log("msg", "VMs that share limits changed", "others", len(m.VMs), "stopped", len(m.Stopped), "part", m.Part, "share", shares)
	}
	t.logHeld(m.Held)
}

// logHeld logs the silent VMs whose parts are not free, and how they change.
func (t *Task) logHeld(held []Held) {
	now := map[string]bool{}
	for _, h := range held {
		now[h.VM] = h.Blocks
		if blocks, ok := t.held[h.VM]; !ok || blocks != h.Blocks {
			_ = t.opts.Log.Log("msg", "share of silent VM is not free", "peer", h.VM, "part", h.Part, "wait", h.Until.Sub(t.opts.Clock.Now()).Round(time.Second), "blocks", h.Blocks)
		}
	}
	t.held = now
}
