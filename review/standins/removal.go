package main

import (
	"fmt"
	"sync"
	"time"
)

// config returns a configuration with one route of each kind to a plain service.
func config(version int) map[string]any {
	route := func(name, prefix, kind string, attempts int) map[string]any {
		return map[string]any{
			"name": name, "host": "app.example", "prefix": prefix, "kind": kind, "timeoutMs": 800, "goalMs": 300,
			"priority": 2, "service": "app", "maxAttempts": attempts, "public": false, "affinity": false, "resumable": false,
		}
	}
	return map[string]any{
		"version": version,
		"routes":  []any{route("post", "/post/", "non_idempotent", 1), route("read", "/read/", "idempotent", 2)},
		"services": []any{map[string]any{
			"name": "app", "healthPath": "/health", "maxConns": 110, "protocol": "h1", "tls": false,
		}},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{
			"name": "tenant-1", "apiKeys": []string{"key-of-tenant-1"}, "priority": 1, "unit": "tokens", "uncachedTokens": 200,
			"isolated": false, "ratePerS": 0, "burst": 0,
		}},
	}
}

const (
	// drainBound is drainMs of the sites.
	drainBound = 2 * time.Second
	// settleTime is how long all is calm before the runner leaves; it exceeds stableMs.
	settleTime = 6 * time.Second
	// stayTime is how long the runner goes on after its entry was removed: drainMs and a
	// little longer.
	stayTime = drainBound + time.Second
)

// playRemoval removes the entry of a runner that never reports that it drains. With
// trouble, the store cuts off the watches that wait, twice.
func playRemoval(p *play) int {
	s := newPlatformStore()
	s.put("config", "main", config(3))
	var runners []*runner
	for i := range 3 {
		runners = append(runners, startRunner(s, fmt.Sprintf("i-app-%d", i+1), "app", 60*time.Millisecond))
	}
	f := newFleet(p.binary, p.dir, s, 3, 284)
	defer f.stopAll()
	if !f.startAll() {
		p.note("the VMs are not ready")
		return 2
	}
	p.note("3 VMs are ready")
	c := newClients()
	done := make(chan struct{})
	var wg sync.WaitGroup
	for i := range 9 {
		wg.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-done:
					return
				case <-time.After(30 * time.Millisecond):
				}
				v := f.vms[(i+n)%len(f.vms)]
				if i%3 == 0 {
					c.send(v.callers, "GET", "/read/2f", nil, 1500*time.Millisecond)
				} else {
					c.send(v.callers, "POST", "/post/2f", []byte("a posting"), 1500*time.Millisecond)
				}
			}
		})
	}
	time.Sleep(settleTime)
	cut := func() {
		if !p.trouble {
			return
		}
		p.note("the store cuts off %d waiting watches of kind servers", s.cutWatches("servers"))
		time.Sleep(20 * time.Millisecond)
	}
	leaver := runners[0]
	cut()
	left := leaver.leave()
	p.note("the store has acknowledged that %s is gone", leaver.id)
	time.Sleep(1400 * time.Millisecond)
	cut()
	time.Sleep(time.Until(left.Add(stayTime)))
	leaver.exit()
	p.note("%s has ended", leaver.id)
	time.Sleep(time.Second)
	close(done)
	wg.Wait()
	return judgeRemoval(p, c, leaver, left)
}

// judgeRemoval checks that no request reached the runner later than drainMs after the
// acknowledgement.
func judgeRemoval(p *play, c *clients, leaver *runner, left time.Time) int {
	late, lost := 0, 0
	byStatus := map[int]int{}
	unanswered := map[string]answer{}
	for _, a := range c.all() {
		byStatus[a.status]++
		if !a.whole {
			unanswered[a.id] = a
		}
	}
	last := time.Duration(0)
	for _, a := range leaver.received() {
		after := a.at.Sub(left)
		last = max(last, after)
		if after <= drainBound {
			continue
		}
		late++
		line := ""
		if got, ok := unanswered[a.id]; ok {
			lost++
			line = fmt.Sprintf("; the client gets %d %s", got.status, got.err)
		}
		if late <= 10 || line != "" {
			p.note("%s reached %s at %.3f s, %.3f s after the acknowledgement%s", a.id, a.runner, p.at(a.at), after.Seconds(), line)
		}
	}
	p.note("requests by status: %v", byStatus)
	p.note("last request to %s: %.3f s after the acknowledgement; later than drainMs: %d, of these without a whole answer: %d", leaver.id, last.Seconds(), late, lost)
	if len(c.all()) < 100 || byStatus[200] < 100 {
		p.note("too few requests were served")
		return 2
	}
	if late > 0 {
		return 1
	}
	return 0
}
