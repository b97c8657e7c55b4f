package fake

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/baobabdyke/baobabdyke/target"
)

const engineAddress = "10.0.0.1:80"

// A fixture is an engine with a KV cache on an in-process network.
type fixture struct {
	t      *testing.T
	engine *Engine
	cache  *Cache
	client *http.Client
}

func newFixture(t *testing.T, o EngineOptions) *fixture {
	t.Helper()
	network := NewNetwork()
	f := &fixture{t: t, cache: NewCache(100), client: &http.Client{Transport: network}}
	o.Client = f.client
	f.engine = NewEngine(o)
	network.Add(engineAddress, f.engine)
	network.Add("10.0.0.2:80", f.cache)
	t.Cleanup(f.engine.Crash)
	return f
}

// do sends a request. The headers are alternating names and values.
func (f *fixture) do(ctx context.Context, method, path, body string, headers ...string) (*http.Response, error) {
	r, err := http.NewRequestWithContext(ctx, method, "http://"+engineAddress+path, strings.NewReader(body))
	must.NoError(f.t, err)
	for i := 0; i < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	return f.client.Do(r)
}

func (f *fixture) call(method, path, body string, headers ...string) (status int, header http.Header, response string) {
	f.t.Helper()
	resp, err := f.do(f.t.Context(), method, path, body, headers...)
	must.NoError(f.t, err)
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		data = append(data, err.Error()...)
	}
	return resp.StatusCode, resp.Header, string(data)
}

const chatBody = `{"stream":true,"max_tokens":3,"messages":[{"content":"hello"}]}`

func (f *fixture) sendChat(id string, headers ...string) (status int, header http.Header, response string) {
	f.t.Helper()
	return f.call(http.MethodPost, "/v1/chat/completions", chatBody, append(headers, target.HeaderRequestID, id)...)
}

// eventIDs returns the ids of the events in a stream, separated by spaces, and
// whether the stream is complete.
func eventIDs(stream string) (ids string, complete bool) {
	var list []string
	for line := range strings.Lines(stream) {
		if id, ok := strings.CutPrefix(line, "id: "); ok {
			list = append(list, strings.TrimSpace(id))
		}
	}
	return strings.Join(list, " "), strings.HasSuffix(stream, "data: [DONE]\n\n")
}

func mustEventIDs(t *testing.T, stream, ids string, complete bool) {
	t.Helper()
	got, done := eventIDs(stream)
	must.Eq(t, ids, got)
	must.Eq(t, complete, done)
}

func mustNotRun(t *testing.T, status, want int, h http.Header) {
	t.Helper()
	must.Eq(t, want, status)
	must.Eq(t, "true", h.Get(target.HeaderNotRun))
}

func TestEngineRuns(t *testing.T) {
	for name, test := range map[string]func(t *testing.T, f *fixture){
		"complete stream": func(t *testing.T, f *fixture) {
			_, _, stream := f.sendChat("r1")
			mustEventIDs(t, stream, "1 2 3 4", true)
			for _, token := range completionTokens("hello", 3) {
				must.StrContains(t, stream, token)
			}
			must.Eq(t, 1, f.engine.Runs("r1"))
		},
		"truncated and resumed": func(t *testing.T, f *fixture) {
			f.engine.TruncateAfter(2)
			_, h, stream := f.sendChat("r1")
			mustEventIDs(t, stream, "1 2", false)
			_, _, stream = f.sendChat("r1", target.HeaderResumeFrom, "3", target.HeaderIncarnation, h.Get(target.HeaderIncarnation))
			mustEventIDs(t, stream, "3 4", true)
			must.Eq(t, 1, f.engine.MaxRunsPerRequest())
		},
		"crash empties the cache": func(t *testing.T, f *fixture) {
			_, h, _ := f.sendChat("r1", target.HeaderPieces, formatPieces([]uint64{1, 2}))
			must.Eq(t, []uint64{1, 2}, f.engine.Pieces())
			f.engine.Crash()
			must.SliceEmpty(t, f.engine.Pieces())
			old := h.Get(target.HeaderIncarnation)
			status, h, _ := f.sendChat("r1", target.HeaderResumeFrom, "2", target.HeaderIncarnation, old)
			mustNotRun(t, status, http.StatusConflict, h)
			status, h, _ = f.sendChat("r2", target.HeaderIncarnation, old)
			mustNotRun(t, status, http.StatusConflict, h)
			must.Eq(t, 0, f.engine.Runs("r2"))
		},
		"crash during a stream": func(t *testing.T, f *fixture) {
			time.AfterFunc(1500*time.Microsecond, f.engine.Crash)
			_, _, stream := f.sendChat("r1")
			mustEventIDs(t, stream, "1 2", false)
		},
		"other weights version": func(t *testing.T, f *fixture) {
			status, h, _ := f.sendChat("r1", target.HeaderWeights, "v0")
			mustNotRun(t, status, http.StatusConflict, h)
		},
		"leaving": func(t *testing.T, f *fixture) {
			f.engine.SetLeaving(true)
			status, h, _ := f.sendChat("r1")
			mustNotRun(t, status, http.StatusServiceUnavailable, h)
		},
		"truncated body": func(t *testing.T, f *fixture) {
			status, h, _ := f.call(http.MethodPost, "/v1/chat/completions", `{"stream":tr`)
			mustNotRun(t, status, http.StatusBadRequest, h)
		},
		"secret recorded": func(t *testing.T, f *fixture) {
			_, _, _ = f.sendChat("r1", "X-Other", "a secret b")
			must.True(t, f.engine.Contains("secret"))
			must.False(t, f.engine.Contains("other secret"))
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { test(t, newFixture(t, EngineOptions{})) })
		})
	}
}

