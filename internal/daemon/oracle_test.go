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
	// oracleRate and oracleBurst are the customer's requests.
	oracleRate  = 20.0
	oracleBurst = 20.0
	// withdrawnWithin is the time in which a withdrawn key must stop working.
	withdrawnWithin = 10 * time.Second
)

// A heard is one request as its caller saw it. Key is the secret, Once the
// idempotency key, Parts the number of events of a stream that were in order.
type heard struct {
	id      string
	key     string
	once    string
	seat    string
	start   time.Time
	end     time.Time
	status  int
	outcome string
	body    string
	stream  bool
	whole   bool
	failed  bool
}

// An oracle knows only the promises, and what callers and targets saw.
type oracle struct {
	mu        sync.Mutex
	heard     []heard
	withdrawn map[string]time.Time
	// answers are the first whole answers by idempotency key.
	answers map[string]string
}

func newOracle() *oracle {
	return &oracle{withdrawn: map[string]time.Time{}, answers: map[string]string{}}
}

func (o *oracle) add(h heard) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.heard = append(o.heard, h)
}

// judge returns the first promise that is broken, or nothing.
func (o *oracle) judge(s *fake.Service, engines []*fake.Engine) string {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, check := range []string{o.once(s), o.repeats(), o.notRun(s, engines), o.streams(), o.keys(), o.rate(), o.hidden(s, engines)} {
		if check != "" {
			return check
		}
	}
	return ""
}

// once: a seat is held for one idempotency key, and run once.
func (o *oracle) once(s *fake.Service) string {
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

// repeats: whoever gets the answer of a key gets the same one.
func (o *oracle) repeats() string {
	for _, h := range o.heard {
		if h.once == "" || h.status != 201 {
			continue
		}
		if first, ok := o.answers[h.once]; ok && first != h.body {
			return fmt.Sprintf("key %s answered %q, then %q", h.once, first, h.body)
		}
		o.answers[h.once] = h.body
	}
	return ""
}

// notRun: what was refused as not run was never run.
func (o *oracle) notRun(s *fake.Service, engines []*fake.Engine) string {
	for _, h := range o.heard {
		if h.outcome != caller.OutcomeNotRun {
			continue
		}
		runs := s.Runs(h.id)
		for _, e := range engines {
			runs += e.Runs(h.id)
		}
		if runs > 0 {
			return fmt.Sprintf("request %s was called not run (%d %s) and ran %d times", h.id, h.status, h.body, runs)
		}
	}
	return ""
}

// streams: an answer is whole and in order, or says that it failed.
func (o *oracle) streams() string {
	for _, h := range o.heard {
		if h.stream && h.status == 200 && !h.whole && !h.failed {
			return fmt.Sprintf("stream %s ended silently: %q", h.id, h.body)
		}
	}
	return ""
}

// keys: a withdrawn key gets no answer.
func (o *oracle) keys() string {
	for _, h := range o.heard {
		at, withdrawn := o.withdrawn[h.key]
		if withdrawn && h.start.Sub(at) > withdrawnWithin && h.status < 300 {
			return fmt.Sprintf("request %s worked %s after its key was withdrawn", h.id, h.start.Sub(at))
		}
	}
	return ""
}

// rate: what ran wholly within a window is within the rate and the burst. Which
// of several answers to one idempotency key belongs to the run is not known.
func (o *oracle) rate() string {
	answers := map[string]int{}
	for _, h := range o.heard {
		if h.once != "" && h.status < 300 {
			answers[h.once]++
		}
	}
	ran := slices.DeleteFunc(slices.Clone(o.heard), func(h heard) bool { return h.status >= 300 || answers[h.once] > 1 })
	for _, first := range ran {
		var ends []time.Time
		for _, h := range ran {
			if !h.start.Before(first.start) {
				ends = append(ends, h.end)
			}
		}
		slices.SortFunc(ends, time.Time.Compare)
		for n, end := range ends {
			allowed := oracleRate*end.Sub(first.start).Seconds() + oracleBurst
			if float64(n+1) > allowed {
				return fmt.Sprintf("%d requests ran in %s, %.1f allowed", n+1, end.Sub(first.start), allowed)
			}
		}
	}
	return ""
}

// hidden: no target sees a caller's key.
func (o *oracle) hidden(s *fake.Service, engines []*fake.Engine) string {
	for _, key := range machineKeys {
		if s.Contains(key) {
			return "the service saw the key " + key
		}
		for _, e := range engines {
			if e.Contains(key) {
				return "an engine saw the key " + key
			}
		}
	}
	return ""
}
