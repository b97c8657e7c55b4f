package cmd

import (
	"errors"
	"net/http"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/baobabdyke/baobabdyke/internal/fake"
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
			vm := &fake.Script{Response: head + "Content-Length: 2\r\n\r\n{}"}
			address, err := vm.Start(t.Context())
			must.NoError(t, err)
			a := operatorArguments{Operator: address, TokenFile: "testdata/token"}
			_, err = a.call(http.MethodPost, "/patch", "")
			must.Error(t, err)
			must.False(t, errors.Is(err, errNotSent))
		})
	}
}
