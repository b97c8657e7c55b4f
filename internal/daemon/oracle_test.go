package daemon

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/baobabdyke/baobabdyke/internal/caller"
	"github.com/baobabdyke/baobabdyke/internal/fake"
)

const (
	// customerRate and customerBurst are the customer's limit on requests, per
	// second and at once.
	customerRate  = 20.0
	customerBurst = 20.0
	// maxWithdrawalDelay is the time within which a withdrawn key must stop
	// working.
	maxWithdrawalDelay = 10 * time.Second
)

// An observedRequest is a request and its response as seen by the caller. For a
// stream, complete is set if it had all its events in order, and failed if it
// ended with an error event.
type observedRequest struct {
	id             string
	secret         string
	idempotencyKey string
	seat           string
	start          time.Time
	end            time.Time
	status         int
	outcome        string
	body           string
	stream         bool
	complete       bool
	failed         bool
}

// An oracle checks the guarantees of a fleet, only from what callers and targets
// observed.
type oracle struct {
	mu        sync.Mutex
	requests  []observedRequest
	withdrawn map[string]time.Time
	// responses holds the body of the first successful response by idempotency
	// key.
	responses map[string]string
}

func newOracle() *oracle {
	return &oracle{withdrawn: map[string]time.Time{}, responses: map[string]string{}}
}

func (o *oracle) add(req observedRequest) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.requests = append(o.requests, req)
}

// firstViolation returns a description of the first violated guarantee, or an
// empty string.
func (o *oracle) firstViolation(s *fake.Service, engines []*fake.Engine) string {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, check := range []string{o.checkAtMostOnce(s), o.checkRepeats(), o.checkNotRun(s, engines), o.checkStreams(), o.checkWithdrawnKeys(), o.checkRate(), o.checkKeysHidden(s, engines)} {
		if check != "" {
			return check
		}
	}
	return ""
}

// checkAtMostOnce checks that no seat was held more than once.
func (o *oracle) checkAtMostOnce(s *fake.Service) string {
	runs := map[string]int{}
	counted := map[string]bool{}
	for _, r := range s.Requests() {
		id := r.Header.Get(caller.HeaderRequestID)
		if r.Body != "" && !counted[id] {
			counted[id] = true
			runs[r.Body] += s.Runs(id)
		}
	}
	for body, n := range runs {
		if n > 1 {
			return fmt.Sprintf("%s was run %d times", body, n)
		}
	}
	return ""
}

// checkRepeats checks that all successful responses for an idempotency key are
// equal.
func (o *oracle) checkRepeats() string {
	for _, req := range o.requests {
		if req.idempotencyKey == "" || req.status != 201 {
			continue
		}
		if first, ok := o.responses[req.idempotencyKey]; ok && first != req.body {
			return fmt.Sprintf("idempotency key %s: response was %q, then %q", req.idempotencyKey, first, req.body)
		}
		o.responses[req.idempotencyKey] = req.body
	}
	return ""
}

// checkNotRun checks that no request with the outcome not-run was run.
func (o *oracle) checkNotRun(s *fake.Service, engines []*fake.Engine) string {
	for _, req := range o.requests {
		if req.outcome != caller.OutcomeNotRun {
			continue
		}
		runs := s.Runs(req.id)
		for _, e := range engines {
			runs += e.Runs(req.id)
		}
		if runs > 0 {
			return fmt.Sprintf("request %s was reported as not run (%d %s) but ran %d times", req.id, req.status, req.body, runs)
		}
	}
	return ""
}

// checkStreams checks that each stream is complete and in order, or ends with an
// error event.
func (o *oracle) checkStreams() string {
	for _, req := range o.requests {
		if req.stream && req.status == 200 && !req.complete && !req.failed {
			return fmt.Sprintf("stream %s ended without a last event or an error: %q", req.id, req.body)
		}
	}
	return ""
}

// checkWithdrawnKeys checks that no request with a withdrawn key succeeds.
func (o *oracle) checkWithdrawnKeys() string {
	for _, req := range o.requests {
		at, withdrawn := o.withdrawn[req.secret]
		if withdrawn && req.start.Sub(at) > maxWithdrawalDelay && req.status < 300 {
			return fmt.Sprintf("request %s succeeded %s after its key was withdrawn", req.id, req.start.Sub(at))
		}
	}
	return ""
}

// checkRate checks that in no time window more requests started and ended than the
// rate and the burst permit. Idempotency keys with several successful responses
// are left out, since it is not known which of those belongs to the run.
func (o *oracle) checkRate() string {
	successes := map[string]int{}
	for _, req := range o.requests {
		if req.idempotencyKey != "" && req.status < 300 {
			successes[req.idempotencyKey]++
		}
	}
	ran := slices.DeleteFunc(slices.Clone(o.requests), func(req observedRequest) bool { return req.status >= 300 || successes[req.idempotencyKey] > 1 })
	for _, first := range ran {
		var ends []time.Time
		for _, req := range ran {
			if !req.start.Before(first.start) {
				ends = append(ends, req.end)
			}
		}
		slices.SortFunc(ends, time.Time.Compare)
		for n, end := range ends {
			allowed := customerRate*end.Sub(first.start).Seconds() + customerBurst
			if float64(n+1) > allowed {
				return fmt.Sprintf("%d requests ran in %s, %.1f allowed", n+1, end.Sub(first.start), allowed)
			}
		}
	}
	return ""
}

// checkKeysHidden checks that no target received a caller's key.
func (o *oracle) checkKeysHidden(s *fake.Service, engines []*fake.Engine) string {
	for _, key := range customerKeys {
		if s.Contains(key) {
			return "the service received the key " + key
		}
		for _, e := range engines {
			if e.Contains(key) {
				return "an engine received the key " + key
			}
		}
	}
	return ""
}
