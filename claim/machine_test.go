package claim

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"runtime"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/baobabdyke/baobabdyke/internal/seed"
	"github.com/baobabdyke/baobabdyke/internal/virtual"
	"github.com/baobabdyke/baobabdyke/store"
)

// TestMain runs the tests on one processor: the race detector of Go 1.26 crashes
// when timers of one synctest bubble fire on two processors.
func TestMain(m *testing.M) {
	runtime.GOMAXPROCS(1)
	if err := seed.SetRapid(); err != nil {
		panic(err)
	}
	_ = flag.Set("rapid.checks", "150")
	_ = flag.Set("rapid.steps", "40")
	os.Exit(m.Run())
}

// An oracle checks results against the guarantee of the package: a request runs
// once per key, and every repeat returns the response of that run.
type oracle struct {
	// owner is the id of the ticket that may run, or has run, the request of a key.
	owner map[string]string
	ran   map[string]bool
	// statuses are the statuses of the responses known to be stored.
	statuses map[string]int
}

// check checks the result of a Begin and returns what is wrong with it, if anything.
func (o *oracle) check(key string, r Result) string {
	switch r := r.(type) {
	case Granted:
		if other, held := o.owner[key]; held {
			return fmt.Sprintf("key %s granted to %s while %s holds it (ran %v)", key, r.Ticket.ID, other, o.ran[key])
		}
		o.owner[key] = r.Ticket.ID
	case Repeated:
		if !o.ran[key] {
			return fmt.Sprintf("key %s repeated but not run before", key)
		}
		if status, ok := o.statuses[key]; ok && status != r.Response.Status {
			return fmt.Sprintf("key %s has status %d, then %d", key, status, r.Response.Status)
		}
		o.statuses[key] = r.Response.Status
	case Pending, Unavailable, Mismatch:
	}
	return ""
}

// A machine is a state machine of VMs that share one store with faults.
type machine struct {
	store   *store.Memory
	vms     []*node
	tickets []heldTicket
	oracle  oracle
	started int

	mu      sync.Mutex
	rand    *rand.Rand
	fault   string
	crashed map[string]bool
}

// A node is the process of one VM.
type node struct {
	id   string
	task *Task
	stop func()
}

// A heldTicket is an open ticket and the VM that holds it.
type heldTicket struct {
	vm     *node
	ticket Ticket
}

func newMachine(randSeed uint64) *machine {
	m := &machine{
		store:   store.NewMemory(),
		oracle:  oracle{owner: map[string]string{}, ran: map[string]bool{}, statuses: map[string]int{}},
		rand:    rand.New(rand.NewPCG(randSeed, 0)),
		crashed: map[string]bool{},
	}
	m.store.SetFault(m.drawFault)
	for range 3 {
		m.vms = append(m.vms, m.startVM())
	}
	return m
}

func (m *machine) startVM() *node {
	m.started++
	id := fmt.Sprintf("vm-%d", m.started)
	task := NewTask(Options{Self: id, Store: m.store.For(id), Clock: store.SystemClock{}, Seed: 1})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = task.Run(ctx)
	}()
	return &node{id: id, task: task, stop: func() { cancel(); <-done }}
}

// stop stops all VMs.
func (m *machine) stop() {
	for _, vm := range m.vms {
		vm.stop()
	}
}

// drawFault draws the fault of a call according to the current kind of fault.
func (m *machine) drawFault(c store.Call) store.Fault {
	m.mu.Lock()
	defer m.mu.Unlock()
	f := store.Fault{Delay: time.Duration(m.rand.IntN(10)) * time.Millisecond}
	if m.crashed[c.From] {
		return store.Fault{Refuse: true}
	}
	switch m.fault {
	case "down":
		f.Refuse = true
	case "slow":
		f.Delay = 2 * time.Second
	case "lossy":
		f.LoseResponse = m.rand.IntN(2) == 0
		f.LoseRequest = m.rand.IntN(4) == 0
		f.Stale = int64(m.rand.IntN(3))
		if c.Kind == store.KindPut && m.rand.IntN(4) == 0 {
			f.LateWrite = time.Duration(m.rand.IntN(500)) * time.Millisecond
		}
	}
	return f
}

