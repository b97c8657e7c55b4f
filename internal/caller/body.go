package caller

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"time"
)

// readBody reads the whole body within the bounds of size and time. The
// Failure is nil when that succeeds.
func (h *Handler) readBody(w http.ResponseWriter, r *http.Request) ([]byte, *Failure) {
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(h.opts.Bounds.BodyTime))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, h.opts.Bounds.Body))
	if err == nil {
		_ = control.SetReadDeadline(time.Time{})
		return body, nil
	}
	return nil, bodyFailure(err)
}

// bodyFailure returns the Failure that fits an error of reading a body.
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
