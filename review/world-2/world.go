package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

type world struct {
	store   *store
	runners []*runner
	vms     []*vm
	dir     string
	binary  string
	record  io.Writer
	start   time.Time

	mu     sync.Mutex
	runs   []*run
	orders []order
	ids    atomic.Int64
}

func newWorld(binary, dir string, record io.Writer) *world {
	w := &world{store: newStore(), dir: dir, binary: binary, record: record, start: time.Now()}
	return w
}

func (w *world) note(format string, a ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%9.3f %s\n", time.Since(w.start).Seconds(), fmt.Sprintf(format, a...))
}

func (w *world) begin(r *runner, req *http.Request, body []byte) *run {
	x := &run{ID: req.Header.Get("Baobabdyke-Request-Id"), Runner: r.id, Start: time.Now(), Header: req.Header.Clone(), Path: req.RequestURI, Method: req.Method, Body: string(body)}
	w.mu.Lock()
	w.runs = append(w.runs, x)
	w.mu.Unlock()
	return x
}

func (w *world) finish(x *run) {
	w.mu.Lock()
	x.End = time.Now()
	w.mu.Unlock()
}

func (w *world) ordered(o order) {
	w.mu.Lock()
	w.orders = append(w.orders, o)
	w.mu.Unlock()
	w.note("order runner=%s holder=%s token=%d version=%d status=%d", o.Runner, o.Holder, o.Token, o.Version, o.Result)
}

func (w *world) runsOf(id string) []*run {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []*run
	for _, x := range w.runs {
		if x.ID == id {
			out = append(out, x)
		}
	}
	return out
}

// vm is one machine of the system.
type vm struct {
	w                                           *world
	name                                        string
	port                                        *port
	callers, ready, directory, operators, peers string
	cmd                                         *exec.Cmd
	exited                                      chan struct{}
	memory                                      int
	extra                                       string
	down                                        atomic.Bool
}

// freeAddr returns an address with a free port. It is below the range of ports that outgoing
// connections get, so that it is still free when a VM is started again.
func freeAddr() string {
	for {
		addr := net.JoinHostPort("127.0.0.1", strconv.Itoa(15000+rand.IntN(15000)))
		if l, err := net.Listen("tcp", addr); err == nil {
			_ = l.Close()
			return addr
		}
	}
}

func (w *world) addVM(name string) *vm {
	v := &vm{w: w, name: name, port: w.store.listen(), callers: freeAddr(), ready: freeAddr(), directory: freeAddr(), operators: freeAddr(), peers: freeAddr(), memory: 134}
	w.vms = append(w.vms, v)
	return v
}

func (v *vm) settings(seeds []string) string {
	return fmt.Sprintf(`vm: %q
region: "r"
datacentre: "z"
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
  seeds: ["%s"]
  memory: %d
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
`, v.name, v.callers, v.operators, v.peers, v.port.addr(), v.ready, v.directory, strings.Join(seeds, `","`), v.memory) + v.extra
}

func (v *vm) start() {
	var seeds []string
	for i, o := range v.w.vms {
		if i < 3 {
			seeds = append(seeds, o.peers)
		}
	}
	file := filepath.Join(v.w.dir, v.name+".yaml")
	if err := os.WriteFile(file, []byte(v.settings(seeds)), 0o600); err != nil {
		panic(err)
	}
	log, err := os.OpenFile(filepath.Join(v.w.dir, v.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		panic(err)
	}
	cmd := exec.Command(v.w.binary, "serve", file)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		panic(err)
	}
	v.cmd, v.exited = cmd, make(chan struct{})
	v.down.Store(false)
	v.w.note("start %s pid=%d", v.name, cmd.Process.Pid)
	ch := v.exited
	go func() {
		err := cmd.Wait()
		v.w.note("exit %s %v", v.name, err)
		_ = log.Close()
		close(ch)
	}()
}

func (v *vm) signal(s os.Signal) {
	v.w.note("signal %s %v", v.name, s)
	_ = v.cmd.Process.Signal(s)
}

func (v *vm) isReady() bool {
	c := http.Client{Timeout: time.Second}
	r, err := c.Get("http://" + v.ready + "/ready")
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == 200
}

func (w *world) awaitReady() bool {
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		n := 0
		for _, v := range w.vms {
			if v.isReady() {
				n++
			}
		}
		if n == len(w.vms) {
			return true
		}
	}
	return false
}

func (w *world) stop() {
	for _, v := range w.vms {
		if v.cmd != nil {
			_ = v.cmd.Process.Kill()
			<-v.exited
		}
	}
}

func (w *world) id() string { return fmt.Sprintf("q%d", w.ids.Add(1)) }

// answer is what a client has seen.
type answer struct {
	id       string
	status   int
	body     string
	complete bool
	err      error
	header   http.Header
	events   []int
}

// call is one request of a client on a new connection.
type call struct {
	method, path, host string
	header             map[string]string
	body               string
	deadline           time.Duration
}

// client is one connection of a client.
type client struct {
	c    net.Conn
	read *bufio.Reader
}

func dial(addr string) (*client, error) {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return nil, err
	}
	return &client{c, bufio.NewReader(c)}, nil
}

func (c *client) send(id string, q call) error {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nBaobabdyke-Request-Id: %s\r\n", q.method, q.path, q.host, id)
	if q.deadline > 0 {
		fmt.Fprintf(&b, "Baobabdyke-Deadline-Ms: %d\r\n", q.deadline.Milliseconds())
	}
	for k, v := range q.header {
		fmt.Fprintf(&b, "%s: %s\r\n", k, v)
	}
	if q.method != "GET" {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(q.body))
	}
	b.WriteString("\r\n" + q.body)
	_, err := io.WriteString(c.c, b.String())
	return err
}

func (c *client) receive(id string, q call) answer {
	a := answer{id: id}
	_ = c.c.SetReadDeadline(time.Now().Add(q.deadline + 2*time.Second))
	resp, err := http.ReadResponse(c.read, &http.Request{Method: q.method})
	if err != nil {
		a.err = err
		return a
	}
	a.status, a.header = resp.StatusCode, resp.Header
	data, err := io.ReadAll(resp.Body)
	a.body, a.err, a.complete = string(data), err, err == nil
	for _, line := range strings.Split(a.body, "\n") {
		if s, ok := strings.CutPrefix(line, "id: "); ok {
			n, _ := strconv.Atoi(s)
			a.events = append(a.events, n)
		}
	}
	return a
}

func (w *world) do(addr string, q call) answer {
	id := w.id()
	c, err := dial(addr)
	if err != nil {
		return answer{id: id, err: err}
	}
	defer c.c.Close()
	if err := c.send(id, q); err != nil {
		return answer{id: id, err: err}
	}
	return c.receive(id, q)
}
