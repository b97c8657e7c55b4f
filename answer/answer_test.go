package answer_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/baobabdyke/baobabdyke/answer"
	"github.com/baobabdyke/baobabdyke/internal/fake"
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
			script := &fake.Script{Response: response, KeepOpen: true}
			address, err := script.Start(t.Context())
			must.NoError(t, err)
			client := http.Client{Transport: answer.Transport{Base: &http.Transport{}}}
			for i := range 3 {
				must.ErrorIs(t, post(t, &client, "http://"+address, nil), answer.ErrMalformed)
				must.Eq(t, int64(i+1), script.Connections())
			}
		})
	}
}

// TestResetDuringUploadIsEndOfBody guards against a response without a length that counts as
// complete though its connection was reset while the request's body was written.
func TestResetDuringUploadIsEndOfBody(t *testing.T) {
	script := &fake.Script{Response: "HTTP/1.1 200 OK\r\n\r\npart", BodyBytes: 1 << 20, Reset: true}
	address, err := script.Start(t.Context())
	must.NoError(t, err)
	client := http.Client{Transport: &http.Transport{DialContext: answer.Dial(new(net.Dialer).DialContext)}}
	// Which side the kernel tells of the reset differs from one time to the next.
	for range 1000 {
		must.Error(t, post(t, &client, "http://"+address, make([]byte, 16<<20)))
	}
}

// post sends a body and returns the error of reading the response.
func post(t *testing.T, client *http.Client, url string, body []byte) error {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url, bytes.NewReader(body))
	must.NoError(t, err)
	resp, err := client.Do(r)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.ReadAll(resp.Body)
	return err
}
