package target_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

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
