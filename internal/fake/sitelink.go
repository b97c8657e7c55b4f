package fake

import (
	"net/http"
	"net/http/httptest"
	"sync"
	"syscall"
)

// A LinkFault is how the calls of one VM to a SiteStore fail.
type LinkFault int

// Faults of a SiteLink.
const (
	// LinkOK delivers calls and responses.
	LinkOK LinkFault = iota
	// LinkReset fails every call at once, also those that wait for a response.
	LinkReset
	// LinkSilent leaves every call without a response until the caller gives up.
	LinkSilent
)

// A SiteLink carries the calls of one VM to a SiteStore within the process, with
// faults that other VMs do not have. It implements http.RoundTripper and waits on
// channels only, so that it works in virtual time.
type SiteLink struct {
	store *SiteStore

	mu      sync.Mutex
	fault   LinkFault
	changed chan struct{}
	calls   int
}

// NewSiteLink returns a SiteLink without faults.
func NewSiteLink(s *SiteStore) *SiteLink {
	return &SiteLink{store: s, changed: make(chan struct{})}
}

// SetFault changes the fault, also for calls that wait for a response.
func (l *SiteLink) SetFault(f LinkFault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fault = f
	close(l.changed)
	l.changed = make(chan struct{})
}

// Calls returns the number of calls made.
func (l *SiteLink) Calls() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.calls
}

// RoundTrip implements http.RoundTripper.
func (l *SiteLink) RoundTrip(r *http.Request) (*http.Response, error) {
	l.mu.Lock()
	l.calls++
	l.mu.Unlock()
	recorder := httptest.NewRecorder()
	handled := make(chan bool, 1)
	go func() {
		defer func() { handled <- recover() == nil }()
		l.store.ServeHTTP(recorder, r)
	}()
	for {
		l.mu.Lock()
		fault, changed := l.fault, l.changed
		l.mu.Unlock()
		switch fault {
		case LinkReset:
			return nil, syscall.ECONNRESET
		case LinkSilent:
			<-r.Context().Done()
			return nil, r.Context().Err()
		case LinkOK:
		}
		select {
		case whole := <-handled:
			if !whole {
				return nil, syscall.ECONNRESET
			}
			return recorder.Result(), nil
		case <-changed:
		case <-r.Context().Done():
			return nil, r.Context().Err()
		}
	}
}
