package fake

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/baobabdyke/baobabdyke/store"
)

// watchPingInterval is the time between pings on an idle watch.
const watchPingInterval = time.Second

// An ObjectStore is an HTTP stand-in for the platform: its object store and its
// list of VMs. It is backed by a store.Memory, whose injected faults apply.
type ObjectStore struct {
	memory       *store.Memory
	pingInterval time.Duration
	muted        atomic.Bool
}

// NewObjectStore returns an ObjectStore backed by m.
func NewObjectStore(m *store.Memory) *ObjectStore {
	return &ObjectStore{memory: m, pingInterval: watchPingInterval}
}

// MuteWatches sets whether open and later watches send nothing at all, not even
// pings. It simulates a connection that the network dropped without closing it.
func (o *ObjectStore) MuteWatches(muted bool) { o.muted.Store(muted) }

// ServeHTTP implements http.Handler.
func (o *ObjectStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	key, isObject := strings.CutPrefix(r.URL.Path, store.PathObjects+"/")
	switch {
	case isObject && r.Method == http.MethodGet:
		o.get(w, r, key)
	case isObject && r.Method == http.MethodPut:
		o.put(w, r, key)
	case isObject && r.Method == http.MethodDelete:
		o.remove(w, r, key)
	case r.URL.Path == store.PathObjects && r.Method == http.MethodGet:
		o.list(w, r)
	case r.URL.Path == store.PathWatch && r.Method == http.MethodGet:
		o.watch(w, r)
	case r.URL.Path == store.PathVMs && r.Method == http.MethodGet:
		o.vms(w, r)
	default:
		http.Error(w, "no such call", http.StatusBadRequest)
	}
}

func (o *ObjectStore) get(w http.ResponseWriter, r *http.Request, key string) {
	object, err := o.memory.Get(r.Context(), key)
	if err != nil {
		writeReadError(w, err)
		return
	}
	writeVersion(w, object.Version)
	_, _ = w.Write(object.Value)
}

func (o *ObjectStore) list(w http.ResponseWriter, r *http.Request) {
	objects, err := o.memory.List(r.Context(), r.URL.Query().Get(store.ParamPrefix))
	if err != nil {
		writeReadError(w, err)
		return
	}
	list := make([]store.WireObject, 0, len(objects))
	for _, object := range objects {
		list = append(list, store.WireObject{Key: object.Key, Version: object.Version, Value: object.Value})
	}
	writeLine(w, list)
}

func (o *ObjectStore) put(w http.ResponseWriter, r *http.Request, key string) {
	expect, ok := versionParam(w, r, store.ParamExpect)
	if !ok {
		return
	}
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, store.MaxValueBytes))
	if err != nil {
		http.Error(w, "value cut off or too large", http.StatusBadRequest)
		return
	}
	// A request that was received completely is executed even if the client
	// disconnects.
	ctx := context.WithoutCancel(r.Context())
	writeResult(w, o.memory.Put(ctx, key, value, expect))
}

func (o *ObjectStore) remove(w http.ResponseWriter, r *http.Request, key string) {
	expect, ok := versionParam(w, r, store.ParamExpect)
	if !ok {
		return
	}
	writeResult(w, o.memory.Delete(context.WithoutCancel(r.Context()), key, expect))
}

func (o *ObjectStore) vms(w http.ResponseWriter, r *http.Request) {
	vms, err := o.memory.VMs(r.Context())
	if err != nil {
		writeReadError(w, err)
		return
	}
	writeLine(w, vms)
}

// watch sends one line for each change, and an empty object at the start and as
// a ping.
func (o *ObjectStore) watch(w http.ResponseWriter, r *http.Request) {
	after, ok := versionParam(w, r, store.ParamAfter)
	if !ok {
		return
	}
	events, err := o.memory.Watch(r.Context(), r.URL.Query().Get(store.ParamPrefix), after)
	if err != nil {
		writeReadError(w, err)
		return
	}
	ping := time.NewTicker(o.pingInterval)
	defer ping.Stop()
	line := store.WireObject{}
	for {
		if !o.muted.Load() {
			writeLine(w, line)
			_ = http.NewResponseController(w).Flush()
		}
		select {
		case e, open := <-events:
			if !open {
				return
			}
			line = store.WireObject{Key: e.Object.Key, Version: e.Object.Version, Value: e.Object.Value, Deleted: e.Deleted}
		case <-ping.C:
			line = store.WireObject{}
		}
	}
}

// versionParam parses a numeric query parameter, or responds with an error.
func versionParam(w http.ResponseWriter, r *http.Request, name string) (int64, bool) {
	n, err := strconv.ParseInt(r.URL.Query().Get(name), 10, 64)
	if err != nil {
		http.Error(w, "parameter "+name+" is no number", http.StatusBadRequest)
		return 0, false
	}
	return n, true
}

// writeReadError responds to a read that failed.
func writeReadError(w http.ResponseWriter, err error) {
	if errors.Is(err, store.ErrNotFound) {
		http.Error(w, err.Error(), http.StatusNotFound)
		return
	}
	http.Error(w, err.Error(), http.StatusServiceUnavailable)
}

// writeResult responds to a write. If the outcome of the write is unknown, it
// closes the connection without a response.
func writeResult(w http.ResponseWriter, result store.WriteResult) {
	switch result := result.(type) {
	case store.Done:
		writeVersion(w, result.Version)
		w.WriteHeader(http.StatusOK)
	case store.Conflict:
		writeVersion(w, result.Current)
		w.WriteHeader(http.StatusConflict)
	case store.NotSent:
		http.Error(w, result.Err.Error(), http.StatusServiceUnavailable)
	case store.Unknown:
		panic(http.ErrAbortHandler)
	}
}

func writeVersion(w http.ResponseWriter, version int64) {
	w.Header().Set(store.HeaderVersion, strconv.FormatInt(version, 10))
}

func writeLine(w http.ResponseWriter, v any) {
	_ = json.NewEncoder(w).Encode(v)
}
