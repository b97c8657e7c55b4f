package config

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/baobabdyke/baobabdyke/peer"
	"github.com/baobabdyke/baobabdyke/store"
	"github.com/baobabdyke/baobabdyke/vm"
)

const (
	// storeTimeout bounds one call of the object API.
	storeTimeout = 5 * time.Second
	// pullTimeout bounds one call of another VM.
	pullTimeout = 3 * time.Second
	// maxReplyBytes bounds the chunks of one PullReply.
	maxReplyBytes = 2 << 20
	// maxWanted bounds the chunks that one Pull asks for.
	maxWanted = 256
	// maxPartial bounds the chunks kept of a version that is not whole.
	maxPartial = 256
)

// A fetched is a newer version with the patches that lead to it, if they are
// known, and the word that came with it.
type fetched struct {
	snap    *snapshot
	patches []VersionedPatch
	version int64
	at      time.Time
	source  string
}

// readHead reads the head from the object API.
func (k *Manager) readHead(ctx context.Context) (stored, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	k.reads.Add(1)
	o, err := k.opts.Store.Get(ctx, headKey)
	if errors.Is(err, store.ErrNotFound) {
		return stored{}, nil
	}
	if err != nil {
		return stored{}, eris.Wrap(err, "read head of the configuration")
	}
	return decodeHead(o)
}

// fetchStored makes the snapshot of a head from the base and the object API.
func (k *Manager) fetchStored(ctx context.Context, base *snapshot, h Head) (*snapshot, error) {
	if h.Version == 0 {
		return emptySnapshot(), nil
	}
	get := func(digests []string) ([][]byte, error) {
		list := make([][]byte, len(digests))
		for i, digest := range digests {
			data, err := k.partial.read(digest, func() ([]byte, error) {
				return k.readChunk(ctx, digest)
			})
			if err != nil {
				return nil, err
			}
			list[i] = data
		}
		return list, nil
	}
	snap, err := complete(base, h, get)
	if err == nil {
		k.partial.clear()
	}
	return snap, err
}

// A partial keeps the chunks of a version that could not be read to its end, as
// when the budget of calls was spent, for the next try.
type partial struct {
	mu     sync.Mutex
	chunks map[string][]byte
}

// read returns a kept chunk, or else the one that get reads.
func (p *partial) read(digest string, get func() ([]byte, error)) ([]byte, error) {
	p.mu.Lock()
	data, kept := p.chunks[digest]
	p.mu.Unlock()
	if kept {
		return data, nil
	}
	data, err := get()
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.chunks == nil || len(p.chunks) >= maxPartial {
		p.chunks = map[string][]byte{}
	}
	p.chunks[digest] = data
	return data, nil
}

func (p *partial) clear() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.chunks = nil
}

func (k *Manager) readChunk(ctx context.Context, digest string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	k.reads.Add(1)
	o, err := k.opts.Store.Get(ctx, chunkPrefix+digest)
	return o.Value, eris.Wrapf(err, "read chunk %s", digest)
}

// complete makes the snapshot of a head from the base and chunks that get
// returns.
func complete(base *snapshot, h Head, get func([]string) ([][]byte, error)) (*snapshot, error) {
	list, err := get([]string{h.Root})
	if err != nil {
		return nil, err
	}
	var ix index
	if err := decodeChunk(list[0], h.Root, &ix); err != nil {
		return nil, err
	}
	missing := base.missing(ix)
	chunks := make(map[string][]byte, len(missing))
	for len(missing) > 0 {
		list, err := get(missing[:min(len(missing), maxWanted)])
		if err != nil {
			return nil, err
		}
		if len(list) == 0 {
			return nil, eris.Errorf("chunk %s is missing", missing[0])
		}
		for i, data := range list {
			chunks[missing[i]] = data
		}
		missing = missing[len(list):]
	}
	return base.rebuild(h, ix, chunks)
}

// fetchPeer gets what another VM has in force.
func (k *Manager) fetchPeer(ctx context.Context, base *snapshot, from vm.Member) (fetched, error) {
	sent := k.opts.Clock.Now()
	reply, err := k.pull(ctx, from, Pull{Have: base.version})
	if err != nil {
		return fetched{}, err
	}
	f := fetched{snap: base, version: reply.Version, at: wordTime(sent, reply.Age), source: from.ID}
	if reply.Version <= base.version {
		return f, nil
	}
	if snap, whole := replay(base, reply.Patches); whole && snap.version == reply.Version {
		f.snap, f.patches = snap, reply.Patches
		return f, nil
	}
	get := func(digests []string) ([][]byte, error) {
		reply, err := k.pull(ctx, from, Pull{Have: base.version, Chunks: digests})
		if err != nil {
			return nil, err
		}
		if len(reply.Chunks) == 0 || len(reply.Chunks) > len(digests) {
			return nil, eris.Errorf("VM %s does not have chunk %s any more", from.ID, digests[0])
		}
		return reply.Chunks, nil
	}
	f.snap, err = complete(base, Head{Version: reply.Version, Root: reply.Root}, get)
	return f, err
}

func (k *Manager) pull(ctx context.Context, from vm.Member, p Pull) (PullReply, error) {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	k.pulls.Add(1)
	var reply PullReply
	to := peer.Destination{VM: from.ID, Address: from.Peer}
	err := k.opts.Peers.Call(ctx, to, peer.CallConfigPull, p, &reply)
	return reply, err
}

// replay applies patches one after the other, and tells whether all fitted.
func replay(base *snapshot, patches []VersionedPatch) (snap *snapshot, whole bool) {
	snap = base
	for _, p := range patches {
		if p.Version <= snap.version {
			continue
		}
		next, err := snap.next(p)
		if err != nil {
			return snap, false
		}
		snap = next
	}
	return snap, true
}

// encodeHead returns the stored form of a head.
func encodeHead(h Head) ([]byte, error) {
	data, err := json.Marshal(h)
	return data, eris.Wrap(err, "encode head of the configuration")
}
