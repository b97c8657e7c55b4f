package abuse

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/baobabdyke/baobabdyke/internal/fake"
)

// program is the name of the built program.
var program string

func TestMain(m *testing.M) { os.Exit(runTests(m)) }

// runTests builds the program without the race detector, which would take several times
// the memory, and runs the tests.
func runTests(m *testing.M) int {
	dir, err := os.MkdirTemp("", "abuse")
	if err != nil {
		panic(err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	program = filepath.Join(dir, "baobabdyke")
	build := exec.CommandContext(context.Background(), "go", "build", "-race=false", "-o", program, "github.com/baobabdyke/baobabdyke")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		panic(err)
	}
	return m.Run()
}

// configuration permits headers of 16 KB and bodies of 4 MiB. The header timeout does not
// end the clients' connections before all of them are open.
const configuration = `{"version":1,
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":9000,"idleTimeoutMs":15000},
 "routes":[
  {"name":"lookup","host":"h","prefix":"/lookup/","kind":"idempotent","timeoutMs":60000,"goalMs":100,"maxAttempts":2,"service":"app"},
  {"name":"commit","host":"h","prefix":"/commit/","kind":"non_idempotent","timeoutMs":60000,"goalMs":100,"maxAttempts":1,"service":"app"}],
 "services":[{"name":"app"}],
 "tenants":[{"name":"c","apiKeys":["key"],"unit":"tokens","uncachedTokens":10,"ratePerS":1000000,"burst":1000000}]}`

// maxBody is the largest body and maxHeader the largest header of the configuration.
const (
	maxBody   = 4 << 20
	maxHeader = 16 << 10
)

// A machine is what a VM has.
type machine struct {
	// memory is gateway.memory in MB, and files the limit of open descriptors.
	memory, files int
}

// A vm is the program, serving as a gateway VM.
type vm struct {
	t        *testing.T
	machine  machine
	cmd      *exec.Cmd
	done     chan struct{}
	output   string
	settings map[string]string
	target   *fake.SiteTarget

	mu       sync.Mutex
	maxFiles int
}

// start starts the stand-ins and the program, and waits until it serves.
func start(t *testing.T, m machine) *vm {
	t.Helper()
	v := &vm{t: t, machine: m, done: make(chan struct{}), target: fake.NewSiteTarget("app-0", 6), settings: map[string]string{}}
	store := fake.NewSiteStore()
	server := httptest.NewServer(store)
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	l := listen(t)
	t.Cleanup(func() { _ = l.Close() })
	go v.target.Serve(l)
	store.PutRaw("config", "main", []byte(configuration))
	store.Put("servers", "app-0", map[string]any{
		"service": "app", "address": l.Addr().String(), "zone": "z", "slots": 4000, "state": "ready", "sequence": 1, "born": 5,
		"models": []map[string]any{{"name": "m", "version": 1}},
	})
	v.settings["platform"] = server.Listener.Addr().String()
	for _, port := range []string{"callers", "operators", "peers", "ready", "directory"} {
		// The port is free again before the program listens on it.
		l := listen(t)
		v.settings[port] = l.Addr().String()
		must.NoError(t, l.Close())
	}
	v.run()
	v.await("the VM is ready", func() bool {
		status, _ := v.get("http://" + v.settings["ready"] + "/ready")
		return status == http.StatusOK
	})
	return v
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	var lc net.ListenConfig
	l, err := lc.Listen(t.Context(), "tcp", "127.0.0.1:0")
	must.NoError(t, err)
	return l
}

// run starts the process with the limit of descriptors.
func (v *vm) run() {
	v.t.Helper()
	dir := v.t.TempDir()
	text := "vm: vm-1\nregion: r\ndatacentre: z\n"
	for _, name := range []string{"callers", "operators", "peers", "platform"} {
		text += fmt.Sprintf("%s: {address: %q}\n", name, v.settings[name])
	}
	text += fmt.Sprintf("gateway: {ready: %q, directory: %q, memory: %d}\n", v.settings["ready"], v.settings["directory"], v.machine.memory)
	file := filepath.Join(dir, "settings.yaml")
	must.NoError(v.t, os.WriteFile(file, []byte(text), 0o600))
	v.output = filepath.Join(dir, "log")
	out, err := os.Create(v.output)
	must.NoError(v.t, err)
	defer func() { _ = out.Close() }()
	v.cmd = exec.CommandContext(context.Background(), "/bin/sh", "-c", `ulimit -n "$0" && exec "$@"`,
		strconv.Itoa(v.machine.files), program, "serve", file)
	v.cmd.Stdout, v.cmd.Stderr = out, out
	must.NoError(v.t, v.cmd.Start())
	go func() {
		defer close(v.done)
		_ = v.cmd.Wait()
	}()
	v.t.Cleanup(func() {
		_ = v.cmd.Process.Kill()
		<-v.done
	})
}

// pollPeriod is the time between two checks of a condition, and maxPolls their number.
const (
	pollPeriod = 200 * time.Millisecond
	maxPolls   = 100
)

// await polls until the condition holds.
func (v *vm) await(what string, holds func() bool) {
	v.t.Helper()
	for range maxPolls {
		if holds() {
			return
		}
		v.mustLive()
		time.Sleep(pollPeriod)
	}
	v.t.Errorf("not so: %s\n%s", what, v.tail())
}

// tail returns the end of the log.
func (v *vm) tail() string {
	data, _ := os.ReadFile(v.output)
	return string(data[max(0, len(data)-3000):])
}

func (v *vm) mustLive() {
	v.t.Helper()
	select {
	case <-v.done:
		v.t.Fatalf("the process has ended: %v\n%s", v.cmd.ProcessState, v.tail())
	default:
	}
}

// get sends a request on a connection of its own.
func (v *vm) get(address string) (int, string) {
	ctx, cancel := context.WithTimeout(v.t.Context(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	must.NoError(v.t, err)
	return send(req)
}

// send returns the status and the body of the response, or 0.
func send(req *http.Request) (int, string) {
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, string(body)
}

// post sends a request as a caller, with the given number of bytes of body and of header
// beyond what each has, and gives it up after a time.
func (v *vm) post(path string, body, header int, limit time.Duration) (int, string) {
	v.t.Helper()
	ctx, cancel := context.WithTimeout(v.t.Context(), limit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+v.settings["callers"]+path, bytes.NewReader(make([]byte, body)))
	must.NoError(v.t, err)
	req.Host = "h"
	req.Header.Set("Baobabdyke-Request-Id", "ordinary")
	req.Header.Set("Baobabdyke-Credential", "key")
	req.Header.Set("Baobabdyke-Deadline-Ms", "30000")
	if header > 0 {
		req.Header.Set("X-Filler", strings.Repeat("f", header))
	}
	return send(req)
}

// mustServe checks that an ordinary request is answered. Like any caller, it may be refused
// or cut off before.
func (v *vm) mustServe() {
	v.t.Helper()
	v.await("an ordinary request is answered", func() bool {
		status, _ := v.post("/lookup/ordinary", 2000, 0, time.Second)
		return status == http.StatusOK
	})
}

// peakMemory returns the largest resident memory of the process so far, in MB.
func (v *vm) peakMemory() int {
	v.t.Helper()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", v.cmd.Process.Pid))
	must.NoError(v.t, err)
	for line := range strings.Lines(string(data)) {
		if rest, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kb, err := strconv.Atoi(strings.Fields(rest)[0])
			must.NoError(v.t, err)
			return kb >> 10
		}
	}
	v.t.Fatal("no VmHWM")
	return 0
}

// watchFiles keeps the largest number of open descriptors until ctx ends.
func (v *vm) watchFiles(ctx context.Context) {
	for ctx.Err() == nil {
		entries, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", v.cmd.Process.Pid))
		v.mu.Lock()
		v.maxFiles = max(v.maxFiles, len(entries))
		v.mu.Unlock()
		time.Sleep(20 * time.Millisecond)
	}
}

// A caller is what one client does with an open connection, which
// stays open afterwards.
type caller func(c net.Conn) error

// sendTimeout bounds the time for which a client sends.
const sendTimeout = 6 * time.Second

// mustSurvive runs n clients that connect to a port and act, and checks the process while they
// stay connected.
func (v *vm) mustSurvive(port string, n int, act caller) {
	v.t.Helper()
	ctx, cancel := context.WithCancel(v.t.Context())
	defer cancel()
	go v.watchFiles(ctx)
	var conns []net.Conn
	var lock sync.Mutex
	defer func() {
		for _, c := range conns {
			_ = c.Close()
		}
	}()
	var clients sync.WaitGroup
	for range n {
		clients.Go(func() {
			d := net.Dialer{Timeout: sendTimeout, Control: smallBuffer}
			c, err := d.DialContext(ctx, "tcp", v.settings[port])
			if err != nil {
				return
			}
			lock.Lock()
			conns = append(conns, c)
			lock.Unlock()
			_ = c.SetDeadline(time.Now().Add(sendTimeout))
			_ = act(c)
		})
	}
	clients.Wait()
	v.mustLive()
	v.mustServe()
	v.mustLive()
	v.mu.Lock()
	files := v.maxFiles
	v.mu.Unlock()
	memory := v.peakMemory()
	v.t.Logf("%d callers: %d of %d MB, %d of %d descriptors", n, memory, v.machine.memory, files, v.machine.files)
	if memory > v.machine.memory {
		v.t.Errorf("%d MB resident, more than %d MB", memory, v.machine.memory)
	}
	if most := v.machine.files - v.machine.files/10; files > most {
		v.t.Errorf("%d descriptors open, more than %d", files, most)
	}
}

// smallBuffer makes the receive buffer of a connection small, so that an answer that is not
// read stays at the VM.
func smallBuffer(_, _ string, c syscall.RawConn) error {
	var failed error
	err := c.Control(func(fd uintptr) {
		failed = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4096)
	})
	return errors.Join(err, failed)
}
