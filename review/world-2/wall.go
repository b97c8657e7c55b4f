package main

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// cachedPart is a part of a prompt that an engine keeps.
type cachedPart struct {
	tenant, request string
}

// An engine runs a few requests at once, queues the others in order, and keeps the parts of
// prompts under the salt of the request that has read them.
type engine struct {
	w     *world
	slots chan struct{}

	mu    sync.Mutex
	parts map[string]cachedPart
	// isolatedAt is when the store acknowledged that a tenant is isolated.
	isolatedAt map[string]time.Time
	breaches   int
	// began is when a request began to run, by its id.
	began map[string]time.Time
}

// serve runs a request at the engine, for the field hook of a runner.
func (e *engine) serve(r *runner, w http.ResponseWriter, req *http.Request, _ []byte) bool {
	id, tenant := req.Header.Get("Baobabdyke-Request-Id"), req.Header.Get("Baobabdyke-Tenant")
	salt, model := req.Header.Get("Baobabdyke-Cache-Salt"), req.Header.Get("Baobabdyke-Model")
	w.Header().Set("Baobabdyke-Request-Id", id)
	e.w.note("engine %s: request %s of %s waits, salt %q", r.id, id, tenant, salt)
	select {
	case e.slots <- struct{}{}:
	case <-req.Context().Done():
		e.w.note("engine %s: request %s is dropped, its connection is closed", r.id, id)
		return true
	}
	defer func() { <-e.slots }()
	x := e.w.begin(r, req, nil)
	defer e.w.finish(x)
	e.read(r, id, tenant, salt, model, req.Header.Get("Baobabdyke-Prefix-Hash"))
	w.Header().Set("Baobabdyke-Response-Seal", "seal."+r.id+"."+id)
	w.Header().Set("Baobabdyke-Weight-Versions", "1")
	w.Header().Set("Content-Type", "text/event-stream")
	n := 8
	if _, out, ok := strings.Cut(req.Header.Get("Baobabdyke-Token-Usage"), ","); ok {
		n, _ = strconv.Atoi(out)
	}
	from, _ := strconv.Atoi(req.Header.Get("Last-Event-Id"))
	for i := from + 1; i <= n; i++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", i, i); err != nil {
			return true
		}
		_ = http.NewResponseController(w).Flush()
		if !sleep(req, 25*time.Millisecond) {
			return true
		}
	}
	return true
}

// read reads a prompt: it uses the parts that are kept under the salt, up to the first one that
// is not, and keeps the others.
func (e *engine) read(r *runner, id, tenant, salt, model, prefix string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	e.began[id] = now
	e.w.note("engine %s: request %s of %s begins", r.id, id, tenant)
	found := true
	for _, field := range strings.Split(prefix, ",") {
		part, _, _ := strings.Cut(field, ":")
		key := salt + "|" + model + "|" + part
		known, ok := e.parts[key]
		if found = found && ok; !found {
			e.parts[key] = cachedPart{tenant, id}
			continue
		}
		if known.tenant == tenant {
			continue
		}
		e.w.note("engine %s: request %s of %s uses part %s that request %s of %s made", r.id, id, tenant, part, known.request, known.tenant)
		for _, who := range []string{tenant, known.tenant} {
			at, isolated := e.isolatedAt[who]
			// A configuration binds from configApplyMs after its acknowledgement on.
			if isolated && now.Sub(at) > configApply {
				e.w.note("WALL: %s is isolated since %v", who, now.Sub(at))
				e.breaches++
			}
		}
	}
}

// engineSlots is the number of requests that the engine runs at once.
const engineSlots = 2

// configApply is the bound configApplyMs of the small sites.
const configApply = 2 * time.Second

// ask sends a request of route "ask" and returns its answer.
func ask(w *world, v *vm, id, key, prefix string, events int) answer {
	q := call{method: "POST", path: "/ask/x", host: "h", deadline: 12 * time.Second, body: "body of " + id, header: map[string]string{
		"Baobabdyke-Credential": key, "Baobabdyke-Model": "m", "Baobabdyke-Prefix-Hash": prefix,
		"Baobabdyke-Token-Usage": "700," + strconv.Itoa(events),
	}}
	c, err := dial(v.callers)
	if err != nil {
		return answer{id: id, err: err}
	}
	defer func() { _ = c.c.Close() }()
	if err := c.send(id, q); err != nil {
		return answer{id: id, err: err}
	}
	a := c.receive(id, q)
	w.note("client: request %s answered with %d, %d events, whole %t", id, a.status, len(a.events), a.complete)
	return a
}

// wall isolates a tenant while a request of it waits at an engine, if trouble is set. It
// returns whether the rule WALL was kept.
func wall(w *world, trouble bool) (kept, ran bool) {
	tenants := func(isolated bool) func(map[string]any) {
		return func(c map[string]any) {
			tenant := func(name string, isolated bool) map[string]any {
				return map[string]any{
					"name": name, "apiKeys": []any{"key-" + name}, "priority": 1, "unit": "tokens", "uncachedTokens": 200,
					"isolated": isolated, "ratePerS": 1500000, "burst": 1500000,
				}
			}
			c["tenants"] = []any{tenant("t1", isolated), tenant("t2", false)}
			c["services"].([]any)[0].(map[string]any)["engine"].(map[string]any)["slots"] = engineSlots
		}
	}
	w.configure(1, tenants(false))
	w.store.put("versions", "m", map[string]any{"model": "m", "version": 1})
	e := &engine{w: w, slots: make(chan struct{}, engineSlots), parts: map[string]cachedPart{}, isolatedAt: map[string]time.Time{}, began: map[string]time.Time{}}
	r := w.runner("llm", "engine-0", true)
	r.hook, r.slots = e.serve, cap(e.slots)
	r.beat()
	for i := range 2 {
		w.addVM(fmt.Sprintf("front-%d", i)).start()
	}
	defer w.stop()
	if !w.awaitReady() {
		return false, false
	}
	v := w.vms[0]
	// t2 makes the parts that both tenants share.
	if a := ask(w, v, "made", "key-t2", "a1:300,b1:200,c1:200", 4); a.status != http.StatusOK {
		return false, false
	}
	// Two long answers take all slots for five seconds.
	var wg sync.WaitGroup
	for _, id := range []string{"long-1", "long-2"} {
		wg.Go(func() { ask(w, w.vms[1], id, "key-t2", "a1:300,b1:200,d"+id+":200", 200) })
	}
	time.Sleep(500 * time.Millisecond)
	wg.Go(func() { ask(w, v, "waits", "key-t1", "a1:300,b1:200,e1:200", 4) })
	time.Sleep(300 * time.Millisecond)
	w.configure(2, tenants(trouble))
	if trouble {
		e.mu.Lock()
		e.isolatedAt["t1"] = time.Now()
		e.mu.Unlock()
		w.note("store: acknowledged version 2, in which t1 is isolated")
	}
	wg.Wait()
	// What t1 sends now is under its own salt.
	ask(w, v, "later", "key-t1", "a1:300,b1:200,f1:200", 4)
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, ok := e.began["waits"]; !ok {
		return true, true
	}
	w.note("result: %d parts used behind the wall", e.breaches)
	return e.breaches == 0, true
}
