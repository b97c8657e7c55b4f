package config

import (
	"context"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/baobabdyke/baobabdyke/store"
)

const (
	// sweepPeriod is the time between two collections of unused chunks.
	sweepPeriod = time.Hour
	// deleteWait is the time between two deletions of a collection.
	deleteWait = 50 * time.Millisecond
)

// sweepAgain collects unused chunks from time to time, on one VM of the fleet.
// More than one VM doing so would do no harm.
func (k *Manager) sweepAgain(ctx context.Context) {
	for {
		store.Sleep(ctx, sweepPeriod/2+k.jitter(sweepPeriod))
		if ctx.Err() != nil {
			return
		}
		if k.rank("") > 0 {
			continue
		}
		if n, err := k.Sweep(ctx); err != nil {
			_ = k.opts.Log.Log("msg", "chunks not collected", "deleted", n, "err", err)
		}
	}
}

// Sweep deletes the chunks that the head does not lead to, and returns their
// number. The order makes it safe: the chunks are listed first; then an update
// of the head makes every commit fail that began before; then chunks are
// deleted in the listed version only, since a commit that began later has
// written anew every chunk that it adds.
func (k *Manager) Sweep(ctx context.Context) (int, error) {
	unused, err := k.planSweep(ctx)
	if err != nil {
		return 0, err
	}
	n := 0
	for _, o := range unused {
		if ctx.Err() != nil {
			break
		}
		k.writes.Add(1)
		if _, done := k.opts.Store.Delete(ctx, o.Key, o.Version).(store.Done); done {
			n++
		}
		store.Sleep(ctx, deleteWait)
	}
	return n, ctx.Err()
}

// planSweep lists the chunks, updates the head and returns the unused ones. It
// returns none when nothing has changed since the last collection, or when the
// update did not provably take effect.
func (k *Manager) planSweep(ctx context.Context) ([]store.Object, error) {
	read, err := k.readHead(ctx)
	if err != nil || read.Version == read.Swept {
		return nil, err
	}
	k.reads.Add(1)
	list, err := k.opts.Store.List(ctx, chunkPrefix)
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
	k.writes.Add(1)
	if _, done := k.opts.Store.Put(ctx, headKey, value, read.object).(store.Done); !done {
		return nil, nil
	}
	used, err := k.used(ctx, head)
	if err != nil {
		return nil, err
	}
	return slices.DeleteFunc(list, func(o store.Object) bool { return used[o.Key] }), nil
}

// used returns the keys of the chunks that a head leads to.
func (k *Manager) used(ctx context.Context, h Head) (map[string]bool, error) {
	data, err := k.readChunk(ctx, h.Root)
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
