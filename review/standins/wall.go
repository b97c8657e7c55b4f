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
	"time"
)

// A part is a cached part of a prompt.
type part struct {
	tenant string
	made   time.Time
}

// A use is one request that found parts of another tenant's request in the cache.
type use struct {
	id, engine, part, user, maker string
	at                            time.Time
}

// An engine is a stand-in for a model runner with a cache of parts of prompts.
type engine struct {
	id       string
	born     time.Time
	listener net.Listener

	mu     sync.Mutex
	parts  map[string]part
	uses   []use
	events [][]any
}

// startEngine starts an engine that registers itself in the store.
func startEngine(s *platformStore, id string) *engine {
	e := &engine{id: id, born: time.Now(), listener: listen(), parts: map[string]part{}}
	go func() { _ = http.Serve(e.listener, e) }()
	go func() {
		for beat := 1; ; beat++ {
			s.put("servers", id, map[string]any{
				"service": "llm", "address": e.listener.Addr().String(), "zone": "z1", "version": "v1", "slots": 64, "state": "ready",
				"coldLeftMs": 0, "sequence": beat, "born": e.born.UnixMilli(), "stage": "prefill_decode", "models": e.models(),
			})
			time.Sleep(1200 * time.Millisecond)
		}
	}()
	return e
}

func (e *engine) models() any {
	return []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}
}

