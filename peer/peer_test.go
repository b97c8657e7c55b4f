package peer

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
)

const (
	callEcho = "/test/Echo"
	// callRendezvous returns when two calls of it are in progress.
	callRendezvous = "/test/Meet"
)

type echo struct {
	Text string `cbor:"1,keyasint"`
	From string `cbor:"2,keyasint"`
}

func handleEcho(_ context.Context, from string, req echo) (echo, error) {
	if req.Text == "fail" {
		return echo{}, errors.New("failed as asked")
	}
	return echo{Text: req.Text, From: from}, nil
}

// serve starts a server with an echo handler and returns its address.
func serve(t *testing.T, id, secret string) string {
	t.Helper()
	s := NewServer(ServerOptions{Self: id, Secret: []byte(secret)})
	Handle(s, callEcho, handleEcho)
	var rendezvous sync.WaitGroup
	rendezvous.Add(2)
	Handle(s, callRendezvous, func(context.Context, string, echo) (echo, error) {
		rendezvous.Done()
		rendezvous.Wait()
		return echo{}, nil
	})
	l := listen(t)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- s.Serve(ctx, l) }()
	t.Cleanup(func() {
		cancel()
		must.NoError(t, <-done)
	})
	return l.Addr().String()
}

func listen(t testing.TB) net.Listener {
	t.Helper()
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	must.NoError(t, err)
	return l
}

func newClient(t *testing.T, secret string) *Client {
	t.Helper()
	c := NewClient(ClientOptions{Self: "vm-1", Secret: []byte(secret)})
	t.Cleanup(c.Close)
	return c
}

func mustEcho(t *testing.T, c Caller, to Destination, text string) {
	t.Helper()
	var got echo
	must.NoError(t, c.Call(t.Context(), to, callEcho, echo{Text: text}, &got))
	must.Eq(t, echo{Text: text, From: "vm-1"}, got)
}

func mustFail(t *testing.T, c Caller, to Destination, call string, want error) {
	t.Helper()
	var got echo
	must.ErrorIs(t, c.Call(t.Context(), to, call, echo{}, &got), want)
}

func TestCallOverTCP(t *testing.T) {
	address := serve(t, "vm-2", "s")
	to := Destination{VM: "vm-2", Address: address}
	t.Run("reuses one connection", func(t *testing.T) {
		c := newClient(t, "s")
		mustEcho(t, c, to, "a")
		mustEcho(t, c, to, "b")
		must.Eq(t, 1, c.dials.Load())
	})
	t.Run("rejects a wrong secret", func(t *testing.T) {
		mustFail(t, newClient(t, "other"), to, callEcho, ErrForbidden)
	})
	t.Run("rejects a call for another VM", func(t *testing.T) {
		mustFail(t, newClient(t, "s"), Destination{VM: "vm-3", Address: address}, callEcho, ErrWrongVM)
	})
	t.Run("rejects an unknown call", func(t *testing.T) {
		mustFail(t, newClient(t, "s"), to, "/test/None", ErrUnknownCall)
	})
	t.Run("returns the error of a handler", func(t *testing.T) {
		err := newClient(t, "s").Call(t.Context(), to, callEcho, echo{Text: "fail"}, &echo{})
		must.ErrorContains(t, err, "failed as asked")
	})
}

// TestDeadConnection guards against the reuse of dead connections. A relay
// drops all data of two open connections, while new ones work. A call on one of
// them ends at its deadline, and the next call must not use the other.
func TestDeadConnection(t *testing.T) {
	address := serve(t, "vm-2", "s")
	r := startRelay(t, address)
	to := Destination{VM: "vm-2", Address: r.address}
	c := newClient(t, "s")
	var pair sync.WaitGroup
	for range 2 {
		pair.Go(func() { _ = c.Call(t.Context(), to, callRendezvous, echo{}, &echo{}) })
	}
	pair.Wait()
	must.Eq(t, 2, c.dials.Load())
	r.dropped.Store(2)
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	must.Error(t, c.Call(ctx, to, callEcho, echo{Text: "lost"}, &echo{}))
	mustEcho(t, c, to, "after")
	must.Eq(t, 3, c.dials.Load())
}

