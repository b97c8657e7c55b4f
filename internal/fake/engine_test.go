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

// A bench is an engine with a KV cache on a network in this process.
type bench struct {
	t      *testing.T
	engine *Engine
	cache  *Cache
	client *http.Client
}

func newBench(t *testing.T, o EngineOptions) *bench {
	t.Helper()
	network := NewNetwork()
	b := &bench{t: t, cache: NewCache(100), client: &http.Client{Transport: network}}
	o.Client = b.client
	b.engine = NewEngine(o)
	network.Add(engineAddress, b.engine)
	network.Add("10.0.0.2:80", b.cache)
	t.Cleanup(b.engine.Crash)
	return b
}

// do sends a request. The headers are names and values in turn.
func (b *bench) do(ctx context.Context, method, path, body string, headers ...string) (*http.Response, error) {
	r, err := http.NewRequestWithContext(ctx, method, "http://"+engineAddress+path, strings.NewReader(body))
	must.NoError(b.t, err)
	for i := 0; i < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	return b.client.Do(r)
}

func (b *bench) call(method, path, body string, headers ...string) (status int, header http.Header, answer string) {
	b.t.Helper()
	resp, err := b.do(b.t.Context(), method, path, body, headers...)
	must.NoError(b.t, err)
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		data = append(data, err.Error()...)
	}
	return resp.StatusCode, resp.Header, string(data)
}

const chat = `{"stream":true,"max_tokens":3,"messages":[{"content":"hello"}]}`

func (b *bench) ask(id string, headers ...string) (status int, header http.Header, answer string) {
	b.t.Helper()
	return b.call(http.MethodPost, "/v1/chat/completions", chat, append(headers, target.HeaderRequestID, id)...)
}

// offsets returns the ids of the events in a stream and whether it is complete.
func offsets(stream string) (ids string, complete bool) {
	var list []string
	for line := range strings.Lines(stream) {
		if id, ok := strings.CutPrefix(line, "id: "); ok {
			list = append(list, strings.TrimSpace(id))
		}
	}
	return strings.Join(list, " "), strings.HasSuffix(stream, "data: [DONE]\n\n")
}

func mustOffsets(t *testing.T, stream, ids string, complete bool) {
	t.Helper()
	got, done := offsets(stream)
	must.Eq(t, ids, got)
	must.Eq(t, complete, done)
}

func mustNotRun(t *testing.T, status, want int, h http.Header) {
	t.Helper()
	must.Eq(t, want, status)
	must.Eq(t, "true", h.Get(target.HeaderNotRun))
}

func TestEngineRuns(t *testing.T) {
	for name, f := range map[string]func(t *testing.T, b *bench){
		"whole stream": func(t *testing.T, b *bench) {
			_, _, stream := b.ask("r1")
			mustOffsets(t, stream, "1 2 3 4", true)
			for _, token := range answerTokens("hello", 3) {
				must.StrContains(t, stream, token)
			}
			must.Eq(t, 1, b.engine.Runs("r1"))
		},
		"cut and resumed": func(t *testing.T, b *bench) {
			b.engine.TruncateAfter(2)
			_, h, stream := b.ask("r1")
			mustOffsets(t, stream, "1 2", false)
			_, _, stream = b.ask("r1", target.HeaderResumeFrom, "3", target.HeaderIncarnation, h.Get(target.HeaderIncarnation))
			mustOffsets(t, stream, "3 4", true)
			must.Eq(t, 1, b.engine.MaxRunsPerRequest())
		},
		"crash returns empty": func(t *testing.T, b *bench) {
			_, h, _ := b.ask("r1", target.HeaderPieces, formatPieces([]uint64{1, 2}))
			must.Eq(t, []uint64{1, 2}, b.engine.Pieces())
			b.engine.Crash()
			must.SliceEmpty(t, b.engine.Pieces())
			old := h.Get(target.HeaderIncarnation)
			status, h, _ := b.ask("r1", target.HeaderResumeFrom, "2", target.HeaderIncarnation, old)
			mustNotRun(t, status, http.StatusConflict, h)
			status, h, _ = b.ask("r2", target.HeaderIncarnation, old)
			mustNotRun(t, status, http.StatusConflict, h)
			must.Eq(t, 0, b.engine.Runs("r2"))
		},
		"crash in a stream": func(t *testing.T, b *bench) {
			time.AfterFunc(1500*time.Microsecond, b.engine.Crash)
			_, _, stream := b.ask("r1")
			mustOffsets(t, stream, "1 2", false)
		},
		"other weights": func(t *testing.T, b *bench) {
			status, h, _ := b.ask("r1", target.HeaderWeights, "v0")
			mustNotRun(t, status, http.StatusConflict, h)
		},
		"leaving": func(t *testing.T, b *bench) {
			b.engine.SetLeaving(true)
			status, h, _ := b.ask("r1")
			mustNotRun(t, status, http.StatusServiceUnavailable, h)
		},
		"body cut off": func(t *testing.T, b *bench) {
			status, h, _ := b.call(http.MethodPost, "/v1/chat/completions", `{"stream":tr`)
			mustNotRun(t, status, http.StatusBadRequest, h)
		},
		"secret noted": func(t *testing.T, b *bench) {
			_, _, _ = b.ask("r1", "X-Other", "a secret b")
			must.True(t, b.engine.Contains("secret"))
			must.False(t, b.engine.Contains("other secret"))
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { f(t, newBench(t, EngineOptions{})) })
		})
	}
}

func TestEngineSilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, EngineOptions{})
		b.engine.StallAfter(1)
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		resp, err := b.do(ctx, http.MethodPost, "/v1/chat/completions", chat, target.HeaderRequestID, "r1")
		must.NoError(t, err)
		defer resp.Body.Close()
		data, err := io.ReadAll(resp.Body)
		must.Error(t, err)
		mustOffsets(t, string(data), "1", false)
		_, _, stream := b.ask("r1", target.HeaderResumeFrom, "2")
		mustOffsets(t, stream, "2 3 4", true)
	})
}

// TestEnginePrefill checks that the time to the first token grows with the
// tokens that the cache lacks.
func TestEnginePrefill(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, EngineOptions{PieceTokens: 1000, PrefillRate: 1000, CachePieces: 3, TokenInterval: time.Nanosecond})
		took := func(id, salt string, keys ...uint64) time.Duration {
			start := time.Now()
			_, _, stream := b.ask(id, target.HeaderPieces, formatPieces(keys), target.HeaderSalt, salt)
			mustOffsets(t, stream, "1 2 3 4", true)
			return time.Since(start).Truncate(time.Second)
		}
		must.Eq(t, 2*time.Second, took("r1", "a", 1, 2))
		must.Eq(t, 0, took("r2", "a", 1, 2))
		must.Eq(t, time.Second, took("r3", "a", 1, 2, 3))
		must.Eq(t, 2*time.Second, took("r4", "b", 1, 2))
		must.Eq(t, 2, b.engine.Usage().SaltMismatches)
		must.Eq(t, 2*time.Second, took("r5", "a", 8, 9))
		must.Eq(t, []uint64{1, 8, 9}, b.engine.Pieces())
	})
}

// TestEnginePriority checks that larger priorities run first on the one slot.
func TestEnginePriority(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, EngineOptions{Slots: 1, TokenInterval: time.Second})
		done := make(chan string, 3)
		for i, priority := range []string{"0", "0", "5"} {
			id := fmt.Sprintf("r%d", i)
			go func() {
				_, _, _ = b.ask(id, target.HeaderPriority, priority)
				done <- id
			}()
			synctest.Wait()
		}
		must.Eq(t, "r0 r2 r1", <-done+" "+<-done+" "+<-done)
	})
}

func (b *bench) report() target.Report {
	b.t.Helper()
	_, _, body := b.call(http.MethodGet, "/load", "")
	var r target.Report
	must.NoError(b.t, json.Unmarshal([]byte(body), &r))
	return r
}

