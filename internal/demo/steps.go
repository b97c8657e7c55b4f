package demo

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/baobabdyke/baobabdyke/store"
)

const (
	// applyTimeout bounds the time until a configuration change is in force on every
	// VM.
	applyTimeout = 5 * time.Second
	// hitRateRequests is the number of requests sent to a restarted VM.
	hitRateRequests = 12
	// minHitRate is the lowest percentage of cached prompt tokens that is accepted
	// after a restart.
	minHitRate = 80
)

// A scenario is the state of one run of the demo.
type scenario struct {
	fleet            *fleet
	seatPrompts      promptSet
	conditionPrompts promptSet
	clerk            *caller
	trader           *caller
	holdCaller       *caller
	sent             int
	version          int64
}

func newScenario(f *fleet) *scenario {
	return &scenario{
		fleet:            f,
		seatPrompts:      newPromptSet("house rules", 24_000, 6, 4_000),
		conditionPrompts: newPromptSet("catalogue brief", 32_000, 6, 8_000),
		clerk:            newCaller(f.callers(), hakataKey, "seat-verdict"),
		trader:           newCaller(f.callers(), saldoKey, "condition-verdict"),
		holdCaller:       newCaller(f.callers(), hakataKey, "seat-hold"),
		version:          1,
	}
}

func (s *scenario) steps() []step {
	return []step{
		{"three VMs are ready", s.ready},
		{"a caller asks which VM to use", s.askEntry},
		{"clerks stream seat verdicts", s.streamSeatVerdicts},
		{"the trader streams condition verdicts", s.streamConditionVerdicts},
		{"a seat hold is repeated on another VM", s.repeatHold},
		{"a lost response to a seat hold stays unknown", s.loseHoldResponse},
		{"wrong keys and routes are refused", s.refuseUnauthorized},
		{"streams break and are resumed", s.interruptStreams},
		{"an engine crashes under traffic", s.crashEngine},
		{"a rate is lowered", s.lowerRate},
		{"a patch against an old version is refused", s.refuseConflict},
		{"a key is withdrawn", s.withdrawKey},
		{"a VM is restarted under traffic", s.restartVM},
		{"a VM is drained under traffic", s.drainVM},
		{"the requests at the targets are checked", s.checkTargets},
	}
}

func (s *scenario) ready(ctx context.Context) (string, error) {
	start := time.Now()
	err := s.fleet.awaitReady(ctx)
	return fmt.Sprintf("%d VMs, %d engines, %d services after %s", len(s.fleet.vms), len(s.fleet.engines),
		len(s.fleet.services), time.Since(start).Round(time.Millisecond)), err
}

// askEntry waits until all VMs of a data centre return the same first VM, which they
// do once they know each other.
func (s *scenario) askEntry(ctx context.Context) (string, error) {
	start := time.Now()
	for {
		ttl, err := s.checkFirstVMs(ctx)
		if err == nil {
			return fmt.Sprintf("the VMs of a data centre return the same first VM after %s, TTL %d s",
				time.Since(start).Round(time.Millisecond), ttl), nil
		}
		if time.Since(start) > applyTimeout || ctx.Err() != nil {
			return "", err
		}
		store.Sleep(ctx, pollInterval)
	}
}

// checkFirstVMs asks every VM for the list of VMs to use. It returns an error if two
// VMs of one data centre return different first VMs.
func (s *scenario) checkFirstVMs(ctx context.Context) (ttl int, err error) {
	firsts := map[string]string{}
	for _, n := range s.fleet.vms {
		list, err := s.clerk.entry(ctx, n.callers)
		if err != nil {
			return 0, err
		}
		if len(list.VMs) == 0 || list.TTL <= 0 {
			return 0, fmt.Errorf("%s returned no VM or no TTL: %+v", n.id, list)
		}
		first, asked := firsts[n.dataCentre]
		if asked && first != list.VMs[0].Address {
			return 0, fmt.Errorf("VMs in %s return different first VMs: %s and %s", n.dataCentre, first, list.VMs[0].Address)
		}
		firsts[n.dataCentre], ttl = list.VMs[0].Address, list.TTL
	}
	return ttl, nil
}

