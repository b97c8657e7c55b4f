package conn

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/baobabdyke/baobabdyke/internal/gateway/intake"
)

const (
	// defaultIdleTimeout is how long a connection may be idle if the target
	// announces no timeout.
	defaultIdleTimeout = 4 * time.Second
	// idleTimeoutFraction is the part of an announced idle timeout that is used,
	// so that a request is not sent while the target closes the connection.
	idleTimeoutFraction = 0.5
	// maxIdlePerTarget bounds the idle connections to one target.
	maxIdlePerTarget = 16
)

// A Pool keeps idle connections to targets by address.
type Pool struct {
	// budget bounds the memory that responses take.
	budget *intake.Budget

	mu   sync.Mutex
	idle map[string][]*Conn

	dials, reuses, failures atomic.Int64
}

// NewPool returns a Pool without connections, with the budget for responses.
func NewPool(budget *intake.Budget) *Pool { return &Pool{budget: budget, idle: map[string][]*Conn{}} }

// Budget returns the budget for responses.
func (p *Pool) Budget() *intake.Budget { return p.budget }

// A Result is the outcome of a request: Unsent, Lost or Responded.
type Result interface{ result() }

// Unsent reports that no byte of the request has left this VM.
type Unsent struct{ Err error }

// Lost reports that the request was sent and that its response is not known.
type Lost struct{ Err error }

// Responded holds the header of the target's response. The caller must finish or
// abort its Exchange.
type Responded struct {
	Response *http.Response
	Exchange *Exchange
}

func (Unsent) result()    {}
func (Lost) result()      {}
func (Responded) result() {}

// Do sends a request to an address and waits for the header of the response. If
// fresh, it uses a new connection, so that a refused or silent target is detected
// before the request is sent. Cancelling ctx closes the connection.
func (p *Pool) Do(ctx context.Context, address string, r Request, fresh bool) Result {
	c, err := p.take(ctx, address, fresh)
	if err != nil {
		p.failures.Add(1)
		return Unsent{Err: err}
	}
	e := &Exchange{pool: p, conn: c, address: address}
	e.stop = context.AfterFunc(ctx, c.Close)
	e.written = c.write(r)
	resp, err := c.readResponse(r) //nolint:bodyclose // the caller reads the body and ends the exchange
	if err != nil {
		p.failures.Add(1)
		e.Abort()
		return Lost{Err: errors.Join(err, context.Cause(ctx))}
	}
	e.resp = resp
	return Responded{Response: resp, Exchange: e}
}

func (p *Pool) take(ctx context.Context, address string, fresh bool) (*Conn, error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	if !fresh {
		if c := p.takeIdle(address, time.Now()); c != nil {
			p.reuses.Add(1)
			return c, nil
		}
	}
	p.dials.Add(1)
	c, err := dial(ctx, address, p.budget)
	if err == nil && ctx.Err() != nil {
		c.Close()
		return nil, ctx.Err()
	}
	return c, err
}

func (p *Pool) takeIdle(address string, now time.Time) *Conn {
	for {
		p.mu.Lock()
		list := p.idle[address]
		if len(list) == 0 {
			p.mu.Unlock()
			return nil
		}
		c := list[len(list)-1]
		p.idle[address] = list[:len(list)-1]
		p.mu.Unlock()
		if now.Sub(c.idleSince) < c.idleTimeout && c.reusable() {
			return c
		}
		c.Close()
	}
}

func (p *Pool) put(address string, c *Conn) {
	c.idleSince = time.Now()
	p.mu.Lock()
	list := p.idle[address]
	if len(list) < maxIdlePerTarget {
		p.idle[address] = append(list, c)
		c = nil
	}
	p.mu.Unlock()
	if c != nil {
		c.Close()
	}
}

// Sweep closes connections that have been idle for too long.
func (p *Pool) Sweep(now time.Time) {
	p.mu.Lock()
	var expired []*Conn
	for address, list := range p.idle {
		n := 0
		for n < len(list) && now.Sub(list[n].idleSince) >= list[n].idleTimeout {
			n++
		}
		expired = append(expired, list[:n]...)
		if n == len(list) {
			delete(p.idle, address)
			continue
		}
		p.idle[address] = list[n:]
	}
	p.mu.Unlock()
	for _, c := range expired {
		c.Close()
	}
}

// Close closes all idle connections.
func (p *Pool) Close() {
	p.mu.Lock()
	all := p.idle
	p.idle = map[string][]*Conn{}
	p.mu.Unlock()
	for _, list := range all {
		for _, c := range list {
			c.Close()
		}
	}
}

// Probe opens a connection and adds it to the pool, to find out whether a target
// that failed accepts connections again.
func (p *Pool) Probe(ctx context.Context, address string) error {
	p.dials.Add(1)
	c, err := dial(ctx, address, p.budget)
	if err != nil {
		return err
	}
	c.idleTimeout = defaultIdleTimeout
	p.put(address, c)
	return nil
}

// Counts returns the number of connections that were dialled and reused, and the
// number of requests without a response.
func (p *Pool) Counts() (dials, reuses, failures int64) {
	return p.dials.Load(), p.reuses.Load(), p.failures.Load()
}

// An Exchange is a request whose response is being read.
type Exchange struct {
	pool    *Pool
	conn    *Conn
	address string
	resp    *http.Response
	written <-chan error
	stop    func() bool
}

// SetReadDeadline sets the deadline for reading the response's body.
func (e *Exchange) SetReadDeadline(t time.Time) error { return e.conn.net.SetReadDeadline(t) }

// Abort closes the connection, which makes the target abort the request.
func (e *Exchange) Abort() {
	e.stop()
	e.conn.source.release()
	e.conn.Close()
}

// Finish ends an exchange whose response was read completely. The connection is
// kept if both sides allow that and the request was written completely.
func (e *Exchange) Finish() {
	alive := e.stop()
	e.conn.source.release()
	unwritten := true
	select {
	case err := <-e.written:
		unwritten = err != nil
	default:
	}
	if !alive || unwritten || e.resp.Close || e.resp.ContentLength < 0 && !chunked(e.resp) {
		e.conn.Close()
		return
	}
	if e.conn.reader.Buffered() > 0 {
		// Further bytes belong to no request on this connection.
		e.conn.Close()
		return
	}
	e.conn.idleTimeout = defaultIdleTimeout
	if d := keepAlive(e.resp.Header); d > 0 {
		e.conn.idleTimeout = min(defaultIdleTimeout, time.Duration(float64(d)*idleTimeoutFraction))
	} else if e.resp.Header.Get("Keep-Alive") != "" {
		e.conn.idleTimeout = 0
	}
	_ = e.conn.net.SetReadDeadline(time.Time{})
	e.pool.put(e.address, e.conn)
}

// ReadBody reads a whole body of at most limit bytes. A truncated body is an error, and
// so is one that the budget has no room for. The body must be released.
func (e *Exchange) ReadBody(limit int64) (*intake.Body, error) {
	if e.resp.ContentLength > limit && e.resp.Request.Method != http.MethodHead {
		return nil, fmt.Errorf("%w: %d bytes, at most %d", intake.ErrTooLong, e.resp.ContentLength, limit)
	}
	return e.pool.budget.ReadLength(e.resp.Body, e.resp.ContentLength, limit)
}

func chunked(resp *http.Response) bool {
	return len(resp.TransferEncoding) > 0 && resp.TransferEncoding[0] == "chunked"
}
