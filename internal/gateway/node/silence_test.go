package node

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/baobabdyke/baobabdyke/internal/fake"
	"github.com/baobabdyke/baobabdyke/internal/settings"
)

// send starts a request as a caller and returns the channel of its result.
func (v *testVM) send(path string) <-chan result {
	results := make(chan result, 1)
	go func() { results <- v.request(path, "r", "Baobabdyke-Deadline-Ms", "8000") }()
	return results
}

// silenceFirst silences the target that receives the next request, which send sends,
// and returns it with the other target.
func (b *testbed) silenceFirst(targets [2]*fake.SiteTarget, send func()) (silent, other *fake.SiteTarget) {
	for _, target := range targets {
		target.Silence()
		b.t.Cleanup(target.Resume)
	}
	send()
	eventually(b.t, func() bool { return runs(targets) == 1 })
	silent, other = targets[0], targets[1]
	if len(silent.Runs()) == 0 {
		silent, other = other, silent
	}
	other.Resume()
	return silent, other
}

// TestSilentTargetEndsNoAnswer guards against a VM that gives up a target that pauses
// before another target has begun to answer in its place.
func TestSilentTargetEndsNoAnswer(t *testing.T) {
	for _, c := range []struct {
		name, path, want string
		engines          bool
	}{
		{"a stream", "/stream/a/", wholeStream(), true},
		{"a plain response", "/lookup/", "", false},
	} {
		t.Run(c.name+", while the other target rejects requests", func(t *testing.T) {
			b := newTestbed(t)
			v := b.start("vm-1")
			v.ready()
			targets := b.apps
			if c.engines {
				targets = b.engines
			}
			var results <-chan result
			silent, other := b.silenceFirst(targets, func() { results = v.send(c.path) })
			other.SetMode(fake.SiteReject)
			eventually(t, func() bool { return other.Rejections() > 0 })
			silent.Resume()
			got := <-results
			must.NoError(t, got.err)
			must.Eq(t, http.StatusOK, got.status)
			must.StrContains(t, got.body, c.want)
		})
	}
	t.Run("a stream that has begun, while the other engine rejects requests", func(t *testing.T) {
		b := newTestbed(t)
		v := b.start("vm-1")
		v.ready()
		for _, e := range b.engines {
			e.SetEventInterval(100 * time.Millisecond)
		}
		results := v.send("/stream/a/")
		eventually(t, func() bool { return runs(b.engines) == 1 })
		for _, e := range b.engines {
			e.SetMode(fake.SiteReject)
			e.Silence()
		}
		eventually(t, func() bool { return b.engines[0].Rejections()+b.engines[1].Rejections() > 0 })
		for _, e := range b.engines {
			e.Resume()
		}
		got := <-results
		must.NoError(t, got.err)
		must.Eq(t, wholeStream(), got.body)
	})
	t.Run("a stream, while the retry budget is spent", func(t *testing.T) {
		b := newTestbed(t)
		b.retries = settings.Retries{Window: time.Second}
		v := b.start("vm-1")
		v.ready()
		var results <-chan result
		silent, other := b.silenceFirst(b.engines, func() { results = v.send("/stream/a/") })
		eventually(t, func() bool { return len(results) > 0 || strings.Contains(v.log.String(), "target silent") })
		silent.Resume()
		got := <-results
		must.NoError(t, got.err)
		must.Eq(t, wholeStream(), got.body)
		must.SliceEmpty(t, other.Runs())
	})
}

// TestSilentTargetIsReplaced guards against a stream that waits for a silent target
// although another one can continue it.
func TestSilentTargetIsReplaced(t *testing.T) {
	b := newTestbed(t)
	v := b.start("vm-1")
	v.ready()
	var results <-chan result
	_, other := b.silenceFirst(b.engines, func() { results = v.send("/stream/a/") })
	got := <-results
	must.NoError(t, got.err)
	must.Eq(t, wholeStream(), got.body)
	must.Len(t, 1, other.Runs())
}
