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
	// pushWidth is the number of pushes at once.
	maxConcurrentPushes = 16
	// pushTimeout bounds one push.
	pushTimeout = time.Second
	// relays is the number of VMs in every other data centre that a writer
	// pushes to, and that push on within it.
	relaysPerDataCentre = 2
)

// Register adds the handlers of the configuration's calls.
func (m *Manager) Register(r peer.Registrar) {
	peer.Handle(r, peer.CallConfigPush, m.handlePush)
	peer.Handle(r, peer.CallConfigPull, m.handlePull)
}

// Changes returns a channel that receives after every new version. Versions
// that follow each other before it is read give one signal.
func (m *Manager) Changes() <-chan struct{} {
	ch := make(chan struct{}, 1)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.subscribers = append(m.subscribers, ch)
	return ch
}

// Import submits a whole configuration as the first patch.
func (m *Manager) Import(ctx context.Context, cfg *Config) PatchResult {
	return m.Submit(ctx, FirstPatch(cfg))
}

// handlePush takes a version from another VM. One that is in force already is
// relayed all the same, since it may have come another way. A push says nothing
// on the age of its version, since it may have waited in a buffer while this VM
// was paused.
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

// handlePull answers with the patches or chunks that another VM lacks.
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

// chunks returns the stored forms of chunks, up to the bound of one reply.
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

// newPush returns the push of a version.
func newPush(version int64, patches []VersionedPatch) Push {
	return Push{Version: version, Patches: patches}
}

// pushNear pushes to the other VMs of this data centre.
func (m *Manager) pushLocal(ctx context.Context, p Push) {
	local, _ := m.peersByDataCentre()
	m.pushAll(ctx, local, p)
}

// pushFar pushes to some VMs of every other data centre, which relay it.
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

// pushAll pushes to VMs, a bounded number at once. One that does not answer
// hears of the version from heartbeats.
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

// putChunk makes sure that the object API holds a chunk, with an object version
// later than any collection that began before. It returns nil when it does.
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
