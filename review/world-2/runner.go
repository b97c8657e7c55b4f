package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// run is one request that a runner has run.
type run struct {
	ID, Runner   string
	Start, End   time.Time
	Header       http.Header
	Path, Method string
	Body         string
}

// order is one order that a runner got.
type order struct {
	At      time.Time
	Runner  string
	Holder  string
	Token   int64
	Version int64
	Result  int
}

// runner is one runner of a service.
type runner struct {
	w           *world
	id, service string
	addr        string
	born        int64
	llm         bool
	l           net.Listener
	srv         *http.Server
	mu          sync.Mutex
	version     int64
	busy        bool
	seq         int64
	state       string
	// hook may take over a request; it returns true if it has.
	hook    func(r *runner, w http.ResponseWriter, req *http.Request, body []byte) bool
	work    time.Duration
	gap     time.Duration
	running atomic.Int64
	beats   int
	slots   int
}

func (w *world) runner(service, id string, llm bool) *runner {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	r := &runner{w: w, id: id, service: service, addr: l.Addr().String(), born: time.Now().UnixMilli(), llm: llm, l: l, version: 1, state: "ready", work: 15 * time.Millisecond, gap: 15 * time.Millisecond, slots: 64}
	r.srv = &http.Server{Handler: r}
	go func() { _ = r.srv.Serve(l) }()
	w.runners = append(w.runners, r)
	r.beat()
	return r
}

// beat writes the runner's entry.
func (r *runner) beat() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.beats++
	e := map[string]any{"service": r.service, "address": r.addr, "zone": "z", "version": "v1", "slots": r.slots, "state": r.state, "coldLeftMs": 0, "sequence": r.beats, "born": r.born}
	if r.llm {
		e["stage"] = "prefill_decode"
		e["models"] = []any{map[string]any{"name": "m", "version": r.version, "adapters": []any{}}}
	}
	r.w.store.put("servers", r.id, e)
}

func (r *runner) kill() { _ = r.srv.Close() }

func (r *runner) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	if want := req.Header.Get("Baobabdyke-Expect-Instance"); want != "" && want != r.id {
		w.Header().Set("Baobabdyke-Instance-Id", r.id)
		w.Header().Set("Baobabdyke-Request-Id", req.Header.Get("Baobabdyke-Request-Id"))
		w.WriteHeader(421)
		return
	}
	switch req.URL.Path {
	case "/report":
		r.mu.Lock()
		out := map[string]any{"stage": "prefill_decode", "models": []any{map[string]any{"name": "m", "version": r.version, "adapters": []any{}}}, "busy": r.busy, "sequence": r.seq, "waiting": 0, "running": r.running.Load(), "kvUsed": 0, "kvTotal": 100000, "handles": 0, "born": r.born}
		r.mu.Unlock()
		writeJSON(w, out)
		return
	case "/order":
		r.order(w, req)
		return
	case "/kv-events":
		ms, _ := strconv.Atoi(req.Header.Get("Wait-Ms"))
		select {
		case <-time.After(time.Duration(ms) * time.Millisecond):
		case <-req.Context().Done():
			return
		}
		writeJSON(w, map[string]any{"bootEpoch": r.born, "nextPage": 1, "lost": false, "events": []any{}})
		return
	}
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return
	}
	if r.hook != nil && r.hook(r, w, req, body) {
		return
	}
	r.serve(w, req, body)
}

func (r *runner) serve(w http.ResponseWriter, req *http.Request, body []byte) {
	id := req.Header.Get("Baobabdyke-Request-Id")
	w.Header().Set("Baobabdyke-Request-Id", id)
	if v := req.Header.Get("Baobabdyke-Expect-Version"); r.llm && v != "" {
		r.mu.Lock()
		ok := v == strconv.FormatInt(r.version, 10)
		r.mu.Unlock()
		if !ok {
			w.WriteHeader(421)
			return
		}
	}
	if r.llm && r.isBusy() {
		w.Header().Set("Baobabdyke-Not-Executed", "1")
		w.WriteHeader(503)
		return
	}
	x := r.w.begin(r, req, body)
	r.running.Add(1)
	defer r.running.Add(-1)
	defer r.w.finish(x)
	w.Header().Set("Baobabdyke-Response-Seal", "seal."+r.id+"."+id)
	if !r.llm {
		if !sleep(req, r.work) {
			return
		}
		text := "answer of " + r.id + " to " + id + "\n"
		w.Header().Set("Content-Length", strconv.Itoa(len(text)))
		_, _ = io.WriteString(w, text)
		return
	}
	r.mu.Lock()
	v := r.version
	r.mu.Unlock()
	w.Header().Set("Baobabdyke-Weight-Versions", strconv.FormatInt(v, 10))
	w.Header().Set("Content-Type", "text/event-stream")
	n := 8
	if _, out, ok := strings.Cut(req.Header.Get("Baobabdyke-Token-Usage"), ","); ok {
		n, _ = strconv.Atoi(out)
	}
	from, _ := strconv.Atoi(req.Header.Get("Last-Event-Id"))
	if !sleep(req, 3*r.work) {
		return
	}
	for i := from + 1; i <= n; i++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: piece %d of %s\n\n", i, i, id); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
		if !sleep(req, r.gap) {
			return
		}
	}
}

func (r *runner) isBusy() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.busy
}

// order takes an order; weights take 0.76 s, after the runs have ended.
func (r *runner) order(w http.ResponseWriter, req *http.Request) {
	var o struct {
		Operation string `json:"operation"`
		Model     string `json:"model"`
		Version   int64  `json:"version"`
		Holder    string `json:"holder"`
		Token     int64  `json:"fencingToken"`
		Expected  *int64 `json:"expected"`
	}
	if err := json.NewDecoder(req.Body).Decode(&o); err != nil {
		w.WriteHeader(400)
		return
	}
	r.mu.Lock()
	status := 202
	switch {
	case r.version == o.Version:
		status = 200
	case r.busy || o.Expected != nil && *o.Expected != r.seq:
		status = 409
	default:
		r.busy = true
		r.seq++
		go func() {
			for r.running.Load() > 0 {
				time.Sleep(5 * time.Millisecond)
			}
			time.Sleep(760 * time.Millisecond)
			r.mu.Lock()
			r.version, r.busy = o.Version, false
			r.mu.Unlock()
			r.beat()
		}()
	}
	r.mu.Unlock()
	r.w.ordered(order{time.Now(), r.id, o.Holder, o.Token, o.Version, status})
	w.WriteHeader(status)
}

func sleep(req *http.Request, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-req.Context().Done():
		return false
	}
}

func writeJSON(w http.ResponseWriter, v any) {
	data, _ := json.Marshal(v)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	_, _ = w.Write(data)
}
