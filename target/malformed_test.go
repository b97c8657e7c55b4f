package target_test

import (
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/baobabdyke/baobabdyke/internal/fake"
	"github.com/baobabdyke/baobabdyke/target"
)

// malformedResponses are responses that violate HTTP/1.1.
var malformedResponses = map[string]string{
	"status 000":                         responseWith("000 None"),
	"status 101":                         responseWith("101 Switching Protocols"),
	"status 000 of a rejection":          responseWith("000 None", "X-Not-Run: true"),
	"a blank in a name":                  responseWith("200 OK", "X Y: z"),
	"a blank after a name":               responseWith("200 OK", "X : z"),
	"a blank in a name of a rejection":   responseWith("503 Leaving", "X-Not-Run: true", "X Y: z"),
	"a blank in a name of a conflict":    responseWith("409 Conflict", "X-Not-Run: true", "X Y: z"),
	"a blank in a name of a missing one": responseWith("404 Not Found", "X Y: z"),
}

// TestMalformedResponseIsResult guards against a malformed response of a target that is
// passed on, or taken for the result of a message.
func TestMalformedResponseIsResult(t *testing.T) {
	for name, response := range malformedResponses {
		t.Run(name, func(t *testing.T) {
			w := newRawServer(t, response)
			client := target.NewHTTPClient(target.HTTPOptions{})
			must.Eq(t, "lost", describe(client.Send(t.Context(), w.address(), request("POST"))))
			_, ok := client.Order(t.Context(), w.address(), target.Order{Lifetime: time.Second}).(target.OrderLost)
			must.True(t, ok)
			must.Error(t, client.Cancel(t.Context(), w.address(), "r1"))
			_, err := client.Load(t.Context(), w.address())
			must.Error(t, err)
			must.NotEq(t, target.ErrNoReport, err)
			_, err = client.Events(t.Context(), w.address(), 0)
			must.Error(t, err)
		})
	}
}

// TestCutResponseIsResult guards against a response that breaks off within its body and is
// taken for the statement that a request was not run, or for the result of a message, by its
// header alone.
func TestCutResponseIsResult(t *testing.T) {
	for name, rest := range map[string]string{
		"a length":  "Content-Length: 5\r\n\r\ncut",
		"chunks":    "Transfer-Encoding: chunked\r\n\r\n3\r\ncut\r\n",
		"a trailer": "Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\nX Y: z\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			client := target.NewHTTPClient(target.HTTPOptions{})
			address := func(status string) string {
				return newRawServer(t, "HTTP/1.1 "+status+"\r\n"+rest).address()
			}
			for _, status := range []string{"503 Leaving", "409 Conflict"} {
				must.Eq(t, "lost", describe(client.Send(t.Context(), address(status+"\r\nX-Not-Run: true"), request(http.MethodPost))))
			}
			for _, status := range []string{"200 OK", "409 Conflict"} {
				_, ok := client.Order(t.Context(), address(status), target.Order{Lifetime: time.Second}).(target.OrderLost)
				must.True(t, ok)
			}
			must.Error(t, client.Cancel(t.Context(), address("200 OK"), "r1"))
			must.Error(t, client.Transfer(t.Context(), address("200 OK"), "c", nil))
			_, err := client.Load(t.Context(), address("404 Not Found"))
			must.Error(t, err)
			must.NotEq(t, target.ErrNoReport, err)
		})
	}
}

// TestResetDuringUploadIsEndOfBody guards against a part of a response without a length that
// is taken for a whole one, because its target reset the connection while the request was
// written to it.
func TestResetDuringUploadIsEndOfBody(t *testing.T) {
	resetting := &fake.Script{Response: "HTTP/1.1 200 OK\r\n\r\npart", BodyBytes: 1 << 20, Reset: true}
	address, err := resetting.Start(t.Context())
	must.NoError(t, err)
	client := target.NewHTTPClient(target.HTTPOptions{})
	r := request(http.MethodPost)
	r.Body = make([]byte, 16<<20)
	// Which side the kernel tells of the reset differs from one time to the next.
	for range 1000 {
		if got, ok := client.Send(t.Context(), address, r).(target.Responded); ok {
			_, err := io.ReadAll(got.Response.Body)
			must.Error(t, err)
			_ = got.Response.Body.Close()
		}
	}
}
