package cmd

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/shoenig/test/must"
)

// TestMalformedResponseToOperator guards against a malformed response of a VM that is printed
// as the outcome of a command.
func TestMalformedResponseToOperator(t *testing.T) {
	for name, head := range map[string]string{
		"status 000":        "HTTP/1.1 000 None\r\n",
		"status 101":        "HTTP/1.1 101 Switching Protocols\r\n",
		"a blank in a name": "HTTP/1.1 409 Conflict\r\nX Y: z\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			var lc net.ListenConfig
			l, err := lc.Listen(t.Context(), "tcp", "127.0.0.1:0")
			must.NoError(t, err)
			defer func() { _ = l.Close() }()
			go func() {
				c, err := l.Accept()
				if err != nil {
					return
				}
				defer func() { _ = c.Close() }()
				if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					_, _ = io.WriteString(c, head+"Content-Length: 2\r\n\r\n{}")
				}
			}()
			a := operatorArguments{Operator: l.Addr().String(), TokenFile: "testdata/token"}
			_, err = a.call(http.MethodPost, "/patch", "")
			must.Error(t, err)
			must.False(t, errors.Is(err, errNotSent))
		})
	}
}
