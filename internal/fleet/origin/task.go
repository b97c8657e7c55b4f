// Package origin knows at which software version of a service's targets a stream began. What
// two versions write doesn't fit together, so a stream that was broken off goes on at that
// version only, at whichever VM its caller takes it up.
//
// Each VM remembers the requests for streams that it sends to targets. While a service has
// several versions, or had until lately, it tells them to two VMs, the recorders, which write
// them to the object store together, so that they outlast all VMs. A stream that nobody knows
// may go on only if there has been one version since before it can have begun.
package origin

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log"

	"github.com/baobabdyke/baobabdyke/internal/fleet/source"
	"github.com/baobabdyke/baobabdyke/peer"
	"github.com/baobabdyke/baobabdyke/store"
)

// Calls of other VMs. CallTell sends streams to a recorder: a TellRequest, with an empty
// response. CallFind asks for a stream: a FindRequest and a FindResponse.
const (
	CallTell = "/origin/Tell"
	CallFind = "/origin/Find"
)

// Kind is the kind of the objects with the streams that VMs have recorded.
const Kind = "streams"

const (
	// checkInterval is the time between two checks of whether there is something to tell or to
	// write, if no stream begins.
	checkInterval = 250 * time.Millisecond
	// tellInterval is the shortest time between two messages to a recorder in a small fleet. A
	// stream that breaks off earlier is not known to others yet.
	tellInterval = 40 * time.Millisecond
	// writeInterval is the shortest time between two writes of a recorder. What was not
	// written is lost if all VMs are. A first event comes some 100 ms after its request.
	writeInterval = 100 * time.Millisecond
	// pageTime is for how long a recorder adds streams to an object before it uses the next
	// one of its pages. It writes what is new only, whatever it remembers.
	pageTime = 2 * time.Second
	pages    = int64(remember/pageTime) + 1
	// askTimeout bounds a question to a recorder, and readTimeout one of the store.
	askTimeout  = 250 * time.Millisecond
	readTimeout = 500 * time.Millisecond
	// readInterval is the shortest time between two reads of the records, and readShare the
	// largest part of the time that they take.
	readInterval = 300 * time.Millisecond
	readShare    = 0.1
	// keyBytes is the size of a key in a record.
	keyBytes = 8
	// maxRequestID bounds the ids of callers' requests that are looked for.
	maxRequestID = 256
)

// A TellRequest is the request of CallTell.
type TellRequest struct {
	Streams []Stream `cbor:"1,keyasint"`
}

// A FindRequest is the request of CallFind.
type FindRequest struct {
	Service string `cbor:"1,keyasint"`
	Key     Key    `cbor:"2,keyasint"`
}

// A FindResponse is the response to a FindRequest.
type FindResponse struct {
	Known   bool   `cbor:"1,keyasint"`
	Version string `cbor:"2,keyasint"`
	// Sole reports whether the service has had one version since before the stream can have
	// begun, as far as the VM knows.
	Sole bool `cbor:"3,keyasint"`
}

// An Origin is what is known of the version that began a stream: Began or Unknown.
type Origin interface{ origin() }

// Began reports the version at which the stream goes on.
type Began struct{ Version string }

// Unknown reports that the stream may have begun at any of several versions.
type Unknown struct{ Reason string }

func (Began) origin()   {}
func (Unknown) origin() {}

// Options are the parameters of a Task.
type Options struct {
	VM    string
	Store store.Store
	Peers peer.Caller
	Log   log.Logger
	View  func() *source.View
	// Fresh reports whether the list of targets was confirmed within the time Bound, after
	// which all VMs for which it is know a change.
	Fresh func() bool
	Bound func() time.Duration
	// Scale returns the factor by which VMs tell streams less often than in a small fleet.
	Scale func() float64
	// Recorders returns the other VMs that record streams, and whether this one does.
	Recorders func() (others []peer.Destination, self bool)
}

// A Task remembers streams. It is safe for concurrent use.
type Task struct {
	opts Options
	// began and learned signal that there are streams to tell or to write.
	began, learned chan struct{}

	// mu guards the fields below.
	mu       sync.Mutex
	streams  *table
	versions versions
	// sent is the number of the last addition that may be known elsewhere.
	sent int64
	// told holds, by recorder, the number of the last addition that it was told.
	told map[string]int64
	// page is the page that this VM writes, with the additions after pageFrom, since
	// pageStart. pageVersions holds the last known versions of the pages.
	page, pageFrom int64
	pageStart      time.Time
	pageVersions   [pages]int64
	// written is the number of the last addition that was written.
	written int64
	// recorded holds, by service, the last known records of versions.
	recorded map[string]recorded

	// readMu is held during a read of the records. The fields below tell when the last one
	// that succeeded began, and how long it took.
	readMu   sync.Mutex
	readAt   time.Time
	readTook time.Duration
}

// NewTask returns a Task that knows no streams.
func NewTask(o Options) *Task {
	if o.Log == nil {
		o.Log = log.NewNopLogger()
	}
	return &Task{opts: o, began: make(chan struct{}, 1), learned: make(chan struct{}, 1), streams: newTable(), told: map[string]int64{}, recorded: map[string]recorded{}}
}

// Register registers the handlers of the calls.
func (t *Task) Register(r peer.Registrar) {
	peer.Handle(r, CallTell, func(_ context.Context, _ string, in TellRequest) (struct{}, error) {
		t.learn(in.Streams, told)
		return struct{}{}, nil
	})
	peer.Handle(r, CallFind, func(_ context.Context, _ string, in FindRequest) (FindResponse, error) {
		return t.handleFind(in), nil
	})
}

