package fake

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// A SiteStore is an HTTP stand-in for the object store of an operator's site. Its
// faults may be changed while it serves.
type SiteStore struct {
	mu                sync.Mutex
	objects           map[string]*siteObject
	history           []siteChange
	revision          int64
	compactedRevision int64
	era               int64
	changed           chan struct{}
	faults            SiteStoreFaults
	pageSize          int
	calls             int
}

// SiteStoreFaults are the failures that a SiteStore simulates.
type SiteStoreFaults struct {
	// ErrorStatus is the status with which every call fails, or 0.
	ErrorStatus int
	// Hang leaves every call open without a response.
	Hang bool
	// DropWriteResponses executes writes and closes the connection without a
	// response.
	DropWriteResponses bool
}

type siteMeta struct {
	Name     string `json:"name"`
	Revision int64  `json:"revision"`
}

type siteObject struct {
	Meta siteMeta        `json:"metadata"`
	Spec json.RawMessage `json:"spec"`
	// Status is what the system has written about the object, if anything.
	Status json.RawMessage `json:"status,omitempty"`
	kind   string
	// item is sent in place of the object, if it is set.
	item []byte
}

// encode returns the object as it is sent. The spec is not checked.
func (o *siteObject) encode() []byte {
	if o.item != nil {
		return o.item
	}
	meta, err := json.Marshal(o.Meta)
	if err != nil {
		panic(err)
	}
	status := ""
	if len(o.Status) > 0 {
		status = `,"status":` + string(o.Status)
	}
	return fmt.Appendf(nil, `{"metadata":%s,"spec":%s%s}`, meta, cmp.Or(string(o.Spec), "null"), status)
}

type siteChange struct {
	object   siteObject
	deleted  bool
	revision int64
}

// NewSiteStore returns an empty SiteStore.
func NewSiteStore() *SiteStore {
	return &SiteStore{objects: map[string]*siteObject{}, revision: 1, era: 1, changed: make(chan struct{})}
}

// rewrittenKinds are the kinds whose objects the operator and the targets write
// again after a restore.
var rewrittenKinds = []string{"config", "servers", "versions", "rollouts"}

// A SiteStoreCopy is the content of a SiteStore at one revision.
type SiteStoreCopy struct {
	objects           map[string]*siteObject
	history           []siteChange
	revision          int64
	compactedRevision int64
}

// Copy returns a copy of the content.
func (s *SiteStore) Copy() *SiteStoreCopy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return &SiteStoreCopy{
		objects: maps.Clone(s.objects), history: slices.Clone(s.history),
		revision: s.revision, compactedRevision: s.compactedRevision,
	}
}

// Restore replaces the content by an earlier copy and starts the next era. Revisions
// after that of the copy are given out again. What the operator and the targets have
// written since the copy is written again after delay; all else is lost.
func (s *SiteStore) Restore(c *SiteStoreCopy, delay time.Duration) {
	s.mu.Lock()
	lost := s.objects
	s.objects, s.history = maps.Clone(c.objects), slices.Clone(c.history)
	s.revision, s.compactedRevision = c.revision, c.compactedRevision
	s.era++
	era := s.era
	s.notifyWatches()
	s.mu.Unlock()
	rewrite := func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.era == era {
			s.rewrite(lost, c.objects)
		}
	}
	if delay == 0 {
		rewrite()
		return
	}
	time.AfterFunc(delay, rewrite)
}

// rewrite repeats the changes of the operator and the targets that led from one
// content to another, unless there were further changes. The caller holds mu.
func (s *SiteStore) rewrite(lost, restored map[string]*siteObject) {
	isLost := func(key string, o *siteObject) bool {
		return slices.Contains(rewrittenKinds, o.kind) && s.objects[key] == restored[key]
	}
	for _, key := range slices.Sorted(maps.Keys(lost)) {
		if o := lost[key]; isLost(key, o) && o != restored[key] {
			s.put(o.kind, o.Meta.Name, o.Spec)
		}
	}
	for _, key := range slices.Sorted(maps.Keys(restored)) {
		if o := restored[key]; isLost(key, o) && lost[key] == nil {
			s.remove(o.kind, o.Meta.Name)
		}
	}
}

