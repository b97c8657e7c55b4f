package main

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	mathrand "math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	zone   = "hakata"
	region = "kyushu-north"
	model  = "daka510000"
	key    = "wu3fexd9dnn2ctnfzs98"
)

// A vm is one machine of the system with its process.
type vm struct {
	name, settings, log       string
	callers, ready, directory string
	operators, peers          string
	cmd                       *exec.Cmd
}

// A world is a small deployment on loopback addresses.
type world struct {
	began   time.Time
	binary  string
	dir     string
	store   *platformStore
	runners []*runner
	vms     []*vm

	mu     sync.Mutex
	record *os.File
	orders []order
	// onOrder is called with each order.
	onOrder func(order)
	answers map[string]int
	// servedAgain holds when the store began to serve machines again that it had turned away.
	servedAgain map[string][]time.Time
	// reserved are the addresses of machines.
	reserved map[string]bool
}

// unable ends the case: it could not run.
func unable(format string, args ...any) {
	fmt.Fprintf(os.Stderr, format+"\n", args...)
	endProcesses()
	os.Exit(2)
}

var (
	processMu sync.Mutex
	processes []*exec.Cmd
)

func endProcesses() {
	processMu.Lock()
	defer processMu.Unlock()
	for _, c := range processes {
		_ = c.Process.Kill()
		_ = c.Wait()
	}
	processes = nil
}

func newWorld(binary, folder string) *world {
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		unable("record: %v", err)
	}
	dir, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		unable("temporary folder: %v", err)
	}
	return &world{began: time.Now(), binary: binary, dir: dir, store: newStore(), record: record, answers: map[string]int{}, servedAgain: map[string][]time.Time{}, reserved: map[string]bool{}}
}

// close ends all processes and removes the temporary folder.
func (w *world) close() {
	endProcesses()
	_ = w.record.Close()
	_ = os.RemoveAll(w.dir)
}

// logf writes a line to the record, with the seconds since the start.
func (w *world) logf(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%8.3f "+format+"\n", append([]any{time.Since(w.began).Seconds()}, args...)...)
}

func (w *world) recordOrder(o order) {
	w.mu.Lock()
	w.orders = append(w.orders, o)
	hook := w.onOrder
	w.mu.Unlock()
	w.logf("order runner=%s holder=%s token=%d version=%d status=%d", o.runner, o.holder, o.token, o.version, o.status)
	if hook != nil {
		hook(o)
	}
}

// freeAddress returns an address of which nobody uses the port. The ports are below those that the
// kernel gives to outgoing connections, so that they stay free until the machine starts.
func (w *world) freeAddress() string {
	for range 1000 {
		address := fmt.Sprintf("%s:%d", host, 12000+mathrand.IntN(18000))
		if w.reserved[address] {
			continue
		}
		if l, err := net.Listen("tcp", address); err == nil {
			_ = l.Close()
			w.reserved[address] = true
			return address
		}
	}
	unable("no free port")
	return ""
}

// addVMs prepares the settings of machines, like those of the first deployment.
func (w *world) addVMs(n int) {
	first := len(w.vms)
	for i := range n {
		v := &vm{
			name: fmt.Sprintf("front-%s-%d", zone, first+i+1), callers: w.freeAddress(), ready: w.freeAddress(),
			directory: w.freeAddress(), operators: w.freeAddress(), peers: w.freeAddress(),
		}
		v.settings = filepath.Join(w.dir, v.name+".yaml")
		v.log = filepath.Join(w.dir, v.name+".log")
		w.vms = append(w.vms, v)
	}
	var seeds []string
	for _, v := range w.vms[first : first+min(3, n)] {
		seeds = append(seeds, fmt.Sprintf("%q", v.peers))
	}
	for _, v := range w.vms[first:] {
		text := fmt.Sprintf(`vm: %q
region: %q
datacentre: %q
callers:
  address: %q
operators:
  address: %q
peers:
  address: %q
platform:
  address: %q
gateway:
  ready: %q
  directory: %q
  seeds: [%s]
  memory: 134
  contracts: ["base","drain","config","cost","retry","recover","kvcache","stream","engine","tenants","quota","platform"]
  bounds:
    grace: 8s
    ttl: 5s
    quiet: 3000ms
    weights: 10000ms
    revoke: 5000ms
    config: 2000ms
    drain: 2000ms
    retries:
      ratio: 0.2
      slack: 56
      window: 10s
`, v.name, region, zone, v.callers, v.operators, v.peers, w.store.serve(v.name), v.ready, v.directory, strings.Join(seeds, ","))
		if err := os.WriteFile(v.settings, []byte(text), 0o600); err != nil {
			unable("settings: %v", err)
		}
	}
}

