package inbound

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// A testServer is an http.Server with a Set.
type testServer struct {
	t       *testing.T
	set     *Set
	address string
}

func newTestServer(t *testing.T, limit int) *testServer {
	t.Helper()
	var lc net.ListenConfig
	l, err := lc.Listen(t.Context(), "tcp", "127.0.0.1:0")
	must.NoError(t, err)
	s := &testServer{t: t, set: NewSet(limit), address: l.Addr().String()}
	server := &http.Server{
		Handler:     http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") }),
		IdleTimeout: time.Hour, ReadHeaderTimeout: time.Hour, ConnState: s.set.Track,
	}
	go func() { _ = server.Serve(Listener{Listener: l, Set: s.set}) }()
	t.Cleanup(func() { _ = server.Shutdown(context.WithoutCancel(t.Context())) })
	return s
}

func (s *testServer) dial() net.Conn {
	s.t.Helper()
	var d net.Dialer
	c, err := d.DialContext(s.t.Context(), "tcp", s.address)
	must.NoError(s.t, err)
	s.t.Cleanup(func() { _ = c.Close() })
	return c
}

// request sends a request on an open connection and returns whether it is answered.
func request(t *testing.T, c net.Conn) bool {
	t.Helper()
	if _, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		return false
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.Body.Close() == nil && resp.StatusCode == http.StatusOK
}

// awaitClose waits until the server closes a connection, perhaps after an answer.
func awaitClose(c net.Conn) { _, _ = io.Copy(io.Discard, c) }

// TestIdleConnectionIsClosed guards against connections that are kept for longer than the
// limit, until no descriptor is left.
func TestIdleConnectionIsClosed(t *testing.T) {
	s := newTestServer(t, 100)
	s.set.SetLimits(Limits{Idle: 300 * time.Millisecond}, time.Now())
	c := s.dial()
	for range 4 {
		must.True(t, request(t, c))
		time.Sleep(200 * time.Millisecond)
	}
	start := time.Now()
	awaitClose(c)
	must.LessEq(t, 300*time.Millisecond, time.Since(start))
}

// TestSlowHeaderIsCutOff checks the limit for headers on new and used connections.
func TestSlowHeaderIsCutOff(t *testing.T) {
	s := newTestServer(t, 100)
	s.set.SetLimits(Limits{Header: 200 * time.Millisecond, Idle: time.Hour}, time.Now())
	fresh, used := s.dial(), s.dial()
	must.True(t, request(t, used))
	time.Sleep(400 * time.Millisecond)
	must.True(t, request(t, used), must.Sprint("the time between two requests does not count"))
	for _, c := range []net.Conn{fresh, used} {
		_, _ = io.WriteString(c, "GET / HT")
		awaitClose(c)
	}
}

// TestLoweredLimit guards against connections that are closed under callers that do not know
// yet that the limit was lowered.
func TestLoweredLimit(t *testing.T) {
	s := NewSet(100)
	now := time.Unix(1000, 0)
	s.SetLimits(Limits{Idle: 15 * time.Second}, now)
	must.Eq(t, 15*time.Second, s.idleLimit(now))
	s.SetLimits(Limits{Idle: 3 * time.Second}, now)
	must.Eq(t, 15*time.Second, s.idleLimit(now.Add(loweredDelay/2)))
	must.Eq(t, 3*time.Second, s.idleLimit(now.Add(loweredDelay)))
	s.SetLimits(Limits{Idle: 20 * time.Second}, now.Add(loweredDelay))
	must.Eq(t, 20*time.Second, s.idleLimit(now.Add(loweredDelay)))
}

// TestIdleConnectionsMakeRoom guards against a server that accepts nothing any more because
// idle connections use all descriptors.
func TestIdleConnectionsMakeRoom(t *testing.T) {
	s := newTestServer(t, 3)
	var conns []net.Conn
	for range 6 {
		c := s.dial()
		must.True(t, request(t, c))
		conns = append(conns, c)
	}
	for _, c := range conns[:3] {
		awaitClose(c)
	}
	for _, c := range conns[3:] {
		must.True(t, request(t, c))
	}
}
