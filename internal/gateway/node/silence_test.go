package node

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
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

// TestSilentTargetCountsAsFailing guards against a VM that goes on choosing a silent
// target because no attempt was made to replace it.
func TestSilentTargetCountsAsFailing(t *testing.T) {
	b := newTestbed(t)
	b.retries = settings.Retries{Window: time.Second}
	v := b.start("vm-1")
	v.ready()
	var results <-chan result
	silent, other := b.silenceFirst(b.engines, func() { results = v.send("/stream/a/") })
	eventually(t, func() bool { return strings.Contains(v.log.String(), "target silent") })
	loads, _ := v.placer.Loads(time.Now())
	must.Len(t, 1, loads)
	must.Eq(t, silent.ID, loads[0].Target)
	must.Positive(t, loads[0].Failing)
	must.SliceEmpty(t, other.Runs())
	silent.Resume()
	must.NoError(t, (<-results).err)
}

// TestEmptyAnswerReplacesSilentTarget guards against a stream that is broken off because another
// target, which was asked while the first one paused, sent a header and nothing that could be
// passed on.
func TestEmptyAnswerReplacesSilentTarget(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nBaobabdyke-Request-Id: r\r\n" + sealed + eventType + "Transfer-Encoding: chunked\r\n\r\n"
	chunk := func(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }
	for _, c := range []struct {
		name, first, rest, other string
	}{
		{"a stream that lacks its end, and another one that is over", chunk(wholeStream()), "", head + "0\r\n\r\n"},
		{"a stream in its middle, and a header alone", chunk(events(1, 3)), chunk(events(4, 6)), head},
		{"a stream before its first event, and a header alone", "", chunk(wholeStream()), head},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newTestbed(t)
			var asked atomic.Int64
			other := make(chan struct{})
			for i := range 2 {
				b.store.Remove("servers", fmt.Sprintf("llm-%d", i))
				b.rawTarget(fmt.Sprintf("raw-%d", i), func(conn net.Conn, r *http.Request) {
					if r.URL.Path != "/stream/a/" {
						return
					}
					if asked.Add(1) > 1 {
						_, _ = io.WriteString(conn, c.other)
						close(other)
						return
					}
					_, _ = io.WriteString(conn, head+c.first)
					<-other
					time.Sleep(300 * time.Millisecond)
					_, _ = io.WriteString(conn, c.rest+"0\r\n\r\n")
				})
			}
			v := b.start("vm-1")
			v.ready()
			eventually(t, func() bool {
				targets := v.source.View().Targets
				return len(targets) == 4 && targets["raw-0"] != nil && targets["raw-1"] != nil
			})
			got := v.request("/stream/a/", "r", "Baobabdyke-Deadline-Ms", "8000")
			must.NoError(t, got.err)
			must.Eq(t, wholeStream(), got.body)
			must.Eq(t, 2, asked.Load())
		})
	}
}
