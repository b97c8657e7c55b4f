package demo

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/baobabdyke/baobabdyke/store"
)

// breakStreams cuts one stream and silences another on every engine.
func (s *show) breakStreams(ctx context.Context) (string, error) {
	for i, e := range s.fleet.engines {
		if i%2 == 0 {
			e.TruncateAfter(5)
		} else {
			e.StallAfter(7)
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
		store.Sleep(ctx, 200*time.Millisecond)
		s.fleet.engines[0].Crash()
		store.Sleep(ctx, 600*time.Millisecond)
		return nil
	})
	return fmt.Sprintf("clerks: %s", clerks), errors.Join(err, clerks.err(), traders.err())
}

// restartVM kills the clerks' VM and starts it again with a new incarnation.
func (s *show) restartVM(ctx context.Context) (string, error) {
	n, err := s.home(ctx)
	if err != nil {
		return "", err
	}
	var took time.Duration
	clerks, traders, err := s.during(ctx, func() error {
		store.Sleep(ctx, 200*time.Millisecond)
		n.kill()
		store.Sleep(ctx, 300*time.Millisecond)
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
	computed := float64(after.ComputedTokens - before.ComputedTokens)
	share := 100 - 100*computed/float64(max(after.PromptTokens-before.PromptTokens, 1))
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
		store.Sleep(ctx, 200*time.Millisecond)
		start := time.Now()
		err := s.fleet.drain(ctx, n)
		took = time.Since(start).Round(10 * time.Millisecond)
		store.Sleep(ctx, 200*time.Millisecond)
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
		if n := service.MaxRunsPerRequest(); n > 1 {
			return "", fmt.Errorf("a request to a service ran %d times", n)
		}
	}
	if n := s.fleet.usage().SaltMismatches; n > 0 {
		return "", fmt.Errorf("%d cached pieces were asked for under another salt", n)
	}
	return fmt.Sprintf("%d requests, none with a caller's key, no seat hold run twice", seen), nil
}
