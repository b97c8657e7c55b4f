package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// answerTime is how long the store takes for an answer, as on the sheet.
const answerTime = 4 * time.Millisecond

// An access is how the store treats the calls of one machine.
type access int

const (
	serves access = iota
	// busy answers 503 to each call. Nothing is done then.
	busy
	// resets closes each connection with a reset. Nothing is done then.
	resets
)

type metadata struct {
	Name       string   `json:"name"`
	Revision   int64    `json:"revision"`
	Created    int64    `json:"created"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

type change struct {
	kind     string
	object   object
	deleted  bool
	revision int64
}

// A call is one call of a machine, for the hook of a case.
type call struct {
	machine, method, kind, name string
	spec                        json.RawMessage
}

// A platformStore is the platform's metadata store. Each machine reaches it at an address of
// its own, so that the store can tell them apart.
type platformStore struct {
	mu       sync.Mutex
	objects  map[string]map[string]object
	history  []change
	revision int64
	changed  chan struct{}
	access   map[string]access
	// loses reports whether the answer to a write that was carried out is lost; nil is never.
	loses func(c call) bool
}

func newStore() *platformStore {
	return &platformStore{objects: map[string]map[string]object{}, revision: 1, changed: make(chan struct{}), access: map[string]access{}}
}

// serve listens for the calls of one machine and returns the address.
func (s *platformStore) serve(machine string) string {
	l := listen()
	go func() {
		_ = http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.handle(machine, w, r) }))
	}()
	return l.Addr().String()
}

// host is the loopback address of this process, so that several cases can run beside each other.
var host = fmt.Sprintf("127.%d.%d.1", 2+os.Getpid()/250%250, 1+os.Getpid()%250)

func listen() net.Listener {
	l, err := net.Listen("tcp", host+":0")
	if err != nil {
		unable("listen: %v", err)
	}
	return l
}

// setAccess changes how the calls of a machine are treated.
func (s *platformStore) setAccess(machine string, a access) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.access[machine] = a
	if a != serves {
		s.notify()
	}
}

func (s *platformStore) accessOf(machine string) access {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.access[machine]
}

func (s *platformStore) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes an object as the operator and the runners do, and returns the revision.
func (s *platformStore) put(kind, name string, spec any) int64 {
	data, err := json.Marshal(spec)
	if err != nil {
		unable("encode %s/%s: %v", kind, name, err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.set(kind, name, data).Metadata.Revision
}

// remove removes an object.
func (s *platformStore) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unset(kind, name)
}

// get returns the spec of an object, or nil.
func (s *platformStore) get(kind, name string) json.RawMessage {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.objects[kind][name].Spec
}

func (s *platformStore) set(kind, name string, spec json.RawMessage) object {
	old, ok := s.objects[kind][name]
	if ok && string(old.Spec) == string(spec) {
		return old
	}
	s.revision++
	o := object{Metadata: metadata{Name: name, Revision: s.revision, Created: s.revision, Finalizers: []string{}}, Spec: spec}
	if ok {
		o.Metadata.Created = old.Metadata.Created
	}
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]object{}
	}
	s.objects[kind][name] = o
	s.history = append(s.history, change{kind, o, false, s.revision})
	s.notify()
	return o
}

func (s *platformStore) unset(kind, name string) {
	o, ok := s.objects[kind][name]
	if !ok {
		return
	}
	s.revision++
	delete(s.objects[kind], name)
	s.history = append(s.history, change{kind, o, true, s.revision})
	s.notify()
}

// reset closes the connection of a call with a reset.
func reset(w http.ResponseWriter) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

func (s *platformStore) handle(machine string, w http.ResponseWriter, r *http.Request) {
	time.Sleep(answerTime)
	switch s.accessOf(machine) {
	case busy:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case resets:
		reset(w)
		return
	case serves:
	}
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/objects/"), "/")
	switch {
	case r.Method != http.MethodGet:
		s.write(machine, w, r, kind, name)
	case name != "":
		s.mu.Lock()
		o, ok := s.objects[kind][name]
		s.mu.Unlock()
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		reply(w, http.StatusOK, o)
	case r.URL.Query().Has("watch"):
		s.watch(machine, w, r, kind)
	default:
		s.list(w, kind)
	}
}

func (s *platformStore) list(w http.ResponseWriter, kind string) {
	s.mu.Lock()
	items := []object{}
	for _, o := range s.objects[kind] {
		items = append(items, o)
	}
	at := s.revision
	s.mu.Unlock()
	sort.Slice(items, func(i, j int) bool { return items[i].Metadata.Name < items[j].Metadata.Name })
	reply(w, http.StatusOK, map[string]any{"items": items, "hasMore": false, "at": at})
}

func (s *platformStore) watch(machine string, w http.ResponseWriter, r *http.Request, kind string) {
	after, _ := strconv.ParseInt(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	end := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer end.Stop()
	for {
		s.mu.Lock()
		events := []map[string]any{}
		for _, c := range s.history {
			if c.kind == kind && c.revision > after {
				events = append(events, map[string]any{"object": c.object, "deleted": c.deleted})
			}
		}
		at, changed, a := s.revision, s.changed, s.access[machine]
		s.mu.Unlock()
		if a != serves {
			// A watch that is waiting may be cut off.
			reset(w)
			return
		}
		over := false
		if len(events) == 0 {
			select {
			case <-changed:
				continue
			case <-r.Context().Done():
				return
			case <-end.C:
				over = true
			}
		}
		if len(events) > 0 || over {
			reply(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		}
	}
}

func (s *platformStore) write(machine string, w http.ResponseWriter, r *http.Request, kind, name string) {
	var in object
	if r.Method != http.MethodDelete {
		if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	expect := in.Metadata.Revision
	if name == "" {
		name = in.Metadata.Name
	}
	if q := r.URL.Query().Get("revision"); q != "" {
		expect, _ = strconv.ParseInt(q, 10, 64)
	}
	s.mu.Lock()
	status, out := s.apply(r.Method, kind, name, expect, in.Spec)
	loses := s.loses
	s.mu.Unlock()
	if status < http.StatusBadRequest && loses != nil && loses(call{machine, r.Method, kind, name, in.Spec}) {
		reset(w)
		return
	}
	reply(w, status, out)
}

// apply carries out a write. The caller holds mu.
func (s *platformStore) apply(method, kind, name string, expect int64, spec json.RawMessage) (int, any) {
	current, ok := s.objects[kind][name]
	switch {
	case method == http.MethodPost && ok:
		return http.StatusConflict, current
	case method == http.MethodPost:
		return http.StatusCreated, s.set(kind, name, spec)
	case !ok:
		return http.StatusNotFound, map[string]any{}
	case expect != 0 && current.Metadata.Revision != expect:
		return http.StatusConflict, current
	case method == http.MethodDelete:
		s.unset(kind, name)
		return http.StatusOK, current
	}
	return http.StatusOK, s.set(kind, name, spec)
}

func reply(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}