// setFault draws the kind of fault that applies from now on.
func (m *machine) setFault(t *rapid.T) {
	kind := rapid.SampledFrom([]string{"none", "lossy", "lossy", "down", "slow"}).Draw(t, "fault")
	m.mu.Lock()
	defer m.mu.Unlock()
	m.fault = kind
}

// begin claims one key on several VMs concurrently.
func (m *machine) begin(t *rapid.T) {
	key := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "key")
	tries := rapid.IntRange(1, 4).Draw(t, "tries")
	results := make([]Result, tries)
	var waiting sync.WaitGroup
	for i := range tries {
		waiting.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
			defer cancel()
			results[i] = m.vms[i%len(m.vms)].task.Begin(ctx, Request{Key: key})
		})
	}
	waiting.Wait()
	for i, r := range results {
		if problem := m.oracle.check(key, r); problem != "" {
			t.Fatal(problem)
		}
		if g, ok := r.(Granted); ok {
			m.tickets = append(m.tickets, heldTicket{vm: m.vms[i%len(m.vms)], ticket: g.Ticket})
		}
	}
}

// takeTicket draws an open ticket and removes it from the open ones.
func (m *machine) takeTicket(t *rapid.T) heldTicket {
	if len(m.tickets) == 0 {
		t.Skip("no ticket")
	}
	i := rapid.IntRange(0, len(m.tickets)-1).Draw(t, "ticket")
	h := m.tickets[i]
	m.tickets = append(m.tickets[:i], m.tickets[i+1:]...)
	return h
}

func (m *machine) finish(t *rapid.T) {
	h := m.takeTicket(t)
	key := h.ticket.Request.Key
	m.oracle.ran[key] = true
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	status := 200 + m.started
	switch err := h.vm.task.Finish(ctx, h.ticket, Response{Status: status}); {
	case err == nil:
		m.oracle.statuses[key] = status
	case errors.Is(err, errNotFound):
		t.Fatalf("claim of key %s lost", key)
	}
}

func (m *machine) abandon(t *rapid.T) {
	h := m.takeTicket(t)
	delete(m.oracle.owner, h.ticket.Request.Key)
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	_ = h.vm.task.Abandon(ctx, h.ticket)
}

// crash replaces a VM while its tickets are open: their requests may have run.
func (m *machine) crash(t *rapid.T) {
	i := rapid.IntRange(0, len(m.vms)-1).Draw(t, "vm")
	m.mu.Lock()
	m.crashed[m.vms[i].id] = true
	m.mu.Unlock()
	m.vms[i].stop()
	m.vms[i] = m.startVM()
}

// advance advances the virtual time.
func (m *machine) advance(t *rapid.T) {
	time.Sleep(time.Duration(rapid.IntRange(1, 60_000).Draw(t, "pass")) * time.Millisecond)
}

func TestMachine(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		virtual.Bubble(t, func() {
			m := newMachine(rapid.Uint64().Draw(r, "source"))
			defer m.stop()
			r.Repeat(map[string]func(*rapid.T){
				"begin": m.begin, "begin again": m.begin, "finish": m.finish, "abandon": m.abandon,
				"crash": m.crash, "spoil": m.setFault, "pass": m.advance,
			})
		})
	})
}

// TestRefusedClaimsAreReleased checks that keys whose claims were refused during
// store faults can be claimed once the faults are over. This does not hold for a VM
// that crashes before it has abandoned such claims.
func TestRefusedClaimsAreReleased(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMachine(seed.Value())
		t.Cleanup(m.stop)
		m.fault = "lossy"
		var refused []string
		for i := range 40 {
			key := fmt.Sprint(i)
			if _, ok := m.vms[0].task.Begin(t.Context(), Request{Key: key}).(Unavailable); ok {
				refused = append(refused, key)
			}
		}
		must.Positive(t, len(refused))
		m.mu.Lock()
		m.fault = ""
		m.mu.Unlock()
		time.Sleep(time.Minute)
		for _, key := range refused {
			mustGrant(t, m.vms[1].task, Request{Key: key})
		}
	})
}
