package answer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"time"
)

// resetWait bounds how long the end of a connection waits for a write in progress. A write
// that was told of a reset fails at once; one that takes longer is blocked, as the other side
// does not read.
const resetWait = 500 * time.Millisecond

// A Conn is a connection whose Read returns io.EOF only if the connection was not reset.
// The kernel reports a reset once: where a write was told, a read sees an ordinary end.
type Conn struct {
	net.Conn
	// writing holds a value while a Write is in progress or writeErr is used.
	writing  chan struct{}
	writeErr error
}

// NewConn returns a Conn over c. All writes must be made through it.
func NewConn(c net.Conn) *Conn { return &Conn{Conn: c, writing: make(chan struct{}, 1)} }

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	c.writing <- struct{}{}
	defer func() { <-c.writing }()
	n, err := c.Conn.Write(p)
	if err != nil {
		c.writeErr = err
	}
	return n, err
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if errors.Is(err, io.EOF) {
		if failed := c.awaitWrite(); failed != nil {
			err = fmt.Errorf("connection ended during a write: %w", failed)
		}
	}
	return n, err
}

// awaitWrite waits for the write in progress and returns the error of the last failed one.
func (c *Conn) awaitWrite() error {
	timer := time.NewTimer(resetWait)
	defer timer.Stop()
	select {
	case c.writing <- struct{}{}:
		defer func() { <-c.writing }()
		return c.writeErr
	case <-timer.C:
		return nil
	}
}

// A DialFunc opens a connection, as http.Transport.DialContext does.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Dial returns a function that opens connections with dial and returns them as Conns.
func Dial(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return NewConn(c), nil
	}
}
