package inbound

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/baobabdyke/baobabdyke/internal/gateway/intake"
)

// serveSet starts a server whose connections belong to the set.
func serveSet(t *testing.T, set *Set, h http.HandlerFunc) *testServer {
	t.Helper()
	var lc net.ListenConfig
	l, err := lc.Listen(t.Context(), "tcp", "127.0.0.1:0")
	must.NoError(t, err)
	server := &http.Server{ReadHeaderTimeout: headerTimeout, ConnState: set.Track, Handler: h}
	go func() { _ = server.Serve(Listener{Listener: l, Set: set}) }()
	t.Cleanup(func() { _ = server.Shutdown(context.WithoutCancel(t.Context())) })
	return &testServer{t: t, set: set, address: l.Addr().String()}
}

// TestSilentConnectionsMakeRoom guards against connections that send no whole header and keep
// out callers.
func TestSilentConnectionsMakeRoom(t *testing.T) {
	s := newTestServer(t, 3)
	var silent []net.Conn
	for range 3 {
		c := s.dial()
		_, err := io.WriteString(c, "GET / HT")
		must.NoError(t, err)
		silent = append(silent, c)
	}
	time.Sleep(2 * usualHeader)
	for i := range 3 {
		must.True(t, request(t, s.dial()))
		awaitClose(silent[i])
	}
}

// TestRunningRequestsAreNotCut guards against new connections that end running requests, and
// against more connections than are permitted.
func TestRunningRequestsAreNotCut(t *testing.T) {
	arrived, end := make(chan struct{}), make(chan struct{})
	s := serveSet(t, NewSet(1), func(http.ResponseWriter, *http.Request) {
		close(arrived)
		<-end
	})
	running := s.dial()
	answered := make(chan bool)
	go func() { answered <- request(t, running) }()
	<-arrived
	awaitClose(s.dial())
	close(end)
	must.True(t, <-answered)
}

// headerTimeout is so long that no header is cut off by it.
const headerTimeout = 1 << 40

// TestHeadersShareMemory guards against headers that together take more than the memory, and
// against whole requests that are cut off for them.
func TestHeadersShareMemory(t *testing.T) {
	set := NewSet(100)
	set.Memory = intake.NewMemory(400 << 10)
	s := serveSet(t, set, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") })
	part := "GET / HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", 40<<10)
	first := s.dial()
	_, _ = io.WriteString(first, part)
	for range 8 {
		_, _ = io.WriteString(s.dial(), part)
	}
	awaitClose(first)
	must.True(t, request(t, s.dial()))
	used := s.set.Memory.Vars().(map[string]int64)["used"]
	must.LessEq(t, 400<<10, used)
}

// TestMessagesShareMemory guards against messages without an end, and against connections
// that are closed for what was received long ago.
func TestMessagesShareMemory(t *testing.T) {
	var lc net.ListenConfig
	l, err := lc.Listen(t.Context(), "tcp", "127.0.0.1:0")
	must.NoError(t, err)
	set := NewSet(100)
	set.Messages, set.Memory = true, intake.NewMemory(200<<10)
	listener := Listener{Listener: l, Set: set}
	t.Cleanup(func() { _ = l.Close() })
	s := &testServer{t: t, set: set, address: l.Addr().String()}
	c := s.dial()
	served, err := listener.Accept()
	must.NoError(t, err)
	piece := make([]byte, 10<<10)
	for range 20 {
		_, err := c.Write(piece)
		must.NoError(t, err)
		_, err = io.ReadFull(served, make([]byte, len(piece)))
		must.NoError(t, err)
		_, err = served.Write([]byte("answer"))
		must.NoError(t, err)
	}
	must.Eq(t, connCost, set.Memory.Vars().(map[string]int64)["used"])
	go func() {
		for {
			if _, err := c.Write(piece); err != nil {
				return
			}
		}
	}()
	n, _ := io.Copy(io.Discard, served)
	must.LessEq(t, 200<<10, n)
	must.Eq(t, 0, set.Memory.Vars().(map[string]int64)["used"])
}