// TestEngineStall checks that a stalled stream stays open without data and that
// its run can be resumed.
func TestEngineStall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, EngineOptions{})
		f.engine.StallAfter(1)
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		resp, err := f.do(ctx, http.MethodPost, "/v1/chat/completions", chatBody, target.HeaderRequestID, "r1")
		must.NoError(t, err)
		defer resp.Body.Close()
		data, err := io.ReadAll(resp.Body)
		must.Error(t, err)
		mustEventIDs(t, string(data), "1", false)
		_, _, stream := f.sendChat("r1", target.HeaderResumeFrom, "2")
		mustEventIDs(t, stream, "2 3 4", true)
	})
}

// TestEnginePrefill checks that the time to the first token grows with the
// number of uncached prompt tokens.
func TestEnginePrefill(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, EngineOptions{PieceTokens: 1000, PrefillRate: 1000, CachePieces: 3, TokenInterval: time.Nanosecond})
		timeToComplete := func(id, salt string, keys ...uint64) time.Duration {
			start := time.Now()
			_, _, stream := f.sendChat(id, target.HeaderPieces, formatPieces(keys), target.HeaderSalt, salt)
			mustEventIDs(t, stream, "1 2 3 4", true)
			return time.Since(start).Truncate(time.Second)
		}
		must.Eq(t, 2*time.Second, timeToComplete("r1", "a", 1, 2))
		must.Eq(t, 0, timeToComplete("r2", "a", 1, 2))
		must.Eq(t, time.Second, timeToComplete("r3", "a", 1, 2, 3))
		must.Eq(t, 2*time.Second, timeToComplete("r4", "b", 1, 2))
		must.Eq(t, 2, f.engine.Usage().SaltMismatches)
		must.Eq(t, 2*time.Second, timeToComplete("r5", "a", 8, 9))
		must.Eq(t, []uint64{1, 8, 9}, f.engine.Pieces())
	})
}

// TestEnginePriority checks that waiting requests with a higher priority run
// first when an engine has a single slot.
func TestEnginePriority(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, EngineOptions{Slots: 1, TokenInterval: time.Second})
		done := make(chan string, 3)
		for i, priority := range []string{"0", "0", "5"} {
			id := fmt.Sprintf("r%d", i)
			go func() {
				_, _, _ = f.sendChat(id, target.HeaderPriority, priority)
				done <- id
			}()
			synctest.Wait()
		}
		must.Eq(t, "r0 r2 r1", <-done+" "+<-done+" "+<-done)
	})
}

func (f *fixture) report() target.Report {
	f.t.Helper()
	_, _, body := f.call(http.MethodGet, "/load", "")
	var r target.Report
	must.NoError(f.t, json.Unmarshal([]byte(body), &r))
	return r
}

