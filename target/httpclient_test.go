package target_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/baobabdyke/baobabdyke/target"
)

// A rawServer is a TCP server that counts the requests that it reads. It responds
// to the first request of a connection with a fixed text. It closes the
// connection at the second request, or after the first response if that is
// incomplete.
type rawServer struct {
	listener net.Listener
	response string
	requests atomic.Int64
	last     atomic.Pointer[http.Request]
}

func newRawServer(t *testing.T, response string) *rawServer {
	t.Helper()
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	must.NoError(t, err)
	w := &rawServer{listener: l, response: response}
	t.Cleanup(func() { _ = l.Close() })
	go w.serve()
	return w
}

func (s *rawServer) address() string { return s.listener.Addr().String() }

func (s *rawServer) serve() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.serveConn(conn)
	}
}

func (s *rawServer) serveConn(conn net.Conn) {
	defer conn.Close()
	requests := bufio.NewReader(conn)
	for first := true; ; first = false {
		r, err := http.ReadRequest(requests)
		if err != nil {
			return
		}
		s.last.Store(r)
		s.requests.Add(1)
		_, _ = io.Copy(io.Discard, r.Body)
		if !first || !strings.HasSuffix(s.response, "\r\n\r\n") {
			if first {
				_, _ = fmt.Fprint(conn, s.response)
			}
			return
		}
		_, _ = fmt.Fprint(conn, s.response)
	}
}

func responseWith(status string, headers ...string) string {
	return "HTTP/1.1 " + status + "\r\nContent-Length: 0\r\n" + strings.Join(headers, "\r\n") + "\r\n\r\n"
}

// describe returns a short description of a Result.
func describe(r target.Result) string {
	switch r := r.(type) {
	case target.Responded:
		_ = r.Response.Body.Close()
		return fmt.Sprint("answered ", r.Response.Status)
	case target.NotRun:
		return fmt.Sprint("not run ", r.Stale, " ", r.Unreachable)
	case target.Lost:
		return "lost"
	}
	return "none"
}

func request(method string) target.Request {
	return target.Request{
		ID: "r1", Attempt: "r1.1", Method: method, Path: "/holds", Body: []byte(`{"seat":"A1"}`),
		Incarnation: "i1", Weights: "w1",
		Header: http.Header{
			"Content-Type": {"application/json"}, "Authorization": {"Bearer caller-key"}, "Cookie": {"key=caller-key"},
			"X-Api-Key": {"caller-key"}, "Idempotency-Key": {"k"}, "X-Idempotency-Key": {"k"},
		},
	}
}

// TestSendOnce checks the result of a send for each kind of response, and that the
// request is written exactly once.
func TestSendOnce(t *testing.T) {
	for name, c := range map[string]struct{ response, result string }{
		"closed without a response":   {"", "lost"},
		"cut off in the headers":      {"HTTP/1.1 200 OK\r\nContent-Le", "lost"},
		"answered":                    {responseWith("200 OK"), "answered 200"},
		"redirected":                  {responseWith("307 Temporary Redirect", "Location: /elsewhere"), "answered 307"},
		"redirected as a GET":         {responseWith("303 See Other", "Location: /elsewhere"), "answered 303"},
		"refused":                     {responseWith("503 Leaving", "X-Not-Run: true"), "not run false false"},
		"incarnation mismatch":        {responseWith("409 Conflict", "X-Not-Run: true"), "not run true false"},
		"response to another attempt": {responseWith("200 OK", "X-Attempt-Id: r1.0"), "lost"},
		"response to another request": {responseWith("200 OK", "X-Request-Id: r2"), "lost"},
		"other weights":               {responseWith("200 OK", "X-Weights-Version: w0"), "lost"},
		"former incarnation":          {responseWith("200 OK", "X-Engine-Incarnation: i0"), "lost"},
	} {
		for _, method := range []string{http.MethodPost, http.MethodGet} {
			t.Run(name+" "+method, func(t *testing.T) {
				w := newRawServer(t, c.response)
				client := target.NewHTTPClient(target.HTTPOptions{})
				for i := range 3 {
					must.Eq(t, c.result, describe(client.Send(t.Context(), w.address(), request(method))))
					must.Eq(t, int64(i+1), w.requests.Load())
				}
			})
		}
	}
}

func TestSendNothingWritten(t *testing.T) {
	w := newRawServer(t, "")
	must.NoError(t, w.listener.Close())
	client := target.NewHTTPClient(target.HTTPOptions{})
	must.Eq(t, "not run false true", describe(client.Send(t.Context(), w.address(), request(http.MethodPost))))
	ctx, cancel := context.WithCancelCause(t.Context())
	cancel(errors.New("caller gone"))
	must.Eq(t, "not run false true", describe(client.Send(ctx, w.address(), request(http.MethodPost))))
}

func TestSendHidesKeys(t *testing.T) {
	w := newRawServer(t, responseWith("200 OK"))
	client := target.NewHTTPClient(target.HTTPOptions{Credential: "own"})
	must.Eq(t, "answered 200", describe(client.Send(t.Context(), w.address(), request(http.MethodPost))))
	h := w.last.Load().Header
	must.Eq(t, []string{"Bearer own"}, h["Authorization"])
	must.Eq(t, []string{"application/json"}, h["Content-Type"])
	must.False(t, strings.Contains(fmt.Sprint(h), "caller-key"))
	must.Eq(t, "r1", h.Get(target.HeaderRequestID))
}

func FuzzCacheEvent(f *testing.F) {
	f.Add([]byte(`{"sequence":1,"incarnation":"i","weights":"w","kind":"stored","pieces":[1,2]}`))
	f.Add([]byte(`{}`))
	f.Add([]byte(`{"sequence":18446744073709551615,"kind":"cleared"}`))
	f.Fuzz(func(t *testing.T, line []byte) {
		ev, ping, err := target.ParseEvent(line)
		if err != nil || ping {
			must.Eq(t, target.CacheEvent{}, ev)
			return
		}
		must.Positive(t, ev.Sequence)
		must.NotEq(t, "", ev.Incarnation)
	})
}
