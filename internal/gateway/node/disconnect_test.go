package node

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/baobabdyke/baobabdyke/internal/fake"
)

// A gate is a listener that holds back connections while mu is locked.
type gate struct {
	net.Listener
	mu sync.RWMutex
	// accepted is the number of connections that were passed on.
	accepted atomic.Int64
}

// Accept implements net.Listener.
func (g *gate) Accept() (net.Conn, error) {
	c, err := g.Listener.Accept()
	g.mu.RLock()
	defer g.mu.RUnlock()
	g.accepted.Add(1)
	return c, err
}

// rawRequest returns the bytes of a request whose body has the given size.
func rawRequest(path, id string, bodyBytes int) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nBaobabdyke-Request-Id: %s\r\nBaobabdyke-Credential: key\r\n"+
		"Baobabdyke-Model: m\r\nBaobabdyke-Deadline-Ms: 8000\r\nContent-Length: %d\r\n\r\n%s",
		path, id, bodyBytes, strings.Repeat("x", bodyBytes))
}

// dial opens a connection to the VM as a caller.
func (v *testVM) dial() *net.TCPConn {
	v.t.Helper()
	var d net.Dialer
	c, err := d.DialContext(v.t.Context(), "tcp", v.settings.Callers.Address)
	must.NoError(v.t, err)
	v.t.Cleanup(func() { _ = c.Close() })
	return c.(*net.TCPConn)
}

// TestRequestReachesTargetAfterItsCallerLeft guards against requests that are sent to a
// target although their callers had left before the VM read them.
func TestRequestReachesTargetAfterItsCallerLeft(t *testing.T) {
	const requests = 20
	b := newTestbed(t)
	g := &gate{}
	b.callers = func(l net.Listener) net.Listener {
		g.Listener = l
		return g
	}
	v := b.start("vm-1")
	v.ready()
	for range 8 {
		must.Eq(t, http.StatusOK, v.request("/lookup/", "warm", "Connection", "close").status)
		must.Eq(t, http.StatusOK, v.request("/stream/a/", "warm", "Connection", "close").status)
	}
	received := func() int {
		return b.apps[0].Received() + b.apps[1].Received() + b.engines[0].Received() + b.engines[1].Received()
	}
	for _, path := range []string{"/lookup/", "/commit/", "/stream/a/", "/stream/b/"} {
		for _, bodyBytes := range []int{0, 800, 30_000} {
			for _, behind := range []string{"", "\r\n"} {
				t.Run(fmt.Sprintf("%s with %d bytes and %q behind", path, bodyBytes, behind), func(t *testing.T) {
					before, accepted := received(), g.accepted.Load()
					g.mu.Lock()
					for i := range requests {
						c := v.dial()
						_, err := io.WriteString(c, rawRequest(path, fmt.Sprint("r-", i), bodyBytes)+behind)
						must.NoError(t, err)
						must.NoError(t, c.Close())
					}
					g.mu.Unlock()
					eventually(t, func() bool { return g.accepted.Load() == accepted+requests && v.openConns.Load() == 0 })
					must.Eq(t, before, received())
				})
			}
		}
	}
}

// TestTargetWorksForCallerThatLeft guards against a target that goes on working on a
// request whose caller has left, because the caller had sent bytes behind the request.
func TestTargetWorksForCallerThatLeft(t *testing.T) {
	b := newTestbed(t)
	setModes(b.apps, fake.SiteHang)
	setModes(b.engines, fake.SiteHang)
	v := b.start("vm-1")
	v.ready()
	for _, path := range []string{"/lookup/", "/commit/", "/stream/a/"} {
		for name, behind := range map[string]string{
			"nothing":         "",
			"an empty line":   "\r\n",
			"another request": rawRequest("/lookup/", "next", 0),
			"a long request":  rawRequest("/lookup/", "next", 30_000),
		} {
			for _, late := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s with %s behind, late %v", path, name, late), func(t *testing.T) {
					id := strings.Map(toID, t.Name())
					text := rawRequest(path, id, 10)
					if !late {
						text += behind
					}
					c := v.dial()
					_, err := io.WriteString(c, text)
					must.NoError(t, err)
					eventually(t, func() bool { return b.working() == 1 })
					if late {
						_, err = io.WriteString(c, behind)
						must.NoError(t, err)
					}
					must.NoError(t, c.Close())
					eventually(t, func() bool { return b.working() == 0 && v.logged(id) != "" })
					must.StrContains(t, v.logged(id), `outcome="the caller has left`)
				})
			}
		}
	}
}

