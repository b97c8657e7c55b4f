// Package conn manages the HTTP/1.1 connections to targets. It selects the
// connection for each request and reports whether a failed request may have
// reached the target.
package conn

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/baobabdyke/baobabdyke/answer"
	"github.com/baobabdyke/baobabdyke/internal/gateway/intake"
)

const (
	// dialTimeout bounds the dialling of a target in the same region.
	dialTimeout = 250 * time.Millisecond
	// userTimeout closes a connection whose packets are not acknowledged.
	userTimeout = 1500 * time.Millisecond
	// readBuffer is the size of a connection's read buffer in bytes.
	readBuffer = 2 << 10
	// maxStrays is the number of responses to other requests that are skipped.
	maxStrays = 2
)

const (
	// maxHeadBytes bounds the header of a response together with those of responses and
	// informational responses before it. Those of sound targets take less than a
	// kilobyte.
	maxHeadBytes = 32 << 10
	// freeHeadBytes is what of a header may be read before it counts against the
	// budget, with headFactor times the rest of it: the text and what is decoded of it.
	freeHeadBytes = 4 << 10
	headFactor    = 2
)

var errStray = errors.New("answer belongs to another request")

// A Request is one request to a target.
type Request struct {
	Method string
	// Path is the path and query as the caller sent them.
	Path   string
	Host   string
	Header http.Header
	Body   []byte
	// Matches reports whether a response belongs to this request.
	Matches func(status int, h http.Header) bool
}

// A Conn is one connection to a target. It carries one request at a time.
type Conn struct {
	net    net.Conn
	raw    syscall.RawConn
	source *source
	reader *bufio.Reader
	// idleSince is when the connection became idle, and idleTimeout how long it
	// may remain idle.
	idleSince   time.Time
	idleTimeout time.Duration
}

// dial opens a connection.
func dial(ctx context.Context, address string, budget *intake.Budget) (*Conn, error) {
	d := net.Dialer{Timeout: dialTimeout, KeepAlive: -1, Control: setUserTimeout}
	c, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	checked := answer.NewConn(c)
	src := &source{conn: checked, budget: budget}
	conn := &Conn{net: checked, source: src, reader: bufio.NewReaderSize(src, readBuffer)}
	if tcp, ok := c.(*net.TCPConn); ok {
		conn.raw, err = tcp.SyscallConn()
		if err != nil {
			_ = c.Close()
			return nil, err
		}
	}
	return conn, nil
}

func setUserTimeout(_, _ string, c syscall.RawConn) error {
	var optErr error
	err := c.Control(func(fd uintptr) {
		optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	return errors.Join(err, optErr)
}

// reusable reports whether the connection is open and has no unread bytes, so
// that the next bytes belong to the next response.
func (c *Conn) reusable() bool {
	if c.reader.Buffered() > 0 || c.raw == nil {
		return false
	}
	empty := false
	err := c.raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		empty = errors.Is(err, unix.EAGAIN)
		return true
	})
	return err == nil && empty
}

// Close closes the connection.
func (c *Conn) Close() { _ = c.net.Close() }

// A source reads a connection and bounds what is read of it while a header is expected.
type source struct {
	conn   net.Conn
	budget *intake.Budget
	// inHead reports whether a header is being read, and read is what was read of it.
	inHead bool
	read   int
	// held is what is reserved of the budget for a long header.
	held int64
}

// beginHead starts the reading of a header.
func (s *source) beginHead() { s.inHead, s.read = true, 0 }

// endHead ends it.
func (s *source) endHead() { s.inHead = false }

// release returns what a header has reserved.
func (s *source) release() {
	s.budget.Release(s.held)
	s.held = 0
}

// Read implements io.Reader.
func (s *source) Read(p []byte) (int, error) {
	if !s.inHead {
		return s.conn.Read(p)
	}
	if s.read >= maxHeadBytes {
		return 0, fmt.Errorf("header: %w: over %d bytes", intake.ErrTooLong, maxHeadBytes)
	}
	if s.read >= freeHeadBytes && s.held == 0 {
		const more = headFactor * (maxHeadBytes - freeHeadBytes)
		if !s.budget.Reserve(more) {
			return 0, fmt.Errorf("header: %w", intake.ErrNoRoom)
		}
		s.held = more
	}
	n, err := s.conn.Read(p[:min(len(p), maxHeadBytes-s.read)])
	s.read += n
	return n, err
}

// write writes the request. A long body is written in the background, because a
// target may respond before it has read the body. The channel receives the result
// of the write.
func (c *Conn) write(r Request) <-chan error {
	done := make(chan error, 1)
	head := r.encodeHeader()
	if len(r.Body) <= inlineBody {
		_, err := c.net.Write(append(head, r.Body...))
		done <- err
		return done
	}
	go func() {
		buffers := net.Buffers{head, r.Body}
		_, err := buffers.WriteTo(c.net)
		done <- err
	}()
	return done
}

// inlineBody is the largest body in bytes that is written before the response is
// read. It fits into the socket buffer.
const inlineBody = 8 << 10

// readResponse reads the header of the response. Late responses to other requests
// are skipped.
func (c *Conn) readResponse(r Request) (*http.Response, error) {
	req := &http.Request{Method: r.Method}
	c.source.beginHead()
	defer c.source.endHead()
	for range maxStrays + 1 {
		resp, err := http.ReadResponse(c.reader, req)
		if err != nil {
			return nil, err
		}
		if err := answer.Check(resp); err != nil {
			return nil, err
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		if r.Matches(resp.StatusCode, resp.Header) {
			return resp, nil
		}
		c.source.endHead()
		if err := skipBody(r, resp); err != nil {
			return nil, errors.Join(errStray, err)
		}
		c.source.beginHead()
	}
	return nil, errStray
}

// skipBody reads the body of a response to another request. It returns an error if the
// next response cannot be expected after it.
func skipBody(r Request, resp *http.Response) error {
	if resp.Close || r.Method == http.MethodHead {
		// Only the method of the other request, which is not known, tells whether
		// the response to a HEAD request is followed by a body.
		return errStray
	}
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxStrayBytes+1))
	if err == nil && n > maxStrayBytes {
		return intake.ErrTooLong
	}
	return err
}

// maxStrayBytes bounds a response that is skipped.
const maxStrayBytes = 64 << 10