// learn adds streams that another VM told or recorded.
func (t *Task) learn(streams []Stream, source streamSource) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	for _, s := range streams {
		t.streams.add(s, now.Add(-time.Duration(max(s.AgeMS, 0))*time.Millisecond), source)
	}
	t.signal(t.learned)
}

// signal wakes a task while a service has several versions. The caller holds mu.
func (t *Task) signal(task chan struct{}) {
	if !t.versions.anyMixed {
		return
	}
	select {
	case task <- struct{}{}:
	default:
	}
}

func (t *Task) handleFind(in FindRequest) FindResponse {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	t.versions.observe(t.opts.View(), now)
	version, known := t.streams.find(in.Key, now)
	return FindResponse{Known: known, Version: version, Sole: t.versions.isSole(in.Service, now) && t.opts.Fresh()}
}

// Record records that a target of a version is to begin the stream of a customer's request, or
// goes on with it, and returns that version. It returns another one, and records nothing, if
// others may have been told that the stream begins there.
func (t *Task) Record(service, customer, request, version string) string {
	if len(request) > maxRequestID {
		return version
	}
	key, now := KeyOf(service, customer, request), time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	old, known := t.streams.streams[key]
	known = known && now.Sub(old.at) < remember
	if known && old.version != version && (old.number <= t.sent || old.source != own) {
		return old.version
	}
	t.streams.add(Stream{Key: key, Version: version}, now, own)
	t.signal(t.began)
	t.signal(t.learned)
	return version
}

// Young returns the versions of a service that other VMs may not have heard of, though their
// list of targets is fresh. They would take the service's other version for the only one.
func (t *Task) Young(service string) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	t.versions.observe(t.opts.View(), now)
	if !t.versions.isMixed(service) {
		return nil
	}
	return t.versions.young(service, t.opts.Bound()+checkInterval, now)
}

// Find returns what is known of the origin of a stream.
func (t *Task) Find(ctx context.Context, service, customer, request string) Origin {
	if request == "" || len(request) > maxRequestID {
		return t.unnamed(ctx, service)
	}
	key := KeyOf(service, customer, request)
	if version, ok := t.lookUp(key); ok {
		return Began{version}
	}
	response := t.ask(ctx, FindRequest{Service: service, Key: key})
	if response.Known {
		t.learn([]Stream{{Key: key, Version: response.Version}}, filed)
		return Began{response.Version}
	}
	if version, ok := t.sole(service, response.Sole); ok {
		return Began{version}
	}
	err := t.readRecords(ctx)
	if version, ok := t.lookUp(key); ok {
		return Began{version}
	}
	return t.undetermined(service, err)
}

// unnamed returns the origin of a stream whose first request the caller doesn't name.
func (t *Task) unnamed(ctx context.Context, service string) Origin {
	if version, ok := t.sole(service, t.ask(ctx, FindRequest{Service: service}).Sole); ok {
		return Began{version}
	}
	return t.undetermined(service, t.readRecords(ctx))
}

// undetermined returns the origin of a stream that is in no record. ReadErr is the error of
// reading them. A VM that has just started knows only from the record whether the service had
// other versions before.
func (t *Task) undetermined(service string, readErr error) Origin {
	t.mu.Lock()
	t.versions.observe(t.opts.View(), time.Now())
	mixed := t.versions.isMixed(service)
	version, listed := t.versions.only(service)
	_, known := t.recorded[service]
	t.mu.Unlock()
	switch {
	case mixed:
		return Unknown{"the service has several versions, or had lately"}
	case !listed:
		return Unknown{"the service has no target"}
	case readErr != nil:
		return Unknown{"the records cannot be read: " + readErr.Error()}
	case !known:
		return Unknown{"the service's versions are not on record"}
	case !t.opts.Fresh():
		return Unknown{"the list of targets is not confirmed"}
	}
	return Began{version}
}

func (t *Task) lookUp(k Key) (version string, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.streams.find(k, time.Now())
}

// sole returns the version of a service if it has been the only one for as long as a stream may
// last, as this VM knows, or another one if this VM has started lately.
func (t *Task) sole(service string, others bool) (version string, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	t.versions.observe(t.opts.View(), now)
	version, ok = t.versions.only(service)
	return version, ok && (others || t.versions.isSole(service, now)) && t.opts.Fresh()
}

// ask asks the recorders at the same time and returns the first response with the version, or
// one without it.
func (t *Task) ask(ctx context.Context, req FindRequest) FindResponse {
	others, _ := t.opts.Recorders()
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	responses := make(chan FindResponse, len(others))
	for _, to := range others {
		go func() {
			var resp FindResponse
			if err := t.opts.Peers.Call(ctx, to, CallFind, req, &resp); err != nil {
				resp = FindResponse{}
			}
			responses <- resp
		}()
	}
	var out FindResponse
	for range others {
		resp := <-responses
		if resp.Known {
			return resp
		}
		out.Sole = out.Sole || resp.Sole
	}
	return out
}

// Run tells streams to the recorders, and records them on a recorder, until ctx ends.
func (t *Task) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	wg.Go(func() {
		for await(ctx, t.learned) {
			t.write(ctx)
			store.Sleep(ctx, writeInterval)
		}
	})
	for await(ctx, t.began) {
		t.tell(ctx)
		store.Sleep(ctx, time.Duration(t.opts.Scale()*float64(tellInterval)))
	}
	wg.Wait()
	return nil
}

// await waits for a signal, for checkInterval at most, and returns false if ctx ends.
func await(ctx context.Context, signal chan struct{}) bool {
	timer := time.NewTimer(checkInterval)
	defer timer.Stop()
	select {
	case <-signal:
	case <-timer.C:
	case <-ctx.Done():
	}
	return ctx.Err() == nil
}