func (s *scenario) streamSeatVerdicts(ctx context.Context) (string, error) {
	return s.stream(ctx, s.seatPrompts, s.clerk)
}

func (s *scenario) streamConditionVerdicts(ctx context.Context) (string, error) {
	return s.stream(ctx, s.conditionPrompts, s.trader)
}

// stream sends requests that share prefixes and reports the percentage of prompt
// tokens that engines had cached.
func (s *scenario) stream(ctx context.Context, p promptSet, c *caller) (string, error) {
	before := s.fleet.usage()
	counts := p.sendAll(ctx, c, s.sent, 40, 4)
	s.sent += 40
	after := s.fleet.usage()
	prompt, computed := after.PromptTokens-before.PromptTokens, after.ComputedTokens-before.ComputedTokens
	return fmt.Sprintf("%s, %.0f%% of prompt tokens cached", counts, 100-100*float64(computed)/float64(max(prompt, 1))), counts.allCompleted()
}

// repeatHold sends a hold with the same idempotency key to two VMs.
func (s *scenario) repeatHold(ctx context.Context) (string, error) {
	vms := s.fleet.callers()
	first := s.holdCaller.hold(ctx, vms[0], "A1", "hold-A1")
	if first.status != http.StatusCreated {
		return "", fmt.Errorf("first hold: %s", first)
	}
	second := s.holdCaller.hold(ctx, vms[1], "A1", "hold-A1")
	switch {
	case second.status != first.status || second.body != first.body:
		return "", fmt.Errorf("repeat got a different response: %s: %s", second, second.body)
	case s.fleet.serviceRuns() != 1:
		return "", fmt.Errorf("the hold ran %d times", s.fleet.serviceRuns())
	}
	other := s.holdCaller.hold(ctx, vms[2], "A2", "hold-A1")
	if other.status < http.StatusBadRequest || s.fleet.serviceRuns() != 1 {
		return "", fmt.Errorf("different body with the same idempotency key: %s", other)
	}
	return fmt.Sprintf("same response from both VMs, ran once; a different body with the key got %d", other.status), nil
}

// loseHoldResponse checks that a hold whose response is lost is not run again.
func (s *scenario) loseHoldResponse(ctx context.Context) (string, error) {
	before := s.fleet.serviceRuns()
	for _, service := range s.fleet.services {
		service.DropResponses(1)
	}
	vms := s.fleet.callers()
	first := s.holdCaller.hold(ctx, vms[0], "B1", "hold-B1")
	for _, service := range s.fleet.services {
		service.DropResponses(0)
	}
	second := s.holdCaller.hold(ctx, vms[1], "B1", "hold-B1")
	switch {
	case first.outcome != "unknown" || second.outcome != "unknown":
		return "", fmt.Errorf("want outcome unknown for both: %s; %s", first, second)
	case s.fleet.serviceRuns()-before != 1:
		return "", fmt.Errorf("the hold ran %d times", s.fleet.serviceRuns()-before)
	}
	return fmt.Sprintf("outcome unknown, %d with outcome unknown for the repeat; ran once", second.status), nil
}

// refuseUnauthorized checks the status codes of requests that must be refused.
func (s *scenario) refuseUnauthorized(ctx context.Context) (string, error) {
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
		r := newCaller(nil, c.key, c.route).chatAt(ctx, vm, "", "who am I", responseTokens)
		if r.status != c.status || r.outcome != "not-run" {
			return "", fmt.Errorf("route %s: want %d and not-run: %s", c.route, c.status, r)
		}
	}
	if n := s.fleet.engineRuns() - before; n != 0 {
		return "", fmt.Errorf("%d of the refused requests ran", n)
	}
	return "401, 401, 403 and 404, all not run", nil
}
