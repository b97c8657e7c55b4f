package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// A meta is the metadata of an object of the platform's store.
type meta struct {
	Name       string   `json:"name"`
	Revision   int64    `json:"revision"`
	Created    int64    `json:"created"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

// An object is an object of the platform's store.
type object struct {
	Metadata meta            `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

// An event is one change of an object.
type event struct {
	Object  object `json:"object"`
	Deleted bool   `json:"deleted"`
	kind    string
	at      int64
}

// A platformStore is a stand-in for the platform's store: linearizable, with one
// counter of revisions and watches.
type platformStore struct {
	listener net.Listener

	mu       sync.Mutex
	revision int64
	objects  map[string]object
	events   []event
	changed  chan struct{}
	// waiting holds, by kind, the connections of the watches that wait for a change.
	waiting map[string]map[net.Conn]struct{}
}

func newPlatformStore() *platformStore {
	s := &platformStore{
		listener: listen(), revision: 100, objects: map[string]object{}, changed: make(chan struct{}),
		waiting: map[string]map[net.Conn]struct{}{},
	}
	server := &http.Server{Handler: s, ConnContext: withConn}
	go func() { _ = server.Serve(s.listener) }()
	return s
}

func (s *platformStore) address() string { return s.listener.Addr().String() }

// put writes an object as the operator or a runner does, and returns the time of the
// acknowledgement.
func (s *platformStore) put(kind, name string, spec any) time.Time {
	data, err := json.Marshal(spec)
	check(err)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.store(kind, name, data)
	return time.Now()
}

// remove removes an object and returns the time of the acknowledgement.
func (s *platformStore) remove(kind, name string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delete(kind, name)
	return time.Now()
}

// cutWatches cuts off the watches of a kind that are waiting, and returns their number.
func (s *platformStore) cutWatches(kind string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := len(s.waiting[kind])
	for c := range s.waiting[kind] {
		_ = c.Close()
	}
	return n
}

// store writes an object. The caller holds mu.
func (s *platformStore) store(kind, name string, spec json.RawMessage) object {
	key := kind + "/" + name
	old, ok := s.objects[key]
	if ok && string(old.Spec) == string(spec) {
		return old
	}
	s.revision++
	o := object{Metadata: meta{Name: name, Revision: s.revision, Created: s.revision, Finalizers: []string{}}, Spec: spec, Status: json.RawMessage("null")}
	if ok {
		o.Metadata.Created = old.Metadata.Created
	}
	s.objects[key] = o
	s.record(event{Object: o, kind: kind, at: s.revision})
	return o
}

// delete removes an object. The caller holds mu.
func (s *platformStore) delete(kind, name string) {
	o, ok := s.objects[kind+"/"+name]
	if !ok {
		return
	}
	s.revision++
	delete(s.objects, kind+"/"+name)
	s.record(event{Object: o, Deleted: true, kind: kind, at: s.revision})
}

func (s *platformStore) record(e event) {
	s.events = append(s.events, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *platformStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/objects/"), "/")
	switch {
	case r.Method != http.MethodGet:
		s.write(w, r, kind, name)
	case name != "":
		s.mu.Lock()
		o, ok := s.objects[kind+"/"+name]
		s.mu.Unlock()
		if !ok {
			reply(w, http.StatusNotFound, nil)
			return
		}
		reply(w, http.StatusOK, o)
	case r.URL.Query().Has("watch"):
		s.watch(w, r, kind)
	default:
		s.list(w, r, kind)
	}
}

func (s *platformStore) list(w http.ResponseWriter, r *http.Request, kind string) {
	s.mu.Lock()
	items := []object{}
	for key, o := range s.objects {
		if strings.HasPrefix(key, kind+"/") && o.Metadata.Name > r.URL.Query().Get("after") {
			items = append(items, o)
		}
	}
	at := s.revision
	s.mu.Unlock()
	sort.Slice(items, func(i, j int) bool { return items[i].Metadata.Name < items[j].Metadata.Name })
	reply(w, http.StatusOK, map[string]any{"items": items, "hasMore": false, "at": at})
}

func (s *platformStore) watch(w http.ResponseWriter, r *http.Request, kind string) {
	after, _ := strconv.ParseInt(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	deadline := time.After(time.Duration(min(wait, 30000)) * time.Millisecond)
	conn, _ := r.Context().Value(connKey{}).(net.Conn)
	for {
		s.mu.Lock()
		found := []event{}
		for _, e := range s.events {
			if e.kind == kind && e.at > after {
				found = append(found, e)
			}
		}
		at, changed := s.revision, s.changed
		s.wait(kind, conn, len(found) == 0)
		s.mu.Unlock()
		if len(found) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": found, "at": at})
			return
		}
		// The header is sent while the watch waits, as is usual for streams of changes.
		w.Header().Set("Content-Type", "application/json")
		_ = http.NewResponseController(w).Flush()
		select {
		case <-changed:
		case <-r.Context().Done():
			s.mu.Lock()
			s.wait(kind, conn, false)
			s.mu.Unlock()
			return
		case <-deadline:
			s.mu.Lock()
			s.wait(kind, conn, false)
			s.mu.Unlock()
			reply(w, http.StatusOK, map[string]any{"events": []event{}, "at": at})
			return
		}
	}
}

// wait records whether a watch is waiting. The caller holds mu.
func (s *platformStore) wait(kind string, conn net.Conn, waits bool) {
	if s.waiting[kind] == nil {
		s.waiting[kind] = map[net.Conn]struct{}{}
	}
	if waits && conn != nil {
		s.waiting[kind][conn] = struct{}{}
		return
	}
	delete(s.waiting[kind], conn)
}

func (s *platformStore) write(w http.ResponseWriter, r *http.Request, kind, name string) {
	var in object
	if r.Method != http.MethodDelete {
		if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
			reply(w, http.StatusBadRequest, nil)
			return
		}
	}
	expected := in.Metadata.Revision
	if name == "" {
		name = in.Metadata.Name
	}
	if q := r.URL.Query().Get("revision"); q != "" {
		expected, _ = strconv.ParseInt(q, 10, 64)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current, ok := s.objects[kind+"/"+name]
	switch {
	case r.Method == http.MethodPost && ok, ok && expected != 0 && expected != current.Metadata.Revision:
		reply(w, http.StatusConflict, current)
	case r.Method == http.MethodPost:
		reply(w, http.StatusCreated, s.store(kind, name, in.Spec))
	case !ok:
		reply(w, http.StatusNotFound, nil)
	case r.Method == http.MethodDelete:
		s.delete(kind, name)
		reply(w, http.StatusOK, current)
	default:
		reply(w, http.StatusOK, s.store(kind, name, in.Spec))
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	if w.Header().Get("Content-Type") == "" {
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(status)
	}
	if body != nil {
		data, err := json.Marshal(body)
		check(err)
		_, _ = w.Write(data)
	}
}

func check(err error) {
	if err != nil {
		panic(fmt.Sprintf("stand-in: %v", err))
	}
}
