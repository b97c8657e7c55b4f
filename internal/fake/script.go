package fake

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
)

// A Script is a process that responds to each request with the same bytes, so that it can
// violate HTTP/1.1.
type Script struct {
	Response string
	// BodyBytes is how much is read of a request's body before the response; 0 is all of it.
	BodyBytes int64
	// KeepOpen keeps the connection for further requests, and Reset resets it. Else it is
	// closed after a response.
	KeepOpen, Reset bool

	connections atomic.Int64
}

// Start serves until ctx is done, and returns the address.
func (s *Script) Start(ctx context.Context) (address string, err error) {
	var lc net.ListenConfig
	l, err := lc.Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	context.AfterFunc(ctx, func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.connections.Add(1)
			go s.serve(c)
		}
	}()
	return l.Addr().String(), nil
}

// Connections returns the number of connections accepted.
func (s *Script) Connections() int64 { return s.connections.Load() }

func (s *Script) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	requests := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(requests)
		if err != nil {
			return
		}
		if s.BodyBytes > 0 {
			_, _ = io.CopyN(io.Discard, r.Body, s.BodyBytes)
		} else {
			_, _ = io.Copy(io.Discard, r.Body)
		}
		_, _ = io.WriteString(c, s.Response)
		if tcp, ok := c.(*net.TCPConn); ok && s.Reset {
			_ = tcp.SetLinger(0)
		}
		if !s.KeepOpen {
			return
		}
	}
}
