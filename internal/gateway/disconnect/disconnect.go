// Package disconnect detects callers that have left: they have closed their connection, or
// their end of it.
//
// An HTTP server notices that only while it reads from the connection. It does not read
// while a request is on its way from the socket to its handler, nor while bytes behind the
// request wait to be read.
package disconnect

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"syscall"

	"golang.org/x/sys/unix"
)

// ErrLeft is the cause with which the context of a request is cancelled when its caller
// has left.
var ErrLeft = errors.New("connection closed by the caller")

// A Listener is a listener whose connections can be watched, if they have a socket.
type Listener struct{ net.Listener }

// Accept implements net.Listener.
func (l Listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	s, ok := c.(syscall.Conn)
	if !ok {
		return c, nil
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return nil, errors.Join(err, c.Close())
	}
	return &conn{Conn: c, raw: raw}, nil
}

// A conn is the connection of a caller.
type conn struct {
	net.Conn
	raw syscall.RawConn
	// reading reports whether a Read is in progress. It returns when the caller leaves.
	reading atomic.Bool
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	c.reading.Store(true)
	defer c.reading.Store(false)
	return c.Conn.Read(p)
}

// hasLeft reports whether the caller has closed its end of the connection, even if there
// are bytes before the end that have not been read.
func (c *conn) hasLeft() bool {
	left := false
	err := c.raw.Control(func(fd uintptr) {
		fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, err := unix.Poll(fds, 0)
		left = err == nil && n > 0
	})
	return left || errors.Is(err, net.ErrClosed)
}

type connKey struct{}

// WithConn returns a context that carries the connection of a caller, for the field
// ConnContext of an http.Server.
func WithConn(ctx context.Context, c net.Conn) context.Context {
	if outer, ok := c.(interface{ NetConn() net.Conn }); ok {
		c = outer.NetConn()
	}
	return context.WithValue(ctx, connKey{}, c)
}
