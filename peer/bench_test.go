package peer

import (
	"net"
	"sync/atomic"
	"testing"

	"github.com/shoenig/test/must"
)

// A countingListener counts the bytes of its connections, in both directions.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

func (l countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return countingConn{Conn: conn, bytes: l.bytes}, err
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

// BenchmarkMeasureCall makes calls over one loopback connection and reports the
// bytes of a call in addition to its encoded messages, without TCP and IP
// headers.
func BenchmarkMeasureCall(b *testing.B) {
	s := NewServer(ServerOptions{Self: "vm-002", Secret: make([]byte, 32)})
	Handle(s, "/vm/Probe", handleEcho)
	var bytes atomic.Int64
	l := listen(b)
	ctx := b.Context()
	go func() { _ = s.Serve(ctx, countingListener{Listener: l, bytes: &bytes}) }()
	c := NewClient(ClientOptions{Self: "vm-001", Secret: make([]byte, 32)})
	defer c.Close()
	to := Destination{VM: "vm-002", Address: l.Addr().String()}
	req := echo{Text: "0123456789012345"}
	data, err := Encode(req)
	must.NoError(b, err)
	payload := len(data)
	data, err = Encode(echo{Text: req.Text, From: "vm-001"})
	must.NoError(b, err)
	payload += len(data)
	calls := 0
	for b.Loop() {
		var got echo
		must.NoError(b, c.Call(ctx, to, CallProbe, req, &got))
		calls++
	}
	b.ReportMetric(float64(bytes.Load())/float64(calls)-float64(payload), "overhead-B/call")
}
