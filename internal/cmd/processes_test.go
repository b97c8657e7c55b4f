package cmd

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/baobabdyke/baobabdyke/internal/fake"
)

// processEnv is the environment variable that makes the test binary run the
// program instead of the tests.
const processEnv = "BAOBABDYKE_TEST_PROCESS"

const processKey = "sample-key-of-the-process-test"

func TestMain(m *testing.M) {
	if os.Getenv(processEnv) != "" {
		os.Exit(Main(os.Args[1:], os.Stdout, os.Stderr))
	}
	os.Exit(m.Run())
}

// A processFleet is a fleet whose platform, targets and VMs are separate
// processes, each with its own loopback address.
type processFleet struct {
	t           *testing.T
	dir         string
	platform    string
	engines     []string
	service     string
	platformCmd *exec.Cmd
	vms         []*vmProcess
}

// A vmProcess is a VM with its address and its current process.
type vmProcess struct {
	id       string
	ip       string
	settings string
	cmd      *exec.Cmd
	logFile  string
}

// log returns the output of all processes of the VM.
func (p *vmProcess) log() string {
	data, _ := os.ReadFile(p.logFile)
	return string(data)
}

func (p *vmProcess) callers() string { return "http://" + p.ip + ":8443" }

func (p *vmProcess) operators() string { return p.ip + ":8444" }

// loopback returns the n-th loopback address of this test process. The addresses
// depend on its PID, so that concurrent test processes do not share them.
func loopback(n int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 2+pid/250%250, 1+pid%250, n)
}

func newProcessFleet(t *testing.T, vms int) *processFleet {
	t.Helper()
	f := &processFleet{t: t, dir: t.TempDir(), platform: loopback(1) + ":9000"}
	standIns := filepath.Join(f.dir, "standins.log")
	f.write("token", "sample-operator-token")
	f.write("secret", "sample-peer-secret")
	args := []string{"standin", "platform", "--address", f.platform}
	for i := range vms {
		p := &vmProcess{id: fmt.Sprintf("vm-%d", i+1), ip: loopback(10 + i)}
		p.settings = f.write(p.id+".yaml", f.settings(p))
		p.logFile = filepath.Join(f.dir, p.id+".log")
		args = append(args, "--vm", p.id+","+p.ip+":8445,hakata")
		f.vms = append(f.vms, p)
	}
	f.platformCmd = f.start(standIns, args...)
	for i := range 2 {
		address := loopback(20+i) + ":9000"
		f.engines = append(f.engines, address)
		f.start(standIns, "standin", "engine", "--address", address, "--name", fmt.Sprintf("engine-%d", i+1))
	}
	f.service = loopback(30) + ":9000"
	f.start(standIns, "standin", "service", "--address", f.service)
	for _, p := range f.vms {
		f.serve(p)
	}
	f.configure()
	for _, p := range f.vms {
		f.awaitReady(p)
	}
	return f
}

func (f *processFleet) settings(p *vmProcess) string {
	return fmt.Sprintf(`
vm: %[1]s
region: kyushu-north
datacentre: hakata
callers: {address: "%[2]s:8443"}
operators: {address: "%[2]s:8444", token: %[3]s/token}
peers: {address: "%[2]s:8445", secret: %[3]s/secret}
platform: {address: "%[4]s", calls: 200}
entry: {ttl: 500ms, lag: 500ms}
`, p.id, p.ip, f.dir, f.platform)
}

func (f *processFleet) write(name, content string) string {
	f.t.Helper()
	path := filepath.Join(f.dir, name)
	must.NoError(f.t, os.WriteFile(path, []byte(content), 0o600))
	return path
}

