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

// errKeyWithdrawn is the cause with which AbortWithdrawn cancels a request.
var errKeyWithdrawn = errors.New("the key was withdrawn")

// A RunningRecord is one running request in the state dump.
type RunningRecord struct {
	Request  string    `json:"request"`
	Customer string    `json:"customer"`
	Route    string    `json:"route"`
	Key      string    `json:"key"`
	Since    time.Time `json:"since"`
}

// A RunningRequests is the set of requests that run on this VM.
type RunningRequests struct {
	mu       sync.Mutex
	requests map[*runningRequest]struct{}
}

type runningRequest struct {
	record RunningRecord
	grant  customer.Grant
	cancel context.CancelCauseFunc
}

// NewRunningRequests returns an empty set.
func NewRunningRequests() *RunningRequests {
	return &RunningRequests{requests: map[*runningRequest]struct{}{}}
}

// Add registers a request and returns its context and the function that
// removes it.
func (s *RunningRequests) Add(ctx context.Context, g customer.Grant, since time.Time) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	r := &runningRequest{
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
	s.requests[r] = struct{}{}
	s.mu.Unlock()
	return ctx, func() {
		s.mu.Lock()
		delete(s.requests, r)
		s.mu.Unlock()
		cancel(nil)
	}
}

// AbortWithdrawn cancels the requests whose key is withdrawn in the mode that
// aborts running requests.
func (s *RunningRequests) AbortWithdrawn(v *config.View) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for r := range s.requests {
		if customer.MustAbort(v, r.grant) {
			r.cancel(errKeyWithdrawn)
		}
	}
}

// Records returns the running requests sorted by start time.
func (s *RunningRequests) Records() []RunningRecord {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]RunningRecord, 0, len(s.requests))
	for r := range s.requests {
		list = append(list, r.record)
	}
	sort.Slice(list, func(i, k int) bool { return list[i].Since.Before(list[k].Since) })
	return list
}
