package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/rotisserie/eris"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcerr"
	"storj.io/drpc/drpcmetadata"
)

const (
	// DefaultTimeout bounds a call whose context has no deadline.
	DefaultTimeout = 2 * time.Second
	// maxTimeout bounds every call.
	maxTimeout = 30 * time.Second
	// clientIdle is how long an unused connection is kept.
	clientIdle = 30 * time.Second
	// maxIdle is the number of unused connections kept to one VM.
	maxIdle = 2
)

// ClientOptions are the parameters of a Client. Self is the id of this VM. TLS
// is nil for plain TCP.
type ClientOptions struct {
	Self   string
	Secret []byte
	TLS    *tls.Config
	Log    log.Logger
}

// A Client calls other VMs. It is a Caller. A connection carries one call at a
// time. A connection whose call has timed out is closed with all unused ones
// to that VM, since a silent connection does not recover and a new one may
// work.
type Client struct {
	opts   ClientOptions
	dialer net.Dialer

	mu   sync.Mutex
	idle map[Destination][]idleConn

	calls  atomic.Int64
	failed atomic.Int64
	dials  atomic.Int64
}

type idleConn struct {
	conn  *drpcconn.Conn
	since time.Time
}

var _ Caller = (*Client)(nil)

// NewClient returns a Client without connections.
func NewClient(opts ClientOptions) *Client {
	if opts.Log == nil {
		opts.Log = log.NewNopLogger()
	}
	return &Client{opts: opts, idle: map[Destination][]idleConn{}}
}

// Call implements Caller.
func (c *Client) Call(ctx context.Context, to Destination, call string, req, resp any) error {
	ctx, cancel := boundCall(ctx)
	defer cancel()
	c.calls.Add(1)
	conn, err := c.take(ctx, to)
	if err != nil {
		c.failed.Add(1)
		return eris.Wrapf(err, "dial VM %s", to.VM)
	}
	err = conn.Invoke(c.withMetadata(ctx, to), call, messages, req, resp)
	if err == nil {
		c.put(to, conn)
		return nil
	}
	c.failed.Add(1)
	return eris.Wrapf(c.afterFailure(to, conn, err), "call %s of VM %s", call, to.VM)
}

// afterFailure closes the connection with its siblings and tells the errors of
// the receiver apart from those of the connection.
func (c *Client) afterFailure(to Destination, conn *drpcconn.Conn, err error) error {
	c.drop(to, conn)
	switch drpcerr.Code(err) {
	case codeWrongVM:
		return ErrWrongVM
	case codeForbidden:
		return ErrForbidden
	case codeUnknownCall:
		return ErrUnknownCall
	default:
		return err
	}
}

// Close closes the unused connections.
func (c *Client) Close() {
	c.mu.Lock()
	var conns []idleConn
	for _, list := range c.idle {
		conns = append(conns, list...)
	}
	c.idle = map[Destination][]idleConn{}
	c.mu.Unlock()
	closeAll(conns)
}

// A ClientDump is the state of a Client for operators.
type ClientDump struct {
	Calls  int64 `json:"calls"`
	Failed int64 `json:"failed"`
	Dials  int64 `json:"dials"`
	Idle   int   `json:"idle"`
}

// Dump returns the state of the client without secrets.
func (c *Client) Dump() any {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, list := range c.idle {
		n += len(list)
	}
	return ClientDump{
		Calls: c.calls.Load(), Failed: c.failed.Load(), Dials: c.dials.Load(), Idle: n,
	}
}

// take returns an unused connection, or a new one.
func (c *Client) take(ctx context.Context, to Destination) (*drpcconn.Conn, error) {
	c.sweep(time.Now())
	if conn := c.reuse(to); conn != nil {
		return conn, nil
	}
	c.dials.Add(1)
	raw, err := c.dialer.DialContext(ctx, "tcp", to.Address)
	if err != nil {
		return nil, errors.Join(ErrUnreachable, err)
	}
	if c.opts.TLS != nil {
		raw = tls.Client(raw, c.tlsFor(to.Address))
	}
	return drpcconn.NewWithOptions(raw, drpcconn.Options{Manager: managerOptions(0)}), nil
}

// tlsFor returns the TLS configuration for an address, whose IP number the
// certificate must name unless the configuration says otherwise.
func (c *Client) tlsFor(address string) *tls.Config {
	if c.opts.TLS.ServerName != "" || c.opts.TLS.InsecureSkipVerify {
		return c.opts.TLS
	}
	cfg := c.opts.TLS.Clone()
	cfg.ServerName, _, _ = net.SplitHostPort(address)
	return cfg
}

func (c *Client) reuse(to Destination) *drpcconn.Conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	for list := c.idle[to]; len(list) > 0; list = c.idle[to] {
		last := list[len(list)-1]
		c.setIdle(to, list[:len(list)-1])
		select {
		case <-last.conn.Closed():
		default:
			return last.conn
		}
	}
	return nil
}

// put keeps a connection for the next call.
func (c *Client) put(to Destination, conn *drpcconn.Conn) {
	c.mu.Lock()
	list := c.idle[to]
	if len(list) < maxIdle {
		c.idle[to] = append(list, idleConn{conn: conn, since: time.Now()})
		conn = nil
	}
	c.mu.Unlock()
	if conn != nil {
		_ = conn.Close()
	}
}

// drop closes a connection and all unused ones to the same VM.
func (c *Client) drop(to Destination, conn *drpcconn.Conn) {
	c.mu.Lock()
	siblings := c.idle[to]
	delete(c.idle, to)
	c.mu.Unlock()
	_ = conn.Close()
	closeAll(siblings)
}

// sweep closes connections that have been unused for clientIdle.
func (c *Client) sweep(now time.Time) {
	c.mu.Lock()
	var old []idleConn
	for to, list := range c.idle {
		n := 0
		for n < len(list) && now.Sub(list[n].since) > clientIdle {
			n++
		}
		old = append(old, list[:n]...)
		c.setIdle(to, list[n:])
	}
	c.mu.Unlock()
	closeAll(old)
}

// setIdle replaces the unused connections to a VM. The caller holds mu.
func (c *Client) setIdle(to Destination, list []idleConn) {
	if len(list) == 0 {
		delete(c.idle, to)
		return
	}
	c.idle[to] = list
}

func (c *Client) withMetadata(ctx context.Context, to Destination) context.Context {
	meta := map[string]string{
		metaFrom:   c.opts.Self,
		metaTo:     to.VM,
		metaSecret: string(c.opts.Secret),
	}
	if deadline, ok := ctx.Deadline(); ok {
		wait := max(time.Until(deadline).Milliseconds(), 1)
		meta[metaTimeout] = strconv.FormatInt(wait, 10)
	}
	return drpcmetadata.AddPairs(ctx, meta)
}

// boundCall gives ctx a deadline if it has none.
func boundCall(ctx context.Context) (context.Context, context.CancelFunc) {
	if _, ok := ctx.Deadline(); ok {
		return context.WithTimeout(ctx, maxTimeout)
	}
	return context.WithTimeout(ctx, DefaultTimeout)
}

func closeAll(conns []idleConn) {
	for _, c := range conns {
		_ = c.conn.Close()
	}
}
