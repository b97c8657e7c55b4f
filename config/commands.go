package config

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/baobabdyke/baobabdyke/peer"
	"github.com/baobabdyke/baobabdyke/store"
	"github.com/baobabdyke/baobabdyke/vm"
)

const (
	// maxConcurrentPushes bounds the pushes that are sent at the same time.
	maxConcurrentPushes = 16
	// pushTimeout bounds one push call.
	pushTimeout = time.Second
	// relaysPerDataCentre is the number of VMs that the committing VM pushes
	// to in each other data centre. They relay the push within their data
	// centre.
	relaysPerDataCentre = 2
)

// Register registers the handlers for configuration calls from other VMs.
func (m *Manager) Register(r peer.Registrar) {
	peer.Handle(r, peer.CallConfigPush, m.handlePush)
	peer.Handle(r, peer.CallConfigPull, m.handlePull)
}

// Changes returns a channel that receives a signal after every new version.
// Versions that take effect before the signal is read are coalesced into one
// signal.
func (m *Manager) Changes() <-chan struct{} {
	ch := make(chan struct{}, 1)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.subscribers = append(m.subscribers, ch)
	return ch
}

// Import submits a whole configuration as the first patch, against version 0.
func (m *Manager) Import(ctx context.Context, cfg *Config) PatchResult {
	return m.Submit(ctx, FirstPatch(cfg))
}

// handlePush adopts a version that another VM pushed. It relays a version that
// is already in force too, since this VM may have received it by another path.
// A push does not confirm that its version is the newest, since it may have
// waited in a buffer while this VM was paused.
func (m *Manager) handlePush(ctx context.Context, from string, p Push) (PushReply, error) {
	base := m.state.Load().snap
	snap, ok := replay(base, p.Patches)
	if !ok || snap.version != p.Version {
		m.send(ctx, versionReport{version: p.Version, source: from})
		return PushReply{Version: base.version}, nil
	}
	done := make(chan struct{})
	f := fetchedVersion{snap: snap, patches: p.Patches, version: p.Version, source: from}
	m.send(ctx, adoptRequest{fetchedVersion: f, pushLocal: p.Relay, done: done})
	select {
	case <-done:
	case <-ctx.Done():
	}
	return PushReply{Version: m.state.Load().version}, nil
}

// handlePull returns the patches or chunks that another VM is missing.
func (m *Manager) handlePull(_ context.Context, _ string, p Pull) (PullReply, error) {
	s := m.state.Load()
	reply := PullReply{
		Version: s.version, Root: s.snap.root, Age: s.age(m.opts.Clock.Now()),
	}
	if len(p.Chunks) > 0 {
		reply.Chunks = s.snap.encodedChunks(p.Chunks)
		return reply, nil
	}
	c := core{snap: s.snap, patches: s.patches}
	if patches, complete := c.patchesSince(p.Have); complete {
		reply.Patches = patches
	}
	return reply, nil
}

// encodedChunks returns the stored form of chunks, up to the size limit of one
// reply. It stops at the first chunk that the snapshot does not contain.
func (s *snapshot) encodedChunks(digests []string) [][]byte {
	var list [][]byte
	size := 0
	for _, digest := range digests[:min(len(digests), maxChunksPerPull)] {
		data, ok := s.encodedChunk(digest)
		if !ok || size > 0 && size+len(data) > maxReplyBytes {
			break
		}
		size += len(data)
		list = append(list, data)
	}
	return list
}

func newPush(version int64, patches []VersionedPatch) Push {
	return Push{Version: version, Patches: patches}
}

// pushLocal pushes to the other VMs of this data centre.
func (m *Manager) pushLocal(ctx context.Context, p Push) {
	local, _ := m.peersByDataCentre()
	m.pushAll(ctx, local, p)
}

// pushRemote pushes to a few VMs of every other data centre, which relay the
// push.
func (m *Manager) pushRemote(ctx context.Context, p Push) {
	_, remote := m.peersByDataCentre()
	p.Relay = true
	var relays []vm.Member
	for _, members := range remote {
		start := m.randomIndex(len(members))
		for i := range min(relaysPerDataCentre, len(members)) {
			relays = append(relays, members[(start+i)%len(members)])
		}
	}
	m.pushAll(ctx, relays, p)
}

// pushAll pushes to VMs with bounded concurrency. Errors are ignored, since
// heartbeats also carry the version.
func (m *Manager) pushAll(ctx context.Context, to []vm.Member, p Push) {
	slots := make(chan struct{}, maxConcurrentPushes)
	var work sync.WaitGroup
	for _, member := range to {
		slots <- struct{}{}
		work.Go(func() {
			defer func() { <-slots }()
			ctx, cancel := context.WithTimeout(ctx, pushTimeout)
			defer cancel()
			m.pushes.Add(1)
			var reply PushReply
			dest := peer.Destination{VM: member.ID, Address: member.Peer}
			_ = m.opts.Peers.Call(ctx, dest, peer.CallConfigPush, p, &reply)
		})
	}
	work.Wait()
}

// putChunk writes a chunk to the object store even if it exists already. The
// write gives the chunk a new object version, so that a sweep that listed the
// chunk before does not delete it. It returns nil on success.
func (m *Manager) putChunk(ctx context.Context, digest string, data []byte) error {
	const attempts = 4
	expect := store.MustNotExist
	for range attempts {
		ctx, cancel := context.WithTimeout(ctx, storeTimeout)
		m.writes.Add(1)
		result := m.opts.Store.Put(ctx, chunkPrefix+digest, data, expect)
		cancel()
		switch r := result.(type) {
		case store.Done:
			return nil
		case store.Conflict:
			expect = r.Current
		case store.NotSent:
			return r.Err
		case store.Unknown:
			return r.Err
		}
	}
	return errors.New("chunk changes too often")
}
