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

// A Network provides the Dependencies of a VM over the network.
type Network struct {
	Dependencies
	server *peer.Server
	client *peer.Client
}

// NewNetwork returns a Network for the addresses and credentials in the settings.
func NewNetwork(s settings.Settings, peerSecret []byte, logger log.Logger) (*Network, error) {
	token, err := settings.ReadSecret(s.Platform.TokenFile)
	if err != nil {
		return nil, err
	}
	credential, err := settings.ReadSecret(s.Targets.CredentialFile)
	if err != nil {
		return nil, err
	}
	tlsConfig, err := s.Peers.TLS.Config()
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
	n := &Network{
		server: peer.NewServer(peer.ServerOptions{Self: s.VM, Secret: peerSecret, TLS: tlsConfig, Log: logger}),
		client: peer.NewClient(peer.ClientOptions{Self: s.VM, Secret: peerSecret, TLS: tlsConfig, Log: logger}),
	}
	n.Dependencies = Dependencies{
		Store:     objects,
		Directory: directory,
		Clock:     store.SystemClock{},
		Targets:   target.NewHTTPClient(target.HTTPOptions{Credential: string(credential)}),
		Peers:     n.client,
		Calls:     n.server,
	}
	return n, nil
}

// Serve serves the calls of other VMs until ctx ends.
func (n *Network) Serve(ctx context.Context, l net.Listener) error {
	defer n.client.Close()
	return n.server.Serve(ctx, l)
}
