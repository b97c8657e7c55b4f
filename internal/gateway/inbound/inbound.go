// Package inbound bounds callers' connections: how long they may be idle or take to send a
// header, by limits that change while connections are open, and how many there are.
//
// It is designed for an http.Server, whose own timeouts can't be changed while it runs.
package inbound

import (
	"container/list"
	"net"
	"net/http"
	"sync"
	"time"
)

// loweredDelay is how long a higher limit for idle connections still holds after it was
// lowered. Callers learn of the change later than this VM, and reuse connections meanwhile.
const loweredDelay = 10 * time.Second

// Limits are the bounds on connections; 0 leaves the server's own.
type Limits struct {
	// Idle is how long a connection may be idle, and Header how long the caller may take to
	// send the header of a request.
	Idle, Header time.Duration
}

// A Set is the set of open connections.
type Set struct {
	// max is the number of connections from which on idle ones are closed for new ones.
	max int

	mu     sync.Mutex
	limits Limits
	// lowered is the limit for idle connections before it was lowered at loweredAt.
	lowered   time.Duration
	loweredAt time.Time
	open      int
	// idle holds the idle connections, those that have been idle for longest first.
	idle *list.List
}

// NewSet returns an empty Set that makes room for new connections from the given number on.
func NewSet(limit int) *Set { return &Set{max: limit, idle: list.New()} }

// SetLimits changes the limits for connections that become idle, or begin a request, from
// now on.
func (s *Set) SetLimits(l Limits, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if l == s.limits {
		return
	}
	if l.Idle != 0 && (s.limits.Idle == 0 || l.Idle < s.limits.Idle) {
		s.lowered, s.loweredAt = s.limits.Idle, now
	}
	s.limits = l
}

// idleLimit returns how long a connection that becomes idle now may be so. The caller holds
// mu.
func (s *Set) idleLimit(now time.Time) time.Duration {
	if now.Sub(s.loweredAt) < loweredDelay && s.limits.Idle < s.lowered {
		return s.lowered
	}
	return s.limits.Idle
}

// nextLimit returns the limit for the read deadline that the server sets now.
func (s *Set) nextLimit(c *Conn, now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !c.becomesIdle {
		return s.limits.Header
	}
	c.becomesIdle = false
	return s.idleLimit(now)
}

// Track follows the state of a connection, for the field ConnState of an http.Server.
func (s *Set) Track(c net.Conn, state http.ConnState) {
	conn, ok := c.(*Conn)
	if !ok {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if conn.element != nil {
		s.idle.Remove(conn.element)
		conn.element = nil
	}
	switch state {
	case http.StateNew:
		s.open++
	case http.StateIdle:
		conn.becomesIdle = true
		conn.element = s.idle.PushBack(conn)
	case http.StateClosed, http.StateHijacked:
		s.open--
	case http.StateActive:
	}
}

// makeRoom closes the connection that has been idle for longest if there are too many.
func (s *Set) makeRoom() {
	s.mu.Lock()
	defer s.mu.Unlock()
	oldest := s.idle.Front()
	if s.open < s.max || oldest == nil {
		return
	}
	conn := s.idle.Remove(oldest).(*Conn)
	conn.element = nil
	// The server closes it when its wait for a request fails.
	_ = conn.Conn.SetReadDeadline(time.Unix(1, 0))
}

// A Listener is a listener whose connections belong to a Set.
type Listener struct {
	net.Listener
	Set *Set
}

// Accept implements net.Listener.
func (l Listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.Set.makeRoom()
	return &Conn{Conn: c, set: l.Set}, nil
}

// A Conn is the connection of a caller.
type Conn struct {
	net.Conn
	set *Set

	// The set's mu guards the fields below.

	// element is the connection's element of the idle ones; nil if it is not idle.
	element *list.Element
	// becomesIdle reports whether the next read deadline is that of an idle connection.
	becomesIdle bool
}

// NetConn returns the connection beneath.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// SetReadDeadline implements net.Conn. The server sets a deadline when a connection becomes
// idle and when it begins to read a header; the limit for it replaces a later one.
func (c *Conn) SetReadDeadline(t time.Time) error {
	now := time.Now()
	if !t.After(now) {
		return c.Conn.SetReadDeadline(t)
	}
	limit := c.set.nextLimit(c, now)
	if end := now.Add(limit); limit > 0 && end.Before(t) {
		t = end
	}
	return c.Conn.SetReadDeadline(t)
}
