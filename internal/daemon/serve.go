package daemon

import (
	"context"
	"crypto/tls"
	"net"

	"github.com/go-kit/log"
	"github.com/rotisserie/eris"

	"github.com/baobabdyke/baobabdyke/internal/settings"
)

// Listen opens the ports in the settings. In the returned settings, each port 0 is
// replaced by the port that the system assigned.
func Listen(ctx context.Context, s settings.Settings) (Listeners, settings.Settings, error) {
	var l Listeners
	ports := []struct {
		address  *string
		tls      settings.TLS
		listener *net.Listener
	}{
		{&s.Callers.Address, s.Callers.TLS, &l.Caller},
		{&s.Operators.Address, s.Operators.TLS, &l.Operator},
		{&s.Peers.Address, settings.TLS{}, &l.Peer},
	}
	for _, p := range ports {
		listener, err := listen(ctx, *p.address, p.tls)
		if err != nil {
			l.Close()
			return Listeners{}, s, err
		}
		*p.listener = listener
		*p.address = listener.Addr().String()
	}
	return l, s, nil
}

// Close closes all open listeners.
func (l Listeners) Close() {
	for _, listener := range []net.Listener{l.Caller, l.Operator, l.Peer} {
		if listener != nil {
			_ = listener.Close()
		}
	}
}

func listen(ctx context.Context, address string, files settings.TLS) (net.Listener, error) {
	cfg, err := files.Config()
	if err != nil {
		return nil, err
	}
	var lc net.ListenConfig
	l, err := lc.Listen(ctx, "tcp", address)
	if err != nil {
		return nil, eris.Wrapf(err, "listen on %s", address)
	}
	if cfg != nil {
		l = tls.NewListener(l, cfg)
	}
	return l, nil
}

// Serve runs a VM on the network until ctx ends or a drain is requested.
func Serve(ctx context.Context, s settings.Settings, logger log.Logger) error {
	c, err := ReadCredentials(s)
	if err != nil {
		return err
	}
	l, s, err := Listen(ctx, s)
	if err != nil {
		return err
	}
	defer l.Close()
	return ServeOn(ctx, s, c, l, logger)
}

// ServeOn runs a VM on listeners that are already open.
func ServeOn(ctx context.Context, s settings.Settings, c Credentials, l Listeners, logger log.Logger) error {
	network, err := NewNetwork(s, c.PeerSecret, logger)
	if err != nil {
		return err
	}
	return New(s, c, network.Dependencies, logger).Run(ctx, l, network.Serve)
}

// ReadCredentials reads the credential files in the settings.
func ReadCredentials(s settings.Settings) (Credentials, error) {
	token, err := settings.ReadSecret(s.Operators.TokenFile)
	if err != nil {
		return Credentials{}, err
	}
	secret, err := settings.ReadSecret(s.Peers.SecretFile)
	if err != nil {
		return Credentials{}, err
	}
	return Credentials{OperatorToken: token, PeerSecret: secret}, nil
}
