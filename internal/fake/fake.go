// Package fake provides small stand-ins for the systems around baobabdyke, as
// HTTP handlers with fault injection, for the demo and tests.
package fake

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
)

// pingInterval is the time between pings on an idle stream or feed.
const pingInterval = time.Second

// headerTimeout limits the time in which a client must send the request header.
const headerTimeout = 5 * time.Second

// Serve starts serving h on a free port of the loopback interface until ctx is
// done, and returns its address.
func Serve(ctx context.Context, h http.Handler) (string, error) {
	var lc net.ListenConfig
	l, err := lc.Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return "", eris.Wrap(err, "listen on loopback for a stand-in")
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout}
	context.AfterFunc(ctx, func() { _ = s.Close() })
	go func() {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			panic(err)
		}
	}()
	return l.Addr().String(), nil
}

// abort closes the connection of the current request without completing the
// response.
func abort() { panic(http.ErrAbortHandler) }

// A scope holds the contexts that interrupt the handling of a request: crashCtx
// is cancelled when the stand-in crashes, and stallCtx when its open responses
// stall.
type scope struct {
	crashCtx context.Context
	stallCtx context.Context
}

// holdOpen keeps the current request open without sending anything until the
// client disconnects or the stand-in crashes, and then aborts it.
func (s scope) holdOpen(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-s.crashCtx.Done():
	}
	abort()
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// flush sends buffered data to the client.
func flush(w http.ResponseWriter) { _ = http.NewResponseController(w).Flush() }
