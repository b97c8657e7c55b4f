package answer_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/baobabdyke/baobabdyke/answer"
)

func ExampleCheck() {
	for _, text := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi",
		"HTTP/1.1 000 None\r\nContent-Length: 2\r\n\r\nhi",
		"HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\nhi",
	} {
		resp, err := http.ReadResponse(bufio.NewReader(strings.NewReader(text)), nil)
		if err != nil {
			fmt.Println(err)
			continue
		}
		fmt.Println(answer.Check(resp))
		_ = resp.Body.Close()
	}
	// Output:
	// <nil>
	// malformed response: status 000
	// malformed response: field name "Content-Length "
}

// TestConnectionOfMalformedResponseIsReused guards against a request that is sent on a
// connection on which a malformed response came, and gets what follows it.
func TestConnectionOfMalformedResponseIsReused(t *testing.T) {
	for name, response := range map[string]string{
		"a status":  "HTTP/1.1 000 None\r\nContent-Length: 0\r\n\r\n",
		"a header":  "HTTP/1.1 200 OK\r\nX Y: z\r\nContent-Length: 0\r\n\r\n",
		"a trailer": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX Y: z\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			var lc net.ListenConfig
			l, err := lc.Listen(t.Context(), "tcp", "127.0.0.1:0")
			must.NoError(t, err)
			t.Cleanup(func() { _ = l.Close() })
			var connections atomic.Int64
			go func() {
				for {
					c, err := l.Accept()
					if err != nil {
						return
					}
					connections.Add(1)
					go func() {
						requests := bufio.NewReader(c)
						for {
							if _, err := http.ReadRequest(requests); err != nil {
								_ = c.Close()
								return
							}
							_, _ = io.WriteString(c, response)
						}
					}()
				}
			}()
			client := http.Client{Transport: answer.Transport{Base: &http.Transport{}}}
			for i := range 3 {
				must.ErrorIs(t, get(t, &client, "http://"+l.Addr().String()), answer.ErrMalformed)
				must.Eq(t, int64(i+1), connections.Load())
			}
		})
	}
}

// get makes a request and returns the error of reading its response.
func get(t *testing.T, client *http.Client, url string) error {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, url, nil)
	must.NoError(t, err)
	resp, err := client.Do(r)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.ReadAll(resp.Body)
	return err
}
