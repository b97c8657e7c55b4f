package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// loadTime is how long a runner takes for new weights, as on the sheet.
const loadTime = 760 * time.Millisecond

// An order is one order as it arrived at a runner.
type order struct {
	runner, holder string
	token          int64
	version        int64
	at             time.Time
	answered       bool
}

// A runner is a model runner, or one of a plain service if it has no model.
type runner struct {
	id, service, address, model string
	w                           *world

	mu      sync.Mutex
	version int64
	// busyUntil is until when an order is being carried out.
	busyUntil time.Time
	sequence  int64
	running   int
	runs      map[string]int
	// preempts is the number of streams that are still to be preempted for pause after their
	// third event: they are read in again, and go on then.
	preempts int
	pause    time.Duration
}

// A stream has so many events, whose ids are the numbers of tokens made so far: an event holds
// up to stride tokens.
const (
	streamEvents = 10
	stride       = 6
)

// preempt reports how long a stream that has begun here pauses now.
func (r *runner) preempt() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.preempts == 0 {
		return 0
	}
	r.preempts--
	return r.pause
}

func (w *world) addRunner(id, service, model string) *runner {
	l := listen()
	r := &runner{id: id, service: service, address: l.Addr().String(), model: model, w: w, version: 1, runs: map[string]int{}}
	go func() { _ = http.Serve(l, r) }()
	w.runners = append(w.runners, r)
	w.store.put("servers", id, r.entry("ready"))
	return r
}

// entry is what the runner registers of itself.
func (r *runner) entry(state string) map[string]any {
	e := map[string]any{
		"service": r.service, "address": r.address, "zone": zone, "version": "v1", "slots": 6, "state": state, "coldLeftMs": 0,
		"sequence": 1, "born": r.w.began.UnixMilli(),
	}
	if r.model != "" {
		e["slots"], e["stage"] = 64, "prefill_decode"
		e["models"] = []map[string]any{{"name": r.model, "version": r.version, "adapters": []string{}}}
	}
	return e
}

// ServeHTTP implements http.Handler.
func (r *runner) ServeHTTP(w http.ResponseWriter, in *http.Request) {
	if want := in.Header.Get("Baobabdyke-Expect-Instance"); want != "" && want != r.id {
		w.Header().Set("Baobabdyke-Instance-Id", r.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch in.URL.Path {
	case "/report":
		r.mu.Lock()
		version, sequence, isBusy, running := r.version, r.sequence, time.Now().Before(r.busyUntil), r.running
		r.mu.Unlock()
		reply(w, http.StatusOK, map[string]any{
			"stage": "prefill_decode", "models": []map[string]any{{"name": r.model, "version": version, "adapters": []string{}}},
			"busy": isBusy, "sequence": sequence, "waiting": 0, "running": running, "kvUsed": 0, "kvTotal": 100640, "handles": 0,
		})
	case "/kv-events":
		wait, _ := strconv.Atoi(in.Header.Get("Wait-Ms"))
		select {
		case <-time.After(time.Duration(wait) * time.Millisecond):
		case <-in.Context().Done():
			return
		}
		reply(w, http.StatusOK, map[string]any{"bootEpoch": 1, "nextPage": 1, "lost": false, "events": []any{}})
	case "/order":
		r.order(w, in)
	case "/health":
		w.Header().Set("Baobabdyke-Instance-Id", r.id)
	default:
		r.run(w, in)
	}
}

// order takes an order. While the world's orders are late, some of them get no answer and are
// carried out seconds later if their condition still holds.
func (r *runner) order(w http.ResponseWriter, in *http.Request) {
	var o struct {
		Model    string `json:"model"`
		Version  int64  `json:"version"`
		Holder   string `json:"holder"`
		Token    int64  `json:"fencingToken"`
		Expected *int64 `json:"expected"`
	}
	if err := json.NewDecoder(in.Body).Decode(&o); err != nil || o.Holder == "" || o.Model != r.model {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	late := r.w.isLate()
	r.w.recordOrder(order{r.id, o.Holder, o.Token, o.Version, time.Now(), !late})
	if late {
		time.AfterFunc(time.Duration(2000+rand.IntN(10000))*time.Millisecond, func() { r.carryOut(o.Version, o.Expected) })
		<-in.Context().Done()
		return
	}
	w.WriteHeader(r.carryOut(o.Version, o.Expected))
}

// carryOut begins with an order and returns the status of the answer.
func (r *runner) carryOut(version int64, expected *int64) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case time.Now().Before(r.busyUntil), expected != nil && *expected != r.sequence:
		return http.StatusConflict
	case r.version == version:
		return http.StatusOK
	}
	r.sequence++
	r.busyUntil = time.Now().Add(loadTime)
	time.AfterFunc(loadTime, func() {
		r.mu.Lock()
		r.version = version
		r.mu.Unlock()
		r.w.store.put("servers", r.id, r.entry("ready"))
	})
	return http.StatusAccepted
}

// run runs a client's request: a stream of a few events, or a plain answer.
func (r *runner) run(w http.ResponseWriter, in *http.Request) {
	id := in.Header.Get("Baobabdyke-Request-Id")
	w.Header().Set("Baobabdyke-Request-Id", id)
	r.mu.Lock()
	version := r.version
	want := in.Header.Get("Baobabdyke-Expect-Version")
	switch {
	case want != "" && want != strconv.FormatInt(version, 10):
		r.mu.Unlock()
		w.Header().Set("Baobabdyke-Weight-Versions", strconv.FormatInt(version, 10))
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case time.Now().Before(r.busyUntil):
		r.mu.Unlock()
		w.Header().Set("Baobabdyke-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	r.runs[id]++
	r.running++
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		r.running--
		r.mu.Unlock()
	}()
	r.w.logf("run id=%s runner=%s tenant=%s", id, r.id, in.Header.Get("Baobabdyke-Tenant"))
	w.Header().Set("Baobabdyke-Response-Seal", "seal-"+id)
	if r.model == "" {
		time.Sleep(15 * time.Millisecond)
		text := "answer to " + id
		w.Header().Set("Content-Length", strconv.Itoa(len(text)))
		_, _ = w.Write([]byte(text))
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Baobabdyke-Weight-Versions", strconv.FormatInt(version, 10))
	from, _ := strconv.Atoi(in.Header.Get("Last-Event-Id"))
	for i := from/stride + 1; i <= streamEvents; i++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i*stride, strings.Repeat("x", 20)); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
		gap := 20 * time.Millisecond
		if i == 3 && from == 0 {
			if pause := r.preempt(); pause > 0 {
				r.w.logf("preempted id=%s runner=%s for=%s", id, r.id, pause)
				gap = pause
			}
		}
		select {
		case <-time.After(gap):
		case <-in.Context().Done():
			r.w.logf("cancelled id=%s runner=%s after=%d", id, r.id, i*stride)
			return
		}
	}
	r.w.logf("whole id=%s runner=%s", id, r.id)
}
