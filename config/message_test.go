package config

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/baobabdyke/baobabdyke/peer"
	"github.com/baobabdyke/baobabdyke/vm"
)

// FuzzPeerMessage decodes arbitrary bytes as each message type and processes
// the message. The version in force must not change, since no other version
// was committed.
func FuzzPeerMessage(f *testing.F) {
	cfg := sampleConfig(2)
	cfg.Version = 1
	base, err := newSnapshot(cfg, emptySnapshot())
	must.NoError(f, err)
	for _, msg := range []any{
		Push{Version: 3, Relay: true, Patches: []VersionedPatch{{Version: 2, Patch: withdrawalPatch(1, 1), Root: "x"}}},
		Pull{Have: 2, Chunks: []string{base.root, base.index[0].Digest, "none"}},
		PullReply{Version: 9, Root: "r", Age: -1, Chunks: [][]byte{{1}}},
		vm.VersionReport{Version: 1 << 62, Age: vm.AgeUnknown},
	} {
		data, err := peer.Encode(msg)
		must.NoError(f, err)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		m := NewManager(Options{Roster: singleVMRoster{}, Self: "vm"})
		c := newCore()
		c.adopt(base, nil)
		var push Push
		if peer.Decode(data, &push) == nil {
			snap, ok := replay(c.snap, push.Patches)
			must.True(t, !ok || snap.version >= c.snap.version)
			c.observe(push.Version, time.Time{}, "b", epoch)
		}
		var pull Pull
		if peer.Decode(data, &pull) == nil {
			m.publish(c)
			reply, err := m.handlePull(t.Context(), "b", pull)
			must.NoError(t, err)
			must.Between(t, 0, len(reply.Chunks), len(pull.Chunks))
		}
		var reply PullReply
		if peer.Decode(data, &reply) == nil {
			head := Head{Version: reply.Version, Root: reply.Root}
			get := func([]string) ([][]byte, error) { return append(reply.Chunks, nil)[:1], nil }
			_, _ = buildSnapshot(c.snap, head, get)
		}
		var report vm.VersionReport
		if peer.Decode(data, &report) == nil {
			c.observe(report.Version, confirmationTime(epoch, report.Age), "b", epoch)
		}
		must.Eq(t, 1, c.snap.version)
		must.False(t, c.confirmed.After(epoch))
	})
}
