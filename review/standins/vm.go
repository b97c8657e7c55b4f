package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// A vm is one process of the system, started as the deploy file says.
type vm struct {
	name, dir                            string
	callers, ready, directory, ops, peer string
	command                              *exec.Cmd
	logFile                              *os.File
	ended                                chan struct{}
	// asker keeps a connection to the readiness port, as the platform's checks do.
	asker http.Client
}

// A fleet is the VMs of a deployment.
type fleet struct {
	binary string
	memory int
	// maxFds is the number of descriptors of each process, if it is not 0.
	maxFds int
	vms    []*vm
}

// newFleet writes the settings of n VMs. They are those that the deploy file's template
// gives for the bounds of the sites.
func newFleet(binary, dir string, store *platformStore, n, memoryMB int) *fleet {
	f := &fleet{binary: binary, memory: memoryMB}
	addresses := freeAddresses(5 * n)
	for i := range n {
		a := addresses[5*i:]
		f.vms = append(f.vms, &vm{
			name: fmt.Sprintf("front-z1-%d", i+1), dir: dir,
			callers: a[0], ready: a[1], directory: a[2], ops: a[3], peer: a[4],
		})
	}
	var seeds []string
	for _, v := range f.vms[:min(n, 3)] {
		seeds = append(seeds, fmt.Sprintf("%q", v.peer))
	}
	for _, v := range f.vms {
		text := fmt.Sprintf(`vm: %q
region: "r1"
datacentre: "z1"
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
  memory: %d
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
      slack: 58
      window: 10s
`, v.name, v.callers, v.ops, v.peer, store.address(), v.ready, v.directory, strings.Join(seeds, ","), memoryMB)
		check(os.WriteFile(v.settings(), []byte(text), 0o600))
	}
	return f
}

func (v *vm) settings() string { return filepath.Join(v.dir, v.name+".yaml") }

// start starts a VM.
func (f *fleet) start(v *vm) {
	log, err := os.OpenFile(filepath.Join(v.dir, v.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	check(err)
	v.command = exec.Command(f.binary, "serve", v.settings())
	if f.maxFds > 0 {
		v.command = exec.Command("sh", "-c", fmt.Sprintf(`ulimit -n %d; exec "$0" serve "$1"`, f.maxFds), f.binary, v.settings())
	}
	v.command.Env = append(os.Environ(), "BAOBABDYKE_SETTINGS="+v.settings())
	v.command.Stdout, v.command.Stderr = log, log
	v.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	check(v.command.Start())
	v.logFile, v.ended = log, make(chan struct{})
	go func(c *exec.Cmd, ended chan struct{}) {
		_ = c.Wait()
		_ = log.Close()
		close(ended)
	}(v.command, v.ended)
}

// startAll starts all VMs and waits until they are ready.
func (f *fleet) startAll() bool {
	for _, v := range f.vms {
		f.start(v)
	}
	deadline := time.Now().Add(15 * time.Second)
	for _, v := range f.vms {
		for !v.isReady() {
			if time.Now().After(deadline) {
				return false
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return true
}

// isReady asks a VM as the platform does.
func (v *vm) isReady() bool { return v.askReady() == http.StatusOK }

// askReady returns the status of the VM's answer, or 0 if there is none.
func (v *vm) askReady() int {
	v.asker.Timeout = time.Second
	resp, err := v.asker.Get("http://" + v.ready + "/ready")
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return resp.StatusCode
}

// kill ends the process of a VM with SIGKILL.
func (v *vm) kill() {
	if v.command != nil && v.command.Process != nil {
		_ = v.command.Process.Kill()
		<-v.ended
	}
}

// stopAll ends all VMs.
func (f *fleet) stopAll() {
	for _, v := range f.vms {
		v.kill()
	}
}

// residentMB returns the resident memory of a process, or 0 if it has ended.
func residentMB(pid int) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	_, rest, ok := bytes.Cut(data, []byte("VmRSS:"))
	if !ok {
		return 0
	}
	kb := 0
	_, _ = fmt.Sscan(string(rest), &kb)
	return kb / 1024
}
