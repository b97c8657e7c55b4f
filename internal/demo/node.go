package demo

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log"

	"github.com/baobabdyke/baobabdyke/internal/daemon"
	"github.com/baobabdyke/baobabdyke/internal/settings"
)

// How long callers keep an answer, and how late the list of VMs may be. Both
// are short, since a drained VM goes on accepting for as long.
const (
	entryTTL = time.Second
	entryLag = 500 * time.Millisecond
)

// Credentials of the VMs of the demo.
const (
	operatorToken = "demo-operators"
	peerSecret    = "demo-peers"
)

// A node is one VM of the demo, which can be crashed and started again on the
// same addresses.
type node struct {
	id         string
	dataCentre string
	callers    string
	operators  string
	peers      string

	mu    sync.Mutex
	ports []*port
	// past is the number of bytes that earlier starts exchanged with other VMs.
	past  int64
	ended chan struct{}
	err   error
}

func newNode(id, dataCentre string) *node {
	return &node{id: id, dataCentre: dataCentre, callers: anyPort, operators: anyPort, peers: anyPort}
}

// Places of the ports of a VM in node.ports.
const (
	callerPort = iota
	operatorPort
	peerPort
)

// open opens the ports of the VM. The first time, the system chooses them.
func (n *node) open(ctx context.Context) error {
	if len(n.ports) > 0 {
		n.past += n.ports[peerPort].bytes.Load()
	}
	n.ports = nil
	for _, address := range []*string{&n.callers, &n.operators, &n.peers} {
		p, err := openPort(ctx, *address)
		if err != nil {
			return err
		}
		*address = p.Addr().String()
		n.ports = append(n.ports, p)
	}
	return nil
}

// running tells whether the VM's process runs.
func (n *node) running() bool {
	n.mu.Lock()
	ended := n.ended
	n.mu.Unlock()
	if ended == nil {
		return false
	}
	select {
	case <-ended:
		return false
	default:
		return true
	}
}

// kill crashes the VM and waits until nothing of it runs.
func (n *node) kill() {
	n.mu.Lock()
	ports, ended := n.ports, n.ended
	n.mu.Unlock()
	for _, p := range ports {
		p.crash()
	}
	<-ended
}

// wait waits until the VM has ended, and returns how.
func (n *node) wait(ctx context.Context) error {
	n.mu.Lock()
	ended := n.ended
	n.mu.Unlock()
	select {
	case <-ended:
		n.mu.Lock()
		defer n.mu.Unlock()
		return n.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// settings returns the settings of the VM, whose ports are open.
func (n *node) settings(objects string) settings.Settings {
	return settings.Settings{
		VM:         n.id,
		Region:     "kyushu-north",
		DataCentre: n.dataCentre,
		Callers: settings.Callers{
			Address:      n.callers,
			MaxBodyBytes: settings.DefaultBodyBytes, MaxHeaderBytes: settings.DefaultHeaderBytes, BodyTimeout: settings.DefaultBodyTimeout,
		},
		Operators: settings.Operators{Address: n.operators},
		Peers:     settings.Peers{Address: n.peers},
		Platform:  settings.Platform{Address: objects},
		Entry:     settings.Entry{TTL: entryTTL, Lag: entryLag},
	}
}

// start starts the VM, which runs until ctx ends, it is killed or drained.
func (n *node) start(ctx context.Context, objects string, logger log.Logger) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if err := n.open(ctx); err != nil {
		return err
	}
	s := n.settings(objects)
	c := daemon.Credentials{OperatorToken: []byte(operatorToken), PeerSecret: []byte(peerSecret)}
	l := daemon.Listeners{Caller: n.ports[callerPort], Operator: n.ports[operatorPort], Peer: n.ports[peerPort]}
	ended := make(chan struct{})
	n.ended = ended
	go func() {
		err := daemon.ServeOn(ctx, s, c, l, logger)
		n.mu.Lock()
		n.err = err
		n.mu.Unlock()
		close(ended)
	}()
	return nil
}
