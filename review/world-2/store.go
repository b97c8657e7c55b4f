package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// object is one object of the store.
type object struct {
	kind, name   string
	rev, created int64
	spec, status json.RawMessage
}

func (o *object) json() json.RawMessage {
	st := "null"
	if len(o.status) > 0 {
		st = string(o.status)
	}
	sp := "null"
	if len(o.spec) > 0 {
		sp = string(o.spec)
	}
	return json.RawMessage(fmt.Sprintf(`{"metadata":{"name":%q,"revision":%d,"created":%d,"finalizers":[],"deleting":false},"spec":%s,"status":%s}`, o.name, o.rev, o.created, sp, st))
}

type change struct {
	o       object
	deleted bool
	rev     int64
}

// store is the platform's metadata store.
type store struct {
	mu        sync.Mutex
	objs      map[string]*object
	hist      []change
	rev       int64
	compacted int64
	changed   chan struct{}
	log       func(string, ...any)
}

func newStore() *store {
	return &store{objs: map[string]*object{}, rev: 1, changed: make(chan struct{})}
}

func (s *store) notify() { close(s.changed); s.changed = make(chan struct{}) }

func (s *store) set(kind, name string, spec, status json.RawMessage) *object {
	s.rev++
	c := s.rev
	if old := s.objs[kind+"/"+name]; old != nil {
		c = old.created
	}
	o := &object{kind: kind, name: name, rev: s.rev, created: c, spec: spec, status: status}
	s.objs[kind+"/"+name] = o
	s.hist = append(s.hist, change{*o, false, s.rev})
	s.notify()
	return o
}

// put writes an object as the operator or a runner does.
func (s *store) put(kind, name string, spec any) int64 {
	data, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.set(kind, name, data, nil).rev
}

func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.del(kind, name)
}

func (s *store) del(kind, name string) {
	o := s.objs[kind+"/"+name]
	if o == nil {
		return
	}
	s.rev++
	delete(s.objs, kind+"/"+name)
	s.hist = append(s.hist, change{*o, true, s.rev})
	s.notify()
}

// port is one address of the store, through which one machine reaches it.
type port struct {
	s     *store
	mu    sync.Mutex
	mode  string // "", busy, many, reset, silent
	lose  bool   // writes are done and not answered
	wait  time.Duration
	conns map[net.Conn]bool
	l     net.Listener
}

func (p *port) set(mode string) {
	p.mu.Lock()
	p.mode = mode
	conns := p.conns
	if mode == "reset" || mode == "silent" {
		p.conns = map[net.Conn]bool{}
	} else {
		conns = nil
	}
	p.mu.Unlock()
	for c := range conns {
		if mode == "reset" {
			_ = c.Close()
		}
	}
	p.s.mu.Lock()
	p.s.notify()
	p.s.mu.Unlock()
}

func (s *store) listen() *port {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	p := &port{s: s, l: l, conns: map[net.Conn]bool{}}
	srv := &http.Server{Handler: p, ConnState: func(c net.Conn, st http.ConnState) {
		p.mu.Lock()
		defer p.mu.Unlock()
		if st == http.StateNew {
			p.conns[c] = true
		} else if st == http.StateClosed {
			delete(p.conns, c)
		}
	}}
	go func() { _ = srv.Serve(l) }()
	return p
}

func (p *port) addr() string { return p.l.Addr().String() }

