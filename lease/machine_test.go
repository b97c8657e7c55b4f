package lease

import (
	"context"
	"flag"
	"fmt"
	"os"
	"runtime"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/baobabdyke/baobabdyke/internal/seed"
	"github.com/baobabdyke/baobabdyke/store"
)

// TestMain runs the tests on one processor: the race detector of Go 1.26 crashes
// when timers of one synctest bubble fire on two processors.
func TestMain(m *testing.M) {
	runtime.GOMAXPROCS(1)
	if err := seed.SetRapid(); err != nil {
		panic(err)
	}
	_ = flag.Set("rapid.checks", "400")
	_ = flag.Set("rapid.steps", "60")
	os.Exit(m.Run())
}

// manualClock is a Clock that is set by tests.
type manualClock struct{ now time.Time }

func (c *manualClock) Now() time.Time { return c.now }

// A response is the result of a call and the time at which it was started.
type response struct {
	result Result
	sentAt time.Time
}

// A machine is a state machine of candidates for one lease on a store with faults.
// A candidate that is not drawn for a while represents a paused VM.
type machine struct {
	clock      *manualClock
	store      *store.Memory
	candidates []*candidate
	// responses are the results that candidates have not handled yet.
	responses map[*candidate]response
	// holders is the process that acted under each term.
	holders map[int64]Holder
	highest int64
}

func newMachine() *machine {
	m := &machine{
		clock:     &manualClock{now: time.Unix(1e9, 0)},
		store:     store.NewMemory(),
		responses: map[*candidate]response{},
		holders:   map[int64]Holder{},
	}
	for i := range 3 {
		m.start(Holder{ID: fmt.Sprintf("vm-%d", i), Incarnation: 1})
	}
	return m
}

func (m *machine) start(h Holder) {
	o := &Options{Self: h, Store: m.store.For(h.ID), Clock: m.clock, Log: log.NewNopLogger(), TTL: 10 * time.Second}
	m.candidates = append(m.candidates, newCandidate("d", o, 1, nil))
}

// setFaults draws the faults and the delay of the next calls.
func (m *machine) setFaults(t *rapid.T) {
	kind := rapid.SampledFrom([]string{"none", "none", "answer", "request", "refuse", "stale"}).Draw(t, "fault")
	delay := time.Duration(rapid.IntRange(0, 1500).Draw(t, "delay")) * time.Millisecond
	calls := 0
	m.store.SetFault(func(store.Call) store.Fault {
		m.clock.now = m.clock.now.Add(delay)
		calls++
		if calls > rapid.IntRange(1, 4).Draw(t, "calls") {
			return store.Fault{}
		}
		switch kind {
		case "answer":
			return store.Fault{LoseResponse: true}
		case "request":
			return store.Fault{LoseRequest: true}
		case "refuse":
			return store.Fault{Refuse: true}
		case "stale":
			return store.Fault{Stale: int64(rapid.IntRange(1, 3).Draw(t, "stale"))}
		}
		return store.Fault{}
	})
}

func (m *machine) draw(t *rapid.T) (int, *candidate) {
	i := rapid.IntRange(0, len(m.candidates)-1).Draw(t, "vm")
	return i, m.candidates[i]
}

// call makes a call whose result the candidate handles at a later time.
func (m *machine) call(t *rapid.T) {
	_, c := m.draw(t)
	if _, pending := m.responses[c]; pending {
		m.handleResult(c)
	}
	m.setFaults(t)
	sentAt := m.clock.now
	m.responses[c] = response{result: c.renewOrAcquire(context.Background()), sentAt: sentAt}
}

func (m *machine) handleResult(c *candidate) {
	if resp, ok := m.responses[c]; ok {
		c.handleResult(resp.result, resp.sentAt)
		delete(m.responses, c)
	}
}

func (m *machine) handle(t *rapid.T) {
	_, c := m.draw(t)
	m.handleResult(c)
}

func (m *machine) try(t *rapid.T) {
	_, c := m.draw(t)
	m.handleResult(c)
	m.setFaults(t)
	c.try(context.Background())
}

func (m *machine) release(t *rapid.T) {
	_, c := m.draw(t)
	m.handleResult(c)
	m.setFaults(t)
	c.release(context.Background())
}

// restart replaces a VM's process by its next incarnation.
func (m *machine) restart(t *rapid.T) {
	i, c := m.draw(t)
	h := c.opts.Self
	h.Incarnation++
	m.start(h)
	m.candidates[i] = m.candidates[len(m.candidates)-1]
	m.candidates = m.candidates[:len(m.candidates)-1]
}

func (m *machine) advance(t *rapid.T) {
	d := time.Duration(rapid.IntRange(1, 12000).Draw(t, "pass")) * time.Millisecond
	m.clock.now = m.clock.now.Add(d)
}

// check checks the guarantees of a lease: at most one process may act at any time,
// a term never has two holders, and terms only increase.
func (m *machine) check(t *rapid.T) {
	acting := 0
	for _, c := range m.candidates {
		if c.tracker.Remaining(m.clock.now) <= 0 {
			continue
		}
		acting++
		term := c.tracker.Record.Lease.Term
		if h, ok := m.holders[term]; ok && h != c.opts.Self {
			t.Fatalf("term %d held by %v and %v", term, h, c.opts.Self)
		}
		m.holders[term] = c.opts.Self
		if term < m.highest {
			t.Fatalf("term %d acts after term %d", term, m.highest)
		}
		m.highest = term
	}
	if acting > 1 {
		t.Fatalf("%d processes act at the same time", acting)
	}
}

func TestMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine()
		t.Repeat(map[string]func(*rapid.T){
			"ask": m.call, "hear": m.handle, "try": m.try, "try again": m.try, "release": m.release,
			"restart": m.restart, "pass": m.advance, "": m.check,
		})
	})
}

func TestDecodeRefuses(t *testing.T) {
	for _, text := range []string{``, `[]`, `{"term":-1}`, `{"holder":"a"}`, `{"unknown":1}`, `{}{}`} {
		_, err := Decode([]byte(text))
		must.Error(t, err, must.Sprint(text))
	}
}
