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
	// storeTimeout bounds one call to the object store.
	storeTimeout = 5 * time.Second
	// pullTimeout bounds one call to another VM.
	pullTimeout = 3 * time.Second
	// maxReplyBytes bounds the chunks of one PullReply.
	maxReplyBytes = 2 << 20
	// maxChunksPerPull bounds the chunks that one Pull requests.
	maxChunksPerPull = 256
	// maxCachedChunks bounds the chunks kept of a version that has been
	// fetched only in part.
	maxCachedChunks = 256
)

// A fetchedVersion is a newer version with the patches that lead to it, if
// they are known. At the time confirmed, the object store reported version as
// the newest. Source is the VM that sent it, or "".
type fetchedVersion struct {
	snap      *snapshot
	patches   []VersionedPatch
	version   int64
	confirmed time.Time
	source    string
}

// readHead reads the head from the object store.
func (m *Manager) readHead(ctx context.Context) (storedHead, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	m.reads.Add(1)
	o, err := m.opts.Store.Get(ctx, headKey)
	if errors.Is(err, store.ErrNotFound) {
		return storedHead{}, nil
	}
	if err != nil {
		return storedHead{}, eris.Wrap(err, "read head of the configuration")
	}
	return decodeHead(o)
}

// fetchStored builds the snapshot of a head from the base and from chunks in
// the object store.
func (m *Manager) fetchStored(ctx context.Context, base *snapshot, h Head) (*snapshot, error) {
	if h.Version == 0 {
		return emptySnapshot(), nil
	}
	get := func(digests []string) ([][]byte, error) {
		list := make([][]byte, len(digests))
		for i, digest := range digests {
			data, err := m.partialChunks.read(digest, func() ([]byte, error) {
				return m.readChunk(ctx, digest)
			})
			if err != nil {
				return nil, err
			}
			list[i] = data
		}
		return list, nil
	}
	snap, err := buildSnapshot(base, h, get)
	if err == nil {
		m.partialChunks.clear()
	}
	return snap, err
}

// A chunkCache keeps the chunks of a version that has been fetched only in
// part, for example because the call budget was exhausted, until the next
// attempt.
type chunkCache struct {
	mu     sync.Mutex
	chunks map[string][]byte
}

// read returns a chunk from the cache, or else reads it and adds it to the
// cache.
func (c *chunkCache) read(digest string, read func() ([]byte, error)) ([]byte, error) {
	c.mu.Lock()
	data, ok := c.chunks[digest]
	c.mu.Unlock()
	if ok {
		return data, nil
	}
	data, err := read()
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.chunks == nil || len(c.chunks) >= maxCachedChunks {
		c.chunks = map[string][]byte{}
	}
	c.chunks[digest] = data
	return data, nil
}

func (c *chunkCache) clear() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.chunks = nil
}

func (m *Manager) readChunk(ctx context.Context, digest string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	m.reads.Add(1)
	o, err := m.opts.Store.Get(ctx, chunkPrefix+digest)
	return o.Value, eris.Wrapf(err, "read chunk %s", digest)
}

// buildSnapshot builds the snapshot of a head from the base and the chunks
// that get returns.
func buildSnapshot(base *snapshot, h Head, get func([]string) ([][]byte, error)) (*snapshot, error) {
	list, err := get([]string{h.Root})
	if err != nil {
		return nil, err
	}
	var ix index
	if err := decodeChunk(list[0], h.Root, &ix); err != nil {
		return nil, err
	}
	missing := base.missingChunks(ix)
	chunks := make(map[string][]byte, len(missing))
	for len(missing) > 0 {
		list, err := get(missing[:min(len(missing), maxChunksPerPull)])
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

// fetchPeer fetches the version that another VM has in force.
func (m *Manager) fetchPeer(ctx context.Context, base *snapshot, from vm.Member) (fetchedVersion, error) {
	sent := m.opts.Clock.Now()
	reply, err := m.pull(ctx, from, Pull{Have: base.version})
	if err != nil {
		return fetchedVersion{}, err
	}
	f := fetchedVersion{snap: base, version: reply.Version, confirmed: confirmationTime(sent, reply.Age), source: from.ID}
	if reply.Version <= base.version {
		return f, nil
	}
	if snap, ok := replay(base, reply.Patches); ok && snap.version == reply.Version {
		f.snap, f.patches = snap, reply.Patches
		return f, nil
	}
	get := func(digests []string) ([][]byte, error) {
		reply, err := m.pull(ctx, from, Pull{Have: base.version, Chunks: digests})
		if err != nil {
			return nil, err
		}
		if len(reply.Chunks) == 0 || len(reply.Chunks) > len(digests) {
			return nil, eris.Errorf("VM %s no longer has chunk %s", from.ID, digests[0])
		}
		return reply.Chunks, nil
	}
	f.snap, err = buildSnapshot(base, Head{Version: reply.Version, Root: reply.Root}, get)
	return f, err
}

func (m *Manager) pull(ctx context.Context, from vm.Member, p Pull) (PullReply, error) {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	m.pulls.Add(1)
	var reply PullReply
	to := peer.Destination{VM: from.ID, Address: from.Peer}
	err := m.opts.Peers.Call(ctx, to, peer.CallConfigPull, p, &reply)
	return reply, err
}

// replay applies patches in order. It reports whether all of them could be
// applied.
func replay(base *snapshot, patches []VersionedPatch) (snap *snapshot, complete bool) {
	snap = base
	for _, p := range patches {
		if p.Version <= snap.version {
			continue
		}
		next, err := snap.applyPatch(p)
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
