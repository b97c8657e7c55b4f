package dispatch_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/baobabdyke/baobabdyke/config"
	"github.com/baobabdyke/baobabdyke/dispatch"
	"github.com/baobabdyke/baobabdyke/stream"
	"github.com/baobabdyke/baobabdyke/target"
)

const (
	measureTokens   = 200
	measureInterval = 2 * time.Millisecond
)

// timestampedTokens streams events that contain the time at which they were
// written.
func timestampedTokens(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/event-stream")
	for i := range measureTokens {
		time.Sleep(measureInterval)
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %d\n\n", i+1, time.Now().UnixNano())
		_ = http.NewResponseController(w).Flush()
	}
	_, _ = fmt.Fprintf(w, "id: %d\ndata: [DONE]\n\n", measureTokens+1)
}

// latencies reads a stream and returns the time from write to read of each event.
func latencies(b *testing.B, url string) []time.Duration {
	b.Helper()
	r, err := http.NewRequestWithContext(b.Context(), http.MethodPost, url, http.NoBody)
	must.NoError(b, err)
	resp, err := http.DefaultClient.Do(r)
	must.NoError(b, err)
	defer resp.Body.Close()
	var list []time.Duration
	for reader := stream.NewReader(resp.Body); ; {
		e, err := reader.Next()
		if err == io.EOF || e.Last() { //nolint:errorlint // The reader returns io.EOF itself.
			return list
		}
		must.NoError(b, err)
		var sent int64
		if _, err := fmt.Sscan(string(e.Data), &sent); err == nil {
			list = append(list, time.Duration(time.Now().UnixNano()-sent))
		}
	}
}

// BenchmarkMeasureToken reports the latency of streamed tokens through a VM and,
// for comparison in the same run, over a direct connection to the engine. Both use
// real connections on one host.
func BenchmarkMeasureToken(b *testing.B) {
	engine := httptest.NewServer(http.HandlerFunc(timestampedTokens))
	defer engine.Close()
	chooser := newChooser(1)
	chooser.targets[0].Address = engine.Listener.Addr().String()
	runner := dispatch.NewRunner(dispatch.Options{Client: target.NewHTTPClient(target.HTTPOptions{}), Chooser: chooser})
	router := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		runner.Run(r.Context(), dispatch.Job{
			ID: "r", Method: r.Method, Path: "/", Route: &config.Route{Kind: config.RouteModel},
		}, w)
	}))
	defer router.Close()
	var direct, through []time.Duration
	for range b.N {
		direct = append(direct, latencies(b, engine.URL)...)
		through = append(through, latencies(b, router.URL)...)
	}
	for name, list := range map[string][]time.Duration{"direct": direct, "through": through} {
		slices.Sort(list)
		b.ReportMetric(float64(list[len(list)/2].Microseconds()), name+"-p50-us")
		b.ReportMetric(float64(list[len(list)*99/100].Microseconds()), name+"-p99-us")
	}
}
