// Package answer rejects HTTP/1.1 responses that net/http accepts although they are
// malformed. A request with such a response may have run.
package answer

import (
	"errors"
	"fmt"
	"net/http"
)

// ErrMalformed reports a response that violates HTTP/1.1.
var ErrMalformed = errors.New("malformed response")

// Check returns an error that wraps ErrMalformed if the header of a response is malformed.
func Check(resp *http.Response) error {
	return checkStatus(resp.StatusCode)
}

// checkStatus returns an error for a status below 100, and for 101: bytes of another
// protocol follow it, which no request of ours asks for.
func checkStatus(status int) error {
	if status < http.StatusContinue || status == http.StatusSwitchingProtocols {
		return fmt.Errorf("%w: status %03d", ErrMalformed, status)
	}
	return nil
}
