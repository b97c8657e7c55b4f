// Package answer rejects HTTP/1.1 responses that net/http accepts although they are
// malformed. A request with such a response may have run.
package answer

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
)

// ErrMalformed reports a response that violates HTTP/1.1.
var ErrMalformed = errors.New("malformed response")

// Check returns an error that wraps ErrMalformed if the header of a response is malformed.
// Otherwise it replaces the body by one that returns such an error in place of io.EOF if a
// trailer is malformed.
func Check(resp *http.Response) error { return check(resp, func() {}) }

// check is Check with a function that is called if a trailer is malformed.
func check(resp *http.Response, onMalformedTrailer func()) error {
	if err := checkStatus(resp); err != nil {
		return err
	}
	if err := checkNames(resp.Header); err != nil {
		return err
	}
	if len(resp.TransferEncoding) > 0 && resp.Body != http.NoBody {
		resp.Body = &body{ReadCloser: resp.Body, resp: resp, onMalformedTrailer: onMalformedTrailer}
	}
	return nil
}

// checkStatus returns an error for a status below 100, and for 101: bytes of another
// protocol follow it, which no request of ours asks for. It also returns one for a control
// byte in the reason phrase.
func checkStatus(resp *http.Response) error {
	status := resp.StatusCode
	if status < http.StatusContinue || status == http.StatusSwitchingProtocols {
		return fmt.Errorf("%w: status %03d", ErrMalformed, status)
	}
	for _, c := range []byte(resp.Status) {
		if c < ' ' && c != '\t' || c == '\x7f' {
			return fmt.Errorf("%w: status line %q", ErrMalformed, resp.Status)
		}
	}
	return nil
}

// checkNames returns an error if a field has a blank in its name. net/textproto rejects all
// other bytes that are not permitted there. A field with a blank before its colon could be
// read without the blank, but its length or coding has already been ignored.
func checkNames(h http.Header) error {
	for name, values := range h {
		// A trailer without values was announced and not sent.
		if len(values) > 0 && strings.Contains(name, " ") {
			return fmt.Errorf("%w: field name %q", ErrMalformed, name)
		}
	}
	return nil
}

// A body is the body of a response that may have trailers.
type body struct {
	io.ReadCloser
	resp               *http.Response
	onMalformedTrailer func()
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		if malformed := checkNames(b.resp.Trailer); malformed != nil {
			b.onMalformedTrailer()
			return n, malformed
		}
	}
	return n, err
}

// A Transport is an http.RoundTripper that returns an error in place of a malformed
// response, and does not use its connection again.
type Transport struct {
	// Base makes the requests.
	Base http.RoundTripper
}

// RoundTrip implements http.RoundTripper.
func (t Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := t.Base.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	if err := check(resp, t.CloseIdleConnections); err != nil {
		_ = resp.Body.Close()
		t.CloseIdleConnections()
		return nil, err
	}
	return resp, nil
}

// CloseIdleConnections closes the idle connections of Base. The connection of a response
// that was read to its end is one of them.
func (t Transport) CloseIdleConnections() {
	if c, ok := t.Base.(interface{ CloseIdleConnections() }); ok {
		c.CloseIdleConnections()
	}
}
