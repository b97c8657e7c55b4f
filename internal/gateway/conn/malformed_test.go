package conn

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
)

// head is the header of the response to request "own", up to its framing.
const head = "HTTP/1.1 200 OK\r\nBaobabdyke-Request-Id: own\r\n"

// mustBeLost sends a request to a target that writes the response and checks that nothing
// of it counts as a response.
func mustBeLost(t *testing.T, response string) {
	t.Helper()
	p := NewPool(nil)
	t.Cleanup(p.Close)
	switch got := p.Do(t.Context(), script(t, response), request("own", nil), false).(type) {
	case Lost:
		must.Error(t, got.Err)
	case Responded:
		body, err := got.Exchange.ReadBody(1 << 10)
		if err == nil {
			t.Fatalf("status %d, header %q, body %q", got.Response.StatusCode, got.Response.Header, body.Data)
		}
		got.Exchange.Abort()
	default:
		t.Fatalf("the request was not sent: %v", got)
	}
}

// mustBeWhole sends a request to a target that writes the response and checks that it is
// passed on with the body "own".
func mustBeWhole(t *testing.T, response string) {
	t.Helper()
	p := NewPool(nil)
	t.Cleanup(p.Close)
	got, ok := p.Do(t.Context(), script(t, response), request("own", nil), false).(Responded)
	must.True(t, ok)
	body, err := got.Exchange.ReadBody(1 << 10)
	must.NoError(t, err)
	must.Eq(t, "own", string(body.Data))
	got.Exchange.Finish()
}

// TestMalformedStatusIsSkipped guards against a response whose status is below 100 that
// is skipped like an informational one, so that bytes of its body, or what follows it, are
// taken for the response.
func TestMalformedStatusIsSkipped(t *testing.T) {
	const own = head + "Content-Length: 3\r\n\r\nown"
	for _, status := range []string{"000", "001", "099", "-00", "+99", "101"} {
		for name, rest := range map[string]string{
			"with a length":               "Baobabdyke-Request-Id: own\r\nContent-Length: 3\r\n\r\nown",
			"with a response as its body": "Baobabdyke-Request-Id: own\r\nContent-Length: 71\r\n\r\n" + own,
			"before a response":           "\r\n" + own,
			"before two":                  "\r\n" + own + own,
		} {
			t.Run(status+" "+name, func(t *testing.T) {
				mustBeLost(t, "HTTP/1.1 "+status+" None\r\n"+rest)
			})
		}
	}
	t.Run("after an informational response", func(t *testing.T) {
		mustBeLost(t, "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 000 None\r\n\r\n"+own)
	})
	t.Run("after a response to another request", func(t *testing.T) {
		mustBeLost(t, "HTTP/1.1 200 OK\r\nBaobabdyke-Request-Id: a\r\nContent-Length: 0\r\n\r\nHTTP/1.1 000 None\r\n\r\n"+own)
	})
	for name, response := range map[string]string{
		"100":                    "HTTP/1.1 100 Continue\r\n\r\n" + own,
		"103":                    "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + own,
		"100 and 103":            "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + own,
		"an empty reason phrase": "HTTP/1.1 200 \r\nBaobabdyke-Request-Id: own\r\nContent-Length: 3\r\n\r\nown",
	} {
		t.Run(name+" is sound", func(t *testing.T) { mustBeWhole(t, response) })
	}
}

// TestControlByteInReason guards against a response with a control byte in its status line
// that counts as one.
func TestControlByteInReason(t *testing.T) {
	const rest = "\r\nBaobabdyke-Request-Id: own\r\nContent-Length: 3\r\n\r\nown"
	for _, reason := range []string{"O\x00K", "O\x01K", "\x7f", "OK\r"} {
		t.Run(fmt.Sprintf("%q", reason), func(t *testing.T) {
			mustBeLost(t, "HTTP/1.1 200 "+reason+rest)
			mustBeLost(t, "HTTP/1.1 103 "+reason+"\r\n\r\n"+head+"Content-Length: 3\r\n\r\nown")
		})
	}
	for _, reason := range []string{"", "OK", "all\tis well", "tr\xe8s bien", "~!(OK)"} {
		t.Run(fmt.Sprintf("%q is sound", reason), func(t *testing.T) { mustBeWhole(t, "HTTP/1.1 200 "+reason+rest) })
	}
}

