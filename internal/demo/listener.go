package demo

import (
	"context"
	"net"
	"sync"
	"sync/atomic"

	"github.com/rotisserie/eris"
)

// A listener is a net.Listener that can simulate a crash by closing all of its
// connections at once.
type listener struct {
	net.Listener

	// bytes counts the bytes read and written on accepted connections.
	bytes atomic.Int64

	mu    sync.Mutex
	conns map[*listenerConn]struct{}
}

// listen opens a listener on an address.
func listen(ctx context.Context, address string) (*listener, error) {
	var lc net.ListenConfig
	l, err := lc.Listen(ctx, "tcp", address)
	if err != nil {
		return nil, eris.Wrap(err, "listen on a port of a VM")
	}
	return &listener{Listener: l, conns: map[*listenerConn]struct{}{}}, nil
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	conn := &listenerConn{Conn: c, listener: l}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[conn] = struct{}{}
	return conn, nil
}

// crash closes the listener and all its connections.
func (l *listener) crash() {
	_ = l.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	for conn := range l.conns {
		_ = conn.Conn.Close()
	}
	clear(l.conns)
}

// A listenerConn is a connection accepted by a listener.
type listenerConn struct {
	net.Conn
	listener *listener
}

// Read implements net.Conn.
func (c *listenerConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.listener.bytes.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *listenerConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.listener.bytes.Add(int64(n))
	return n, err
}

// Close implements net.Conn.
func (c *listenerConn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.conns, c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}
