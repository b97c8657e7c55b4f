package demo

import (
	"context"
	"net"
	"sync"
	"sync/atomic"

	"github.com/rotisserie/eris"
)

// A port is a listener that can be crashed: all its connections are closed at
// once.
type port struct {
	net.Listener

	// bytes counts what was read and written on accepted connections.
	bytes atomic.Int64

	mu    sync.Mutex
	conns map[*portConn]struct{}
}

// openPort listens on address.
func openPort(ctx context.Context, address string) (*port, error) {
	var lc net.ListenConfig
	l, err := lc.Listen(ctx, "tcp", address)
	if err != nil {
		return nil, eris.Wrap(err, "open a port of a VM")
	}
	return &port{Listener: l, conns: map[*portConn]struct{}{}}, nil
}

// Accept implements net.Listener.
func (p *port) Accept() (net.Conn, error) {
	c, err := p.Listener.Accept()
	if err != nil {
		return nil, err
	}
	conn := &portConn{Conn: c, port: p}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns[conn] = struct{}{}
	return conn, nil
}

// crash closes the listener and all its connections.
func (p *port) crash() {
	_ = p.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.conns {
		_ = conn.Conn.Close()
	}
	clear(p.conns)
}

// A portConn is one connection of a port.
type portConn struct {
	net.Conn
	port *port
}

// Read implements net.Conn.
func (c *portConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.port.bytes.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *portConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.port.bytes.Add(int64(n))
	return n, err
}

// Close implements net.Conn.
func (c *portConn) Close() error {
	c.port.mu.Lock()
	delete(c.port.conns, c)
	c.port.mu.Unlock()
	return c.Conn.Close()
}