// headerEra is the header of all responses that counts how often the store came back
// from a copy.
const headerEra = "Store-Era"

// setEra sets the era of a response. The caller holds mu, and has held it since it
// read what it responds.
func (s *SiteStore) setEra(w http.ResponseWriter) {
	w.Header().Set(headerEra, strconv.FormatInt(s.era, 10))
}

// SetFaults replaces the faults. Waiting watches are aborted, unless f is empty
// or sets DropWriteResponses.
func (s *SiteStore) SetFaults(f SiteStoreFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.notifyWatches()
}

// DropHistory removes all recorded changes, so that watches from an earlier
// revision fail with 410 Gone.
func (s *SiteStore) DropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.compactedRevision = nil, s.revision
	s.notifyWatches()
}

// Put writes an object, as an operator or a target would.
func (s *SiteStore) Put(kind, name string, spec any) {
	data, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.PutRaw(kind, name, data)
}

// PutRaw writes an object whose spec is not checked.
func (s *SiteStore) PutRaw(kind, name string, spec []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(kind, name, spec)
}

// PutItem writes an object that is sent as the given text, including its metadata.
func (s *SiteStore) PutItem(kind, name string, item []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(kind, name, nil)
	s.objects[kind+"/"+name].item = item
	s.history[len(s.history)-1].object.item = item
}

// SetPageSize sets the number of objects on a page of a list; 0 is no limit.
func (s *SiteStore) SetPageSize(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pageSize = n
}

// Status returns the status of an object, or nil.
func (s *SiteStore) Status(kind, name string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o := s.objects[kind+"/"+name]; o != nil {
		return o.Status
	}
	return nil
}

// Remove removes an object, if it exists.
func (s *SiteStore) Remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(kind, name)
}

// Revision returns the revision of the last change.
func (s *SiteStore) Revision() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

// Calls returns the number of calls received.
func (s *SiteStore) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

func (s *SiteStore) put(kind, name string, spec []byte) { s.putWithStatus(kind, name, spec, nil) }

func (s *SiteStore) putWithStatus(kind, name string, spec, status []byte) *siteObject {
	s.revision++
	o := &siteObject{Meta: siteMeta{Name: name, Revision: s.revision}, Spec: spec, Status: status, kind: kind}
	s.objects[kind+"/"+name] = o
	s.history = append(s.history, siteChange{object: *o, revision: s.revision})
	s.notifyWatches()
	return o
}

func (s *SiteStore) remove(kind, name string) {
	o, ok := s.objects[kind+"/"+name]
	if !ok {
		return
	}
	s.revision++
	delete(s.objects, kind+"/"+name)
	s.history = append(s.history, siteChange{object: *o, deleted: true, revision: s.revision})
	s.notifyWatches()
}

// notifyWatches makes all waiting watches check for changes. The caller holds mu.
func (s *SiteStore) notifyWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *SiteStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	faults := s.faults
	s.calls++
	s.setEra(w)
	s.mu.Unlock()
	switch {
	case faults.Hang:
		<-r.Context().Done()
		return
	case faults.ErrorStatus != 0:
		w.WriteHeader(faults.ErrorStatus)
		return
	}
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/objects/"), "/")
	switch {
	case r.Method != http.MethodGet:
		s.write(w, r, kind, name, faults.DropWriteResponses)
	case name != "":
		s.get(w, kind, name)
	case r.URL.Query().Has("watch"):
		s.watch(w, r, kind)
	default:
		s.list(w, r, kind)
	}
}

func (s *SiteStore) get(w http.ResponseWriter, kind, name string) {
	s.mu.Lock()
	o, ok := s.objects[kind+"/"+name]
	s.setEra(w)
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, http.StatusOK, o.encode())
}

