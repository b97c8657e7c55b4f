package conn

import (
	"context"
	"net"
	"runtime"
	"runtime/debug"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/baobabdyke/baobabdyke/internal/fake"
	"github.com/baobabdyke/baobabdyke/internal/gateway/intake"
)

// unreadBytes is what the sockets of both sides hold at most of an endless answer.
const unreadBytes = 16 << 20

const endlessHead = "HTTP/1.1 200 OK\r\nBaobabdyke-Request-Id: a\r\n"

// serveEndless serves an endless target and returns its address.
func serveEndless(t *testing.T, e *fake.Endless) string {
	t.Helper()
	var lc net.ListenConfig
	l, err := lc.Listen(t.Context(), "tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go e.Serve(l)
	return l.Addr().String()
}

var endlessAnswers = map[string]struct{ begin, again string }{
	"status line":             {"", "HTTP/1.1 200 "},
	"bytes that are no head":  {"", "\x00\x01"},
	"header line":             {endlessHead + "X: ", "x"},
	"header lines":            {endlessHead, "X: y\r\n"},
	"informational responses": {"", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"},
	"informational header":    {"HTTP/1.1 103 Early Hints\r\n", "Link: x\r\n"},
	"chunk extension":         {endlessHead + "Transfer-Encoding: chunked\r\n\r\n", "4;x=y"},
	"chunk extensions":        {endlessHead + "Transfer-Encoding: chunked\r\n\r\n", "1;" + strings.Repeat("x", 2000) + "\r\ny\r\n"},
	"chunks":                  {endlessHead + "Transfer-Encoding: chunked\r\n\r\n", "4\r\nbody\r\n"},
	"trailers":                {endlessHead + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X: y\r\n"},
	"trailer":                 {endlessHead + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "x"},
	"body with a length":      {endlessHead + "Content-Length: 1000000000000\r\n\r\n", "body"},
	"body without a length":   {endlessHead + "\r\n", "body"},
	"response to another":     {"HTTP/1.1 200 OK\r\nBaobabdyke-Request-Id: b\r\nContent-Length: 1000000000\r\n\r\n", "body"},
	"responses to others":     {"", "HTTP/1.1 200 OK\r\nBaobabdyke-Request-Id: b\r\nContent-Length: 4\r\n\r\nbody"},
}

// TestEndlessAnswer guards against a target that sends bytes without an end, in a header
// or in a body, all of which are read and kept.
func TestEndlessAnswer(t *testing.T) {
	for name, c := range endlessAnswers {
		t.Run(name, func(t *testing.T) {
			e := &fake.Endless{Begin: c.begin, Again: c.again}
			budget := intake.NewBudget(8 << 20)
			p := NewPool(budget)
			switch r := p.Do(t.Context(), serveEndless(t, e), request("a", nil), true).(type) {
			case Responded:
				_, err := r.Exchange.ReadBody(4 << 20)
				must.Error(t, err)
				r.Exchange.Abort()
			case Lost:
				must.Error(t, r.Err)
			default:
				t.Fatalf("the request was not sent: %v", r)
			}
			must.Less(t, unreadBytes, e.Sent())
			must.Eq(t, 0, budget.Used())
		})
	}
}

// TestEndlessAnswersBesideSoundOnes guards against a VM whose memory is filled by the
// answers of many faulty targets at once, so that the requests of all its callers end
// with it.
func TestEndlessAnswersBesideSoundOnes(t *testing.T) {
	const (
		answers = 50
		limit   = 48 << 20
	)
	defer debug.SetMemoryLimit(debug.SetMemoryLimit(limit))
	p := NewPool(intake.NewBudget(limit / 8))
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	var addresses []string
	for _, c := range endlessAnswers {
		addresses = append(addresses, serveEndless(t, &fake.Endless{Begin: c.begin, Again: c.again}))
	}
	sound := &fake.Endless{Begin: endlessHead + "Content-Length: 40000\r\n\r\n" + strings.Repeat("x", 40000), Again: " "}
	soundAddress := serveEndless(t, sound)
	// Dialling is bounded in time, which a busy machine may take for itself, so the
	// connections to sound targets are open before.
	for range maxIdlePerTarget {
		must.NoError(t, p.Probe(ctx, soundAddress))
	}

	var peak atomic.Uint64
	done := make(chan struct{})
	var sampler sync.WaitGroup
	sampler.Go(func() {
		for {
			var m runtime.MemStats
			runtime.ReadMemStats(&m)
			peak.Store(max(peak.Load(), m.HeapInuse))
			select {
			case <-done:
				return
			case <-time.After(5 * time.Millisecond):
			}
		}
	})
	var wg sync.WaitGroup
	for i := range answers {
		wg.Go(func() {
			if r, ok := p.Do(ctx, addresses[i%len(addresses)], request("a", nil), true).(Responded); ok {
				if body, err := r.Exchange.ReadBody(4 << 20); err == nil {
					defer body.Release()
				}
				r.Exchange.Abort()
			}
		})
	}
	for range maxIdlePerTarget {
		wg.Go(func() {
			result := p.Do(ctx, soundAddress, request("a", nil), false)
			r, ok := result.(Responded)
			if !ok {
				t.Errorf("no response of a sound target: %+v", result)
				return
			}
			body, err := r.Exchange.ReadBody(4 << 20)
			if err != nil || len(body.Data) != 40000 {
				t.Errorf("no body of a sound target: %v", err)
			}
			r.Exchange.Abort()
		})
	}
	wg.Wait()
	close(done)
	sampler.Wait()
	must.LessEq(t, limit, peak.Load())
}
