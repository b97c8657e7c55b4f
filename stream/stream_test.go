package stream_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/baobabdyke/baobabdyke/stream"
	"github.com/baobabdyke/baobabdyke/target"
)

func event(n int) string { return fmt.Sprintf("id: %d\ndata: t%d\n\n", n, n) }

func last(n int) string { return fmt.Sprintf("id: %d\ndata: [DONE]\n\n", n) }

func response(contentType string, body io.ReadCloser) target.Response {
	return target.Response{Status: http.StatusOK, Header: http.Header{"Content-Type": {contentType}}, Body: body}
}

func fixed(parts ...string) target.Response {
	return response("text/event-stream", io.NopCloser(strings.NewReader(strings.Join(parts, ""))))
}

// endOf returns the type name of an End.
func endOf(e stream.End) string { return strings.TrimPrefix(fmt.Sprintf("%T", e), "stream.") }

// resumes returns a ResumeFunc that returns the responses in turn and appends the
// requested offsets to offsets.
func resumes(offsets *[]int64, responses ...target.Response) stream.ResumeFunc {
	return func(_ context.Context, from int64) target.Result {
		*offsets = append(*offsets, from)
		if len(responses) == 0 {
			return target.NotRun{Reason: "gone"}
		}
		r := responses[0]
		responses = responses[1:]
		return target.Responded{Response: r}
	}
}

func TestRelay(t *testing.T) {
	for name, c := range map[string]struct {
		first   target.Response
		then    []target.Response
		end     string
		body    string
		offsets []int64
	}{
		"complete":                    {fixed(event(1), ": ping\n\n", event(2), last(3)), nil, "Complete", event(1) + event(2) + last(3), nil},
		"ends without the last event": {fixed(event(1)), nil, "Broken", event(1), []int64{2}},
		"event missing":               {fixed(event(1), event(3)), []target.Response{fixed(event(2), last(3))}, "Complete", event(1) + event(2) + last(3), []int64{2}},
		"events repeated":             {fixed(event(1), event(2)), []target.Response{fixed(event(1), event(2), last(3))}, "Complete", event(1) + event(2) + last(3), []int64{3}},
		"ends within an event":        {fixed(event(1), "id: 2\ndata: t"), []target.Response{fixed(event(2), last(3))}, "Complete", event(1) + event(2) + last(3), []int64{2}},
		"event without offset":        {fixed("data: x\n\n"), nil, "Broken", "", []int64{1}},
		"event too large":             {fixed("data: ", strings.Repeat("x", stream.MaxEventBytes), "\n\n"), nil, "Broken", "", []int64{1}},
		"event after the last":        {fixed(event(1), last(2), event(3)), nil, "Complete", event(1) + last(2), nil},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := httptest.NewRecorder()
				resp := stream.NewResponse(w, stream.Options{Numbered: true})
				var offsets []int64
				must.Eq(t, c.end, endOf(resp.Relay(t.Context(), c.first, resumes(&offsets, c.then...), func() {})))
				must.Eq(t, c.body, w.Body.String())
				must.Eq(t, c.offsets, offsets)
			})
		})
	}
}

// TestRelayIdle checks that the caller gets pings while no events arrive, and that
// the relay ends after the stall timeout if the target sends pings but no events.
func TestRelayIdle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := httptest.NewRecorder()
		resp := stream.NewResponse(w, stream.Options{Numbered: true, StallTimeout: 10 * time.Second})
		read, write := io.Pipe()
		go func() {
			for err := error(nil); err == nil; time.Sleep(time.Second) {
				_, err = write.Write([]byte(": ping\n\n"))
			}
		}()
		start := time.Now()
		must.Eq(t, "Broken", endOf(resp.Relay(t.Context(), response("text/event-stream", read), nil, func() {})))
		must.Eq(t, 10*time.Second, time.Since(start))
		must.Between(t, 9, strings.Count(w.Body.String(), ": ping\n\n"), 10)
		must.True(t, resp.Fail("unknown", "no progress"))
		must.StrContains(t, w.Body.String(), "event: error\ndata: {\"error\":{\"outcome\":\"unknown\"")
		must.False(t, resp.Fail("unknown", "twice"))
		time.Sleep(2 * time.Second)
	})
}

// TestRelayPauseEndsNoStream guards against a stream that cannot be resumed and is ended
// because its target pauses.
func TestRelayPauseEndsNoStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := httptest.NewRecorder()
		resp := stream.NewResponse(w, stream.Options{})
		read, write := io.Pipe()
		go func() {
			for i := range 3 {
				time.Sleep(2 * stream.DefaultIdleTimeout)
				if _, err := write.Write([]byte(event(i + 1))); err != nil {
					return
				}
			}
			_ = write.Close()
		}()
		must.Eq(t, "Complete", endOf(resp.Relay(t.Context(), response("text/event-stream", read), nil, func() {})))
		must.Eq(t, 3, strings.Count(w.Body.String(), "data: "))
	})
}

