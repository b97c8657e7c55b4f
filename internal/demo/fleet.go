package demo

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/go-kit/log"
	"github.com/rotisserie/eris"

	"github.com/baobabdyke/baobabdyke/config"
	"github.com/baobabdyke/baobabdyke/internal/fake"
	"github.com/baobabdyke/baobabdyke/store"
)

const (
	// readyTimeout bounds the time until the first configuration is applied, and the
	// time from then until all VMs are ready.
	readyTimeout = 8 * time.Second
	// pollInterval is the time between two polls of a VM's state.
	pollInterval = 20 * time.Millisecond
	// anyPort selects a free port of the loopback interface.
	anyPort = "127.0.0.1:0"
)

// dataCentres are the data centres that VMs are assigned to in turn.
var dataCentres = []string{"hakata", "hakata", "kokura"}

// demoVMs is the number of VMs of the demo.
const demoVMs = 3

// A fleet consists of the platform, the targets and the VMs of the demo.
type fleet struct {
	*standIns
	memory       *store.Memory
	storeAddress string
	vms          []*node
	client       *http.Client
	log          log.Logger
}

// startFleet starts the platform, the targets and n VMs, which run until ctx ends, and
// applies the first configuration.
func startFleet(ctx context.Context, n int, logger log.Logger) (*fleet, error) {
	targets, err := startStandIns(ctx)
	if err != nil {
		return nil, err
	}
	f := &fleet{standIns: targets, memory: store.NewMemory(), client: &http.Client{Transport: &http.Transport{}}, log: logger}
	f.storeAddress, err = fake.Serve(ctx, fake.NewObjectStore(f.memory))
	if err != nil {
		return nil, err
	}
	for i := range n {
		f.vms = append(f.vms, newNode(fmt.Sprintf("vm-%d", i+1), dataCentres[i%len(dataCentres)]))
	}
	for _, n := range f.vms {
		if err := f.start(ctx, n); err != nil {
			return nil, err
		}
	}
	f.publishVMs()
	return f, f.applyFirstConfig(ctx)
}

// publishVMs sets the platform's list of VMs.
func (f *fleet) publishVMs() {
	records := make([]store.VMRecord, len(f.vms))
	for i, n := range f.vms {
		records[i] = store.VMRecord{ID: n.id, Address: n.peers, DataCentre: n.dataCentre, State: store.VMLive}
	}
	f.memory.SetVMs(records)
}

// applyFirstConfig sends the first configuration to a VM until it is applied.
func (f *fleet) applyFirstConfig(ctx context.Context) error {
	patch, err := config.EncodePatch(config.FirstPatch(configuration(f.targets)))
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	var last string
	for {
		status, body, err := f.operator(ctx, f.vms[0], http.MethodPost, "/patch", string(patch))
		switch {
		case err != nil:
			return eris.Wrapf(err, "first configuration not applied, last answer %q", last)
		case status == http.StatusOK:
			return nil
		}
		last = fmt.Sprintf("%d: %s", status, strings.TrimSpace(body))
		if status != http.StatusServiceUnavailable {
			return eris.Errorf("first configuration answered %s", last)
		}
		store.Sleep(ctx, pollInterval)
	}
}

// callers returns the addresses of the callers' ports of all running VMs.
func (f *fleet) callers() []string {
	var list []string
	for _, n := range f.vms {
		if n.running() {
			list = append(list, n.callers)
		}
	}
	return list
}

// operator sends a request to the operators' port of a VM.
func (f *fleet) operator(ctx context.Context, n *node, method, path, body string) (status int, response string, err error) {
	r, err := http.NewRequestWithContext(ctx, method, "http://"+n.operators+path, strings.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	r.Header.Set("Authorization", "Bearer "+operatorToken)
	resp, err := f.client.Do(r)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(data), err
}

// await polls a path on the operators' port of every running VM until done accepts the
// response.
func (f *fleet) await(ctx context.Context, path string, timeout time.Duration, done func(status int, body string) bool) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for _, n := range f.vms {
		if !n.running() {
			continue
		}
		for {
			status, body, err := f.operator(ctx, n, http.MethodGet, path, "")
			if err == nil && done(status, body) {
				break
			}
			if ctx.Err() != nil {
				return eris.Errorf("%s: %s not as expected after %s: status %d: %s", n.id, path, timeout, status, strings.TrimSpace(body))
			}
			store.Sleep(ctx, pollInterval)
		}
	}
	return nil
}

// awaitReady waits until every running VM is ready.
func (f *fleet) awaitReady(ctx context.Context) error {
	return f.await(ctx, "/ready", readyTimeout, func(status int, _ string) bool { return status == http.StatusOK })
}

// awaitVersion waits until a configuration version is in force on every running VM.
func (f *fleet) awaitVersion(ctx context.Context, version int64) error {
	want := fmt.Sprintf(`"version": %d,`, version)
	return f.await(ctx, "/config", applyTimeout, func(_ int, body string) bool { return strings.Contains(body, want) })
}

// vmAt returns the VM whose callers' port has the given address.
func (f *fleet) vmAt(callers string) (*node, error) {
	for _, n := range f.vms {
		if n.callers == callers {
			return n, nil
		}
	}
	return nil, eris.Errorf("there is no VM at %s", callers)
}

// start starts a VM. After a stop, it listens on the same addresses as before.
func (f *fleet) start(ctx context.Context, n *node) error { return n.start(ctx, f.storeAddress, f.log) }

// drain drains a VM and waits until it has stopped.
func (f *fleet) drain(ctx context.Context, n *node) error {
	status, body, err := f.operator(ctx, n, http.MethodPost, "/drain", "")
	if err != nil {
		return err
	}
	if status/100 != 2 {
		return eris.Errorf("drain answered %d: %s", status, body)
	}
	return n.wait(ctx)
}
