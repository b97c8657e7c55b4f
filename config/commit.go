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

// resolveInterval is the time between two reads of the head while the outcome
// of a write is unknown.
const resolveInterval = 250 * time.Millisecond

// maxSubmitAttempts bounds the attempts to commit a patch when only sweeps
// have changed the head in between.
const maxSubmitAttempts = 3

// Submit commits a patch with one conditional update of the head. A patch may
// be submitted again under the same id; it takes effect once. Submit
// works only while Run is running.
func (m *Manager) Submit(ctx context.Context, p Patch) PatchResult {
	m.submitMu.Lock()
	defer m.submitMu.Unlock()
	if p.ID == "" {
		return PatchRefused{Problems: &Problems{List: []Problem{{Field: "id", Reason: "is missing"}}}}
	}
	var result PatchResult
	for range maxSubmitAttempts {
		result = m.submit(ctx, p)
		if c, ok := result.(PatchConflict); !ok || c.Current != p.Base {
			break
		}
	}
	if accepted, ok := result.(PatchAccepted); ok {
		m.send(ctx, versionReport{version: accepted.Version})
	}
	return result
}

func (m *Manager) submit(ctx context.Context, p Patch) PatchResult {
	read, err := m.readHead(ctx)
	if err != nil {
		return PatchNotSent{Err: err}
	}
	if result := knownOutcome(read.Head, p); result != nil {
		return result
	}
	w, result := m.prepare(ctx, read, p)
	if result != nil {
		return result
	}
	w.sent = m.opts.Clock.Now()
	result = m.commit(ctx, w)
	if accepted, ok := result.(PatchAccepted); ok && accepted.Version == w.snap.version {
		m.announce(ctx, w)
	}
	return result
}

// knownOutcome returns the outcome of a patch if the head already determines
// it, or nil.
func knownOutcome(h Head, p Patch) PatchResult {
	if accepted, found := h.findPatch(p.ID); found {
		if accepted.Digest == p.digest() {
			return PatchAccepted{Version: accepted.Version}
		}
		reason := fmt.Sprintf("is that of another patch, which made version %d", accepted.Version)
		return PatchRefused{Problems: &Problems{List: []Problem{{Field: "id", Reason: reason}}}}
	}
	if p.Base != h.Version {
		return PatchConflict{Current: h.Version}
	}
	return nil
}

// A preparedWrite is a patch whose chunks are stored and whose head is ready
// to be committed.
type preparedWrite struct {
	patch Patch
	read  storedHead
	head  Head
	value []byte
	snap  *snapshot
	sent  time.Time
}

// prepare applies the patch to the version in the object store and stores the
// new chunks. If the patch cannot be committed, it returns the result instead
// of a write.
func (m *Manager) prepare(ctx context.Context, read storedHead, p Patch) (*preparedWrite, PatchResult) {
	base := m.state.Load().snap
	if base.version != read.Version || base.root != read.Root {
		var err error
		if base, err = m.fetchStored(ctx, base, read.Head); err != nil {
			return nil, PatchNotSent{Err: err}
		}
	}
	cfg, err := Apply(base.view.Config, p)
	if err != nil {
		return nil, refusedResult(err)
	}
	snap, err := newSnapshot(cfg, base)
	if err != nil {
		return nil, refusedResult(err)
	}
	for _, ref := range snap.addedChunks(base) {
		data, _ := snap.encodedChunk(ref.Digest)
		if err := m.putChunk(ctx, ref.Digest, data); err != nil {
			return nil, PatchNotSent{Err: eris.Wrap(err, "store chunk")}
		}
	}
	data, _ := snap.encodedChunk(snap.root)
	if err := m.putChunk(ctx, snap.root, data); err != nil {
		return nil, PatchNotSent{Err: eris.Wrap(err, "store index")}
	}
	head := read.withPatch(p, snap.root)
	value, err := encodeHead(head)
	if err != nil {
		return nil, refusedResult(err)
	}
	return &preparedWrite{patch: p, read: read, head: head, value: value, snap: snap}, nil
}

func refusedResult(err error) PatchResult {
	var problems *Problems
	if !errors.As(err, &problems) {
		problems = &Problems{List: []Problem{{Reason: err.Error()}}}
	}
	return PatchRefused{Problems: problems}
}

// commit updates the head on the condition that it is unchanged since it was
// read. While the outcome is unknown, it reads the head again: if the head
// lists the patch's id, the write took effect; if the head has another object
// version and does not list the id, the write can no longer take effect. The
// same conditional update is repeated only while the head is unchanged, so
// that it takes effect at most once.
func (m *Manager) commit(ctx context.Context, w *preparedWrite) PatchResult {
	unknown := false
	for {
		switch r := m.putHead(ctx, w).(type) {
		case store.Done:
			return PatchAccepted{Version: w.head.Version}
		case store.NotSent:
			if !unknown {
				return PatchNotSent{Err: r.Err}
			}
		case store.Unknown:
			unknown = true
			_ = m.opts.Log.Log("msg", "outcome of patch unknown", "id", w.patch.ID, "err", r.Err)
		}
		if result := m.resolve(ctx, w); result != nil {
			return result
		}
		if ctx.Err() != nil {
			return PatchUnknown{Err: ctx.Err()}
		}
	}
}

func (m *Manager) putHead(ctx context.Context, w *preparedWrite) store.WriteResult {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	m.writes.Add(1)
	return m.opts.Store.Put(ctx, headKey, w.value, w.read.objectVersion)
}

// resolve reads the head until the outcome of the write is known and returns
// it. It returns nil if the head is unchanged, so that the write can be
// repeated.
func (m *Manager) resolve(ctx context.Context, w *preparedWrite) PatchResult {
	for {
		read, err := m.readHead(ctx)
		switch {
		case err != nil || read.objectVersion < w.read.objectVersion:
			// The read failed or returned a state older than the one that the
			// write was based on: the outcome stays unknown.
		case read.objectVersion == w.read.objectVersion:
			store.Sleep(ctx, resolveInterval)
			return nil
		default:
			return w.outcome(read.Head)
		}
		if ctx.Err() != nil {
			return PatchUnknown{Err: ctx.Err()}
		}
		store.Sleep(ctx, resolveInterval)
	}
}

// outcome determines the outcome of a write from a later head.
func (w *preparedWrite) outcome(h Head) PatchResult {
	if result := knownOutcome(h, w.patch); result != nil {
		_, conflict := result.(PatchConflict)
		if conflict && h.Version >= w.head.Version+maxRecentPatches {
			return PatchUnknown{Err: eris.New("the head does not name patches as old as this one any more")}
		}
		return result
	}
	// Only a sweep has changed the head.
	return PatchConflict{Current: h.Version}
}

// announce adopts a committed version on this VM, which then pushes it to
// other VMs.
func (m *Manager) announce(ctx context.Context, w *preparedWrite) {
	f := fetchedVersion{snap: w.snap, version: w.head.Version, confirmed: w.sent}
	if data, err := peer.Encode(w.patch); err == nil && len(data) <= maxKeptPatchBytes {
		f.patches = []VersionedPatch{{Version: w.head.Version, Patch: w.patch, Root: w.head.Root}}
	}
	done := make(chan struct{})
	m.send(ctx, adoptRequest{fetchedVersion: f, pushLocal: true, pushRemote: true, done: done})
	select {
	case <-done:
	case <-ctx.Done():
	}
}
