package node

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// drip replaces the engines by one that sends its response to any request in parts with a
// pause between them, again and again if it is endless.
func (b *testbed) drip(pause time.Duration, endless bool, parts ...string) {
	b.t.Helper()
	for _, engine := range b.engines {
		b.store.Remove("servers", engine.ID)
	}
	b.rawListener("llm", "drip", func(c net.Conn) {
		r, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		_, err = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nBaobabdyke-Request-Id: %s\r\n%s%sTransfer-Encoding: chunked\r\n\r\n",
			r.Header.Get("Baobabdyke-Request-Id"), sealed, eventType)
		for err == nil {
			for _, part := range parts {
				time.Sleep(pause)
				if _, err = fmt.Fprintf(c, "%x\r\n%s\r\n", len(part), part); err != nil {
					return
				}
			}
			if !endless {
				_, _ = io.WriteString(c, "0\r\n\r\n")
				return
			}
		}
	})
}

// TestDrippingStream guards against slow but sound streams that are cut, and against
// stalled ones that never end because they send a byte now and then.
func TestDrippingStream(t *testing.T) {
	t.Run("a slow stream is whole", func(t *testing.T) {
		b := newTestbed(t)
		b.drip(350*time.Millisecond, false, strings.SplitAfter(wholeStream(), "\n\n")[:6]...)
		v := b.start("vm-1")
		v.ready()
		got := v.request("/stream/b/", "slow", "Baobabdyke-Deadline-Ms", "3000")
		must.NoError(t, got.err)
		must.Eq(t, wholeStream(), got.body)
	})
	for name, part := range map[string]string{"of an event": "x", "of comments": ":\n", "of empty events": "\n"} {
		t.Run("a byte now and then "+name, func(t *testing.T) {
			b := newTestbed(t)
			b.drip(40*time.Millisecond, true, part)
			v := b.start("vm-1")
			v.ready()
			// The test would not end if the request did not.
			got := v.request("/stream/b/", "stalled", "Baobabdyke-Deadline-Ms", "1200")
			must.True(t, got.err != nil || got.status >= http.StatusInternalServerError, must.Sprintf("%+v", got))
		})
	}
}
