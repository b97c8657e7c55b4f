package demo

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/baobabdyke/baobabdyke/store"
)

const (
	// forceLimit bounds the time until a change of the configuration is in force
	// on every VM.
	forceLimit = 5 * time.Second
	// warmRequests is the number of requests sent to a restarted VM.
	warmRequests = 12
	// warmShare is the least share of prompt tokens that a warm VM finds cached,
	// in %.
	warmShare = 80
)

// A show is the state of one demo.
type show struct {
	fleet   *fleet
	hakata  traffic
	saldo   traffic
	clerk   *caller
	trader  *caller
	holds   *caller
	sent    int
	version int64
}

func newShow(f *fleet) *show {
	return &show{
		fleet:   f,
		hakata:  newTraffic("house rules", 24_000, 6, 4_000),
		saldo:   newTraffic("catalogue brief", 32_000, 6, 8_000),
		clerk:   newCaller(f.callers(), hakataKey, "seat-verdict"),
		trader:  newCaller(f.callers(), saldoKey, "condition-verdict"),
		holds:   newCaller(f.callers(), hakataKey, "seat-hold"),
		version: 1,
	}
}

func (s *show) steps() []step {
	return []step{
		{"three VMs are ready", s.ready},
		{"a caller asks which VM to use", s.askEntry},
		{"clerks stream seat verdicts", s.streamHakata},
		{"the trader streams condition verdicts", s.streamSaldo},
		{"a seat hold is repeated on another VM", s.repeatHold},
		{"a lost answer of a seat hold stays unknown", s.loseHold},
		{"wrong keys and routes are refused", s.refuseStrangers},
		{"streams break and are resumed", s.breakStreams},
		{"an engine crashes under traffic", s.crashEngine},
		{"a rate is lowered", s.lowerRate},
		{"a patch against an old version is refused", s.conflict},
		{"a key is withdrawn", s.withdrawKey},
		{"a VM is restarted under traffic", s.restartVM},
		{"a VM is drained under traffic", s.drainVM},
		{"what the targets saw", s.inspect},
	}
}

func (s *show) ready(ctx context.Context) (string, error) {
	start := time.Now()
	err := s.fleet.awaitReady(ctx)
	return fmt.Sprintf("%d VMs, %d engines, %d services after %s", len(s.fleet.vms), len(s.fleet.engines),
		len(s.fleet.services), time.Since(start).Round(time.Millisecond)), err
}

// askEntry waits until all VMs of a data centre name the same first VM, which
// they do as soon as they know each other.
func (s *show) askEntry(ctx context.Context) (string, error) {
	start := time.Now()
	for {
		ttl, err := s.agree(ctx)
		if err == nil {
			return fmt.Sprintf("the VMs of a data centre name the same one first after %s, to be kept for %d s",
				time.Since(start).Round(time.Millisecond), ttl), nil
		}
		if time.Since(start) > forceLimit || ctx.Err() != nil {
			return "", err
		}
		store.Sleep(ctx, pollInterval)
	}
}

// agree asks every VM which VM to use, and returns an error if those of one data
// centre differ.
func (s *show) agree(ctx context.Context) (ttl int, err error) {
	firsts := map[string]string{}
	for _, n := range s.fleet.vms {
		a, err := s.clerk.entry(ctx, n.callers)
		if err != nil {
			return 0, err
		}
		if len(a.VMs) == 0 || a.TTL <= 0 {
			return 0, fmt.Errorf("%s names no VM or no time to live: %+v", n.id, a)
		}
		first, asked := firsts[n.dataCentre]
		if asked && first != a.VMs[0].Address {
			return 0, fmt.Errorf("VMs in %s name %s and %s first", n.dataCentre, first, a.VMs[0].Address)
		}
		firsts[n.dataCentre], ttl = a.VMs[0].Address, a.TTL
	}
	return ttl, nil
}

