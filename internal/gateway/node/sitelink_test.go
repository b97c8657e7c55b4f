package node

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/baobabdyke/baobabdyke/internal/fake"
	"github.com/baobabdyke/baobabdyke/internal/fleet/shares"
	"github.com/baobabdyke/baobabdyke/peer"
	"github.com/baobabdyke/baobabdyke/store"
)

// A linkFault is how the calls of one VM to a store fail.
type linkFault int

// Faults of a siteLink.
const (
	// linkOK delivers calls and responses.
	linkOK linkFault = iota
	// linkReset fails every call at once, also those that wait for a response.
	linkReset
	// linkCut fails the calls that wait for a response when it is set, and no later ones.
	linkCut
	// linkSilent leaves every call without a response until the caller gives up.
	linkSilent
	// linkDown fails every call before it reaches the store.
	linkDown
)

// A siteLink carries the calls of one VM to a store within the process, with
// faults that other VMs do not have. It implements http.RoundTripper and waits on
// channels only, so that it works in virtual time.
type siteLink struct {
	store *fake.SiteStore
	// network carries the bodies of responses to the VM, if it is not nil, beside what
	// other VMs send.
	network *peer.Memory
	vm      string

	mu      sync.Mutex
	fault   linkFault
	changed chan struct{}
	// changes counts how often the fault was set.
	changes int
	// latency is how long the store takes to send a response.
	latency time.Duration
	// calls counts the calls but those for records of shares, which shareCalls counts.
	calls, shareCalls int
}

// linkLatency is how long a call takes. It lets virtual time pass if calls are made
// without a pause.
const linkLatency = time.Millisecond

// newSiteLink returns a siteLink without faults.
func newSiteLink(s *fake.SiteStore) *siteLink {
	return &siteLink{store: s, changed: make(chan struct{})}
}

// setFault changes the fault, also for calls that wait for a response.
func (l *siteLink) setFault(f linkFault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fault = f
	l.changes++
	close(l.changed)
	l.changed = make(chan struct{})
}

// isCutOff reports whether no call reaches the store.
func (l *siteLink) isCutOff() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fault == linkReset || l.fault == linkSilent
}

// callCounts returns the number of calls made, and of those for records of shares, which the first does not contain.
func (l *siteLink) callCounts() (calls, shareCalls int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.calls, l.shareCalls
}

// RoundTrip implements http.RoundTripper.
func (l *siteLink) RoundTrip(r *http.Request) (*http.Response, error) {
	l.mu.Lock()
	if strings.HasPrefix(r.URL.Path, "/objects/"+shares.Kind) {
		l.shareCalls++
	} else {
		l.calls++
	}
	l.mu.Unlock()
	time.Sleep(linkLatency)
	l.mu.Lock()
	begun, down := l.changes, l.fault == linkDown
	l.mu.Unlock()
	if down {
		return nil, syscall.ECONNREFUSED
	}
	recorder := httptest.NewRecorder()
	handled := make(chan bool, 1)
	go func() {
		defer func() { handled <- recover() == nil }()
		l.store.ServeHTTP(recorder, r)
	}()
	for {
		l.mu.Lock()
		fault, changed, changes := l.fault, l.changed, l.changes
		l.mu.Unlock()
		switch fault {
		case linkCut:
			if changes > begun {
				return nil, syscall.ECONNRESET
			}
		case linkReset, linkDown:
			return nil, syscall.ECONNRESET
		case linkSilent:
			<-r.Context().Done()
			return nil, r.Context().Err()
		case linkOK:
		}
		select {
		case whole := <-handled:
			if !whole {
				return nil, syscall.ECONNRESET
			}
			return l.respond(r, recorder.Result())
		case <-changed:
		case <-r.Context().Done():
			return nil, r.Context().Err()
		}
	}
}

// respond returns a response once the store has sent its head.
func (l *siteLink) respond(r *http.Request, resp *http.Response) (*http.Response, error) {
	l.mu.Lock()
	latency := l.latency
	l.mu.Unlock()
	if !store.Sleep(r.Context(), latency) {
		return nil, r.Context().Err()
	}
	if trace := httptrace.ContextClientTrace(r.Context()); trace != nil && trace.GotFirstResponseByte != nil {
		trace.GotFirstResponseByte()
	}
	if l.network != nil {
		resp.Body = &linkBody{ReadCloser: resp.Body, ctx: r.Context(), link: l}
	}
	return resp, nil
}

// setLatency changes how long the store takes to send a response to this VM.
func (l *siteLink) setLatency(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.latency = d
}

// A linkBody is the body of a response, which takes its time on the VM's link.
type linkBody struct {
	io.ReadCloser
	ctx  context.Context
	link *siteLink
}

// Read implements io.Reader.
func (b *linkBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p[:min(len(p), linkReadBytes)])
	if failed := b.link.network.Transfer(b.ctx, "store", b.link.vm, n); failed != nil {
		return 0, failed
	}
	return n, err
}

// linkReadBytes is how much of a body arrives at once.
const linkReadBytes = 16 << 10
