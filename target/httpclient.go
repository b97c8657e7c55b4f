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

	"github.com/baobabdyke/baobabdyke/answer"
)

const (
	dialTimeout     = 2 * time.Second
	controlTimeout  = 3 * time.Second
	maxControlBytes = 64 << 20
	// maxRejectionBytes bounds what is read of a response that reports that the request
	// was not run.
	maxRejectionBytes = 64 << 10
	idleConns         = 2
)

// ErrNoReport is returned by Load for a target that responds but does not publish
// load reports, such as a plain service.
var ErrNoReport = errors.New("target publishes no load report")

// forwardedHeaders are the caller's headers that are forwarded to targets. All
// others are dropped, so that a header with a key is never forwarded by mistake.
var forwardedHeaders = []string{
	"Accept",
	"Accept-Language",
	"Content-Type",
	"Traceparent",
	"Tracestate",
}

// HTTPOptions are the settings of an HTTPClient. Credential is the bearer token
// that is sent to targets. Headers lists further headers of callers to forward.
// Transport replaces the network in tests.
type HTTPOptions struct {
	Credential string
	Headers    []string
	Transport  http.RoundTripper
}

// An HTTPClient is a Client and a CacheReader over HTTP/1.1.
type HTTPClient struct {
	opts          HTTPOptions
	sendClient    *http.Client
	controlClient *http.Client
}

// NewHTTPClient returns an HTTPClient.
//
// Each request is sent on its own connection, without a proxy, without following
// redirects, and with a body that cannot be replayed, so that net/http never
// retries a request by itself.
func NewHTTPClient(opts HTTPOptions) *HTTPClient {
	return &HTTPClient{
		opts:          opts,
		sendClient:    newClient(opts, true),
		controlClient: newClient(opts, false),
	}
}

func newClient(opts HTTPOptions, newConns bool) *http.Client {
	transport := opts.Transport
	if transport == nil {
		transport = newTransport(newConns)
	}
	return &http.Client{
		Transport: answer.Transport{Base: transport},
		CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse
		},
	}
}

// maxHeaderBytes bounds the header of a response.
const maxHeaderBytes = 32 << 10

func newTransport(newConns bool) *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout}
	protocols := &http.Protocols{}
	protocols.SetHTTP1(true)
	return &http.Transport{
		DialContext:        answer.Dial(dialer.DialContext),
		DisableCompression: true,
		// Headers of sound targets take less than a kilobyte.
		MaxResponseHeaderBytes: maxHeaderBytes,
		DisableKeepAlives:      newConns,
		MaxIdleConnsPerHost:    idleConns,
		IdleConnTimeout:        controlTimeout,
		Protocols:              protocols,
	}
}

// singleUseReader hides the concrete type of a body, so that net/http does not
// set GetBody and cannot replay the body.
type singleUseReader struct{ r io.Reader }

// Read implements io.Reader.
func (o singleUseReader) Read(p []byte) (int, error) { return o.r.Read(p) }

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
	resp, err := c.sendClient.Do(req)
	switch {
	case err != nil && c.notSent(err, connected):
		return NotRun{Reason: "no connection: " + reason(err), Unreachable: true}
	case err != nil:
		return Lost{Err: eris.Wrap(err, "send to target")}
	}
	return resultOf(r, resp)
}

// notSent reports whether nothing of the request was written, because no
// connection was made for it. With a replaced Transport, connected is not set, so
// that only the error counts.
func (c *HTTPClient) notSent(err error, connected bool) bool {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return true
	}
	return c.opts.Transport == nil && !connected
}

// reason returns the text of the error without the method and URL that net/http
// adds.
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
		body = singleUseReader{bytes.NewReader(r.Body)}
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
	for _, name := range append(forwardedHeaders, c.opts.Headers...) {
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

// resultOf returns the Result for a response, by its status and headers.
func resultOf(r Request, resp *http.Response) Result {
	if resp.Header.Get(HeaderNotRun) == "true" {
		// A rejection that breaks off states nothing.
		_, err := io.CopyN(io.Discard, resp.Body, maxRejectionBytes)
		_ = resp.Body.Close()
		if err != nil && !errors.Is(err, io.EOF) {
			return Lost{Err: eris.Wrap(err, "read rejection")}
		}
		return NotRun{
			Reason: "target: " + resp.Status,
			Stale:  resp.StatusCode == http.StatusConflict,
		}
	}
	if err := checkHeaders(r, resp.Header); err != nil {
		_ = resp.Body.Close()
		return Lost{Err: err}
	}
	return Responded{Response: Response{
		Status: resp.StatusCode,
		Header: resp.Header,
		Body:   resp.Body,
	}}
}

// checkHeaders returns an error if the response is for another request, attempt,
// incarnation or weights version than r.
func checkHeaders(r Request, h http.Header) error {
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
