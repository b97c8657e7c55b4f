package node

import (
	"bufio"
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

// TestBodyAfterDeadlineStopsNoVM guards against a VM that crashes when the body of a request
// arrives after its deadline.
func TestBodyAfterDeadlineStopsNoVM(t *testing.T) {
	b := newTestbed(t)
	v := b.start("vm-1")
	v.ready()
	var d net.Dialer
	c, err := d.DialContext(t.Context(), "tcp", v.settings.Callers.Address)
	must.NoError(t, err)
	defer func() { _ = c.Close() }()
	responses := bufio.NewReader(c)
	for range 200 {
		_, err := io.WriteString(c, "POST /lookup/ HTTP/1.1\r\nHost: h\r\nBaobabdyke-Request-Id: r\r\nBaobabdyke-Credential: key\r\n"+
			"Baobabdyke-Deadline-Ms: 1\r\nContent-Length: 1\r\n\r\n")
		must.NoError(t, err)
		eventually(t, func() bool { return v.inFlight.Load() == 1 })
		time.Sleep(2 * time.Millisecond)
		_, err = io.WriteString(c, "x")
		must.NoError(t, err)
		resp, err := http.ReadResponse(responses, nil)
		must.NoError(t, err)
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		must.Eq(t, http.StatusGatewayTimeout, resp.StatusCode)
		eventually(t, func() bool { return v.inFlight.Load() == 0 })
	}
}

// rawTarget registers an engine whose responses are written by respond.
func (b *testbed) rawTarget(id string, respond func(c net.Conn, r *http.Request)) {
	b.t.Helper()
	b.rawListener("llm", id, func(c net.Conn) {
		r, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		respond(c, r)
	})
}

// rawListener registers a target whose connections are served by serve.
func (b *testbed) rawListener(service, id string, serve func(c net.Conn)) {
	b.t.Helper()
	var lc net.ListenConfig
	l, err := lc.Listen(b.t.Context(), "tcp", "127.0.0.1:0")
	must.NoError(b.t, err)
	b.t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				serve(c)
			}()
		}
	}()
	b.list(service, id, l.Addr().String(), "ready")
}

