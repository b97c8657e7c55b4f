package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
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
	status         int
}

// A runner is a model runner, or one of a plain service if it has no model.
type runner struct {
	id, service, address, model string
	w                           *world
	server                      *http.Server

	mu      sync.Mutex
	version int64
	// loading reports whether an order is being carried out.
	loading  bool
	sequence int64
	running  int
	runs     map[string]int
	// preempts is the number of streams that are still to be preempted for pause after their
	// third event: they are read in again, and go on then.
	preempts int
	pause    time.Duration
	// software is the version of the runner's software, born when it started, and gap the time
	// between two events of a stream.
	software string
	born     time.Time
	gap      time.Duration
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
	r := &runner{
		id: id, service: service, model: model, w: w, version: 1, runs: map[string]int{},
		software: "v1", born: w.began, gap: 20 * time.Millisecond,
	}
	r.serve(listen())
	w.runners = append(w.runners, r)
	w.store.put("servers", id, r.entry("ready"))
	return r
}

// serve starts to serve on a listener.
func (r *runner) serve(l net.Listener) {
	r.address, r.server = l.Addr().String(), &http.Server{Handler: r}
	go func() { _ = r.server.Serve(l) }()
}

// crash ends the runner, which starts again at its address and under its id after down, with
// another software. Its entry shows that when it writes it next.
func (r *runner) crash(down, write time.Duration, software string) {
	_ = r.server.Close()
	r.w.logf("crashed runner=%s", r.id)
	time.Sleep(down)
	l, err := net.Listen("tcp", r.address)
	if err != nil {
		unable("start %s again: %v", r.id, err)
	}
	r.mu.Lock()
	r.software, r.born, r.sequence = software, time.Now(), 0
	r.mu.Unlock()
	r.serve(l)
	r.w.logf("started again runner=%s software=%s", r.id, software)
	time.Sleep(write)
	r.w.store.put("servers", r.id, r.entry("ready"))
	r.w.logf("entry written runner=%s software=%s", r.id, software)
}

// entry is what the runner registers of itself.
func (r *runner) entry(state string) map[string]any {
	e := map[string]any{
		"service": r.service, "address": r.address, "zone": zone, "version": r.software, "slots": 6, "state": state, "coldLeftMs": 0,
		"sequence": 1, "born": r.born.UnixMilli(),
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
		version, sequence, isBusy, running := r.version, r.sequence, r.loading, r.running
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

// order takes an order.
func (r *runner) order(w http.ResponseWriter, in *http.Request) {
	at := time.Now()
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
	status := r.carryOut(o.Version, o.Expected)
	r.w.recordOrder(order{r.id, o.Holder, o.Token, o.Version, at, status})
	w.WriteHeader(status)
}

// carryOut begins with an order and returns the status of the answer.
func (r *runner) carryOut(version int64, expected *int64) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case r.loading, expected != nil && *expected != r.sequence:
		return http.StatusConflict
	case r.version == version:
		return http.StatusOK
	}
	r.sequence++
	r.loading = true
	go r.load(version)
	return http.StatusAccepted
}

// load loads weights once the requests that run have ended.
func (r *runner) load(version int64) {
	for r.runningNow() > 0 {
		time.Sleep(5 * time.Millisecond)
	}
	time.Sleep(loadTime)
	r.mu.Lock()
	r.version, r.loading = version, false
	r.mu.Unlock()
	r.w.store.put("servers", r.id, r.entry("ready"))
}

func (r *runner) runningNow() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.running
}

// run runs a client's request: a stream of a few events, or a plain answer.
func (r *runner) run(w http.ResponseWriter, in *http.Request) {
	id := in.Header.Get("Baobabdyke-Request-Id")
	w.Header().Set("Baobabdyke-Request-Id", id)
	r.mu.Lock()
	version, software := r.version, r.software
	want := in.Header.Get("Baobabdyke-Expect-Version")
	switch {
	case want != "" && want != strconv.FormatInt(version, 10):
		r.mu.Unlock()
		w.Header().Set("Baobabdyke-Weight-Versions", strconv.FormatInt(version, 10))
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case r.loading:
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
	r.w.logf("run id=%s runner=%s software=%s tenant=%s", id, r.id, software, in.Header.Get("Baobabdyke-Tenant"))
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
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i*stride, software); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
		gap := r.gap
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