// A relay forwards connections to an address. It drops all data of as many of the
// first connections as the field dropped says.
type relay struct {
	address string
	dropped atomic.Int64
}

func startRelay(t *testing.T, address string) *relay {
	t.Helper()
	l := listen(t)
	r := &relay{address: l.Addr().String()}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for i := int64(0); ; i++ {
			from, err := l.Accept()
			if err != nil {
				return
			}
			to, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", address)
			if err != nil {
				return
			}
			t.Cleanup(func() { _ = from.Close() })
			t.Cleanup(func() { _ = to.Close() })
			drop := func() bool { return i < r.dropped.Load() }
			go relayBytes(to, from, drop)
			go relayBytes(from, to, drop)
		}
	}()
	return r
}

func relayBytes(to, from net.Conn, drop func() bool) {
	buf := make([]byte, 4096)
	for {
		n, err := from.Read(buf)
		if err != nil {
			return
		}
		if drop() {
			continue
		}
		if _, err := to.Write(buf[:n]); err != nil {
			return
		}
	}
}

func TestMemoryFaults(t *testing.T) {
	to := Destination{VM: "vm-2", Address: "10.0.0.2:1"}
	cases := []struct {
		name  string
		fault func(m *Memory)
		took  time.Duration
		fails error
	}{
		{"none", func(*Memory) {}, 0, nil},
		{"disconnected", func(m *Memory) { m.Disconnect("vm-1", "vm-2") }, 0, ErrUnreachable},
		{"responses disconnected", func(m *Memory) { m.DisconnectOneWay("vm-2", "vm-1") }, 0, ErrUnreachable},
		{"messages dropped", func(m *Memory) { m.DropMessages("vm-1", "vm-2") }, DefaultTimeout, context.DeadlineExceeded},
		{"responses dropped", func(m *Memory) { m.DropResponses("vm-1", "vm-2") }, DefaultTimeout, context.DeadlineExceeded},
		{"paused", func(m *Memory) { m.Pause("vm-2") }, DefaultTimeout, context.DeadlineExceeded},
		{"slow", func(m *Memory) { m.Delay("vm-1", "vm-2", time.Second/2) }, time.Second, nil},
		{"replaced", func(m *Memory) { m.Node("vm-9", "10.0.0.2:1") }, 0, ErrWrongVM},
		{"removed", func(m *Memory) { m.Remove("10.0.0.2:1") }, 0, ErrUnreachable},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				m := NewMemory()
				a, b := m.Node("vm-1", "10.0.0.1:1"), m.Node("vm-2", "10.0.0.2:1")
				Handle(b, callEcho, handleEcho)
				tc.fault(m)
				start := time.Now()
				err := a.Call(t.Context(), to, callEcho, echo{Text: "x"}, &echo{})
				must.ErrorIs(t, err, tc.fails)
				must.Eq(t, tc.took, time.Since(start))
				m.Heal("vm-1", "vm-2")
				m.Resume("vm-2")
			})
		})
	}
}

// TestFloatsAreShortAndExact guards against updates of large fleets that spend most of their
// bytes on amounts of customers.
func TestFloatsAreShortAndExact(t *testing.T) {
	for _, c := range []struct {
		value float64
		bytes int
	}{
		{0, 3}, {1500, 3}, {123_457, 5}, {16_777_217, 9}, {0.1, 9}, {-84_789_877.25, 9},
	} {
		data, err := encoding.Marshal(c.value)
		must.NoError(t, err)
		must.Len(t, c.bytes, data, must.Sprint(c.value))
		var got float64
		must.NoError(t, encoding.Unmarshal(data, &got))
		must.Eq(t, c.value, got)
	}
}
