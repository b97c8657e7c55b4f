package daemon

import (
	"context"
	"net"

	"github.com/go-kit/log"

	"github.com/baobabdyke/baobabdyke/internal/settings"
	"github.com/baobabdyke/baobabdyke/peer"
	"github.com/baobabdyke/baobabdyke/store"
	"github.com/baobabdyke/baobabdyke/target"
)

// A Real is the outside of a VM over the network.
type Real struct {
	Outside
	server *peer.Server
	client *peer.Client
}

// NewReal returns the outside that the settings name.
func NewReal(s settings.Settings, peerSecret []byte, logger log.Logger) (*Real, error) {
	token, err := settings.ReadSecret(s.Platform.TokenFile)
	if err != nil {
		return nil, err
	}
	credential, err := settings.ReadSecret(s.Targets.CredentialFile)
	if err != nil {
		return nil, err
	}
	tls, err := s.Peers.TLS.Config()
	if err != nil {
		return nil, err
	}
	options := store.HTTPOptions{Base: "http://" + s.Platform.Address, Token: string(token)}
	objects, err := store.NewHTTPStore(options)
	if err != nil {
		return nil, err
	}
	directory, err := store.NewHTTPDirectory(options)
	if err != nil {
		return nil, err
	}
	r := &Real{
		server: peer.NewServer(peer.ServerOptions{Self: s.VM, Secret: peerSecret, TLS: tls, Log: logger}),
		client: peer.NewClient(peer.ClientOptions{Self: s.VM, Secret: peerSecret, TLS: tls, Log: logger}),
	}
	r.Outside = Outside{
		Store:     objects,
		Directory: directory,
		Clock:     store.SystemClock{},
		Targets:   target.NewHTTPClient(target.HTTPOptions{Credential: string(credential)}),
		Peers:     r.client,
		Calls:     r.server,
	}
	return r, nil
}

// Serve answers the calls of other VMs until ctx ends.
func (r *Real) Serve(ctx context.Context, l net.Listener) error {
	defer r.client.Close()
	return r.server.Serve(ctx, l)
}