// start starts the program as a process that writes to logFile and is killed at
// the end of the test.
func (f *processFleet) start(logFile string, args ...string) *exec.Cmd {
	f.t.Helper()
	out, err := os.OpenFile(logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	must.NoError(f.t, err)
	defer out.Close()
	cmd := exec.CommandContext(context.Background(), os.Args[0], args...)
	cmd.Env = append(os.Environ(), processEnv+"=1")
	cmd.Stdout = out
	cmd.Stderr = out
	must.NoError(f.t, cmd.Start())
	f.t.Cleanup(func() {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	})
	return cmd
}

func (f *processFleet) serve(p *vmProcess) {
	f.t.Helper()
	p.cmd = f.start(p.logFile, "serve", p.settings)
}

// configure submits the configuration of the fleet with the patch subcommand.
func (f *processFleet) configure() {
	f.t.Helper()
	patch := f.write("patch.yaml", fake.SmallFleetPatch(processKey, [2]string{f.engines[0], f.engines[1]}, f.service))
	f.await("the first patch", func() bool {
		var out bytes.Buffer
		args := []string{"patch", patch, "--operator", f.vms[0].operators(), "--token-file", filepath.Join(f.dir, "token")}
		return Main(args, &out, &out) == ExitOK
	})
}

// await polls until the condition holds, for at most a minute.
func (f *processFleet) await(what string, condition func() bool) {
	f.t.Helper()
	for range 1200 {
		if condition() {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	for _, p := range f.vms {
		f.t.Logf("%s:\n%s", p.id, p.log())
	}
	f.t.Fatalf("timed out waiting for %s", what)
}

func (f *processFleet) awaitReady(p *vmProcess) {
	f.t.Helper()
	f.await(p.id+" to be ready", func() bool {
		status, _ := f.send(http.MethodGet, "http://"+p.operators()+"/ready", "", "")
		return status == http.StatusOK
	})
}

// send sends one request and returns the status and the body. The status is zero
// if there was no complete response.
func (f *processFleet) send(method, url, body, idempotencyKey string) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	must.NoError(f.t, err)
	r.Header.Set("Authorization", "Bearer "+processKey)
	if idempotencyKey != "" {
		r.Header.Set("Idempotency-Key", idempotencyKey)
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, string(data)
}

// A clientCounts counts the requests of a client by outcome.
type clientCounts struct {
	holds, succeeded, unknown int
	// firstTry is the number of holds that succeeded on the first attempt, and
	// firstTryTime their total latency.
	firstTry                      int
	firstTryTime                  time.Duration
	streams, completed, truncated int
}

// runClient sends holds and streams to successive VMs until stop is closed. Each
// hold is retried with its idempotency key until it succeeds or the attempts are
// used up.
func (f *processFleet) runClient(client int, stop <-chan struct{}) clientCounts {
	var n clientCounts
	for i := 0; ; i++ {
		select {
		case <-stop:
			return n
		default:
		}
		f.hold(fmt.Sprintf("seat-%d-%d", client, i), client+i, &n)
		f.stream(client+i, &n)
	}
}

// hold requests a seat from one VM after the other.
func (f *processFleet) hold(seat string, first int, n *clientCounts) {
	n.holds++
	for try := range 20 {
		vm := f.vms[(first+try)%len(f.vms)]
		sent := time.Now()
		status, _ := f.send(http.MethodPost, vm.callers()+"/s/hold/holds", `{"seat":"`+seat+`"}`, seat)
		if status == http.StatusCreated {
			n.succeeded++
			if try == 0 {
				n.firstTry++
				n.firstTryTime += time.Since(sent)
			}
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	n.unknown++
}

// stream requests one stream. A stream that has started must end with its last
// event or an error event.
func (f *processFleet) stream(first int, n *clientCounts) {
	body := `{"model":"verdict","stream":true,"max_tokens":5,"messages":[{"role":"user","content":"` +
		strings.Repeat("house rule. ", 40) + `"}]}`
	n.streams++
	status, respBody := f.send(http.MethodPost, f.vms[first%len(f.vms)].callers()+"/v1/chat/completions", body, "")
	switch {
	case status != http.StatusOK:
	case strings.Contains(respBody, "data: [DONE]"):
		n.completed++
	case !strings.Contains(respBody, "event: error"):
		n.truncated++
	}
}

func (f *processFleet) signal(p *exec.Cmd, s syscall.Signal) {
	f.t.Helper()
	must.NoError(f.t, p.Process.Signal(s))
}

// A disruption is a fault or a shutdown that is applied to a fleet under traffic.
type disruption func(t *testing.T, f *processFleet)

// killAndRestart kills a VM and starts it again with the same ID.
func killAndRestart(t *testing.T, f *processFleet) {
	killed := f.vms[1]
	f.signal(killed.cmd, syscall.SIGKILL)
	_ = killed.cmd.Wait()
	f.serve(killed)
	f.awaitReady(killed)
}

// suspend suspends the process of a VM for two seconds.
func suspend(t *testing.T, f *processFleet) {
	f.signal(f.vms[2].cmd, syscall.SIGSTOP)
	time.Sleep(2 * time.Second)
	f.signal(f.vms[2].cmd, syscall.SIGCONT)
	time.Sleep(time.Second)
}

// stopGracefully sends SIGTERM to a VM, which must exit without an error.
func stopGracefully(t *testing.T, f *processFleet) {
	stopped := f.vms[0]
	f.signal(stopped.cmd, syscall.SIGTERM)
	must.NoError(t, stopped.cmd.Wait(), must.Sprint(stopped.log()))
}

// suspendPlatform suspends the platform process and meanwhile kills and restarts a
// VM. Streams must still succeed.
func suspendPlatform(t *testing.T, f *processFleet) {
	f.signal(f.platformCmd, syscall.SIGSTOP)
	time.Sleep(time.Second)
	killAndRestart(t, f)
	var n clientCounts
	f.await("a stream without the platform", func() bool {
		f.stream(0, &n)
		return n.completed > 0
	})
	f.signal(f.platformCmd, syscall.SIGCONT)
	time.Sleep(time.Second)
}

// TestProcesses runs fleets of processes under traffic while VMs and the platform
// are killed, suspended and stopped. It checks that no seat hold ran twice and that
// no stream ended without its last event or an error event.
func TestProcesses(t *testing.T) {
	scenarios := map[string][]disruption{
		"kill and suspend and graceful stop": {killAndRestart, suspend, stopGracefully},
		"suspended platform and kill":        {suspendPlatform, killAndRestart},
	}
	for name, disruptions := range scenarios {
		t.Run(name, func(t *testing.T) {
			f := newProcessFleet(t, 3)
			stop := make(chan struct{})
			counts := make([]clientCounts, 4)
			var clients sync.WaitGroup
			for i := range counts {
				clients.Go(func() { counts[i] = f.runClient(i, stop) })
			}
			time.Sleep(time.Second)
			for _, disrupt := range disruptions {
				disrupt(t, f)
			}
			close(stop)
			clients.Wait()
			f.mustKeepGuarantees(t, counts)
		})
	}
}

// mustKeepGuarantees checks the outcomes that the clients and the service recorded
// and the logs of the VMs.
func (f *processFleet) mustKeepGuarantees(t *testing.T, counts []clientCounts) {
	t.Helper()
	var sum clientCounts
	for _, n := range counts {
		sum.holds += n.holds
		sum.succeeded += n.succeeded
		sum.unknown += n.unknown
		sum.streams += n.streams
		sum.completed += n.completed
		sum.truncated += n.truncated
		sum.firstTry += n.firstTry
		sum.firstTryTime += n.firstTryTime
	}
	t.Logf("%+v, mean latency of a hold %v", sum, sum.firstTryTime/time.Duration(max(sum.firstTry, 1)))
	must.Positive(t, sum.succeeded)
	must.Positive(t, sum.completed)
	must.Eq(t, 0, sum.truncated)

	var report standInReport
	_, body := f.send(http.MethodGet, "http://"+f.service+"/standin", "", "")
	must.NoError(t, json.Unmarshal([]byte(body), &report))
	must.Eq(t, report.Held, report.Runs, must.Sprint("a seat hold ran twice"))
	must.LessEq(t, report.Held, sum.succeeded)
	for _, p := range f.vms {
		must.StrNotContains(t, p.log(), processKey)
		must.StrNotContains(t, p.log(), "invariant")
	}
}
