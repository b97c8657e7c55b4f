package answer_test

import (
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/baobabdyke/baobabdyke/answer"
)

// An endedConn is a connection that has ended for its reader, and whose writes take a while and
// return an error.
type endedConn struct {
	net.Conn
	writeTime time.Duration
	writeErr  error
}

// Read implements net.Conn.
func (c endedConn) Read([]byte) (int, error) { return 0, io.EOF }

// Write implements net.Conn.
func (c endedConn) Write(p []byte) (int, error) {
	time.Sleep(c.writeTime)
	return len(p), c.writeErr
}

// TestEndAfterFailedWrite guards against a reset that the kernel reported to a write and that
// the reader takes for an ordinary end.
func TestEndAfterFailedWrite(t *testing.T) {
	for name, c := range map[string]struct {
		conn endedConn
		// after is how long after the beginning of the write the reader reads.
		after time.Duration
		want  error
	}{
		"a reset before":            {endedConn{writeErr: syscall.ECONNRESET}, time.Second, syscall.ECONNRESET},
		"a broken pipe before":      {endedConn{writeErr: syscall.EPIPE}, time.Second, syscall.EPIPE},
		"a time-out before":         {endedConn{writeErr: syscall.ETIMEDOUT}, time.Second, syscall.ETIMEDOUT},
		"a reset during the read":   {endedConn{writeTime: 400 * time.Millisecond, writeErr: syscall.ECONNRESET}, 100 * time.Millisecond, syscall.ECONNRESET},
		"a write that succeeded":    {endedConn{}, time.Second, io.EOF},
		"a write that goes on well": {endedConn{writeTime: 400 * time.Millisecond}, 100 * time.Millisecond, io.EOF},
		"a write that is stalled":   {endedConn{writeTime: time.Hour}, 100 * time.Millisecond, io.EOF},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				conn := answer.NewConn(c.conn)
				var wg sync.WaitGroup
				defer wg.Wait()
				wg.Go(func() { _, _ = conn.Write([]byte("x")) })
				synctest.Wait()
				time.Sleep(c.after)
				_, err := conn.Read(make([]byte, 1))
				must.ErrorIs(t, err, c.want)
				must.Eq(t, errors.Is(c.want, io.EOF), errors.Is(err, io.EOF))
			})
		})
	}
}
