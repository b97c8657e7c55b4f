package demo

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"
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
	hakata  workload
	saldo   workload
	clerk   *caller
	trader  *caller
	holds   *caller
	sent    int
	version int64
}

func newShow(f *fleet) *show {
	return &show{
		fleet:   f,
		hakata:  newWorkload("house rules", 24_000, 6, 4_000),
		saldo:   newWorkload("catalogue brief", 32_000, 6, 8_000),
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
		pause(ctx, pollInterval)
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
func (s *show) streamWarm(ctx context.Context, w workload, c *caller) (string, error) {
	before := s.fleet.usage()
	t := w.sendAll(ctx, c, s.sent, 40, 4)
	s.sent += 40
	after := s.fleet.usage()
	prompt, computed := after.Prompt-before.Prompt, after.Computed-before.Computed
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
		service.LoseAnswers(1)
	}
	vms := s.fleet.callers()
	first := s.holds.hold(ctx, vms[0], "B1", "hold-B1")
	for _, service := range s.fleet.services {
		service.LoseAnswers(0)
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

// breakStreams cuts one stream and silences another on every engine.
func (s *show) breakStreams(ctx context.Context) (string, error) {
	for i, e := range s.fleet.engines {
		if i%2 == 0 {
			e.CutAfter(5)
		} else {
			e.SilenceAfter(7)
		}
	}
	t := s.hakata.sendAll(ctx, s.clerk, s.sent, 16, 8)
	s.sent += 16
	return t.String(), t.allWhole()
}

// during runs f while both workloads send, and returns their counts.
func (s *show) during(ctx context.Context, f func() error) (clerks, traders *tally, err error) {
	stop := make(chan struct{})
	done := make(chan *tally, 1)
	go func() { done <- s.saldo.sendUntil(ctx, s.trader, stop, 2) }()
	changed := make(chan error, 1)
	go func() {
		defer close(stop)
		changed <- f()
	}()
	clerks = s.hakata.sendUntil(ctx, s.clerk, stop, 2)
	return clerks, <-done, <-changed
}

func (s *show) crashEngine(ctx context.Context) (string, error) {
	clerks, traders, err := s.during(ctx, func() error {
		pause(ctx, 200*time.Millisecond)
		s.fleet.engines[0].Crash()
		pause(ctx, 600*time.Millisecond)
		return nil
	})
	return fmt.Sprintf("clerks: %s", clerks), errors.Join(err, clerks.err(), traders.err())
}

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// lowerRate lowers the rate of a small customer and counts its requests that
// are admitted at once.
func (s *show) lowerRate(ctx context.Context) (string, error) {
	if err := s.patch(ctx, lowerRatePatch); err != nil {
		return "", err
	}
	if err := s.fleet.awaitVersion(ctx, s.version); err != nil {
		return "", err
	}
	c := newCaller(s.fleet.callers(), smallKey, "seat-verdict")
	admitted, limited, start := 0, 0, time.Now()
	for i := range 30 {
		a := c.chatAt(ctx, s.fleet.callers()[i%3], "", "short", 1)
		switch {
		case a.status == http.StatusOK:
			admitted++
		case a.status == http.StatusTooManyRequests && a.retryAfter != "" && a.outcome == "not-run":
			limited++
		default:
			return "", fmt.Errorf("want 200, or 429 with Retry-After: %s", a)
		}
	}
	allowed := lowBurst + lowRate*time.Since(start).Seconds()
	if float64(admitted) > allowed || limited == 0 {
		return "", fmt.Errorf("%d admitted, %.1f allowed, %d refused", admitted, allowed, limited)
	}
	return fmt.Sprintf("%d admitted (at most %.1f allowed), %d got 429 with Retry-After", admitted, allowed, limited), nil
}

// patch sends a patch against the current version to a VM.
func (s *show) patch(ctx context.Context, template string) error {
	status, body, err := s.fleet.operator(ctx, s.fleet.vms[0], http.MethodPost, "/patch", fmt.Sprintf(template, s.version))
	if err != nil {
		return err
	}
	if status != http.StatusOK {
		return fmt.Errorf("patch answered %d: %s", status, strings.TrimSpace(body))
	}
	s.version++
	return nil
}

func (s *show) conflict(ctx context.Context) (string, error) {
	status, body, err := s.fleet.operator(ctx, s.fleet.vms[1], http.MethodPost, "/patch", fmt.Sprintf(conflictPatch, s.version-1))
	if err != nil {
		return "", err
	}
	if status != http.StatusConflict {
		return "", fmt.Errorf("want 409, got %d: %s", status, strings.TrimSpace(body))
	}
	return "409 with the current version, nothing changed", nil
}

// withdrawKey withdraws the trader's second key and waits until no VM takes it.
func (s *show) withdrawKey(ctx context.Context) (string, error) {
	c := newCaller(s.fleet.callers(), withdrawnKey, "condition-verdict")
	if a := c.chatAt(ctx, s.fleet.callers()[0], "", "before", 1); a.status != http.StatusOK {
		return "", fmt.Errorf("before the withdrawal: %s", a)
	}
	start := time.Now()
	if err := s.patch(ctx, withdrawPatch); err != nil {
		return "", err
	}
	for _, vm := range s.fleet.callers() {
		for {
			a := c.chatAt(ctx, vm, "", "after", 1)
			if a.status == http.StatusUnauthorized {
				break
			}
			if time.Since(start) > forceLimit || ctx.Err() != nil {
				return "", fmt.Errorf("still taken: %s", a)
			}
		}
	}
	return fmt.Sprintf("refused by every VM %s after the patch was sent", time.Since(start).Round(time.Millisecond)), nil
}

// home returns the VM that the clerks are to use.
func (s *show) home(ctx context.Context) (*node, error) {
	list, err := s.clerk.vms(ctx)
	if err != nil {
		return nil, err
	}
	return s.fleet.at(list[0])
}

// restartVM kills the clerks' VM and starts it again with a new incarnation.
func (s *show) restartVM(ctx context.Context) (string, error) {
	n, err := s.home(ctx)
	if err != nil {
		return "", err
	}
	var took time.Duration
	clerks, traders, err := s.during(ctx, func() error {
		pause(ctx, 200*time.Millisecond)
		n.kill()
		pause(ctx, 300*time.Millisecond)
		start := time.Now()
		if err := s.fleet.start(ctx, n); err != nil {
			return err
		}
		err := s.fleet.awaitReady(ctx)
		took = time.Since(start).Round(time.Millisecond)
		return err
	})
	warm, warmErr := s.warmth(ctx, n)
	return fmt.Sprintf("%s ready again after %s, then %.0f%% of prompt tokens from caches; clerks: %s", n.id, took, warm, clerks),
		errors.Join(err, clerks.err(), traders.err(), warmErr)
}

// warmth sends requests of the clerks to one VM and returns the share of their
// prompt tokens that engines took from their caches, in %.
func (s *show) warmth(ctx context.Context, n *node) (float64, error) {
	before, t := s.fleet.usage(), &tally{}
	for i := range warmRequests {
		system, question := s.hakata.prompt(i)
		t.add(question, patiently(ctx, func() answer { return s.clerk.chatAt(ctx, n.callers, system, question, answerTokens) }))
	}
	after := s.fleet.usage()
	computed := float64(after.Computed - before.Computed)
	share := 100 - 100*computed/float64(max(after.Prompt-before.Prompt, 1))
	if err := t.allWhole(); err != nil {
		return share, err
	}
	if share < warmShare {
		return share, fmt.Errorf("%s started cold: %.0f%% of prompt tokens from caches", n.id, share)
	}
	return share, nil
}

// drainVM drains the clerks' VM and checks that it cuts no request.
func (s *show) drainVM(ctx context.Context) (string, error) {
	n, err := s.home(ctx)
	if err != nil {
		return "", err
	}
	var took time.Duration
	clerks, traders, err := s.during(ctx, func() error {
		pause(ctx, 200*time.Millisecond)
		start := time.Now()
		err := s.fleet.drain(ctx, n)
		took = time.Since(start).Round(10 * time.Millisecond)
		pause(ctx, 200*time.Millisecond)
		return err
	})
	return fmt.Sprintf("%s ended by itself after %s; clerks: %s", n.id, took, clerks), errors.Join(err, clerks.allWhole(), traders.allWhole())
}

// inspect checks what must hold of everything that the targets saw and ran.
func (s *show) inspect(context.Context) (string, error) {
	records := s.fleet.records()
	seen := 0
	for _, r := range records {
		seen += len(r.Requests())
		for _, key := range allKeys {
			if r.Contains(key) {
				return "", errors.New("a target saw a caller's key")
			}
		}
	}
	for _, service := range s.fleet.services {
		if n := service.MostRuns(); n > 1 {
			return "", fmt.Errorf("a request to a service ran %d times", n)
		}
	}
	if n := s.fleet.usage().Clashes; n > 0 {
		return "", fmt.Errorf("%d cached pieces were asked for under another salt", n)
	}
	return fmt.Sprintf("%d requests, none with a caller's key, no seat hold run twice", seen), nil
}
