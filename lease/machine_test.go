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

// TestMain runs the tests on one processor: the race detector of Go 1.26 does
// not survive timers of one synctest bubble that fire on two.
func TestMain(m *testing.M) {
	runtime.GOMAXPROCS(1)
	if err := seed.Rapid(); err != nil {
		panic(err)
	}
	_ = flag.Set("rapid.checks", "400")
	_ = flag.Set("rapid.steps", "60")
	os.Exit(m.Run())
}

// manualClock is a Clock that tests set.
type manualClock struct{ now time.Time }

func (c *manualClock) Now() time.Time { return c.now }

// An answer is the result of a call that was begun at a time.
type answer struct {
	result Result
	asked  time.Time
}

// A machine drives candidates of one duty over a store with faults. A candidate
// that is not drawn for a while is a paused VM.
type machine struct {
	clock      *manualClock
	store      *store.Memory
	candidates []*candidate
	// answers are the results that candidates got and have not noted yet.
	answers map[*candidate]answer
	// holders is the oracle: who acted under each term.
	holders map[int64]Holder
	highest int64
}

func newMachine() *machine {
	m := &machine{
		clock:   &manualClock{now: time.Unix(1e9, 0)},
		store:   store.NewMemory(),
		answers: map[*candidate]answer{},
		holders: map[int64]Holder{},
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

// spoil sets the faults of the coming calls. Each call takes some time before
// it is carried out.
func (m *machine) spoil(t *rapid.T) {
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

// ask makes a call, whose answer the candidate notes at any time later.
func (m *machine) ask(t *rapid.T) {
	_, c := m.draw(t)
	if _, waits := m.answers[c]; waits {
		m.note(c)
	}
	m.spoil(t)
	asked := m.clock.now
	m.answers[c] = answer{result: c.ask(context.Background()), asked: asked}
}

func (m *machine) note(c *candidate) {
	if a, ok := m.answers[c]; ok {
		c.note(a.result, a.asked)
		delete(m.answers, c)
	}
}

func (m *machine) hear(t *rapid.T) {
	_, c := m.draw(t)
	m.note(c)
}

func (m *machine) try(t *rapid.T) {
	_, c := m.draw(t)
	m.note(c)
	m.spoil(t)
	c.try(context.Background())
}

func (m *machine) release(t *rapid.T) {
	_, c := m.draw(t)
	m.note(c)
	m.spoil(t)
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

func (m *machine) pass(t *rapid.T) {
	d := time.Duration(rapid.IntRange(1, 12000).Draw(t, "pass")) * time.Millisecond
	m.clock.now = m.clock.now.Add(d)
}

// check is the oracle: one process at most may act at any instant, a term has
// one holder for good, and terms grow.
func (m *machine) check(t *rapid.T) {
	acting := 0
	for _, c := range m.candidates {
		if c.watch.Remaining(m.clock.now) <= 0 {
			continue
		}
		acting++
		term := c.watch.Record.Lease.Term
		if h, ok := m.holders[term]; ok && h != c.opts.Self {
			t.Fatalf("term %d of %v and %v", term, h, c.opts.Self)
		}
		m.holders[term] = c.opts.Self
		if term < m.highest {
			t.Fatalf("term %d acts after term %d", term, m.highest)
		}
		m.highest = term
	}
	if acting > 1 {
		t.Fatalf("%d processes act at once", acting)
	}
}

func TestMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine()
		t.Repeat(map[string]func(*rapid.T){
			"ask": m.ask, "hear": m.hear, "try": m.try, "try again": m.try, "release": m.release,
			"restart": m.restart, "pass": m.pass, "": m.check,
		})
	})
}

func TestDecodeRefuses(t *testing.T) {
	for _, text := range []string{``, `[]`, `{"term":-1}`, `{"holder":"a"}`, `{"unknown":1}`, `{}{}`} {
		_, err := Decode([]byte(text))
		must.Error(t, err, must.Sprint(text))
	}
}
