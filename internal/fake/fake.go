// Package fake holds small stand-ins of the systems around baobabdyke, as HTTP
// handlers with switches for their failures. They serve the demo and tests.
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

// headerTimeout bounds how long a client of a stand-in may take for headers.
const headerTimeout = 5 * time.Second

// Serve serves h on a free port of the loopback interface until ctx ends, and
// returns its address.
func Serve(ctx context.Context, h http.Handler) (string, error) {
	var lc net.ListenConfig
	l, err := lc.Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return "", eris.Wrap(err, "listen for a stand-in")
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

// abort ends the connection of the current request without an end of its
// answer.
func abort() { panic(http.ErrAbortHandler) }

// A scope ends what a stand-in does with one connection: life when the stand-in
// crashes, and feeds when its open connections fall silent.
type scope struct {
	life  context.Context
	feeds context.Context
}

// holdOpen keeps the current request open and silent until its client goes away
// or the stand-in crashes.
func (s scope) holdOpen(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-s.life.Done():
	}
	abort()
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// flush sends what was written so far to the client.
func flush(w http.ResponseWriter) { _ = http.NewResponseController(w).Flush() }