func (s *SiteStore) list(w http.ResponseWriter, r *http.Request, kind string) {
	after := r.URL.Query().Get("after")
	s.mu.Lock()
	var listed []*siteObject
	for _, o := range s.objects {
		if o.kind == kind && o.Meta.Name > after {
			listed = append(listed, o)
		}
	}
	revision, pageSize := s.revision, s.pageSize
	s.setEra(w)
	s.mu.Unlock()
	slices.SortFunc(listed, func(a, b *siteObject) int { return strings.Compare(a.Meta.Name, b.Meta.Name) })
	more := pageSize > 0 && len(listed) > pageSize
	if more {
		listed = listed[:pageSize]
	}
	var items [][]byte
	for _, o := range listed {
		items = append(items, o.encode())
	}
	reply(w, http.StatusOK, fmt.Appendf(nil, `{"items":[%s],"hasMore":%t,"at":%d}`, bytes.Join(items, []byte(",")), more, revision))
}

func (s *SiteStore) watch(w http.ResponseWriter, r *http.Request, kind string) {
	after, _ := strconv.ParseInt(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for era := int64(0); ; {
		s.mu.Lock()
		events, revision, faults, changed := s.changesSince(kind, after), s.revision, s.faults, s.changed
		gone := after < s.compactedRevision || after > s.revision
		restored := era != 0 && era != s.era
		era = s.era
		s.setEra(w)
		s.mu.Unlock()
		if restored || faults != (SiteStoreFaults{}) && !faults.DropWriteResponses {
			panic(http.ErrAbortHandler)
		}
		if gone {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(events) > 0 {
			replyEvents(w, events, revision)
			return
		}
		select {
		case <-timer.C:
			replyEvents(w, events, revision)
			return
		case <-changed:
		case <-r.Context().Done():
			return
		}
	}
}

func (s *SiteStore) changesSince(kind string, after int64) (events [][]byte) {
	for _, c := range s.history {
		if c.object.kind == kind && c.revision > after {
			events = append(events, fmt.Appendf(nil, `{"object":%s,"deleted":%t}`, c.object.encode(), c.deleted))
		}
	}
	return events
}

func replyEvents(w http.ResponseWriter, events [][]byte, revision int64) {
	reply(w, http.StatusOK, fmt.Appendf(nil, `{"events":[%s],"at":%d}`, bytes.Join(events, []byte(",")), revision))
}

func (s *SiteStore) write(w http.ResponseWriter, r *http.Request, kind, name string, dropResponse bool) {
	var in siteObject
	if r.Method != http.MethodDelete {
		if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	expect := in.Meta.Revision
	if name == "" {
		name = in.Meta.Name
	}
	if q := r.URL.Query().Get("revision"); q != "" {
		expect, _ = strconv.ParseInt(q, 10, 64)
	}
	s.mu.Lock()
	status, o := s.apply(r.Method, kind, name, expect, in.Spec, in.Status)
	s.setEra(w)
	s.mu.Unlock()
	if dropResponse {
		panic(http.ErrAbortHandler)
	}
	var body []byte
	if o != nil {
		body = o.encode()
	}
	reply(w, status, body)
}

// apply executes a write. The caller holds mu.
func (s *SiteStore) apply(method, kind, name string, expect int64, spec, objectStatus []byte) (int, *siteObject) {
	current, ok := s.objects[kind+"/"+name]
	switch {
	case method == http.MethodPost && ok:
		return http.StatusConflict, current
	case method == http.MethodPost:
		return http.StatusCreated, s.putWithStatus(kind, name, spec, objectStatus)
	case !ok:
		return http.StatusNotFound, nil
	case expect != 0 && current.Meta.Revision != expect:
		return http.StatusConflict, current
	case method == http.MethodDelete:
		s.remove(kind, name)
		return http.StatusOK, current
	}
	return http.StatusOK, s.putWithStatus(kind, name, spec, objectStatus)
}

func reply(w http.ResponseWriter, status int, body []byte) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(body)
}
