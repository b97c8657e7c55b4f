package conn

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/shoenig/test/must"
)

// serve starts a target that serves each connection, from which the header of a request was
// read, and returns its address.
func serve(t *testing.T, respond func(c *net.TCPConn, body io.Reader)) string {
	t.Helper()
	var lc net.ListenConfig
	l, err := lc.Listen(t.Context(), "tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					respond(c.(*net.TCPConn), r.Body)
				}
			}()
		}
	}()
	return l.Addr().String()
}

// sendUpload sends a request with a long body and returns what was read of the response.
func sendUpload(t *testing.T, address string) (body string, err error) {
	t.Helper()
	p := NewPool(nil)
	t.Cleanup(p.Close)
	r := request("own", bytes.Repeat([]byte("x"), 32<<20))
	switch got := p.Do(t.Context(), address, r, true).(type) {
	case Lost:
		return "", got.Err
	case Responded:
		b, err := got.Exchange.ReadBody(1 << 20)
		if err != nil {
			got.Exchange.Abort()
			return "", err
		}
		got.Exchange.Finish()
		return string(b.Data), nil
	default:
		return "", fmt.Errorf("the request was not sent: %v", got)
	}
}

// TestResetDuringUploadIsEndOfBody guards against a response without a length that counts as
// complete though its connection was reset: where the kernel reports the reset to the write of
// the request's body, the read sees an ordinary end.
func TestResetDuringUploadIsEndOfBody(t *testing.T) {
	const part = head + "\r\nown"
	reset := func(c *net.TCPConn) { _ = c.SetLinger(0) }
	for name, respond := range map[string]func(c *net.TCPConn, body io.Reader){
		"reset": func(c *net.TCPConn, _ io.Reader) {
			_, _ = io.WriteString(c, part)
			reset(c)
		},
		"reset during the body": func(c *net.TCPConn, body io.Reader) {
			_, _ = io.WriteString(c, part)
			_, _ = io.CopyN(io.Discard, body, 1<<20)
			reset(c)
		},
		"reset before the header is whole": func(c *net.TCPConn, _ io.Reader) {
			_, _ = io.WriteString(c, head)
			reset(c)
		},
		"closed with unread bytes": func(c *net.TCPConn, body io.Reader) {
			_, _ = io.CopyN(io.Discard, body, 1<<20)
			_, _ = io.WriteString(c, part)
		},
		"closed without a byte of the body read": func(c *net.TCPConn, _ io.Reader) {
			_, _ = io.WriteString(c, part)
		},
		"a length that is cut": func(c *net.TCPConn, _ io.Reader) {
			_, _ = io.WriteString(c, head+"Content-Length: 4\r\n\r\nown")
			reset(c)
		},
		"chunks that are cut": func(c *net.TCPConn, _ io.Reader) {
			_, _ = io.WriteString(c, head+"Transfer-Encoding: chunked\r\n\r\n3\r\nown\r\n")
			reset(c)
		},
	} {
		// Which side the kernel tells of the reset differs from one time to the next.
		for i := range 20 {
			t.Run(fmt.Sprint(name, " ", i), func(t *testing.T) {
				body, err := sendUpload(t, serve(t, respond))
				must.Error(t, err, must.Sprintf("body %q", body))
			})
		}
	}
	for name, respond := range map[string]func(c *net.TCPConn, body io.Reader){
		"a length": func(c *net.TCPConn, body io.Reader) {
			_, _ = io.WriteString(c, head+"Content-Length: 3\r\n\r\nown")
			_, _ = io.Copy(io.Discard, body)
		},
		"a length before a reset": func(c *net.TCPConn, _ io.Reader) {
			_, _ = io.WriteString(c, head+"Content-Length: 3\r\n\r\nown")
			_, _ = io.CopyN(io.Discard, c, 1<<20)
			reset(c)
		},
		"an ordinary close after the body": func(c *net.TCPConn, body io.Reader) {
			_, _ = io.Copy(io.Discard, body)
			_, _ = io.WriteString(c, part)
		},
		"an ordinary close before the body is read": func(c *net.TCPConn, body io.Reader) {
			_, _ = io.WriteString(c, part)
			_ = c.CloseWrite()
			_, _ = io.Copy(io.Discard, body)
		},
		"an ordinary close and a body that is never read": func(c *net.TCPConn, _ io.Reader) {
			_, _ = io.WriteString(c, part)
			_ = c.CloseWrite()
			<-t.Context().Done()
		},
	} {
		t.Run(name+" is sound", func(t *testing.T) {
			body, err := sendUpload(t, serve(t, respond))
			must.NoError(t, err)
			must.Eq(t, "own", body)
		})
	}
}
