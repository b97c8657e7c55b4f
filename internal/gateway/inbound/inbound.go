// Package inbound bounds callers' connections: how long they may be idle or take to send a
// header, by limits that change while connections are open, how many there are, and what
// their headers take of the memory.
//
// It is designed for an http.Server, whose own timeouts can't be changed while it runs.
package inbound

import (
	"container/list"
	"expvar"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/baobabdyke/baobabdyke/internal/gateway/intake"
)

const (
	// connCost is what an open connection takes that has carried a request: two buffers and
	// a stack that has grown. 2,500 silent ones took 10 KB each. With 10 KB, 1,800 callers
	// that don't read their answers took 68 MB of 64 MB.
	connCost = 20 << 10
	// headerFactor is how much memory a byte of a header takes: the read buffers, which
	// grow by doubling and leave garbage, and the fields. With 2, 2,500 header lines without
	// an end took 60 MB of 64 MB.
	headerFactor = 4
	// usualHeader is the time within which the header of a sound caller arrives mostly, and
	// usualCall that within which a call of another VM is answered.
	usualHeader, usualCall = 500 * time.Millisecond, 10 * time.Second
	// messageFactor is the same for a message of another VM, whose buffers double.
	messageFactor = 3
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
	// idle holds the idle connections, those that have been idle for longest first, and
	// heads those that have not sent a whole header, the longest first.
	idle, heads *list.List

	// Memory is the budget for connections and headers; nil is none. It is set before the
	// first connection.
	Memory *intake.Memory
	// Messages reports whether the connections carry messages in place of requests: what
	// arrives counts as a header until something is written.
	Messages bool
	// closedIdle, closedHeads and closedNew count the connections that were closed for
	// others, and those that were closed at once.
	closedIdle, closedHeads, closedNew atomic.Int64
}

// Vars returns the counters for expvar.
func (s *Set) Vars() expvar.Func {
	return func() any {
		s.mu.Lock()
		defer s.mu.Unlock()
		return map[string]int64{
			"open": int64(s.open), "idle": int64(s.idle.Len()), "heads": int64(s.heads.Len()),
			"closed_idle": s.closedIdle.Load(), "closed_heads": s.closedHeads.Load(), "closed_new": s.closedNew.Load(),
		}
	}
}

// NewSet returns an empty Set of at most the given number of connections.
func NewSet(limit int) *Set { return &Set{max: limit, idle: list.New(), heads: list.New()} }

// Closed returns how many connections were closed for others so far.
func (s *Set) Closed() int64 {
	return s.closedIdle.Load() + s.closedHeads.Load() + s.closedNew.Load()
}

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
	switch state {
	case http.StateNew:
	case http.StateIdle:
		conn.becomesIdle = true
		conn.list(s.idle)
		conn.dropHeader()
		conn.inHeader.Store(true)
	case http.StateClosed, http.StateHijacked:
		s.forget(conn)
	case http.StateActive:
		conn.inHeader.Store(false)
		conn.list(nil)
	}
}

// add adds a new connection and reports whether there is room for it.
func (s *Set) add(c *Conn) bool {
	s.mu.Lock()
	for s.open >= s.max || !s.Memory.Reserve(intake.Connections, connCost) {
		if !s.closeOne() {
			s.closedNew.Add(1)
			s.mu.Unlock()
			// Requests that make no progress must not keep others out.
			s.Memory.EvictStalled()
			return false
		}
	}
	s.open++
	c.counted = true
	c.list(s.heads)
	c.inHeader.Store(true)
	s.mu.Unlock()
	return true
}

// closeOne closes a connection for others and reports whether there was one to close: that
// which has taken longest for a header, unless this is usual, then that which has been idle
// for longest, then the first again. The caller holds mu.
func (s *Set) closeOne() bool {
	usual := usualHeader
	if s.Messages {
		usual = usualCall
	}
	if first := s.heads.Front(); first != nil && time.Since(first.Value.(*Conn).since) > usual {
		return s.closeFirst(s.heads, &s.closedHeads)
	}
	return s.closeFirst(s.idle, &s.closedIdle) || s.closeFirst(s.heads, &s.closedHeads)
}

func (s *Set) closeFirst(l *list.List, count *atomic.Int64) bool {
	first := l.Front()
	if first == nil {
		return false
	}
	count.Add(1)
	conn := first.Value.(*Conn)
	s.forget(conn)
	_ = conn.Conn.Close()
	return true
}

// forget removes a connection that ends. The caller holds mu.
func (s *Set) forget(c *Conn) {
	c.list(nil)
	c.inHeader.Store(false)
	if !c.counted {
		return
	}
	c.counted = false
	s.open--
	c.dropHeader()
	s.Memory.Release(intake.Connections, connCost)
}

// received counts bytes of a header. Where there is no room for them, the connections that
// have taken longest for theirs are closed, which may be this one.
func (s *Set) received(c *Conn, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !c.inHeader.Load() || !c.counted {
		return
	}
	if c.in != s.heads {
		c.list(s.heads)
	}
	cost := int64(n) * headerFactor
	if s.Messages {
		cost = int64(n) * messageFactor
	}
	for !s.Memory.Reserve(intake.Headers, cost) {
		if !s.closeOne() || !c.counted {
			return
		}
	}
	c.header += cost
}

// answered takes note that messages were received whole.
func (s *Set) answered(c *Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.dropHeader()
	if c.counted {
		c.list(s.idle)
	}
}

// A Listener is a listener whose connections belong to a Set.
type Listener struct {
	net.Listener
	Set *Set
}

// Accept implements net.Listener.
func (l Listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		conn := &Conn{Conn: c, set: l.Set}
		if l.Set.add(conn) {
			return conn, nil
		}
		_ = c.Close()
	}
}

// A Conn is the connection of a caller.
type Conn struct {
	net.Conn
	set *Set
	// inHeader reports whether what is read belongs to a header.
	inHeader atomic.Bool

	// The set's mu guards the fields below.

	// element is the connection's element of the list that it is in; nil if in none.
	in      *list.List
	element *list.Element
	// counted reports whether the connection counts as open.
	counted bool
	// since is when the connection came into its list.
	since time.Time
	// header is what the header takes of the memory.
	header int64
	// becomesIdle reports whether the next read deadline is that of an idle connection.
	becomesIdle bool
}

// list moves the connection to the end of a list; nil is none. The caller holds the set's mu.
func (c *Conn) list(l *list.List) {
	if c.element != nil {
		c.in.Remove(c.element)
		c.element = nil
	}
	if c.in = l; l != nil {
		c.element, c.since = l.PushBack(c), time.Now()
	}
}

// dropHeader returns the memory of the header. The caller holds the set's mu.
func (c *Conn) dropHeader() {
	c.set.Memory.Release(intake.Headers, c.header)
	c.header = 0
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && c.inHeader.Load() {
		c.set.received(c, n)
	}
	return n, err
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	if c.set.Messages {
		c.set.answered(c)
	}
	return c.Conn.Write(p)
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.set.mu.Lock()
	c.set.forget(c)
	c.set.mu.Unlock()
	return c.Conn.Close()
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
