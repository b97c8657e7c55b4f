package daemon

import (
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/baobabdyke/baobabdyke/internal/gateway/disconnect"
	"github.com/baobabdyke/baobabdyke/internal/operator"
	"github.com/baobabdyke/baobabdyke/internal/settings"
)

// callerIdleTimeout is how long a caller's idle connection stays open. A caller
// that sends on a connection which is being closed cannot tell whether its request
// ran, so the timeout is long enough for callers to close idle connections first.
const callerIdleTimeout = 5 * time.Minute

// callerServer returns the server of the callers' port. It has no write timeout,
// since responses may be streams; each write has its own deadline.
func (v *VM) callerServer() *http.Server {
	return &http.Server{
		Handler:           v.watch.Handler(v.callers),
		ConnContext:       disconnect.WithConn,
		ReadHeaderTimeout: settings.DefaultHeaderTimeout,
		IdleTimeout:       callerIdleTimeout,
		MaxHeaderBytes:    v.settings.Callers.MaxHeaderBytes,
	}
}

// operatorServer returns the server of the operators' port.
func (v *VM) operatorServer() *http.Server {
	return &http.Server{
		Handler:           v.operatorHandler,
		ReadHeaderTimeout: settings.DefaultHeaderTimeout,
		MaxHeaderBytes:    settings.DefaultHeaderBytes,
	}
}

// serveHTTP serves until the server is shut down.
func serveHTTP(s *http.Server, l net.Listener) error {
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// dumps returns the state dumps of all components by the path that serves them.
func (v *VM) dumps() operator.Dumps {
	return operator.Dumps{
		"vms":      v.members.Dump,
		"targets":  v.fleet.Dump,
		"limits":   v.limits.Dump,
		"prefixes": v.index.Dump,
		"leases":   v.orders.Dump,
		"claims":   v.claims.Dump,
		"routes":   v.chooser.Dump,
		"platform": v.budget.Dump,
		"queue":    v.queue.Dump,
		"requests": v.callers.Dump,
		"keeper":   v.configs.Dump,
		"life":     v.dumpLifecycle,
	}
}

func (v *VM) dumpLifecycle() any {
	return struct {
		State string `json:"state"`
	}{v.lifecycle.State()}
}