// TestMalformedNameIsHeader guards against a response with a header or trailer whose name is
// no token, which is passed on with that line, or with a body that goes by another framing
// than the target meant.
func TestMalformedNameIsHeader(t *testing.T) {
	const (
		length  = "Content-Length: 3\r\n"
		chunked = "Transfer-Encoding: chunked\r\n"
		chunks  = "3\r\nown\r\n0\r\n"
	)
	for name, line := range map[string]string{
		"a blank in it":          "X Y: z\r\n",
		"a blank after it":       "X : z\r\n",
		"a blank after a length": "Content-Length : 3\r\n",
		"a blank after a coding": "Transfer-Encoding : chunked\r\n",
		"a blank after the id":   "Baobabdyke-Request-Id : own\r\n",
		"a tab":                  "X\tY: z\r\n",
		"a zero byte":            "X\x00: z\r\n",
		"a bell":                 "X\aY: z\r\n",
		"a carriage return":      "X\rY: z\r\n",
		"a delete":               "X\x7f: z\r\n",
		"a byte beyond ASCII":    "X\xe9: z\r\n",
		"a bracket":              "X(Y): z\r\n",
		"no name":                ": z\r\n",
		"no colon":               "X\r\n",
	} {
		t.Run("header with "+name, func(t *testing.T) {
			mustBeLost(t, head+length+line+"\r\nown")
			mustBeLost(t, head+line+length+"\r\nown")
			mustBeLost(t, head+line+"\r\nown")
			mustBeLost(t, head+line+chunked+"\r\n"+chunks+"\r\n")
		})
		t.Run("informational header with "+name, func(t *testing.T) {
			mustBeLost(t, "HTTP/1.1 103 Early Hints\r\n"+line+"\r\n"+head+length+"\r\nown")
		})
		t.Run("response to another request with "+name, func(t *testing.T) {
			mustBeLost(t, "HTTP/1.1 200 OK\r\n"+line+"Content-Length: 0\r\n\r\n"+head+length+"\r\nown")
		})
		t.Run("trailer with "+name, func(t *testing.T) {
			mustBeLost(t, head+chunked+"\r\n"+chunks+line+"\r\n")
			mustBeLost(t, head+"Trailer: X\r\n"+chunked+"\r\n"+chunks+line+"\r\n")
		})
		t.Run("trailer of a response to another request with "+name, func(t *testing.T) {
			mustBeLost(t, "HTTP/1.1 200 OK\r\n"+chunked+"\r\n0\r\n"+line+"\r\n"+head+length+"\r\nown")
		})
	}
	for name, line := range map[string]string{
		"any byte of a token": "!#$%&'*+-.^_`|~09AZaz: z\r\n",
		"an empty value":      "X:\r\n",
		"blanks in the value": "X: \t a b \t\r\n",
		"a continued line":    "X: a\r\n b\r\n",
	} {
		t.Run(name+" is sound", func(t *testing.T) {
			mustBeWhole(t, head+line+length+"\r\nown")
			mustBeWhole(t, head+chunked+"\r\n"+chunks+line+"\r\n")
			mustBeWhole(t, "HTTP/1.1 103 Early Hints\r\n"+line+"\r\n"+head+length+"\r\nown")
		})
	}
	t.Run("a trailer that is announced and missing is sound", func(t *testing.T) {
		mustBeWhole(t, head+"Trailer: X Y\r\n"+chunked+"\r\n"+chunks+"\r\n")
	})
}
