package source

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/baobabdyke/baobabdyke/internal/fleet/site"
	"github.com/baobabdyke/baobabdyke/internal/seed"
	"github.com/baobabdyke/baobabdyke/peer"
	"github.com/baobabdyke/baobabdyke/store"
)

// versionDecoder decodes configurations that begin with their version and a space.
func versionDecoder() Decoder {
	d := decoder
	d.Config = func(spec []byte) (*site.Config, error) {
		number, _, _ := strings.Cut(string(spec), " ")
		n, err := strconv.ParseInt(number, 10, 64)
		return &site.Config{Version: n}, err
	}
	return d
}

// largeObject returns a configuration of 800 KB that differs from others by its version and a
// few bytes at its end.
func largeObject(version int64) store.Object {
	r := rand.New(rand.NewPCG(seed.Value(), 2))
	var b strings.Builder
	fmt.Fprintf(&b, "%d ", version)
	for b.Len() < 800<<10 {
		fmt.Fprintf(&b, `{"name":"%016x"},`, r.Uint64())
	}
	fmt.Fprintf(&b, "end of %d", version)
	return store.Object{Key: "config/main", Version: 10 * version, Value: []byte(b.String())}
}

// TestPullSendsDifferenceOnly guards against pulls of a large configuration that fill the
// links of the VMs, and against VMs that then get another one than that in the store.
func TestPullSendsDifferenceOnly(t *testing.T) {
	const older, newer = 5, 7
	play := func(t *testing.T, prepare func(ahead, behind *Source), most int64) {
		t.Helper()
		synctest.Test(t, func(t *testing.T) {
			network := peer.NewMemory()
			node := network.Node("b", "b")
			ahead := New(Options{Decoder: versionDecoder()})
			behind := New(Options{Decoder: versionDecoder(), Peers: node})
			ahead.Register(network.Node("a", "a"))
			prepare(ahead, behind)
			last := largeObject(newer)
			ahead.applySnapshot(Config, []store.Object{last}, last.Version, time.Now())
			before := node.Traffic().Received
			must.NoError(t, behind.PullFrom(t.Context(), node, peer.Destination{VM: "a", Address: "a"}, Config))
			must.LessEq(t, most, node.Traffic().Received-before)
			must.Eq(t, newer, behind.View().Config.Version)
			must.Eq(t, string(last.Value), string(behind.newest.object.Value))
			must.Eq(t, ahead.Positions()[Config], behind.Positions()[Config])
		})
	}
	have := func(s *Source, version int64) {
		o := largeObject(version)
		s.applySnapshot(Config, []store.Object{o}, o.Version, time.Now())
	}
	t.Run("both had the version before", func(t *testing.T) {
		play(t, func(ahead, behind *Source) { have(ahead, older); have(behind, older) }, 2<<10)
	})
	t.Run("the other one was ahead by two", func(t *testing.T) {
		play(t, func(ahead, behind *Source) { have(ahead, older); have(behind, older); have(ahead, older+1) }, 2<<10)
	})
	t.Run("the version before is not known any more", func(t *testing.T) {
		play(t, func(ahead, behind *Source) { have(ahead, older); have(behind, older-1) }, 600<<10)
	})
	t.Run("a VM that has just started", func(t *testing.T) {
		play(t, func(ahead, _ *Source) { have(ahead, older) }, 600<<10)
	})
	t.Run("a VM that could not unpack", func(t *testing.T) {
		play(t, func(ahead, behind *Source) { have(ahead, older); have(behind, older); behind.unpackFailed = true }, 1<<20)
	})
}

// TestPullOfEarlierBuild guards against a VM of an earlier build that gets objects which it
// cannot decode.
func TestPullOfEarlierBuild(t *testing.T) {
	s := New(Options{Decoder: versionDecoder()})
	o := largeObject(5)
	s.applySnapshot(Config, []store.Object{o}, o.Version, time.Now())
	resp := s.handlePull(PullRequest{Kind: Config})
	must.SliceLen(t, 1, resp.Objects)
	must.SliceEmpty(t, resp.Packed)
}
