package caller

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"time"
)

// readBody reads the whole body within Bounds.MaxBodyBytes and
// Bounds.BodyTimeout. The Failure is nil on success.
func (h *Handler) readBody(w http.ResponseWriter, r *http.Request) ([]byte, *Failure) {
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(h.opts.Bounds.BodyTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, h.opts.Bounds.MaxBodyBytes))
	if err == nil {
		_ = control.SetReadDeadline(time.Time{})
		return body, nil
	}
	return nil, bodyFailure(err)
}

// bodyFailure maps an error of reading a body to a Failure.
func bodyFailure(err error) *Failure {
	var tooLarge *http.MaxBytesError
	var netError net.Error
	switch {
	case errors.As(err, &tooLarge):
		return notRunFailure(http.StatusRequestEntityTooLarge, CodeTooLarge, "the body is larger than this VM accepts", 0)
	case errors.Is(err, os.ErrDeadlineExceeded), errors.As(err, &netError) && netError.Timeout():
		return notRunFailure(http.StatusRequestTimeout, CodeTimeout, "the body did not arrive in time", 0)
	default:
		return notRunFailure(http.StatusBadRequest, CodeBadRequest, "the body was cut off", 0)
	}
}