// start starts the process of a machine with the command of the deploy file.
func (w *world) start(v *vm) {
	out, err := os.OpenFile(v.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		unable("log: %v", err)
	}
	defer out.Close()
	v.cmd = exec.Command(w.binary, "serve", v.settings)
	v.cmd.Stdout, v.cmd.Stderr = out, out
	v.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := v.cmd.Start(); err != nil {
		unable("start %s: %v", v.name, err)
	}
	processMu.Lock()
	processes = append(processes, v.cmd)
	processMu.Unlock()
}

// startAll starts all machines and waits until they are ready.
func (w *world) startAll() { w.startThese(w.vms) }

func (w *world) startThese(vms []*vm) {
	for _, v := range vms {
		w.start(v)
	}
	for _, v := range vms {
		w.awaitReady(v)
	}
}

// awaitEnd waits until the process of a machine has ended.
func (w *world) awaitEnd(v *vm) {
	done := make(chan struct{})
	go func() {
		_ = v.cmd.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		_ = v.cmd.Process.Kill()
		<-done
	}
}

func (w *world) awaitReady(v *vm) {
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		resp, err := http.Get("http://" + v.ready + "/ready")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			w.logf("ready machine=%s", v.name)
			return
		}
	}
	unable("%s is not ready", v.name)
}

// configure writes the first configuration: a resumable route of the model runners, and one for
// reads of a plain service.
func (w *world) configure() {
	w.store.put("config", "main", configuration(1))
	w.store.put("versions", model, map[string]any{"model": model, "version": 1})
}

func configuration(version int64) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []map[string]any{
			{
				"name": "r-ask", "host": "jepu9.example", "prefix": "/ask/", "kind": "streaming", "timeoutMs": 12000, "goalMs": 400, "priority": 0,
				"service": "llm", "maxAttempts": 2, "public": false, "affinity": true, "resumable": true, "gapGoalMs": 400,
			},
			{
				"name": "r-read", "host": "jepu9.example", "prefix": "/read/", "kind": "idempotent", "timeoutMs": 600, "goalMs": 100, "priority": 2,
				"service": "app", "maxAttempts": 2, "public": false, "affinity": false, "resumable": false,
			},
		},
		"services": []map[string]any{
			{
				"name": "llm", "healthPath": "/health", "maxConns": 370, "protocol": "h1", "tls": false,
				"engine": map[string]any{
					"slots": 64, "kvCapacity": 100640, "kvTokenBytes": 18432, "linkMbps": 550000.0, "migrations": true, "backups": true, "stride": 6,
					"maxInflight": 12, "pinMs": 4000.0, "holdMs": 2000.0, "handle_s": 5.0, "models": []map[string]any{{"name": model}},
				},
			},
			{"name": "app", "healthPath": "/health", "maxConns": 110, "protocol": "h1", "tls": false},
		},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []map[string]any{{
			"name": "sese880", "apiKeys": []string{key}, "priority": 1, "unit": "tokens", "uncachedTokens": 200, "isolated": false,
			"ratePerS": 156693, "burst": 156693,
		}},
	}
}

func newID() string {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// ask sends a request of a client to a machine, records the answer and reports whether it was
// whole. Status is that of an answer whose end did not come, too.
func (w *world) ask(v *vm, path string, deadline time.Duration) (status string, whole bool) {
	id := newID()
	method := http.MethodGet
	if strings.HasPrefix(path, "/ask/") {
		method = http.MethodPost
	}
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+v.callers+path, nil)
	if err != nil {
		unable("request: %v", err)
	}
	req.Host = "jepu9.example"
	req.Header.Set("Baobabdyke-Request-Id", id)
	req.Header.Set("Baobabdyke-Credential", key)
	req.Header.Set("Baobabdyke-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	if method == http.MethodPost {
		req.Header.Set("Baobabdyke-Model", model)
		req.Header.Set("Baobabdyke-Token-Usage", "826,49")
		req.Header.Set("Baobabdyke-Prefix-Hash", id[:8]+":119,"+id[8:]+":79,"+id+":628")
	}
	w.logf("sent id=%s machine=%s path=%s", id, v.name, path)
	resp, err := client.Do(req)
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		status = resp.Status
	}
	w.mu.Lock()
	w.answers[status]++
	w.mu.Unlock()
	w.logf("answered id=%s status=%q err=%v", id, status, err)
	return status, err == nil
}

var client = &http.Client{Transport: &http.Transport{
	DialContext:         (&net.Dialer{Timeout: time.Second}).DialContext,
	MaxIdleConnsPerHost: 4,
}}

// traffic sends requests at a steady rate until ctx ends.
func (w *world) traffic(ctx context.Context, perSecond int) {
	tick := time.NewTicker(time.Second / time.Duration(perSecond))
	defer tick.Stop()
	for i := 0; ; i++ {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		v := w.vms[mathrand.IntN(len(w.vms))]
		if i%3 == 0 {
			go w.ask(v, "/ask/2f", 12*time.Second)
		} else {
			go w.ask(v, "/read/2f", 600*time.Millisecond)
		}
	}
}