// toID replaces the characters of a test's name that a request's id must not contain.
func toID(r rune) rune {
	if r == '/' || r == '_' || r == ',' {
		return '-'
	}
	return r
}

// TestAttemptOutlastsItsCaller guards against attempts that a VM does not end when their
// caller leaves.
func TestAttemptOutlastsItsCaller(t *testing.T) {
	t.Run("a standby attempt", func(t *testing.T) {
		b := newTestbed(t)
		setModes(b.apps, fake.SiteHang)
		v := b.start("vm-1")
		v.ready()
		c := v.dial()
		_, err := io.WriteString(c, rawRequest("/lookup/", "r", 0))
		must.NoError(t, err)
		eventually(t, func() bool { return b.working() == 2 })
		must.NoError(t, c.Close())
		eventually(t, func() bool { return b.working() == 0 && v.logged("r") != "" })
		must.StrContains(t, v.logged("r"), `outcome="the caller has left`)
	})
	t.Run("a body that the target does not read", func(t *testing.T) {
		const bodyBytes = 8 << 20
		b := newTestbed(t)
		b.store.Remove("servers", "app-0")
		b.store.Remove("servers", "app-1")
		started, left, read := make(chan struct{}), make(chan struct{}), make(chan error, 1)
		b.rawListener("app", "slow", func(c net.Conn) {
			r, err := http.ReadRequest(bufio.NewReader(c))
			if err != nil {
				return
			}
			close(started)
			<-left
			_, err = io.Copy(io.Discard, r.Body)
			read <- err
		})
		v := b.start("vm-1")
		v.ready()
		eventually(t, func() bool { return len(v.source.View().Targets) == 3 })
		c := v.dial()
		_, err := io.WriteString(c, rawRequest("/commit/", "r", bodyBytes))
		must.NoError(t, err)
		<-started
		must.NoError(t, c.Close())
		eventually(t, func() bool { return v.logged("r") != "" })
		close(left)
		must.Error(t, <-read)
	})
	t.Run("a stream that the caller does not read", func(t *testing.T) {
		b := newTestbed(t)
		b.store.Remove("servers", "llm-0")
		b.store.Remove("servers", "llm-1")
		var sent atomic.Int64
		ended := make(chan struct{})
		b.rawTarget("long", func(c net.Conn, r *http.Request) {
			if r.RequestURI != "/stream/b/" {
				return
			}
			defer close(ended)
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nBaobabdyke-Request-Id: r\r\nBaobabdyke-Response-Seal: s\r\nContent-Type: text/event-stream\r\n\r\n")
			for i := 1; ; i++ {
				if _, err := fmt.Fprintf(c, "id: %d\ndata: %s\n\n", i, strings.Repeat("x", 4000)); err != nil {
					return
				}
				sent.Add(1)
			}
		})
		v := b.start("vm-1")
		v.ready()
		eventually(t, func() bool { return len(v.source.View().Targets) == 3 })
		c := v.dial()
		_, err := io.WriteString(c, rawRequest("/stream/b/", "r", 0))
		must.NoError(t, err)
		last := int64(0)
		eventually(t, func() bool {
			before := last
			last = sent.Load()
			return last > 0 && last == before
		})
		must.NoError(t, c.Close())
		<-ended
	})
}

// logged returns the log line of a request, or the empty string if there is none.
func (v *testVM) logged(id string) string {
	for line := range strings.Lines(v.log.String()) {
		if strings.Contains(line, "msg=request id="+id+" ") {
			return line
		}
	}
	return ""
}

// working returns the number of requests that targets work on.
func (b *testbed) working() int {
	n := 0
	for _, target := range append(b.apps[:], b.engines[:]...) {
		n += target.Working()
	}
	return n
}
