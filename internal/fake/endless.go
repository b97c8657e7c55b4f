package fake

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
)

// EndlessBytes is what an Endless sends at most, so that a test ends that reads it all.
const EndlessBytes = 96 << 20

// endlessBlock is the size in bytes of one write of an Endless.
const endlessBlock = 32 << 10

// An Endless is a stand-in for a faulty process. It responds to each request with Begin and
// then with Again, again and again.
type Endless struct {
	Begin, Again string

	sent atomic.Int64
}

// Sent returns the number of bytes that it could send after Begin.
func (e *Endless) Sent() int64 { return e.sent.Load() }

// Serve accepts connections on l until it is closed.
func (e *Endless) Serve(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go e.serveConn(c)
	}
}

func (e *Endless) serveConn(c net.Conn) {
	defer func() { _ = c.Close() }()
	if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
		return
	}
	_, err := io.WriteString(c, e.Begin)
	block := []byte(strings.Repeat(e.Again, endlessBlock/len(e.Again)+1))
	for err == nil && e.Sent() < EndlessBytes {
		var n int
		n, err = c.Write(block)
		e.sent.Add(int64(n))
	}
}