// TestEngineReportAge checks that cancelling a run frees its slot and that the
// last load report is returned until it reaches MaxReportAge.
func TestEngineReportAge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, EngineOptions{MaxReportAge: time.Second, TokenInterval: time.Minute})
		must.Eq(t, 0, f.report().Running)
		go func() { _, _, _ = f.sendChat("r1") }()
		synctest.Wait()
		must.Eq(t, 0, f.report().Running)
		time.Sleep(time.Second)
		must.Eq(t, 1, f.report().Running)
		_, _, _ = f.call(http.MethodPost, "/cancel?id=r1", "")
		time.Sleep(time.Second)
		must.Eq(t, 0, f.report().Running)
	})
}

// readEvents reads n cache events and returns their sequence numbers and kinds.
func (f *fixture) readEvents(after, n int) string {
	f.t.Helper()
	ctx, cancel := context.WithCancel(f.t.Context())
	defer cancel()
	resp, err := f.do(ctx, http.MethodGet, fmt.Sprintf("/events?after=%d", after), "")
	must.NoError(f.t, err)
	defer resp.Body.Close()
	lines := bufio.NewScanner(resp.Body)
	var got []string
	for len(got) < n && lines.Scan() {
		var event target.CacheEvent
		must.NoError(f.t, json.Unmarshal(lines.Bytes(), &event))
		if event.Sequence > 0 {
			got = append(got, fmt.Sprintf("%d:%s", event.Sequence, event.Kind))
		}
	}
	return strings.Join(got, " ")
}

func TestEngineEvents(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, EngineOptions{CachePieces: 2, EventDelay: 2 * time.Second})
		_, _, _ = f.sendChat("r1", target.HeaderPieces, formatPieces([]uint64{1, 2}))
		start := time.Now()
		must.Eq(t, "1:cleared 2:stored", f.readEvents(0, 2))
		must.Greater(t, time.Second, time.Since(start))
		f.engine.DropEvents(1)
		_, _, _ = f.sendChat("r2", target.HeaderPieces, formatPieces([]uint64{3}))
		must.Eq(t, "4:evicted", f.readEvents(2, 1))
		_, _, snapshot := f.call(http.MethodGet, "/snapshot", "")
		must.StrContains(t, snapshot, `"sequence":4`)
	})
}

func (f *fixture) order(o target.Order) int {
	f.t.Helper()
	body, err := json.Marshal(o)
	must.NoError(f.t, err)
	status, _, _ := f.call(http.MethodPost, "/orders", string(body))
	return status
}

func TestEngineOrders(t *testing.T) {
	for name, c := range map[string]struct {
		fencing bool
		status  int
		weights string
	}{
		"fencing":    {fencing: true, status: http.StatusConflict, weights: "v2"},
		"no fencing": {fencing: false, status: http.StatusOK, weights: "v1"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t, EngineOptions{Fencing: c.fencing, Weights: NewWeightStore(time.Second)})
				must.Eq(t, http.StatusOK, f.order(target.Order{Kind: target.OrderLoad, Version: "v2", FencingToken: 7}))
				must.Eq(t, c.status, f.order(target.Order{Kind: target.OrderLoad, Version: "v1", FencingToken: 6}))
				must.Eq(t, c.weights, f.report().Weights)
			})
		})
	}
}

func TestEngineImport(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, EngineOptions{KVCacheAddress: "10.0.0.2:80"})
		_, _, _ = f.sendChat("r1", target.HeaderPieces, formatPieces([]uint64{1, 2}), target.HeaderSalt, "a")
		synctest.Wait()
		must.Eq(t, []uint64{1, 2}, f.cache.Pieces())
		f.engine.Crash()
		status, _, _ := f.call(http.MethodPost, "/import", `{"cache":"10.0.0.2:80","pieces":[1,2,3]}`)
		must.Eq(t, http.StatusOK, status)
		must.Eq(t, []uint64{1, 2}, f.engine.Pieces())
		_, _, _ = f.sendChat("r2", target.HeaderPieces, formatPieces([]uint64{1, 2}), target.HeaderSalt, "b")
		must.Eq(t, 2, f.engine.Usage().SaltMismatches)
	})
}