// A slowCaller blocks all writes until release is closed.
type slowCaller struct {
	*httptest.ResponseRecorder
	release chan struct{}
}

func (s *slowCaller) Write(p []byte) (int, error) {
	<-s.release
	return s.ResponseRecorder.Write(p)
}

// TestRelaySlowCaller checks that a slow caller limits how far the relay reads ahead,
// and that it still gets all events.
func TestRelaySlowCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const n = 1000
		w := &slowCaller{httptest.NewRecorder(), make(chan struct{})}
		read, write := io.Pipe()
		var written atomic.Int64
		go func() {
			for i := range n {
				_, _ = write.Write([]byte(event(i + 1)))
				written.Add(1)
			}
			_, _ = write.Write([]byte(last(n + 1)))
		}()
		time.AfterFunc(time.Minute, func() {
			must.Less(t, 50, written.Load())
			close(w.release)
		})
		resp := stream.NewResponse(w, stream.Options{Numbered: true})
		must.Eq(t, "Complete", endOf(resp.Relay(t.Context(), response("text/event-stream", read), nil, func() {})))
		must.Eq(t, n+1, strings.Count(w.Body.String(), "data: "))
	})
}

// A failingCaller is a caller to which every write fails.
type failingCaller struct{ *httptest.ResponseRecorder }

func (failingCaller) Write([]byte) (int, error) { return 0, io.ErrClosedPipe }

// TestRelayWriteFails checks that a failed write to the caller ends the relay.
func TestRelayWriteFails(t *testing.T) {
	resp := stream.NewResponse(failingCaller{httptest.NewRecorder()}, stream.Options{Numbered: true})
	must.Eq(t, "Aborted", endOf(resp.Relay(t.Context(), fixed(event(1), last(2)), nil, func() {})))
}

// TestRelayCancelled checks that Aborted has the cause of the cancelled context.
func TestRelayCancelled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancelCause(t.Context())
		read, write := io.Pipe()
		go func() { _, _ = write.Write([]byte(event(1))) }()
		time.AfterFunc(time.Second, func() { cancel(errors.New("key withdrawn")) })
		resp := stream.NewResponse(httptest.NewRecorder(), stream.Options{Numbered: true})
		end := resp.Relay(ctx, response("text/event-stream", read), nil, func() {})
		aborted, ok := end.(stream.Aborted)
		must.True(t, ok)
		must.EqError(t, aborted.Err, "key withdrawn")
	})
}

func TestRelayBody(t *testing.T) {
	for name, c := range map[string]struct {
		body func() io.ReadCloser
		end  string
		want string
	}{
		"complete":       {bodyOf(strings.NewReader("{}")), "Complete", "{}"},
		"truncated body": {bodyOf(io.MultiReader(strings.NewReader("{"), brokenReader{})), "Broken", ""},
		"silent":         {stalledBody, "Broken", ""},
		"too long":       {bodyOf(io.LimitReader(zeros{}, stream.MaxBodyBytes+1)), "Broken", ""},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := httptest.NewRecorder()
				resp := stream.NewResponse(w, stream.Options{Numbered: true})
				must.Eq(t, c.end, endOf(resp.Relay(t.Context(), response("application/json", c.body()), nil, func() {})))
				must.Eq(t, c.want, w.Body.String())
				must.Eq(t, c.want != "", resp.Started())
			})
		})
	}
}

func bodyOf(r io.Reader) func() io.ReadCloser {
	return func() io.ReadCloser { return io.NopCloser(r) }
}

// stalledBody returns a body that stops in the middle and stays open.
func stalledBody() io.ReadCloser {
	read, write := io.Pipe()
	go func() { _, _ = write.Write([]byte("{")) }()
	return read
}

type brokenReader struct{}

func (brokenReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

type zeros struct{}

func (zeros) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}

// FuzzSSE checks that, for any input, events contain the bytes that were read, in
// order and at most MaxEventBytes each.
func FuzzSSE(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\n\n: ping\n\nid: 2\ndata: [DONE]\n\n"))
	f.Add([]byte("data\r\ndata:x\r\n\r\nid: -1\n\n"))
	f.Add([]byte("event: error\nid: 9223372036854775808\n\n"))
	f.Fuzz(func(t *testing.T, input []byte) {
		r := stream.NewReader(bytes.NewReader(input))
		rest := input
		for {
			e, err := r.Next()
			if err != nil {
				return
			}
			must.NonNegative(t, e.Offset)
			must.LessEq(t, stream.MaxEventBytes, len(e.Raw))
			i := bytes.Index(rest, e.Raw)
			must.NonNegative(t, i)
			must.Eq(t, "", strings.Trim(string(rest[:i]), "\r\n"))
			rest = rest[i+len(e.Raw):]
		}
	})
}
