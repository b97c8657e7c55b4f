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

// processVariable makes the test binary run the program instead of the tests.
const processVariable = "BAOBABDYKE_TEST_PROCESS"

const processKey = "sample-key-of-the-process-test"

func TestMain(m *testing.M) {
	if os.Getenv(processVariable) != "" {
		os.Exit(Main(os.Args[1:], os.Stdout, os.Stderr))
	}
	os.Exit(m.Run())
}

// A processFleet is a whole fleet in processes of its own, each with its own
// loopback address.
type processFleet struct {
	t        *testing.T
	dir      string
	platform string
	engines  []string
	service  string
	store    *exec.Cmd
	vms      []*vmProcess
}

// A vmProcess is one VM's process with its address.
type vmProcess struct {
	id       string
	ip       string
	settings string
	cmd      *exec.Cmd
	logFile  string
}

// log returns what the VM's processes have written.
func (p *vmProcess) log() string {
	data, _ := os.ReadFile(p.logFile)
	return string(data)
}

func (p *vmProcess) callers() string { return "http://" + p.ip + ":8443" }

func (p *vmProcess) operators() string { return p.ip + ":8444" }

// loopback returns the n-th loopback address of this test process.
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
	f.store = f.start(standIns, args...)
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

// start starts the program as a process that ends with the test and writes to
// a file.
func (f *processFleet) start(logFile string, args ...string) *exec.Cmd {
	f.t.Helper()
	out, err := os.OpenFile(logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	must.NoError(f.t, err)
	defer out.Close()
	cmd := exec.CommandContext(context.Background(), os.Args[0], args...)
	cmd.Env = append(os.Environ(), processVariable+"=1")
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

// configure gives the fleet its configuration by the patch subcommand.
func (f *processFleet) configure() {
	f.t.Helper()
	patch := f.write("patch.yaml", fake.SmallFleetPatch(processKey, [2]string{f.engines[0], f.engines[1]}, f.service))
	f.await("the first patch", func() bool {
		var out bytes.Buffer
		args := []string{"patch", patch, "--operator", f.vms[0].operators(), "--token-file", filepath.Join(f.dir, "token")}
		return Main(args, &out, &out) == ExitOK
	})
}

// await polls until the condition holds.
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
	f.t.Fatalf("%s did not come about", what)
}

func (f *processFleet) awaitReady(p *vmProcess) {
	f.t.Helper()
	f.await(p.id+" ready", func() bool {
		status, _ := f.send(http.MethodGet, "http://"+p.operators()+"/ready", "", "")
		return status == http.StatusOK
	})
}

// send sends one request and returns the status, zero if there was no whole
// answer, and the body.
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

// A tally counts how the requests of a client ended.
type tally struct {
	holds, answered, unknown int
	// prompt is the number of holds answered at the first try, took their time.
	prompt                 int
	took                   time.Duration
	streams, whole, silent int
}

// drive sends holds and streams to the VMs in turn until stop closes. Each hold
// is sent again under its key until its outcome is known or unknown.
func (f *processFleet) drive(client int, stop <-chan struct{}) tally {
	var n tally
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

// hold asks for one seat on one VM after the other.
func (f *processFleet) hold(seat string, first int, n *tally) {
	n.holds++
	for try := range 20 {
		vm := f.vms[(first+try)%len(f.vms)]
		sent := time.Now()
		status, _ := f.send(http.MethodPost, vm.callers()+"/s/hold/holds", `{"seat":"`+seat+`"}`, seat)
		if status == http.StatusCreated {
			n.answered++
			if try == 0 {
				n.prompt++
				n.took += time.Since(sent)
			}
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	n.unknown++
}

// stream asks for one stream. An answer that began must end with its last event
// or an explicit error.
func (f *processFleet) stream(first int, n *tally) {
	body := `{"model":"verdict","stream":true,"max_tokens":5,"messages":[{"role":"user","content":"` +
		strings.Repeat("house rule. ", 40) + `"}]}`
	n.streams++
	status, answer := f.send(http.MethodPost, f.vms[first%len(f.vms)].callers()+"/v1/chat/completions", body, "")
	switch {
	case status != http.StatusOK:
	case strings.Contains(answer, "data: [DONE]"):
		n.whole++
	case !strings.Contains(answer, "event: error"):
		n.silent++
	}
}

func (f *processFleet) signal(p *exec.Cmd, s syscall.Signal) {
	f.t.Helper()
	must.NoError(f.t, p.Process.Signal(s))
}

// An ordeal is what happens to a fleet under traffic.
type ordeal func(t *testing.T, f *processFleet)

// killAndRestart kills a VM and starts it again under the same id.
func killAndRestart(t *testing.T, f *processFleet) {
	killed := f.vms[1]
	f.signal(killed.cmd, syscall.SIGKILL)
	_ = killed.cmd.Wait()
	f.serve(killed)
	f.awaitReady(killed)
}

// freeze stops a VM's process for some seconds and lets it go on.
func freeze(t *testing.T, f *processFleet) {
	f.signal(f.vms[2].cmd, syscall.SIGSTOP)
	time.Sleep(2 * time.Second)
	f.signal(f.vms[2].cmd, syscall.SIGCONT)
	time.Sleep(time.Second)
}

// stopAsPlanned ends a VM by its signal; it must end by itself without error.
func stopAsPlanned(t *testing.T, f *processFleet) {
	stopped := f.vms[0]
	f.signal(stopped.cmd, syscall.SIGTERM)
	must.NoError(t, stopped.cmd.Wait(), must.Sprint(stopped.log()))
}

// freezePlatform stops the platform's process and kills a VM meanwhile. Streams
// must go on.
func freezePlatform(t *testing.T, f *processFleet) {
	f.signal(f.store, syscall.SIGSTOP)
	time.Sleep(time.Second)
	killAndRestart(t, f)
	var n tally
	f.await("a stream without the platform", func() bool {
		f.stream(0, &n)
		return n.whole > 0
	})
	f.signal(f.store, syscall.SIGCONT)
	time.Sleep(time.Second)
}

// TestProcesses runs fleets of processes under traffic while VMs and the
// platform are killed, frozen and stopped, and checks that no seat hold ran
// twice and no stream ended in silence.
func TestProcesses(t *testing.T) {
	ordeals := map[string][]ordeal{
		"kill and freeze and planned stop": {killAndRestart, freeze, stopAsPlanned},
		"frozen platform and kill":         {freezePlatform, killAndRestart},
	}
	for name, list := range ordeals {
		t.Run(name, func(t *testing.T) {
			f := newProcessFleet(t, 3)
			stop := make(chan struct{})
			tallies := make([]tally, 4)
			var clients sync.WaitGroup
			for i := range tallies {
				clients.Go(func() { tallies[i] = f.drive(i, stop) })
			}
			time.Sleep(time.Second)
			for _, happen := range list {
				happen(t, f)
			}
			close(stop)
			clients.Wait()
			f.mustHold(t, tallies)
		})
	}
}

// mustHold checks what clients and the service saw.
func (f *processFleet) mustHold(t *testing.T, tallies []tally) {
	t.Helper()
	var sum tally
	for _, n := range tallies {
		sum.holds += n.holds
		sum.answered += n.answered
		sum.unknown += n.unknown
		sum.streams += n.streams
		sum.whole += n.whole
		sum.silent += n.silent
		sum.prompt += n.prompt
		sum.took += n.took
	}
	t.Logf("%+v, mean time of a hold %v", sum, sum.took/time.Duration(max(sum.prompt, 1)))
	must.Positive(t, sum.answered)
	must.Positive(t, sum.whole)
	must.Eq(t, 0, sum.silent)

	var report standInReport
	_, body := f.send(http.MethodGet, "http://"+f.service+"/standin", "", "")
	must.NoError(t, json.Unmarshal([]byte(body), &report))
	must.Eq(t, report.Held, report.Runs, must.Sprint("a seat hold ran twice"))
	must.LessEq(t, report.Held, sum.answered)
	for _, p := range f.vms {
		must.StrNotContains(t, p.log(), processKey)
		must.StrNotContains(t, p.log(), "invariant")
	}
}