// TestEngineLoadLags checks that a cancelled run frees its slot and that the
// report of it is late.
func TestEngineLoadLags(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, EngineOptions{MaxReportAge: time.Second, TokenInterval: time.Minute})
		must.Eq(t, 0, b.report().Running)
		go func() { _, _, _ = b.ask("r1") }()
		synctest.Wait()
		must.Eq(t, 0, b.report().Running)
		time.Sleep(time.Second)
		must.Eq(t, 1, b.report().Running)
		_, _, _ = b.call(http.MethodPost, "/cancel?id=r1", "")
		time.Sleep(time.Second)
		must.Eq(t, 0, b.report().Running)
	})
}

// feed reads cache events until n came, and returns their sequence numbers.
func (b *bench) feed(after, n int) string {
	b.t.Helper()
	ctx, cancel := context.WithCancel(b.t.Context())
	defer cancel()
	resp, err := b.do(ctx, http.MethodGet, fmt.Sprintf("/events?after=%d", after), "")
	must.NoError(b.t, err)
	defer resp.Body.Close()
	lines := bufio.NewScanner(resp.Body)
	var got []string
	for len(got) < n && lines.Scan() {
		var event target.CacheEvent
		must.NoError(b.t, json.Unmarshal(lines.Bytes(), &event))
		if event.Sequence > 0 {
			got = append(got, fmt.Sprintf("%d:%s", event.Sequence, event.Kind))
		}
	}
	return strings.Join(got, " ")
}

func TestEngineEvents(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, EngineOptions{CachePieces: 2, EventDelay: 2 * time.Second})
		_, _, _ = b.ask("r1", target.HeaderPieces, formatPieces([]uint64{1, 2}))
		start := time.Now()
		must.Eq(t, "1:cleared 2:stored", b.feed(0, 2))
		must.Greater(t, time.Second, time.Since(start))
		b.engine.DropEvents(1)
		_, _, _ = b.ask("r2", target.HeaderPieces, formatPieces([]uint64{3}))
		must.Eq(t, "4:evicted", b.feed(2, 1))
		_, _, snapshot := b.call(http.MethodGet, "/snapshot", "")
		must.StrContains(t, snapshot, `"sequence":4`)
	})
}

func (b *bench) order(o target.Order) int {
	b.t.Helper()
	body, err := json.Marshal(o)
	must.NoError(b.t, err)
	status, _, _ := b.call(http.MethodPost, "/orders", string(body))
	return status
}

func TestEngineOrders(t *testing.T) {
	for name, c := range map[string]struct {
		fencing bool
		status  int
		weights string
	}{
		"fencing":       {fencing: true, status: http.StatusConflict, weights: "v2"},
		"fencing-blind": {fencing: false, status: http.StatusOK, weights: "v1"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBench(t, EngineOptions{Fencing: c.fencing, Weights: NewWeightStore(time.Second)})
				must.Eq(t, http.StatusOK, b.order(target.Order{Kind: target.OrderLoad, Version: "v2", FencingToken: 7}))
				must.Eq(t, c.status, b.order(target.Order{Kind: target.OrderLoad, Version: "v1", FencingToken: 6}))
				must.Eq(t, c.weights, b.report().Weights)
			})
		})
	}
}

func TestEngineImport(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, EngineOptions{KVCacheAddress: "10.0.0.2:80"})
		_, _, _ = b.ask("r1", target.HeaderPieces, formatPieces([]uint64{1, 2}), target.HeaderSalt, "a")
		synctest.Wait()
		must.Eq(t, []uint64{1, 2}, b.cache.Pieces())
		b.engine.Crash()
		status, _, _ := b.call(http.MethodPost, "/import", `{"cache":"10.0.0.2:80","pieces":[1,2,3]}`)
		must.Eq(t, http.StatusOK, status)
		must.Eq(t, []uint64{1, 2}, b.engine.Pieces())
		_, _, _ = b.ask("r2", target.HeaderPieces, formatPieces([]uint64{1, 2}), target.HeaderSalt, "b")
		must.Eq(t, 2, b.engine.Usage().SaltMismatches)
	})
}