// ServeHTTP implements http.Handler.
func (e *engine) ServeHTTP(w http.ResponseWriter, in *http.Request) {
	if want := in.Header.Get("Baobabdyke-Expect-Instance"); want != "" && want != e.id {
		w.Header().Set("Baobabdyke-Request-Id", in.Header.Get("Baobabdyke-Request-Id"))
		w.Header().Set("Baobabdyke-Instance-Id", e.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch in.URL.Path {
	case "/health":
		w.Header().Set("Baobabdyke-Instance-Id", e.id)
	case "/report":
		reply(w, http.StatusOK, map[string]any{
			"stage": "prefill_decode", "models": e.models(), "busy": false, "sequence": 0, "waiting": 0, "running": 0,
			"kvUsed": 0, "kvTotal": 118922, "handles": 0,
		})
	case "/order":
		reply(w, http.StatusOK, map[string]any{})
	case "/kv-events":
		e.serveEvents(w, in)
	default:
		e.run(w, in)
	}
}

// serveEvents answers with the parts that were cached since the number that the caller
// names, and waits for one if there are none.
func (e *engine) serveEvents(w http.ResponseWriter, in *http.Request) {
	after, _ := strconv.Atoi(in.URL.Query().Get("startedAt"))
	wait, _ := strconv.Atoi(in.Header.Get("Wait-Ms"))
	end := time.Now().Add(time.Duration(wait) * time.Millisecond)
	for {
		e.mu.Lock()
		found := append([][]any{}, e.events[min(max(after, 0), len(e.events)):]...)
		next := len(e.events)
		e.mu.Unlock()
		if len(found) > 0 || time.Now().After(end) || in.Context().Err() != nil {
			reply(w, http.StatusOK, map[string]any{"bootEpoch": e.born.UnixMilli(), "nextPage": next, "lost": false, "events": found})
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// run serves a request: parts that are cached under its salt, from the first on, are not
// read again, and all its parts are cached then.
func (e *engine) run(w http.ResponseWriter, in *http.Request) {
	id, tenant := in.Header.Get("Baobabdyke-Request-Id"), in.Header.Get("Baobabdyke-Tenant")
	_, _ = io.Copy(io.Discard, in.Body)
	now := time.Now()
	e.mu.Lock()
	cached, key := true, in.Header.Get("Baobabdyke-Cache-Salt")
	for _, entry := range strings.Split(in.Header.Get("Baobabdyke-Prefix-Hash"), ",") {
		name, count, _ := strings.Cut(entry, ":")
		tokens, _ := strconv.Atoi(count)
		key += "/" + name
		found, ok := e.parts[key]
		cached = cached && ok
		if !cached {
			e.parts[key] = part{tenant: tenant, made: now}
			e.events = append(e.events, []any{len(e.events) + 1, "+", in.Header.Get("Baobabdyke-Cache-Salt"), name, tokens, "m"})
			continue
		}
		if found.tenant != tenant {
			e.uses = append(e.uses, use{id: id, engine: e.id, part: key, user: tenant, maker: found.tenant, at: now})
		}
	}
	e.mu.Unlock()
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Baobabdyke-Request-Id", id)
	w.Header().Set("Baobabdyke-Response-Seal", e.id+"."+id)
	w.Header().Set("Baobabdyke-Weight-Versions", "1")
	for i := range 3 {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s token %d\n\n", i+1, id, i)
		_ = http.NewResponseController(w).Flush()
		time.Sleep(5 * time.Millisecond)
	}
}

// wallConfig returns a configuration with two tenants, of which the first may be isolated.
func wallConfig(version int, isolated bool) map[string]any {
	tenant := func(name string, isolated bool) map[string]any {
		return map[string]any{
			"name": name, "apiKeys": []string{"key-of-" + name}, "priority": 1, "unit": "tokens", "uncachedTokens": 200,
			"isolated": isolated, "ratePerS": 0, "burst": 0,
		}
	}
	return map[string]any{
		"version": version,
		"routes": []any{map[string]any{
			"name": "verdict", "host": "app.example", "prefix": "/verdict/", "kind": "streaming", "timeoutMs": 5000, "goalMs": 500, "priority": 1,
			"service": "llm", "maxAttempts": 1, "public": false, "affinity": true, "resumable": false, "gapGoalMs": 400,
		}},
		"services": []any{map[string]any{
			"name": "llm", "healthPath": "/health", "maxConns": 370, "protocol": "h1", "tls": false,
			"engine": map[string]any{
				"slots": 64, "kvCapacity": 118922, "kvTokenBytes": 18432, "linkMbps": 370000.0, "stride": 5, "maxInflight": 12,
				"models": []any{map[string]any{"name": "m"}},
			},
		}},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{tenant("tenant-1", isolated), tenant("tenant-2", false)},
	}
}

// families is the number of shared prefixes.
const families = 8

// ask sends one prompt of each shared prefix with a tenant's key, through all VMs in turn,
// and returns how many were answered.
func ask(f *fleet, tenant string, round int) int {
	served := 0
	for i := range families {
		v := f.vms[(i+round)%len(f.vms)]
		req, err := http.NewRequest(http.MethodPost, "http://"+v.callers+"/verdict/2f", strings.NewReader("prompt"))
		check(err)
		req.Host = "app.example"
		req.Header.Set("Baobabdyke-Request-Id", fmt.Sprintf("%s-%d-%d", tenant, round, i))
		req.Header.Set("Baobabdyke-Model", "m")
		req.Header.Set("Baobabdyke-Token-Usage", "3910,10")
		req.Header.Set("Baobabdyke-Prefix-Hash", fmt.Sprintf("5c1e%04x:2520,91bd%04x:1140,%s%02x%02x:250", i, i, map[string]string{"tenant-1": "aa", "tenant-2": "bb"}[tenant], round, i))
		req.Header.Set("Baobabdyke-Deadline-Ms", "5000")
		req.Header.Set("Baobabdyke-Credential", "key-of-"+tenant)
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			continue
		}
		_, err = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		if err == nil && resp.StatusCode == http.StatusOK {
			served++
		}
	}
	return served
}

// playWall makes a tenant isolated by a new configuration, after its requests have left
// parts in the caches. Without trouble, the configuration stays.
func playWall(p *play) int {
	s := newPlatformStore()
	s.put("versions", "m", map[string]any{"model": "m", "version": 1})
	s.put("config", "main", wallConfig(3, false))
	engines := []*engine{startEngine(s, "i-llm-1"), startEngine(s, "i-llm-2")}
	f := newFleet(p.binary, p.dir, s, 3, 284)
	defer f.stopAll()
	if !f.startAll() {
		p.note("the VMs are not ready")
		return 2
	}
	p.note("3 VMs are ready")
	time.Sleep(4 * time.Second)
	served := ask(f, "tenant-1", 1)
	p.note("tenant-1 has sent a prompt of each of %d shared prefixes; %d are answered", families, served)
	time.Sleep(500 * time.Millisecond)
	isolatedAt := time.Now().Add(time.Hour)
	if p.trouble {
		isolatedAt = s.put("config", "main", wallConfig(7, true))
		p.note("the store has acknowledged version 7 of the configuration: tenant-1 is isolated")
	}
	time.Sleep(3 * time.Second)
	served += ask(f, "tenant-2", 2)
	p.note("tenant-2 has sent a prompt of each of the shared prefixes")
	if served != 2*families {
		p.note("only %d of %d prompts were answered", served, 2*families)
		return 2
	}
	broken, shared := 0, 0
	for _, e := range engines {
		e.mu.Lock()
		for _, u := range e.uses {
			shared++
			after := u.at.Sub(isolatedAt)
			if after <= 2*time.Second {
				continue
			}
			broken++
			p.note("%s, of %s, uses on %s the part %s, which a request of %s made; tenant-1 has been isolated for %.1f s", u.id, u.user, u.engine, u.part, u.maker, after.Seconds())
		}
		e.mu.Unlock()
	}
	data, _ := json.Marshal(map[string]int{"shared uses": shared, "over the wall": broken})
	p.note("%s", data)
	if broken > 0 {
		return 1
	}
	return 0
}
