package config

import (
	"context"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/baobabdyke/baobabdyke/store"
)

const (
	// sweepInterval is the time between two sweeps of unused chunks.
	sweepInterval = time.Hour
	// deleteInterval is the time between two deletions of a sweep.
	deleteInterval = 50 * time.Millisecond
)

// runSweeper sweeps unused chunks periodically on one VM of the fleet. It is
// safe for several VMs to sweep at the same time.
func (m *Manager) runSweeper(ctx context.Context) {
	for {
		store.Sleep(ctx, sweepInterval/2+m.jitter(sweepInterval))
		if ctx.Err() != nil {
			return
		}
		if m.rank("") > 0 {
			continue
		}
		if n, err := m.Sweep(ctx); err != nil {
			_ = m.opts.Log.Log("msg", "sweep of unused chunks failed", "deleted", n, "err", err)
		}
	}
}

// Sweep deletes the chunks that the head does not refer to, and returns their
// number. Its order makes it safe against concurrent commits. First it lists
// the chunks. Then it updates the head, so that commits that began before
// fail. Finally it deletes each unused chunk only if its object version is
// still the listed one: a commit that began after the update writes all chunks
// that it adds, which gives them a new object version.
func (m *Manager) Sweep(ctx context.Context) (int, error) {
	unused, err := m.planSweep(ctx)
	if err != nil {
		return 0, err
	}
	n := 0
	for _, o := range unused {
		if ctx.Err() != nil {
			break
		}
		m.writes.Add(1)
		if _, done := m.opts.Store.Delete(ctx, o.Key, o.Version).(store.Done); done {
			n++
		}
		store.Sleep(ctx, deleteInterval)
	}
	return n, ctx.Err()
}

// planSweep lists the chunks, updates the head and returns the unused chunks.
// It returns none if nothing has changed since the last sweep, or if the
// update of the head is not known to have taken effect.
func (m *Manager) planSweep(ctx context.Context) ([]store.Object, error) {
	read, err := m.readHead(ctx)
	if err != nil || read.Version == read.Swept {
		return nil, err
	}
	m.reads.Add(1)
	list, err := m.opts.Store.List(ctx, chunkPrefix)
	if err != nil {
		return nil, eris.Wrap(err, "list chunks")
	}
	head := read.Head
	head.Sweeps++
	head.Swept = head.Version
	value, err := encodeHead(head)
	if err != nil {
		return nil, err
	}
	m.writes.Add(1)
	if _, done := m.opts.Store.Put(ctx, headKey, value, read.objectVersion).(store.Done); !done {
		return nil, nil
	}
	used, err := m.usedChunks(ctx, head)
	if err != nil {
		return nil, err
	}
	return slices.DeleteFunc(list, func(o store.Object) bool { return used[o.Key] }), nil
}

// usedChunks returns the keys of the chunks that a head refers to.
func (m *Manager) usedChunks(ctx context.Context, h Head) (map[string]bool, error) {
	data, err := m.readChunk(ctx, h.Root)
	if err != nil {
		return nil, err
	}
	var ix index
	if err := decodeChunk(data, h.Root, &ix); err != nil {
		return nil, err
	}
	used := map[string]bool{chunkPrefix + h.Root: true}
	for _, ref := range ix {
		used[chunkPrefix+ref.Digest] = true
	}
	return used, nil
}
