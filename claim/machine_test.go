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

// TestMain runs the tests on one processor: the race detector of Go 1.26 does
// not survive timers of one synctest bubble that fire on two.
func TestMain(m *testing.M) {
	runtime.GOMAXPROCS(1)
	if err := seed.Rapid(); err != nil {
		panic(err)
	}
	_ = flag.Set("rapid.checks", "150")
	_ = flag.Set("rapid.steps", "40")
	os.Exit(m.Run())
}

// An oracle knows only the promise: a key runs once, and each repeat hears of
// that run.
type oracle struct {
	// owner is the ticket that may run a key, or has run it.
	owner map[string]string
	ran   map[string]bool
	// answers are the answers that were surely remembered.
	answers map[string]int
}

// hear judges the result of a Begin.
func (o *oracle) hear(key string, r Result) string {
	switch r := r.(type) {
	case Granted:
		if other, held := o.owner[key]; held {
			return fmt.Sprintf("key %s granted to %s while %s holds it (ran %v)", key, r.Ticket.ID, other, o.ran[key])
		}
		o.owner[key] = r.Ticket.ID
	case Repeated:
		if !o.ran[key] {
			return fmt.Sprintf("key %s repeated but never run", key)
		}
		if status, known := o.answers[key]; known && status != r.Response.Status {
			return fmt.Sprintf("key %s answered %d, then %d", key, status, r.Response.Status)
		}
		o.answers[key] = r.Response.Status
	case Pending, Unavailable, Mismatch:
	}
	return ""
}

// A machine drives VMs over one store with faults.
type machine struct {
	store   *store.Memory
	vms     []*node
	tickets []held
	oracle  oracle
	started int

	mu    sync.Mutex
	rand  *rand.Rand
	fault string
	dead  map[string]bool
}

// A node is one VM's process.
type node struct {
	id   string
	task *Task
	stop func()
}

// held is a ticket with the VM that holds it.
type held struct {
	vm     *node
	ticket Ticket
}

func newMachine(source uint64) *machine {
	m := &machine{
		store:  store.NewMemory(),
		oracle: oracle{owner: map[string]string{}, ran: map[string]bool{}, answers: map[string]int{}},
		rand:   rand.New(rand.NewPCG(source, 0)),
		dead:   map[string]bool{},
	}
	m.store.SetFault(m.faultOf)
	for range 3 {
		m.vms = append(m.vms, m.boot())
	}
	return m
}

func (m *machine) boot() *node {
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

// stop ends all VMs.
func (m *machine) stop() {
	for _, vm := range m.vms {
		vm.stop()
	}
}

// faultOf draws the fault of a call while the present kind of fault lasts.
func (m *machine) faultOf(c store.Call) store.Fault {
	m.mu.Lock()
	defer m.mu.Unlock()
	f := store.Fault{Delay: time.Duration(m.rand.IntN(10)) * time.Millisecond}
	if m.dead[c.From] {
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

func (m *machine) spoil(t *rapid.T) {
	kind := rapid.SampledFrom([]string{"none", "lossy", "lossy", "down", "slow"}).Draw(t, "fault")
	m.mu.Lock()
	defer m.mu.Unlock()
	m.fault = kind
}

// begin asks for one key on several VMs at once.
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
		if wrong := m.oracle.hear(key, r); wrong != "" {
			t.Fatal(wrong)
		}
		if g, ok := r.(Granted); ok {
			m.tickets = append(m.tickets, held{vm: m.vms[i%len(m.vms)], ticket: g.Ticket})
		}
	}
}

// take draws an open ticket and forgets it.
func (m *machine) take(t *rapid.T) held {
	if len(m.tickets) == 0 {
		t.Skip("no ticket")
	}
	i := rapid.IntRange(0, len(m.tickets)-1).Draw(t, "ticket")
	h := m.tickets[i]
	m.tickets = append(m.tickets[:i], m.tickets[i+1:]...)
	return h
}

func (m *machine) finish(t *rapid.T) {
	h := m.take(t)
	key := h.ticket.Request.Key
	m.oracle.ran[key] = true
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	status := 200 + m.started
	switch err := h.vm.task.Finish(ctx, h.ticket, Response{Status: status}); {
	case err == nil:
		m.oracle.answers[key] = status
	case errors.Is(err, errGone):
		t.Fatalf("claim of key %s lost", key)
	}
}

func (m *machine) abandon(t *rapid.T) {
	h := m.take(t)
	delete(m.oracle.owner, h.ticket.Request.Key)
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	_ = h.vm.task.Abandon(ctx, h.ticket)
}

// crash ends a VM between send and answer: its tickets may have run.
func (m *machine) crash(t *rapid.T) {
	i := rapid.IntRange(0, len(m.vms)-1).Draw(t, "vm")
	m.mu.Lock()
	m.dead[m.vms[i].id] = true
	m.mu.Unlock()
	m.vms[i].stop()
	m.vms[i] = m.boot()
}

func (m *machine) pass(t *rapid.T) {
	time.Sleep(time.Duration(rapid.IntRange(1, 60_000).Draw(t, "pass")) * time.Millisecond)
}

func TestMachine(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		virtual.Bubble(t, func() {
			m := newMachine(rapid.Uint64().Draw(r, "source"))
			defer m.stop()
			r.Repeat(map[string]func(*rapid.T){
				"begin": m.begin, "begin again": m.begin, "finish": m.finish, "abandon": m.abandon,
				"crash": m.crash, "spoil": m.spoil, "pass": m.pass,
			})
		})
	})
}

// TestPendingEnds shows that claims refused in bad times are free in good ones,
// unless a VM died with them.
func TestPendingEnds(t *testing.T) {
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
