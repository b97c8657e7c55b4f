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
	pushWidth = 16
	// pushTimeout bounds one push.
	pushTimeout = time.Second
	// relays is the number of VMs in every other data centre that a writer
	// pushes to, and that push on within it.
	relays = 2
)

// Register adds the handlers of the configuration's calls.
func (k *Manager) Register(r peer.Registrar) {
	peer.Handle(r, peer.CallConfigPush, k.handlePush)
	peer.Handle(r, peer.CallConfigPull, k.handlePull)
}

// Changes returns a channel that receives after every new version. Versions
// that follow each other before it is read give one signal.
func (k *Manager) Changes() <-chan struct{} {
	ch := make(chan struct{}, 1)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.subscribers = append(k.subscribers, ch)
	return ch
}

// Import submits a whole configuration as the first patch.
func (k *Manager) Import(ctx context.Context, cfg *Config) PatchResult {
	return k.Submit(ctx, FirstPatch(cfg))
}

// handlePush takes a version from another VM. One that is in force already is
// relayed all the same, since it may have come another way. A push says nothing
// on the age of its version, since it may have waited in a buffer while this VM
// was paused.
func (k *Manager) handlePush(ctx context.Context, from string, p Push) (PushReply, error) {
	base := k.state.Load().snap
	snap, whole := replay(base, p.Patches)
	if !whole || snap.version != p.Version {
		k.send(ctx, word{version: p.Version, source: from})
		return PushReply{Version: base.version}, nil
	}
	done := make(chan struct{})
	f := fetched{snap: snap, patches: p.Patches, version: p.Version, source: from}
	k.send(ctx, adoption{fetched: f, near: p.Relay, done: done})
	select {
	case <-done:
	case <-ctx.Done():
	}
	return PushReply{Version: k.state.Load().version}, nil
}

// handlePull answers with the patches or chunks that another VM lacks.
func (k *Manager) handlePull(_ context.Context, _ string, p Pull) (PullReply, error) {
	s := k.state.Load()
	reply := PullReply{
		Version: s.version, Root: s.snap.root, Age: s.age(k.opts.Clock.Now()),
	}
	if len(p.Chunks) > 0 {
		reply.Chunks = s.snap.chunks(p.Chunks)
		return reply, nil
	}
	c := core{snap: s.snap, patches: s.patches}
	if patches, all := c.since(p.Have); all {
		reply.Patches = patches
	}
	return reply, nil
}

// chunks returns the stored forms of chunks, up to the bound of one reply.
func (s *snapshot) chunks(digests []string) [][]byte {
	var list [][]byte
	size := 0
	for _, digest := range digests[:min(len(digests), maxWanted)] {
		data, ok := s.encoded(digest)
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
func (k *Manager) pushNear(ctx context.Context, p Push) {
	near, _ := k.byDataCentre()
	k.pushAll(ctx, near, p)
}

// pushFar pushes to some VMs of every other data centre, which relay it.
func (k *Manager) pushFar(ctx context.Context, p Push) {
	_, far := k.byDataCentre()
	p.Relay = true
	var to []vm.Member
	for _, members := range far {
		start := k.pick(len(members))
		for i := range min(relays, len(members)) {
			to = append(to, members[(start+i)%len(members)])
		}
	}
	k.pushAll(ctx, to, p)
}

// pushAll pushes to VMs, a bounded number at once. One that does not answer
// hears of the version from heartbeats.
func (k *Manager) pushAll(ctx context.Context, to []vm.Member, p Push) {
	slots := make(chan struct{}, pushWidth)
	var work sync.WaitGroup
	for _, m := range to {
		slots <- struct{}{}
		work.Go(func() {
			defer func() { <-slots }()
			ctx, cancel := context.WithTimeout(ctx, pushTimeout)
			defer cancel()
			k.pushes.Add(1)
			var reply PushReply
			dest := peer.Destination{VM: m.ID, Address: m.Peer}
			_ = k.opts.Peers.Call(ctx, dest, peer.CallConfigPush, p, &reply)
		})
	}
	work.Wait()
}

// putChunk makes sure that the object API holds a chunk, with an object version
// later than any collection that began before. It returns nil when it does.
func (k *Manager) putChunk(ctx context.Context, digest string, data []byte) error {
	const attempts = 4
	expect := store.MustNotExist
	for range attempts {
		ctx, cancel := context.WithTimeout(ctx, storeTimeout)
		k.writes.Add(1)
		result := k.opts.Store.Put(ctx, chunkPrefix+digest, data, expect)
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
