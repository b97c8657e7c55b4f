// Package origin knows at which software version of a service's targets a stream began. What
// two versions write doesn't fit together, so a stream that was broken off goes on at that
// version only, at whichever VM its caller takes it up.
//
// Each VM remembers the requests for streams that it sends to targets. While a service has several versions, or had
// until lately, it tells them to two VMs, the recorders, which write them to the object store
// together now and then, so that they outlast all VMs. A stream that nobody knows may go on
// only if there has been one version since before it can have begun.
package origin

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
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
	// tellInterval is the time between two messages to a recorder in a small fleet. A stream
	// that breaks off earlier is not known to others yet.
	tellInterval = 100 * time.Millisecond
	// writeInterval is the shortest time between two writes of a recorder. What was not
	// written is lost if all VMs are.
	writeInterval = 200 * time.Millisecond
	// pageTime is for how long a recorder adds streams to an object before it uses the next
	// one of its pages. It writes what is new only, whatever it remembers.
	pageTime = 2 * time.Second
	pages    = int64(remember/pageTime) + 1
	// refreshInterval is the longest time between two writes while a service has several
	// versions.
	refreshInterval = 10 * time.Second
	// mixedMemory is how long a written record shows that a service had several versions.
	// It is much longer than a stream lasts, as VMs' clocks differ.
	mixedMemory = 2 * time.Minute
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
	// Fresh reports whether the list of targets was confirmed recently.
	Fresh func() bool
	// Scale returns the factor by which VMs tell streams less often than in a small fleet.
	Scale func() float64
	// Recorders returns the other VMs that record streams, and whether this one does.
	Recorders func() (others []peer.Destination, self bool)
}

// A Task remembers streams. It is safe for concurrent use.
type Task struct {
	opts Options

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
	// written is the number of the last addition that was written, and wroteAt when.
	written int64
	wroteAt time.Time

	// readMu is held during a read of the records. The fields below are those of the last
	// one that succeeded: when it began, how long it took, and until when each service counts
	// as mixed.
	readMu     sync.Mutex
	readAt     time.Time
	readTook   time.Duration
	mixedUntil map[string]time.Time
}

// NewTask returns a Task that knows no streams.
func NewTask(o Options) *Task {
	if o.Log == nil {
		o.Log = log.NewNopLogger()
	}
	return &Task{opts: o, streams: newTable(), told: map[string]int64{}}
}

// Register registers the handlers of the calls.
func (t *Task) Register(r peer.Registrar) {
	peer.Handle(r, CallTell, func(_ context.Context, _ string, in TellRequest) (struct{}, error) {
		t.learn(in.Streams)
		return struct{}{}, nil
	})
	peer.Handle(r, CallFind, func(_ context.Context, _ string, in FindRequest) (FindResponse, error) {
		return t.handleFind(in), nil
	})
}

// learn adds streams that another VM passes on.
func (t *Task) learn(streams []Stream) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	for _, s := range streams {
		t.streams.add(s, now.Add(-time.Duration(max(s.AgeMS, 0))*time.Millisecond), false)
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
	switch {
	case known && old.version != version && (old.number <= t.sent || !old.own):
		return old.version
	case known && old.version == version && now.Sub(old.at) < recordAgain:
		return version
	}
	t.streams.add(Stream{Key: key, Version: version}, now, true)
	return version
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
		t.learn([]Stream{{Key: key, Version: response.Version}})
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
// reading them.
func (t *Task) undetermined(service string, readErr error) Origin {
	t.mu.Lock()
	t.versions.observe(t.opts.View(), time.Now())
	mixed := t.versions.isMixed(service)
	version, listed := t.versions.only(service)
	t.mu.Unlock()
	switch {
	case mixed:
		return Unknown{"the service has several versions"}
	case !listed:
		return Unknown{"the service has no target"}
	case readErr != nil:
		return Unknown{"the records cannot be read: " + readErr.Error()}
	case !t.opts.Fresh():
		return Unknown{"the list of targets is not confirmed"}
	case t.wasMixed(service):
		return Unknown{"the service had several versions lately"}
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
		for store.Sleep(ctx, writeInterval) {
			t.write(ctx)
		}
	})
	for store.Sleep(ctx, time.Duration(t.opts.Scale()*float64(tellInterval))) {
		t.tell(ctx)
	}
	wg.Wait()
	return nil
}

// tell sends the recorders what they have not been told yet.
func (t *Task) tell(ctx context.Context) {
	t.mu.Lock()
	now := time.Now()
	t.versions.observe(t.opts.View(), now)
	mixed := len(t.versions.mixed()) > 0
	t.mu.Unlock()
	if !mixed {
		return
	}
	var wg sync.WaitGroup
	others, _ := t.opts.Recorders()
	for _, to := range others {
		t.mu.Lock()
		streams, last := t.streams.since(t.told[to.VM], true, now)
		t.sent = max(t.sent, last)
		t.mu.Unlock()
		if len(streams) == 0 {
			continue
		}
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, askTimeout)
			defer cancel()
			if err := t.opts.Peers.Call(ctx, to, CallTell, TellRequest{Streams: streams}, &struct{}{}); err != nil {
				// They are told with later ones.
				return
			}
			t.mu.Lock()
			defer t.mu.Unlock()
			t.told[to.VM] = last
		})
	}
	wg.Wait()
	t.mu.Lock()
	defer t.mu.Unlock()
	for vm := range t.told {
		// A VM that records again may have started anew.
		if !slices.ContainsFunc(others, func(d peer.Destination) bool { return d.VM == vm }) {
			delete(t.told, vm)
		}
	}
}

