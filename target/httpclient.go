package target

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

const (
	dialTimeout     = 2 * time.Second
	controlTimeout  = 3 * time.Second
	maxControlBytes = 64 << 20
	idleConns       = 2
)

// ErrNoReport reports a target that answers and publishes no load report, as
// plain services do.
var ErrNoReport = errors.New("target publishes no load report")

// passedHeaders are the headers of a caller that go on to a target. All others
// are dropped, so that no header that carries a key passes by oversight.
var passedHeaders = []string{
	"Accept",
	"Accept-Language",
	"Content-Type",
	"Traceparent",
	"Tracestate",
}

// HTTPOptions are the settings of an HTTPClient. Credential is the system's own
// bearer token towards targets. Headers names further headers of callers that
// are passed on. Transport replaces the network, for tests.
type HTTPOptions struct {
	Credential string
	Headers    []string
	Transport  http.RoundTripper
}

// An HTTPClient speaks the protocol of targets over HTTP/1.1.
type HTTPClient struct {
	opts    HTTPOptions
	sends   *http.Client
	control *http.Client
}

// NewHTTPClient returns an HTTPClient.
//
// Requests are sent on a connection of their own each, with no redirect
// followed, no proxy and a body that cannot be read twice, so that net/http
// never sends one again by itself.
func NewHTTPClient(opts HTTPOptions) *HTTPClient {
	return &HTTPClient{
		opts:    opts,
		sends:   newHTTP(opts, true),
		control: newHTTP(opts, false),
	}
}

func newHTTP(opts HTTPOptions, fresh bool) *http.Client {
	transport := opts.Transport
	if transport == nil {
		transport = newTransport(fresh)
	}
	return &http.Client{
		Transport: transport,
		CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse
		},
	}
}

func newTransport(fresh bool) *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout}
	protocols := &http.Protocols{}
	protocols.SetHTTP1(true)
	return &http.Transport{
		DialContext:         dialer.DialContext,
		DisableCompression:  true,
		DisableKeepAlives:   fresh,
		MaxIdleConnsPerHost: idleConns,
		IdleConnTimeout:     controlTimeout,
		Protocols:           protocols,
	}
}

// onceReader hides the concrete type of a body, so that net/http sets no
// GetBody and cannot replay it.
type onceReader struct{ r io.Reader }

// Read implements io.Reader.
func (o onceReader) Read(p []byte) (int, error) { return o.r.Read(p) }

// Send implements Client.
func (c *HTTPClient) Send(ctx context.Context, address string, r Request) Result {
	connected := false
	trace := &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected = true },
	}
	req, err := c.newSend(httptrace.WithClientTrace(ctx, trace), address, r)
	if err != nil {
		return NotRun{Reason: err.Error()}
	}
	resp, err := c.sends.Do(req)
	switch {
	case err != nil && c.unsent(err, connected):
		return NotRun{Reason: "no connection: " + reason(err), Unreachable: true}
	case err != nil:
		return Lost{Err: eris.Wrap(err, "send to target")}
	}
	return answered(r, resp)
}

// unsent tells whether nothing of a request was written: no connection was made
// for it. A replaced transport reports connections by its errors only.
func (c *HTTPClient) unsent(err error, connected bool) bool {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return true
	}
	return c.opts.Transport == nil && !connected
}

// reason returns the error without the URL that net/http puts around it.
func reason(err error) string {
	var wrapped *url.Error
	if errors.As(err, &wrapped) {
		err = wrapped.Err
	}
	return err.Error()
}

func (c *HTTPClient) newSend(ctx context.Context, address string, r Request) (*http.Request, error) {
	var body io.Reader
	if len(r.Body) > 0 {
		body = onceReader{bytes.NewReader(r.Body)}
	}
	req, err := http.NewRequestWithContext(ctx, r.Method, "http://"+address+r.Path, body)
	if err != nil {
		return nil, eris.Wrap(err, "request to target")
	}
	req.ContentLength = int64(len(r.Body))
	c.setHeaders(req.Header, r)
	return req, nil
}

func (c *HTTPClient) setHeaders(h http.Header, r Request) {
	for _, name := range append(passedHeaders, c.opts.Headers...) {
		if values := r.Header.Values(name); len(values) > 0 {
			h[http.CanonicalHeaderKey(name)] = values
		}
	}
	c.authorize(h)
	setHeader(h, HeaderRequestID, r.ID)
	setHeader(h, HeaderAttemptID, r.Attempt)
	setHeader(h, HeaderIncarnation, r.Incarnation)
	setHeader(h, HeaderWeights, r.Weights)
	setHeader(h, HeaderSalt, r.Salt)
	setHeader(h, HeaderPieces, formatPieces(r.Pieces))
	h.Set(HeaderPriority, strconv.Itoa(r.Priority))
	if r.Resume > 0 {
		h.Set(HeaderResumeFrom, strconv.FormatInt(r.Resume, 10))
	}
}

func (c *HTTPClient) authorize(h http.Header) {
	if c.opts.Credential != "" {
		h.Set("Authorization", "Bearer "+c.opts.Credential)
	}
}

func setHeader(h http.Header, name, value string) {
	if value != "" {
		h.Set(name, value)
	}
}

func formatPieces(pieces []uint64) string {
	var b strings.Builder
	for i, k := range pieces {
		if i > 0 {
			b.WriteByte(',')
		}
		fmt.Fprintf(&b, "%016x", k)
	}
	return b.String()
}

// answered reads what the target says about the request from the start of its
// answer.
func answered(r Request, resp *http.Response) Result {
	if resp.Header.Get(HeaderNotRun) == "true" {
		_ = resp.Body.Close()
		return NotRun{
			Reason: "target: " + resp.Status,
			Stale:  resp.StatusCode == http.StatusConflict,
		}
	}
	if err := mismatch(r, resp.Header); err != nil {
		_ = resp.Body.Close()
		return Lost{Err: err}
	}
	return Responded{Response: Response{
		Status: resp.StatusCode,
		Header: resp.Header,
		Body:   resp.Body,
	}}
}

// mismatch returns an error if the answer names another request, attempt,
// incarnation or weight version than it was sent for.
func mismatch(r Request, h http.Header) error {
	pairs := []struct{ name, want string }{
		{HeaderRequestID, r.ID},
		{HeaderAttemptID, r.Attempt},
		{HeaderIncarnation, r.Incarnation},
		{HeaderWeights, r.Weights},
	}
	for _, p := range pairs {
		if got := h.Get(p.name); got != "" && p.want != "" && got != p.want {
			return eris.Errorf("answer with %s %q for %q", p.name, got, p.want)
		}
	}
	return nil
}
