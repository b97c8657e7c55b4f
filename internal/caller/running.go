package caller

import (
	"context"
	"errors"
	"sort"
	"sync"
	"time"

	"github.com/baobabdyke/baobabdyke/config"
	"github.com/baobabdyke/baobabdyke/customer"
)

// errCut ends the answers of a key that is withdrawn with the wish to cut them.
var errCut = errors.New("the key was withdrawn")

// A RunningRecord is one running request in the state dump.
type RunningRecord struct {
	Request  string    `json:"request"`
	Customer string    `json:"customer"`
	Route    string    `json:"route"`
	Key      string    `json:"key"`
	Since    time.Time `json:"since"`
}

// A Running is the set of requests that run on this VM.
type Running struct {
	mu   sync.Mutex
	jobs map[*runningJob]struct{}
}

type runningJob struct {
	record RunningRecord
	grant  customer.Grant
	cancel context.CancelCauseFunc
}

// NewRunning returns an empty Running.
func NewRunning() *Running {
	return &Running{jobs: map[*runningJob]struct{}{}}
}

// Add registers a request and returns its context and the function that
// removes it.
func (s *Running) Add(ctx context.Context, g customer.Grant, since time.Time) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	j := &runningJob{
		record: RunningRecord{
			Request:  requestID(ctx),
			Customer: g.Customer,
			Route:    g.Route,
			Key:      g.KeyID,
			Since:    since,
		},
		grant:  g,
		cancel: cancel,
	}
	s.mu.Lock()
	s.jobs[j] = struct{}{}
	s.mu.Unlock()
	return ctx, func() {
		s.mu.Lock()
		delete(s.jobs, j)
		s.mu.Unlock()
		cancel(nil)
	}
}

// Cut ends the requests whose key is withdrawn with the wish to cut.
func (s *Running) Cut(v *config.View) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for j := range s.jobs {
		if customer.MustAbort(v, j.grant) {
			j.cancel(errCut)
		}
	}
}

// Records returns the running requests sorted by their start.
func (s *Running) Records() []RunningRecord {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]RunningRecord, 0, len(s.jobs))
	for j := range s.jobs {
		list = append(list, j.record)
	}
	sort.Slice(list, func(i, k int) bool { return list[i].Since.Before(list[k].Since) })
	return list
}