func (p *port) fault(w http.ResponseWriter, r *http.Request) bool {
	p.mu.Lock()
	mode := p.mode
	p.mu.Unlock()
	switch mode {
	case "busy":
		w.WriteHeader(503)
		return true
	case "many":
		w.WriteHeader(429)
		return true
	case "reset":
		panic(http.ErrAbortHandler)
	case "silent":
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	return false
}

func (p *port) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if p.fault(w, r) {
		return
	}
	p.mu.Lock()
	wait, lose := p.wait, p.lose
	p.mu.Unlock()
	if wait == 0 {
		wait = 4 * time.Millisecond
	}
	time.Sleep(wait)
	s := p.s
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/objects/"), "/")
	name = strings.TrimSuffix(name, "/status")
	if r.Method == http.MethodGet {
		switch {
		case name != "":
			s.mu.Lock()
			o := s.objs[kind+"/"+name]
			s.mu.Unlock()
			if o == nil {
				w.WriteHeader(404)
				return
			}
			p.reply(w, r, 200, o.json())
		case r.URL.Query().Has("watch"):
			p.watch(w, r, kind)
		default:
			p.list(w, r, kind)
		}
		return
	}
	var in struct {
		Metadata struct {
			Name     string `json:"name"`
			Revision int64  `json:"revision"`
		} `json:"metadata"`
		Spec   json.RawMessage `json:"spec"`
		Status json.RawMessage `json:"status"`
	}
	body, _ := io.ReadAll(r.Body)
	_ = json.Unmarshal(body, &in)
	if name == "" {
		name = in.Metadata.Name
	}
	expect := in.Metadata.Revision
	if q := r.URL.Query().Get("revision"); q != "" {
		expect, _ = strconv.ParseInt(q, 10, 64)
	}
	s.mu.Lock()
	cur := s.objs[kind+"/"+name]
	status, o := 200, cur
	switch {
	case r.Method == http.MethodPost && cur != nil:
		status = 409
	case r.Method == http.MethodPost:
		status, o = 201, s.set(kind, name, in.Spec, in.Status)
	case cur == nil:
		status = 404
	case expect != 0 && cur.rev != expect:
		status = 409
	case r.Method == http.MethodDelete:
		s.del(kind, name)
	default:
		if string(cur.spec) != string(in.Spec) {
			o = s.set(kind, name, in.Spec, cur.status)
		}
	}
	s.mu.Unlock()
	if s.log != nil && status < 300 {
		s.log("store write %s %s/%s %s", r.Method, kind, name, in.Spec)
	}
	if lose {
		panic(http.ErrAbortHandler)
	}
	if o == nil {
		w.WriteHeader(status)
		return
	}
	p.reply(w, r, status, o.json())
}

func (p *port) reply(w http.ResponseWriter, r *http.Request, status int, body []byte) {
	if p.fault(w, r) {
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

func (p *port) list(w http.ResponseWriter, r *http.Request, kind string) {
	s := p.s
	s.mu.Lock()
	var names []string
	for _, o := range s.objs {
		if o.kind == kind {
			names = append(names, o.name)
		}
	}
	sort.Strings(names)
	items := []json.RawMessage{}
	for _, n := range names {
		items = append(items, s.objs[kind+"/"+n].json())
	}
	rev := s.rev
	s.mu.Unlock()
	data, _ := json.Marshal(map[string]any{"items": items, "hasMore": false, "at": rev})
	p.reply(w, r, 200, data)
}

func (p *port) watch(w http.ResponseWriter, r *http.Request, kind string) {
	s := p.s
	after, _ := strconv.ParseInt(r.URL.Query().Get("watch"), 10, 64)
	ms, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	end := time.NewTimer(time.Duration(ms) * time.Millisecond)
	defer end.Stop()
	for over := false; ; {
		s.mu.Lock()
		ch, rev := s.changed, s.rev
		gone := after < s.compacted
		events := []any{}
		for _, c := range s.hist {
			if c.rev > after && c.o.kind == kind {
				events = append(events, map[string]any{"object": c.o.json(), "deleted": c.deleted})
			}
		}
		s.mu.Unlock()
		if p.fault(w, r) {
			return
		}
		if gone {
			w.WriteHeader(410)
			return
		}
		if len(events) > 0 || over {
			data, _ := json.Marshal(map[string]any{"events": events, "at": rev})
			p.reply(w, r, 200, data)
			return
		}
		select {
		case <-ch:
		case <-end.C:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}