// TestStalledRejectionStallsNoStream guards against a stream that stops because the
// rejection of an attempt at another target does not arrive in full.
func TestStalledRejectionStallsNoStream(t *testing.T) {
	b := newTestbed(t)
	b.store.Remove("servers", "llm-1")
	v := b.start("vm-1")
	v.ready()
	e := b.engines[0]
	e.SetEventInterval(100 * time.Millisecond)
	results := v.send("/stream/a/")
	eventually(t, func() bool { return len(e.Runs()) == 1 })
	rejected := make(chan struct{}, 8)
	b.rawTarget("llm-2", func(c net.Conn, r *http.Request) {
		if r.URL.Path != "/stream/a/" {
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\nBaobabdyke-Not-Executed: 1\r\nContent-Length: 4\r\n\r\n")
		rejected <- struct{}{}
		_, _ = io.Copy(io.Discard, c)
	})
	e.Silence()
	t.Cleanup(e.Resume)
	<-rejected
	// The VM receives the header of the rejection.
	time.Sleep(100 * time.Millisecond)
	e.Resume()
	got := <-results
	must.NoError(t, got.err)
	must.Eq(t, wholeStream(), got.body)
}

// TestFailureKeepsStandby guards against a VM that gives up an attempt at another
// target because the silent target rejects the request or fails.
func TestFailureKeepsStandby(t *testing.T) {
	for name, mode := range map[string]fake.SiteMode{"rejected": fake.SiteReject, "failed": fake.SiteError} {
		t.Run(name, func(t *testing.T) {
			b := newTestbed(t)
			b.retries = settings.Retries{Ratio: 2, Window: time.Hour}
			v := b.start("vm-1")
			v.ready()
			for _, e := range b.engines {
				e.SetMode(mode)
				e.Silence()
				t.Cleanup(e.Resume)
			}
			results := v.send("/stream/a/")
			received := func(e *fake.SiteTarget) int { return e.Rejections() + len(e.Runs()) }
			eventually(t, func() bool { return received(b.engines[0])+received(b.engines[1]) == 1 })
			first, other := b.engines[0], b.engines[1]
			if received(first) == 0 {
				first, other = other, first
			}
			other.SetMode(fake.SiteNormal)
			eventually(t, func() bool { return len(other.Runs()) == 1 })
			first.Resume()
			time.Sleep(100 * time.Millisecond)
			other.Resume()
			got := <-results
			must.NoError(t, got.err)
			must.Eq(t, wholeStream(), got.body)
			must.Len(t, 1, other.Runs())
		})
	}
}

// TestStopAnswersRunningRequests guards against a planned stop that closes the
// connections of requests that still run without an answer.
func TestStopAnswersRunningRequests(t *testing.T) {
	b := newTestbed(t)
	setModes(b.apps, fake.SiteHang)
	v := b.start("vm-1")
	v.ready()
	results := make(chan result, 1)
	go func() { results <- v.request("/commit/", "r", "Baobabdyke-Deadline-Ms", "3000") }()
	eventually(t, func() bool { return runs(b.apps) == 1 })
	v.stop()
	must.NoError(t, <-v.done)
	v.done <- nil
	must.Eq(t, 0, v.inFlight.Load())
	got := <-results
	must.NoError(t, got.err)
	must.Eq(t, http.StatusGatewayTimeout, got.status)
}

// TestSilentStandbyIsReplaced guards against a request that waits for two silent
// targets although its route permits a third.
func TestSilentStandbyIsReplaced(t *testing.T) {
	b := newTestbed(t)
	third := b.target("llm", "llm-2")
	b.version++
	config := fmt.Sprintf(configuration, b.version, 1_000_000, 1_000_000)
	b.store.PutRaw("config", "main", []byte(strings.ReplaceAll(config, `"maxAttempts":2`, `"maxAttempts":3`)))
	v := b.start("vm-1")
	v.ready()
	all := []*fake.SiteTarget{b.engines[0], b.engines[1], third}
	for _, e := range all {
		e.Silence()
		t.Cleanup(e.Resume)
	}
	ran := func() (n int) {
		for _, e := range all {
			n += len(e.Runs())
		}
		return n
	}
	results := v.send("/stream/a/")
	eventually(t, func() bool { return ran() == 2 })
	for _, e := range all {
		if len(e.Runs()) == 0 {
			e.Resume()
		}
	}
	got := <-results
	must.NoError(t, got.err)
	must.Eq(t, wholeStream(), got.body)
}

// TestSlowCallerIsNoSilentTarget guards against a stream that is sent to another target
// because its caller reads slowly.
func TestSlowCallerIsNoSilentTarget(t *testing.T) {
	const events = 400
	b := newTestbed(t)
	var streams atomic.Int64
	for i := range 2 {
		b.store.Remove("servers", fmt.Sprintf("llm-%d", i))
		b.rawTarget(fmt.Sprintf("raw-%d", i), func(c net.Conn, r *http.Request) {
			if r.URL.Path != "/stream/a/" {
				return
			}
			streams.Add(1)
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nBaobabdyke-Request-Id: r\r\nBaobabdyke-Response-Seal: s\r\n"+
				"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
			for id := range events {
				e := fmt.Sprintf("id: %d\ndata: %s\n\n", id+1, strings.Repeat("x", 32<<10))
				if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(e), e); err != nil {
					return
				}
			}
			_, _ = io.WriteString(c, "0\r\n\r\n")
		})
	}
	v := b.start("vm-1")
	v.ready()
	var d net.Dialer
	c, err := d.DialContext(t.Context(), "tcp", v.settings.Callers.Address)
	must.NoError(t, err)
	defer func() { _ = c.Close() }()
	_, err = io.WriteString(c, "POST /stream/a/ HTTP/1.1\r\nHost: h\r\nBaobabdyke-Request-Id: r\r\nBaobabdyke-Credential: key\r\n"+
		"Baobabdyke-Model: m\r\nBaobabdyke-Token-Usage: 100,10\r\nBaobabdyke-Deadline-Ms: 8000\r\nContent-Length: 0\r\n\r\n")
	must.NoError(t, err)
	time.Sleep(2 * time.Second)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	must.NoError(t, err)
	body, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	must.NoError(t, err)
	must.Eq(t, events, strings.Count(string(body), "id: "))
	must.Eq(t, 1, streams.Load())
}

// TestRejectedTrialIsNotRepeated guards against a request that is sent again to a
// target that has rejected it while its first target was silent.
func TestRejectedTrialIsNotRepeated(t *testing.T) {
	b := newTestbed(t)
	v := b.start("vm-1")
	v.ready()
	for _, e := range b.engines {
		e.SetMode(fake.SiteReset)
	}
	var results <-chan result
	silent, other := b.silenceFirst(b.engines, func() { results = v.send("/stream/a/") })
	other.SetMode(fake.SiteReject)
	eventually(t, func() bool { return strings.Contains(v.log.String(), "silent target not replaced") })
	silent.Resume()
	must.Eq(t, http.StatusBadGateway, (<-results).status)
	must.Eq(t, 1, other.Rejections())
}

// TestStopAnswersNewConnections guards against a planned stop that closes a connection
// whose first request arrives while the last requests of others still run.
func TestStopAnswersNewConnections(t *testing.T) {
	b := newTestbed(t)
	setModes(b.apps, fake.SiteHang)
	v := b.start("vm-1")
	v.ready()
	var d net.Dialer
	c, err := d.DialContext(t.Context(), "tcp", v.settings.Callers.Address)
	must.NoError(t, err)
	defer func() { _ = c.Close() }()
	results := make(chan result, 1)
	go func() { results <- v.request("/commit/", "r", "Baobabdyke-Deadline-Ms", "2500") }()
	eventually(t, func() bool { return runs(b.apps) == 1 })
	v.stop()
	eventually(t, func() bool {
		refused, err := d.DialContext(t.Context(), "tcp", v.settings.Callers.Address)
		if err == nil {
			_ = refused.Close()
		}
		return err != nil
	})
	_, err = io.WriteString(c, "GET /lookup/ HTTP/1.1\r\nHost: h\r\nBaobabdyke-Request-Id: r2\r\nBaobabdyke-Credential: key\r\n\r\n")
	must.NoError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	must.NoError(t, err)
	_ = resp.Body.Close()
	must.True(t, resp.Close)
	must.NoError(t, (<-results).err)
}
