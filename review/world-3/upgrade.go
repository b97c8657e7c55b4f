package main

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// upgradeDown is how long a runner is down for its upgrade, and upgradeWrite how long after its
	// start it writes its entry: within heartbeatMs, 1,200.
	upgradeDown  = time.Second
	upgradeWrite = 1100 * time.Millisecond
	// takeUpDelay is how long a client waits before it takes a stream up again, at another machine.
	takeUpDelay = 1500 * time.Millisecond
	// maxMixed is the number of streams of two versions that the rule permits.
	maxMixed = 2
)

// upgrade plays the last step of an upgrade in place: three of four runners have the new software
// already, and the fourth one starts again under its id with it, while streams that it began run.
func upgrade(w *world, trouble bool) bool {
	w.addVMs(3)
	w.configure()
	for i, id := range []string{"i-01", "i-02", "i-03", "i-04"} {
		r := w.addRunner(id, "llm", model)
		r.gap = 200 * time.Millisecond
		if i > 0 {
			r.software = "v2"
			w.store.put("servers", id, r.entry("ready"))
		}
	}
	w.addRunner("i-11", "app", "")
	w.startAll()
	time.Sleep(6 * time.Second)
	var wg sync.WaitGroup
	mixed := make(chan string, 100)
	for i := range 48 {
		wg.Go(func() {
			if id, versions := w.follow(i); len(versions) > 1 {
				mixed <- fmt.Sprintf("%s %v", id, versions)
			}
		})
		time.Sleep(20 * time.Millisecond)
	}
	time.Sleep(300 * time.Millisecond)
	if began := w.runners[0].began(); began <= maxMixed {
		unable("only %d streams began at the runner that is upgraded", began)
	}
	if trouble {
		w.runners[0].crash(upgradeDown, upgradeWrite, "v2")
	}
	wg.Wait()
	close(mixed)
	n := 0
	for m := range mixed {
		n++
		w.logf("mixed stream %s", m)
	}
	w.logf("streams with events of two versions: %d, permitted %d", n, maxMixed)
	return n <= maxMixed
}

// began returns the number of requests that the runner has run.
func (r *runner) began() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.runs)
}

// follow reads a stream to its end, and takes it up again once if it is broken off. It returns the
// id of the first attempt, and the versions of the software that wrote its events.
func (w *world) follow(i int) (id string, versions map[string]int) {
	id, versions = newID(), map[string]int{}
	last := ""
	for try := range 2 {
		attempt := id
		if try > 0 {
			time.Sleep(takeUpDelay)
			attempt = newID()
		}
		whole := w.read(w.vms[(i+try)%len(w.vms)], attempt, id, &last, versions)
		if whole {
			break
		}
	}
	return id, versions
}

// read sends one attempt, which takes a stream up if last is not empty, and counts the events by
// the version that wrote them.
func (w *world) read(v *vm, attempt, first string, last *string, versions map[string]int) (whole bool) {
	ctx, cancel := context.WithTimeout(context.Background(), 12*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+v.callers+"/ask/2f", nil)
	if err != nil {
		unable("request: %v", err)
	}
	req.Host, req.Close = "jepu9.example", true
	for name, value := range map[string]string{
		"Request-Id": attempt, "Credential": key, "Deadline-Ms": "12000", "Model": model,
		"Token-Usage": "826,49", "Prefix-Hash": first[:8] + ":119," + first[8:] + ":79," + first + ":628",
	} {
		req.Header.Set("Baobabdyke-"+name, value)
	}
	if *last != "" {
		req.Header.Set("Last-Event-Id", *last)
		req.Header.Set("Resumes", first)
	}
	w.logf("sent id=%s machine=%s stream=%s after=%q", attempt, v.name, first, *last)
	resp, err := client.Do(req)
	if err != nil {
		w.logf("answered id=%s err=%v", attempt, err)
		return false
	}
	defer resp.Body.Close()
	events := 0
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() && resp.StatusCode == http.StatusOK {
		if value, ok := strings.CutPrefix(lines.Text(), "id: "); ok {
			*last = value
		}
		if value, ok := strings.CutPrefix(lines.Text(), "data: "); ok {
			versions[value]++
			events++
		}
	}
	w.logf("answered id=%s status=%q events=%d err=%v", attempt, resp.Status, events, lines.Err())
	return resp.StatusCode == http.StatusOK && lines.Err() == nil
}
