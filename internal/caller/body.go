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
	f := &Failure{
		Status:  http.StatusBadRequest,
		Code:    CodeBadRequest,
		Message: "the body was cut off",
		Outcome: OutcomeNotRun,
	}
	var tooLarge *http.MaxBytesError
	var netError net.Error
	switch {
	case errors.As(err, &tooLarge):
		f.Status = http.StatusRequestEntityTooLarge
		f.Code = CodeTooLarge
		f.Message = "the body is larger than this VM accepts"
	case errors.Is(err, os.ErrDeadlineExceeded), errors.As(err, &netError) && netError.Timeout():
		f.Status = http.StatusRequestTimeout
		f.Code = CodeTimeout
		f.Message = "the body did not arrive in time"
	}
	return f
}
