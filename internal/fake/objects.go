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

// objectsPing is the time between two signs of life of a watch.
const objectsPing = time.Second

// Objects is an HTTP stand-in of the platform: its object API and its list of
// VMs, over a store.Memory whose fault switches apply.
type ObjectStore struct {
	memory *store.Memory
	ping   time.Duration
	mute   atomic.Bool
}

// NewObjects returns a stand-in over m.
func NewObjectStore(m *store.Memory) *ObjectStore {
	return &ObjectStore{memory: m, ping: objectsPing}
}

// Mute makes open and later watches send nothing at all while it is set, as a
// connection does that something between its ends has lost.
func (o *ObjectStore) MuteWatches(mute bool) { o.mute.Store(mute) }

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
		objectError(w, err)
		return
	}
	writeVersion(w, object.Version)
	_, _ = w.Write(object.Value)
}

func (o *ObjectStore) list(w http.ResponseWriter, r *http.Request) {
	objects, err := o.memory.List(r.Context(), r.URL.Query().Get(store.ParamPrefix))
	if err != nil {
		objectError(w, err)
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
	// A request that arrived whole is carried out though its caller goes away.
	ctx := context.WithoutCancel(r.Context())
	objectWritten(w, o.memory.Put(ctx, key, value, expect))
}

func (o *ObjectStore) remove(w http.ResponseWriter, r *http.Request, key string) {
	expect, ok := versionParam(w, r, store.ParamExpect)
	if !ok {
		return
	}
	objectWritten(w, o.memory.Delete(context.WithoutCancel(r.Context()), key, expect))
}

func (o *ObjectStore) vms(w http.ResponseWriter, r *http.Request) {
	vms, err := o.memory.VMs(r.Context())
	if err != nil {
		objectError(w, err)
		return
	}
	writeLine(w, vms)
}

// watch sends one line for each change, and an empty object as a sign of life.
func (o *ObjectStore) watch(w http.ResponseWriter, r *http.Request) {
	after, ok := versionParam(w, r, store.ParamAfter)
	if !ok {
		return
	}
	events, err := o.memory.Watch(r.Context(), r.URL.Query().Get(store.ParamPrefix), after)
	if err != nil {
		objectError(w, err)
		return
	}
	ping := time.NewTicker(o.ping)
	defer ping.Stop()
	line := store.WireObject{}
	for {
		if !o.mute.Load() {
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

// versionParam reads a query parameter, or answers that it is missing.
func versionParam(w http.ResponseWriter, r *http.Request, name string) (int64, bool) {
	n, err := strconv.ParseInt(r.URL.Query().Get(name), 10, 64)
	if err != nil {
		http.Error(w, "parameter "+name+" is no number", http.StatusBadRequest)
		return 0, false
	}
	return n, true
}

// objectError answers a read that failed.
func objectError(w http.ResponseWriter, err error) {
	if errors.Is(err, store.ErrNotFound) {
		http.Error(w, err.Error(), http.StatusNotFound)
		return
	}
	http.Error(w, err.Error(), http.StatusServiceUnavailable)
}

// objectWritten answers a write. A write whose outcome is unknown ends the
// connection without an answer.
func objectWritten(w http.ResponseWriter, result store.WriteResult) {
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
