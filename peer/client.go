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
	// DefaultTimeout limits the time of a call whose context has no deadline.
	DefaultTimeout = 2 * time.Second
	// maxCallTimeout limits the time of every call.
	maxCallTimeout = 30 * time.Second
	// clientIdleTimeout is how long an idle connection is kept.
	clientIdleTimeout = 30 * time.Second
	// maxIdlePerVM is the maximum number of idle connections to one VM.
	maxIdlePerVM = 2
)

// ClientOptions are the parameters of a Client. Self is the id of this VM. TLS
// is nil for plain TCP.
type ClientOptions struct {
	Self   string
	Secret []byte
	TLS    *tls.Config
	Log    log.Logger
}

// A Client calls other VMs. It implements Caller. A connection serves one call
// at a time. A connection whose call has failed is closed with all idle ones to
// that VM, since a dead connection does not recover and a new one may work.
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
	ctx, cancel := withCallTimeout(ctx)
	defer cancel()
	c.calls.Add(1)
	conn, err := c.connect(ctx, to)
	if err != nil {
		c.failed.Add(1)
		return eris.Wrapf(err, "dial VM %s", to.VM)
	}
	err = conn.Invoke(c.withMetadata(ctx, to), call, encoding, req, resp)
	if err == nil {
		c.release(to, conn)
		return nil
	}
	c.failed.Add(1)
	return eris.Wrapf(c.classifyError(to, conn, err), "call %s of VM %s", call, to.VM)
}

// classifyError closes the connection of a failed call with all idle ones to the
// same VM, and returns the error for the code that the receiver sent, or err if
// there is none.
func (c *Client) classifyError(to Destination, conn *drpcconn.Conn, err error) error {
	c.discard(to, conn)
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

// Close closes the idle connections.
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

// connect returns an idle connection, or a new one.
func (c *Client) connect(ctx context.Context, to Destination) (*drpcconn.Conn, error) {
	c.closeExpired(time.Now())
	if conn := c.popIdle(to); conn != nil {
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

// tlsFor returns the TLS configuration for an address. The certificate must be
// valid for its IP address, unless the configuration sets ServerName or
// InsecureSkipVerify.
func (c *Client) tlsFor(address string) *tls.Config {
	if c.opts.TLS.ServerName != "" || c.opts.TLS.InsecureSkipVerify {
		return c.opts.TLS
	}
	cfg := c.opts.TLS.Clone()
	cfg.ServerName, _, _ = net.SplitHostPort(address)
	return cfg
}

func (c *Client) popIdle(to Destination) *drpcconn.Conn {
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

// release keeps a connection for the next call, or closes it if there are
// maxIdlePerVM idle ones.
func (c *Client) release(to Destination, conn *drpcconn.Conn) {
	c.mu.Lock()
	list := c.idle[to]
	if len(list) < maxIdlePerVM {
		c.idle[to] = append(list, idleConn{conn: conn, since: time.Now()})
		conn = nil
	}
	c.mu.Unlock()
	if conn != nil {
		_ = conn.Close()
	}
}

// discard closes a connection and all idle ones to the same VM.
func (c *Client) discard(to Destination, conn *drpcconn.Conn) {
	c.mu.Lock()
	idle := c.idle[to]
	delete(c.idle, to)
	c.mu.Unlock()
	_ = conn.Close()
	closeAll(idle)
}

// closeExpired closes connections that have been idle for longer than
// clientIdleTimeout.
func (c *Client) closeExpired(now time.Time) {
	c.mu.Lock()
	var expired []idleConn
	for to, list := range c.idle {
		n := 0
		for n < len(list) && now.Sub(list[n].since) > clientIdleTimeout {
			n++
		}
		expired = append(expired, list[:n]...)
		c.setIdle(to, list[n:])
	}
	c.mu.Unlock()
	closeAll(expired)
}

// setIdle replaces the idle connections to a VM. The caller holds mu.
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
		remaining := max(time.Until(deadline).Milliseconds(), 1)
		meta[metaTimeout] = strconv.FormatInt(remaining, 10)
	}
	return drpcmetadata.AddPairs(ctx, meta)
}

// withCallTimeout limits ctx to maxCallTimeout, or to DefaultTimeout if it has no
// deadline.
func withCallTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	if _, ok := ctx.Deadline(); ok {
		return context.WithTimeout(ctx, maxCallTimeout)
	}
	return context.WithTimeout(ctx, DefaultTimeout)
}

func closeAll(conns []idleConn) {
	for _, c := range conns {
		_ = c.conn.Close()
	}
}
