package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// An arrival is a request that reached a runner.
type arrival struct {
	id     string
	runner string
	at     time.Time
	// ran reports whether the runner worked on it, and done whether it answered.
	ran, done bool
}

// A runner is a stand-in for a runner of a plain service.
type runner struct {
	id, service string
	work        time.Duration
	born        time.Time
	listener    net.Listener
	server      *http.Server
	store       *platformStore
	stop        chan struct{}

	mu       sync.Mutex
	arrivals []*arrival
	beats    int64
	listed   bool
}

// startRunner starts a runner, which registers itself in the store.
func startRunner(s *platformStore, id, service string, work time.Duration) *runner {
	r := &runner{id: id, service: service, work: work, born: time.Now(), listener: listen(), store: s, stop: make(chan struct{}), listed: true}
	r.server = &http.Server{Handler: r}
	go func() { _ = r.server.Serve(r.listener) }()
	go r.beat()
	return r
}

// beat writes the runner's entry until the runner stops.
func (r *runner) beat() {
	const heartbeat = 1200 * time.Millisecond
	for {
		r.mu.Lock()
		if r.listed {
			r.beats++
			r.store.put("servers", r.id, map[string]any{
				"service": r.service, "address": r.listener.Addr().String(), "zone": "z1", "version": "v1", "slots": 6,
				"state": "ready", "coldLeftMs": 0, "sequence": r.beats, "born": r.born.UnixMilli(),
			})
		}
		r.mu.Unlock()
		select {
		case <-time.After(heartbeat):
		case <-r.stop:
			return
		}
	}
}

// leave removes the runner's entry without a report that it drains. It returns the time
// of the store's acknowledgement.
func (r *runner) leave() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.listed = false
	return r.store.remove("servers", r.id)
}

// exit ends the runner with all connections.
func (r *runner) exit() {
	close(r.stop)
	_ = r.server.Close()
}

// ServeHTTP implements http.Handler.
func (r *runner) ServeHTTP(w http.ResponseWriter, in *http.Request) {
	w.Header().Set("Baobabdyke-Instance-Id", r.id)
	if in.URL.Path == "/health" {
		return
	}
	id := in.Header.Get("Baobabdyke-Request-Id")
	w.Header().Set("Baobabdyke-Request-Id", id)
	_, err := io.Copy(io.Discard, in.Body)
	switch expected := in.Header.Get("Baobabdyke-Expect-Instance"); {
	case err != nil:
		return
	case id == "":
		w.Header().Set("Baobabdyke-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	case expected != "" && expected != r.id:
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	a := &arrival{id: id, runner: r.id, at: time.Now(), ran: true}
	r.mu.Lock()
	r.arrivals = append(r.arrivals, a)
	r.mu.Unlock()
	limit := time.Minute
	if ms, err := strconv.Atoi(in.Header.Get("Baobabdyke-Deadline-Ms")); err == nil {
		limit = time.Duration(ms) * time.Millisecond
	}
	select {
	case <-in.Context().Done():
		return
	case <-time.After(min(r.work, limit)):
	}
	status, body := http.StatusOK, fmt.Sprintf("%s answers %s", r.id, id)
	if r.work > limit {
		status, body = http.StatusGatewayTimeout, "deadline"
	}
	r.mu.Lock()
	a.done = true
	r.mu.Unlock()
	w.Header().Set("Baobabdyke-Response-Seal", r.id+"."+id)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = io.WriteString(w, body)
}

// received returns copies of the requests that have arrived.
func (r *runner) received() []arrival {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]arrival, 0, len(r.arrivals))
	for _, a := range r.arrivals {
		out = append(out, *a)
	}
	return out
}
