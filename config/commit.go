package config

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/rotisserie/eris"

	"github.com/baobabdyke/baobabdyke/peer"
	"github.com/baobabdyke/baobabdyke/store"
)

// resolveWait is the time between two looks at an unknown outcome.
const resolveWait = 250 * time.Millisecond

// submitTries bounds the tries of a commit whose head was only swept.
const submitTries = 3

// Submit commits a patch by one conditional update of the head. The same patch
// may be submitted again under its id and has its effect once. Run must run.
func (k *Manager) Submit(ctx context.Context, p Patch) PatchResult {
	k.commits.Lock()
	defer k.commits.Unlock()
	if p.ID == "" {
		return PatchRefused{Problems: &Problems{List: []Problem{{Field: "id", Reason: "is missing"}}}}
	}
	var result PatchResult
	for range submitTries {
		result = k.submit(ctx, p)
		if c, ok := result.(PatchConflict); !ok || c.Current != p.Base {
			break
		}
	}
	if accepted, ok := result.(PatchAccepted); ok {
		k.send(ctx, word{version: accepted.Version})
	}
	return result
}

func (k *Manager) submit(ctx context.Context, p Patch) PatchResult {
	read, err := k.readHead(ctx)
	if err != nil {
		return PatchNotSent{Err: err}
	}
	if result := judge(read.Head, p); result != nil {
		return result
	}
	w, result := k.prepare(ctx, read, p)
	if result != nil {
		return result
	}
	w.sent = k.opts.Clock.Now()
	result = k.commit(ctx, w)
	if accepted, ok := result.(PatchAccepted); ok && accepted.Version == w.snap.version {
		k.announce(ctx, w)
	}
	return result
}

// judge returns the outcome of a patch that the head already decides, or nil.
func judge(h Head, p Patch) PatchResult {
	if past, found := h.find(p.ID); found {
		if past.Digest == p.digest() {
			return PatchAccepted{Version: past.Version}
		}
		reason := fmt.Sprintf("is that of another patch, which made version %d", past.Version)
		return PatchRefused{Problems: &Problems{List: []Problem{{Field: "id", Reason: reason}}}}
	}
	if p.Base != h.Version {
		return PatchConflict{Current: h.Version}
	}
	return nil
}

// A write is a patch that is ready for the commit.
type write struct {
	patch  Patch
	before stored
	head   Head
	value  []byte
	snap   *snapshot
	sent   time.Time
}

// prepare applies the patch to the version in the object API and stores the new
// chunks. It returns a result instead when the patch cannot be committed.
func (k *Manager) prepare(ctx context.Context, read stored, p Patch) (*write, PatchResult) {
	base := k.state.Load().snap
	if base.version != read.Version || base.root != read.Root {
		var err error
		if base, err = k.fetchStored(ctx, base, read.Head); err != nil {
			return nil, PatchNotSent{Err: err}
		}
	}
	cfg, err := Apply(base.view.Config, p)
	if err != nil {
		return nil, refused(err)
	}
	snap, err := newSnapshot(cfg, base)
	if err != nil {
		return nil, refused(err)
	}
	for _, ref := range snap.added(base) {
		data, _ := snap.encoded(ref.Digest)
		if err := k.putChunk(ctx, ref.Digest, data); err != nil {
			return nil, PatchNotSent{Err: eris.Wrap(err, "store chunk")}
		}
	}
	data, _ := snap.encoded(snap.root)
	if err := k.putChunk(ctx, snap.root, data); err != nil {
		return nil, PatchNotSent{Err: eris.Wrap(err, "store index")}
	}
	head := read.after(p, snap.root)
	value, err := encodeHead(head)
	if err != nil {
		return nil, refused(err)
	}
	return &write{patch: p, before: read, head: head, value: value, snap: snap}, nil
}

func refused(err error) PatchResult {
	var problems *Problems
	if !errors.As(err, &problems) {
		problems = &Problems{List: []Problem{{Reason: err.Error()}}}
	}
	return PatchRefused{Problems: problems}
}

// commit updates the head if it is still the one that was read. While the
// outcome is unknown it reads the head back: the patch's id tells that it took
// effect, and another object version without it that it never will. The same
// conditional update is sent again only while the head is unchanged, so that
// it has its effect once.
func (k *Manager) commit(ctx context.Context, w *write) PatchResult {
	unknown := false
	for {
		switch r := k.putHead(ctx, w).(type) {
		case store.Done:
			return PatchAccepted{Version: w.head.Version}
		case store.NotSent:
			if !unknown {
				return PatchNotSent{Err: r.Err}
			}
		case store.Unknown:
			unknown = true
			_ = k.opts.Log.Log("msg", "outcome of patch unknown", "id", w.patch.ID, "err", r.Err)
		}
		if result := k.resolve(ctx, w); result != nil {
			return result
		}
		if ctx.Err() != nil {
			return PatchUnknown{Err: ctx.Err()}
		}
	}
}

func (k *Manager) putHead(ctx context.Context, w *write) store.WriteResult {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	k.writes.Add(1)
	return k.opts.Store.Put(ctx, headKey, w.value, w.before.object)
}

// resolve reads the head until it tells the outcome, or that the head is
// unchanged, for which it returns nil.
func (k *Manager) resolve(ctx context.Context, w *write) PatchResult {
	for {
		read, err := k.readHead(ctx)
		switch {
		case err != nil || read.object < w.before.object:
			// No answer, or an old state of the object API: neither tells.
		case read.object == w.before.object:
			store.Sleep(ctx, resolveWait)
			return nil
		default:
			return w.outcome(read.Head)
		}
		if ctx.Err() != nil {
			return PatchUnknown{Err: ctx.Err()}
		}
		store.Sleep(ctx, resolveWait)
	}
}

// outcome reads the outcome of a write from a later head.
func (w *write) outcome(h Head) PatchResult {
	if result := judge(h, w.patch); result != nil {
		_, conflict := result.(PatchConflict)
		if conflict && h.Version >= w.head.Version+recentPatches {
			return PatchUnknown{Err: eris.New("the head does not name patches as old as this one any more")}
		}
		return result
	}
	// Only a collection of chunks has changed the head.
	return PatchConflict{Current: h.Version}
}

// announce puts a committed version in force here, from where it is pushed to
// other VMs.
func (k *Manager) announce(ctx context.Context, w *write) {
	f := fetched{snap: w.snap, version: w.head.Version, at: w.sent}
	if data, err := peer.Encode(w.patch); err == nil && len(data) <= maxPatchBytes {
		f.patches = []VersionedPatch{{Version: w.head.Version, Patch: w.patch, Root: w.head.Root}}
	}
	done := make(chan struct{})
	k.send(ctx, adoption{fetched: f, near: true, far: true, done: done})
	select {
	case <-done:
	case <-ctx.Done():
	}
}
