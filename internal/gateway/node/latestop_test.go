package node

import (
	"bufio"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/baobabdyke/baobabdyke/internal/fake"
	"github.com/baobabdyke/baobabdyke/internal/gateway/relay"
	"github.com/baobabdyke/baobabdyke/internal/settings"
)

// TestRequestIsSentAtTheEndOfAStop guards against requests that a stopping VM sends to a
// target although it may end before the target's response.
func TestRequestIsSentAtTheEndOfAStop(t *testing.T) {
	t.Run("its body arrives during the stop", func(t *testing.T) {
		b := newTestbed(t)
		setModes(b.apps, fake.SiteHang)
		v := b.start("vm-1")
		v.ready()
		c := v.dial()
		_, err := io.WriteString(c, "POST /post/ HTTP/1.1\r\nHost: h\r\nBaobabdyke-Request-Id: r\r\nBaobabdyke-Credential: key\r\n"+
			"Baobabdyke-Deadline-Ms: 60000\r\nContent-Length: 4\r\n\r\nbo")
		must.NoError(t, err)
		eventually(t, func() bool { return v.inFlight.Load() == 1 })
		v.stop()
		eventually(t, func() bool { return v.stopStart.Load() != nil })
		_, err = io.WriteString(c, "dy")
		must.NoError(t, err)
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		must.NoError(t, err)
		_ = resp.Body.Close()
		must.Eq(t, http.StatusServiceUnavailable, resp.StatusCode)
		must.NotEq(t, "", resp.Header.Get("Retry-After"))
		must.True(t, resp.Close)
		must.Eq(t, 0, runs(b.apps))
	})
	t.Run("a target rejects it during the stop", func(t *testing.T) {
		b := newTestbed(t)
		setModes(b.apps, fake.SiteReject)
		for _, target := range b.apps {
			target.Silence()
		}
		v := b.start("vm-1")
		v.ready()
		results := make(chan result, 1)
		go func() { results <- v.request("/post/", "r", "Baobabdyke-Deadline-Ms", "60000") }()
		rejections := func() int { return b.apps[0].Rejections() + b.apps[1].Rejections() }
		eventually(t, func() bool { return rejections() == 1 })
		v.stop()
		eventually(t, func() bool { return v.stopStart.Load() != nil })
		for _, target := range b.apps {
			if target.Rejections() == 0 {
				target.SetMode(fake.SiteHang)
			}
			target.Resume()
		}
		got := <-results
		must.NoError(t, got.err)
		must.Eq(t, http.StatusServiceUnavailable, got.status)
		must.Eq(t, 0, runs(b.apps))
	})
}

// TestLongRequestIsAcceptedLateInALongStop guards against requests that arrive late in a
// planned stop and end with it.
func TestLongRequestIsAcceptedLateInALongStop(t *testing.T) {
	for _, grace := range []time.Duration{3 * time.Second, 8 * time.Second, 20 * time.Second, time.Minute} {
		t.Run(grace.String(), func(t *testing.T) {
			n := &Node{}
			n.gateway.Store(&settings.Gateway{Bounds: settings.Bounds{Grace: grace}})
			must.Eq(t, relay.Stop{}, n.stopTimes())
			start := time.Now()
			n.stopStart.Store(&start)
			stop := n.stopTimes()
			must.LessEq(t, grace, stop.By.Sub(start))
			must.LessEq(t, 3*time.Second, stop.AcceptUntil.Sub(start))
		})
	}
}