func (s *show) streamHakata(ctx context.Context) (string, error) {
	return s.streamWarm(ctx, s.hakata, s.clerk)
}

func (s *show) streamSaldo(ctx context.Context) (string, error) {
	return s.streamWarm(ctx, s.saldo, s.trader)
}

// streamWarm sends requests with shared prefixes and reports which part of the
// prompts the engines took from their caches.
func (s *show) streamWarm(ctx context.Context, w traffic, c *caller) (string, error) {
	before := s.fleet.usage()
	t := w.sendAll(ctx, c, s.sent, 40, 4)
	s.sent += 40
	after := s.fleet.usage()
	prompt, computed := after.PromptTokens-before.PromptTokens, after.ComputedTokens-before.ComputedTokens
	return fmt.Sprintf("%s, %.0f%% of prompt tokens from caches", t, 100-100*float64(computed)/float64(max(prompt, 1))), t.allWhole()
}

// repeatHold sends one hold with the same idempotency key to two VMs.
func (s *show) repeatHold(ctx context.Context) (string, error) {
	vms := s.fleet.callers()
	first := s.holds.hold(ctx, vms[0], "A1", "hold-A1")
	if first.status != http.StatusCreated {
		return "", fmt.Errorf("first hold: %s", first)
	}
	second := s.holds.hold(ctx, vms[1], "A1", "hold-A1")
	switch {
	case second.status != first.status || second.body != first.body:
		return "", fmt.Errorf("repeat got another answer: %s: %s", second, second.body)
	case s.fleet.runs() != 1:
		return "", fmt.Errorf("ran %d times", s.fleet.runs())
	}
	other := s.holds.hold(ctx, vms[2], "A2", "hold-A1")
	if other.status < http.StatusBadRequest || s.fleet.runs() != 1 {
		return "", fmt.Errorf("another body under the same key: %s", other)
	}
	return fmt.Sprintf("same answer from both, ran once; another body under the key got %d", other.status), nil
}

// loseHold checks that a hold whose answer was lost is never run again.
func (s *show) loseHold(ctx context.Context) (string, error) {
	before := s.fleet.runs()
	for _, service := range s.fleet.services {
		service.DropResponses(1)
	}
	vms := s.fleet.callers()
	first := s.holds.hold(ctx, vms[0], "B1", "hold-B1")
	for _, service := range s.fleet.services {
		service.DropResponses(0)
	}
	second := s.holds.hold(ctx, vms[1], "B1", "hold-B1")
	switch {
	case first.outcome != "unknown" || second.outcome != "unknown":
		return "", fmt.Errorf("want outcome unknown twice: %s; %s", first, second)
	case s.fleet.runs()-before != 1:
		return "", fmt.Errorf("ran %d times", s.fleet.runs()-before)
	}
	return fmt.Sprintf("outcome unknown, then %d with outcome unknown for the repeat; ran once", second.status), nil
}

// refuseStrangers checks the status codes of requests that must not run.
func (s *show) refuseStrangers(ctx context.Context) (string, error) {
	before := s.fleet.engineRuns()
	vm := s.fleet.callers()[0]
	for _, c := range []struct {
		key, route string
		status     int
	}{
		{"", "seat-verdict", http.StatusUnauthorized},
		{"no such key", "seat-verdict", http.StatusUnauthorized},
		{saldoKey, "seat-verdict", http.StatusForbidden},
		{hakataKey, "no-such-route", http.StatusNotFound},
	} {
		a := newCaller(nil, c.key, c.route).chatAt(ctx, vm, "", "who am I", answerTokens)
		if a.status != c.status || a.outcome != "not-run" {
			return "", fmt.Errorf("route %s: want %d and not-run: %s", c.route, c.status, a)
		}
	}
	if n := s.fleet.engineRuns() - before; n != 0 {
		return "", fmt.Errorf("%d of them ran", n)
	}
	return "401, 401, 403 and 404, all not run", nil
}
