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
func Check(resp *http.Response) error {
	if err := checkStatus(resp.StatusCode); err != nil {
		return err
	}
	if err := checkNames(resp.Header); err != nil {
		return err
	}
	if len(resp.TransferEncoding) > 0 && resp.Body != http.NoBody {
		resp.Body = &body{ReadCloser: resp.Body, resp: resp}
	}
	return nil
}

// checkStatus returns an error for a status below 100, and for 101: bytes of another
// protocol follow it, which no request of ours asks for.
func checkStatus(status int) error {
	if status < http.StatusContinue || status == http.StatusSwitchingProtocols {
		return fmt.Errorf("%w: status %03d", ErrMalformed, status)
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

// A body is the body of a response with trailers.
type body struct {
	io.ReadCloser
	resp *http.Response
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		if malformed := checkNames(b.resp.Trailer); malformed != nil {
			return n, malformed
		}
	}
	return n, err
}
