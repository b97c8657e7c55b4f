package demo

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/baobabdyke/baobabdyke/store"
)

// interruptStreams makes each engine abort or stall one of its streams.
func (s *scenario) interruptStreams(ctx context.Context) (string, error) {
	for i, e := range s.fleet.engines {
		if i%2 == 0 {
			e.TruncateAfter(5)
		} else {
			e.StallAfter(7)
		}
	}
	counts := s.seatPrompts.sendAll(ctx, s.clerk, s.sent, 16, 8)
	s.sent += 16
	return counts.String(), counts.allCompleted()
}

// duringTraffic runs f while clerks and traders send requests, and returns their
// counts.
func (s *scenario) duringTraffic(ctx context.Context, f func() error) (clerks, traders *requestCounts, err error) {
	stop := make(chan struct{})
	done := make(chan *requestCounts, 1)
	go func() { done <- s.conditionPrompts.sendUntil(ctx, s.trader, stop, 2) }()
	changed := make(chan error, 1)
	go func() {
		defer close(stop)
		changed <- f()
	}()
	clerks = s.seatPrompts.sendUntil(ctx, s.clerk, stop, 2)
	return clerks, <-done, <-changed
}

func (s *scenario) crashEngine(ctx context.Context) (string, error) {
	clerks, traders, err := s.duringTraffic(ctx, func() error {
		store.Sleep(ctx, 200*time.Millisecond)
		s.fleet.engines[0].Crash()
		store.Sleep(ctx, 600*time.Millisecond)
		return nil
	})
	return fmt.Sprintf("clerks: %s", clerks), errors.Join(err, clerks.err(), traders.err())
}

// restartVM crashes the clerks' VM and restarts it with a new incarnation.
func (s *scenario) restartVM(ctx context.Context) (string, error) {
	n, err := s.clerkVM(ctx)
	if err != nil {
		return "", err
	}
	var took time.Duration
	clerks, traders, err := s.duringTraffic(ctx, func() error {
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
	hitRate, hitRateErr := s.cacheHitRate(ctx, n)
	return fmt.Sprintf("%s ready after %s, then %.0f%% of prompt tokens cached; clerks: %s", n.id, took, hitRate, clerks),
		errors.Join(err, clerks.err(), traders.err(), hitRateErr)
}

// cacheHitRate sends requests of the clerks to one VM and returns the percentage of
// their prompt tokens that engines had cached.
func (s *scenario) cacheHitRate(ctx context.Context, n *node) (float64, error) {
	before, counts := s.fleet.usage(), &requestCounts{}
	for i := range hitRateRequests {
		system, question := s.seatPrompts.prompt(i)
		counts.add(question, retryRateLimited(ctx, func() response { return s.clerk.chatAt(ctx, n.callers, system, question, responseTokens) }))
	}
	after := s.fleet.usage()
	computed := float64(after.ComputedTokens - before.ComputedTokens)
	share := 100 - 100*computed/float64(max(after.PromptTokens-before.PromptTokens, 1))
	if err := counts.allCompleted(); err != nil {
		return share, err
	}
	if share < minHitRate {
		return share, fmt.Errorf("%s: only %.0f%% of prompt tokens cached after the restart", n.id, share)
	}
	return share, nil
}

// drainVM drains the clerks' VM and checks that all requests are completed.
func (s *scenario) drainVM(ctx context.Context) (string, error) {
	n, err := s.clerkVM(ctx)
	if err != nil {
		return "", err
	}
	var took time.Duration
	clerks, traders, err := s.duringTraffic(ctx, func() error {
		store.Sleep(ctx, 200*time.Millisecond)
		start := time.Now()
		err := s.fleet.drain(ctx, n)
		took = time.Since(start).Round(10 * time.Millisecond)
		store.Sleep(ctx, 200*time.Millisecond)
		return err
	})
	return fmt.Sprintf("%s stopped after %s; clerks: %s", n.id, took, clerks), errors.Join(err, clerks.allCompleted(), traders.allCompleted())
}

// checkTargets checks the requests that the targets received and ran.
func (s *scenario) checkTargets(context.Context) (string, error) {
	recorders := s.fleet.recorders()
	seen := 0
	for _, r := range recorders {
		seen += len(r.Requests())
		for _, key := range allKeys {
			if r.Contains(key) {
				return "", errors.New("a target received a caller's key")
			}
		}
	}
	for _, service := range s.fleet.services {
		if n := service.MaxRunsPerRequest(); n > 1 {
			return "", fmt.Errorf("a request to a service ran %d times", n)
		}
	}
	if n := s.fleet.usage().SaltMismatches; n > 0 {
		return "", fmt.Errorf("%d cached pieces were requested with a different salt", n)
	}
	return fmt.Sprintf("%d requests, none with a caller's key, no seat hold run twice", seen), nil
}