// A record is the value of a recorder's object.
type record struct {
	// At is the time of the write in Unix milliseconds.
	At int64 `json:"at"`
	// Mixed are the services that have several versions, or had lately.
	Mixed []string `json:"mixed"`
	// Streams holds, by version, the keys of streams, keyBytes each.
	Streams map[string][]byte `json:"streams"`
}

// write writes the streams that this VM knows, if it is a recorder and there are new ones.
func (t *Task) write(ctx context.Context) {
	if _, self := t.opts.Recorders(); !self {
		return
	}
	t.mu.Lock()
	now := time.Now()
	mixed := t.versions.mixed()
	due := len(mixed) > 0 && (t.streams.added > t.written || t.written > 0 && now.Sub(t.wroteAt) >= refreshInterval)
	if !due {
		t.mu.Unlock()
		return
	}
	if t.written > t.pageFrom && now.Sub(t.pageStart) >= pageTime {
		t.page, t.pageFrom, t.pageStart = (t.page+1)%pages, t.written, now
	}
	streams, last := t.streams.since(t.pageFrom, false, now)
	t.sent = max(t.sent, last)
	page, expect := t.page, t.pageVersions[t.page]
	t.mu.Unlock()
	value, err := json.Marshal(record{At: now.UnixMilli(), Mixed: mixed, Streams: encode(streams)})
	if err != nil {
		return
	}
	result := t.opts.Store.Put(ctx, pageKey(t.opts.VM, page), value, expect)
	t.mu.Lock()
	defer t.mu.Unlock()
	switch r := result.(type) {
	case store.Done:
		if t.written == 0 {
			_ = t.opts.Log.Log("msg", "streams recorded", "services", strings.Join(mixed, ","), "streams", len(streams), "bytes", len(value))
		}
		t.pageVersions[page], t.written, t.wroteAt = r.Version, last, now
	case store.Conflict:
		t.mu.Unlock()
		t.takeOver(ctx, page)
		t.mu.Lock()
	case store.NotSent, store.Unknown:
	}
}

// pageKey returns the key of one of a VM's objects.
func pageKey(vm string, page int64) string { return fmt.Sprintf("%s/%s-%d", Kind, vm, page) }

// Forget removes the objects of a VM that is gone.
func (t *Task) Forget(ctx context.Context, vm string) {
	objects, err := t.opts.Store.List(ctx, Kind+"/"+vm+"-")
	if err != nil {
		// They are old, and no longer looked at.
		return
	}
	for _, o := range objects {
		for page := range pages {
			if o.Key == pageKey(vm, page) {
				t.opts.Store.Delete(ctx, o.Key, o.Version)
			}
		}
	}
}

// takeOver learns the streams in a page, which an earlier process of this VM wrote, or a write
// that took effect late. The next write then replaces it.
func (t *Task) takeOver(ctx context.Context, page int64) {
	object, err := t.opts.Store.Get(ctx, pageKey(t.opts.VM, page))
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		return
	}
	if err == nil {
		if r, streams, err := decodeRecord(object.Value); err == nil && r.age() < mixedMemory {
			t.learn(streams)
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.pageVersions[page] = object.Version
}

// encode returns the keys of streams by version.
func encode(streams []Stream) map[string][]byte {
	out := map[string][]byte{}
	for _, s := range streams {
		out[s.Version] = binary.BigEndian.AppendUint64(out[s.Version], uint64(s.Key))
	}
	return out
}

// age returns the time since the record was written, by the clocks of two VMs.
func (r *record) age() time.Duration { return time.Since(time.UnixMilli(r.At)).Abs() }

// decodeRecord returns a record and the streams in it.
func decodeRecord(value []byte) (r record, out []Stream, err error) {
	if err := json.Unmarshal(value, &r); err != nil {
		return r, nil, err
	}
	for version, keys := range r.Streams {
		if len(keys)%keyBytes != 0 {
			return r, nil, fmt.Errorf("keys of version %q take %d bytes, want a multiple of %d", version, len(keys), keyBytes)
		}
		for key := range slices.Chunk(keys, keyBytes) {
			out = append(out, Stream{Key: Key(binary.BigEndian.Uint64(key)), Version: version})
		}
	}
	return r, out, nil
}

// readRecords reads the records of all VMs, unless they were read just now.
func (t *Task) readRecords(ctx context.Context) error {
	t.readMu.Lock()
	defer t.readMu.Unlock()
	now := time.Now()
	if interval := max(readInterval, time.Duration(float64(t.readTook)/readShare)); !t.readAt.IsZero() && now.Sub(t.readAt) < interval {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	objects, err := t.opts.Store.List(ctx, Kind+"/")
	if err != nil {
		return err
	}
	mixed := map[string]time.Time{}
	found := 0
	for _, o := range objects {
		r, streams, err := decodeRecord(o.Value)
		if err != nil {
			_ = t.opts.Log.Log("msg", "record of streams ignored", "object", o.Key, "err", err)
			continue
		}
		age := r.age()
		if age >= mixedMemory {
			continue
		}
		for _, service := range r.Mixed {
			if until := now.Add(mixedMemory - age); until.After(mixed[service]) {
				mixed[service] = until
			}
		}
		t.learn(streams)
		found += len(streams)
	}
	t.readAt, t.readTook, t.mixedUntil = now, time.Since(now), mixed
	_ = t.opts.Log.Log("msg", "records of streams read", "objects", len(objects), "streams", found, "took", t.readTook)
	return nil
}

// wasMixed reports whether a service had several versions lately, by the records.
func (t *Task) wasMixed(service string) bool {
	t.readMu.Lock()
	defer t.readMu.Unlock()
	return time.Now().Before(t.mixedUntil[service])
}
