package peer

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"crypto/tls"
	"errors"
	"net"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/rotisserie/eris"
	"storj.io/drpc"
	"storj.io/drpc/drpcerr"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcmetadata"
	"storj.io/drpc/drpcserver"
	"storj.io/drpc/drpcwire"
)

// Keys of the metadata of a call.
const (
	metaFrom    = "from"
	metaTo      = "to"
	metaSecret  = "secret"
	metaTimeout = "timeout" // milliseconds
)

// Codes of the errors that the receiver returns.
const (
	codeWrongVM     = 1
	codeForbidden   = 2
	codeUnknownCall = 3
)

// serverIdleTimeout is how long a connection may be idle before it is closed. It
// exceeds clientIdleTimeout, so that the client closes it first.
const serverIdleTimeout = 90 * time.Second

// ServerOptions are the parameters of a Server. Self is the id of this VM. TLS
// is nil for plain TCP.
type ServerOptions struct {
	Self   string
	Secret []byte
	TLS    *tls.Config
	Log    log.Logger
}

// A Server serves the calls of other VMs. It implements Registrar.
type Server struct {
	registry
	opts     ServerOptions
	secret   [sha256.Size]byte
	served   atomic.Int64
	rejected atomic.Int64
}

var _ Registrar = (*Server)(nil)

// NewServer returns a Server without handlers.
func NewServer(opts ServerOptions) *Server {
	if opts.Log == nil {
		opts.Log = log.NewNopLogger()
	}
	return &Server{opts: opts, secret: sha256.Sum256(opts.Secret)}
}

// Serve serves calls on the listener until ctx ends.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	if s.opts.TLS != nil {
		l = tls.NewListener(l, s.opts.TLS)
	}
	server := drpcserver.NewWithOptions(s, drpcserver.Options{
		Manager: managerOptions(serverIdleTimeout),
		Log: func(err error) {
			_ = s.opts.Log.Log("msg", "peer connection failed", "err", err)
		},
	})
	if err := server.Serve(ctx, l); ctx.Err() == nil {
		return eris.Wrap(err, "serve peers")
	}
	return nil
}

// HandleRPC implements drpc.Handler.
func (s *Server) HandleRPC(stream drpc.Stream, call string) error {
	meta, _ := drpcmetadata.Get(stream.Context())
	if err := s.admit(meta); err != nil {
		s.rejected.Add(1)
		return err
	}
	ctx, cancel := withCallerTimeout(stream.Context(), meta[metaTimeout])
	defer cancel()
	decode := func(req any) error { return stream.MsgRecv(req, encoding) }
	resp, err := s.serve(ctx, meta[metaFrom], call, decode)
	if errors.Is(err, ErrUnknownCall) {
		return drpcerr.WithCode(ErrUnknownCall, codeUnknownCall)
	}
	if err != nil {
		return err
	}
	s.served.Add(1)
	return stream.MsgSend(resp, encoding)
}

// admit checks that the call has the right secret and is addressed to this VM.
func (s *Server) admit(meta map[string]string) error {
	got := sha256.Sum256([]byte(meta[metaSecret]))
	if subtle.ConstantTimeCompare(got[:], s.secret[:]) != 1 {
		return drpcerr.WithCode(ErrForbidden, codeForbidden)
	}
	if to := meta[metaTo]; to != AnyVM && to != s.opts.Self {
		return drpcerr.WithCode(ErrWrongVM, codeWrongVM)
	}
	return nil
}

// A ServerDump is the state of a Server for operators.
type ServerDump struct {
	Served   int64 `json:"served"`
	Rejected int64 `json:"rejected"`
}

// Dump returns the state of the server without secrets.
func (s *Server) Dump() any {
	return ServerDump{Served: s.served.Load(), Rejected: s.rejected.Load()}
}

// withCallerTimeout limits ctx to the time that the caller waits, which is at
// most maxCallTimeout.
func withCallerTimeout(ctx context.Context, millis string) (context.Context, context.CancelFunc) {
	n, err := strconv.ParseInt(millis, 10, 64)
	if err != nil || n <= 0 || n > maxCallTimeout.Milliseconds() {
		return context.WithTimeout(ctx, maxCallTimeout)
	}
	return context.WithTimeout(ctx, time.Duration(n)*time.Millisecond)
}

func managerOptions(idle time.Duration) drpcmanager.Options {
	return drpcmanager.Options{
		Reader:            drpcwire.ReaderOptions{MaximumBufferSize: MaxMessageBytes},
		InactivityTimeout: idle,
	}
}
