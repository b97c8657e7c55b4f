package demo

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log"

	"github.com/baobabdyke/baobabdyke/internal/daemon"
	"github.com/baobabdyke/baobabdyke/internal/settings"
)

// TTL of the list of VMs at callers, and the maximum delay of the platform's list.
// Both are short, since a draining VM accepts requests for their sum.
const (
	entryTTL = time.Second
	entryLag = 500 * time.Millisecond
)

// Credentials of the demo's VMs.
const (
	operatorToken = "demo-operators"
	peerSecret    = "demo-peers"
)

// A node is one VM of the demo. It can be crashed and restarted on the same
// addresses.
type node struct {
	id         string
	dataCentre string
	callers    string
	operators  string
	peers      string

	mu        sync.Mutex
	listeners []*listener
	// earlierPeerBytes is the number of bytes on the peers' port before the last
	// start.
	earlierPeerBytes int64
	done             chan struct{}
	err              error
}

func newNode(id, dataCentre string) *node {
	return &node{id: id, dataCentre: dataCentre, callers: anyPort, operators: anyPort, peers: anyPort}
}

// Indexes into node.listeners.
const (
	callerListener = iota
	operatorListener
	peerListener
)

// openListeners opens the ports of the VM. At the first start, the system assigns the
// port numbers.
func (n *node) openListeners(ctx context.Context) error {
	if len(n.listeners) > 0 {
		n.earlierPeerBytes += n.listeners[peerListener].bytes.Load()
	}
	n.listeners = nil
	for _, address := range []*string{&n.callers, &n.operators, &n.peers} {
		l, err := listen(ctx, *address)
		if err != nil {
			return err
		}
		*address = l.Addr().String()
		n.listeners = append(n.listeners, l)
	}
	return nil
}

// running reports whether the VM is running.
func (n *node) running() bool {
	n.mu.Lock()
	done := n.done
	n.mu.Unlock()
	if done == nil {
		return false
	}
	select {
	case <-done:
		return false
	default:
		return true
	}
}

// kill crashes the VM and waits until it has stopped.
func (n *node) kill() {
	n.mu.Lock()
	listeners, done := n.listeners, n.done
	n.mu.Unlock()
	for _, l := range listeners {
		l.crash()
	}
	<-done
}

// wait waits until the VM has stopped and returns its error.
func (n *node) wait(ctx context.Context) error {
	n.mu.Lock()
	done := n.done
	n.mu.Unlock()
	select {
	case <-done:
		n.mu.Lock()
		defer n.mu.Unlock()
		return n.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// settings returns the settings of the VM, whose ports must be open.
func (n *node) settings(objects string) settings.Settings {
	return settings.Settings{
		VM:         n.id,
		Region:     "kyushu-north",
		DataCentre: n.dataCentre,
		Callers:    settings.Callers{Address: n.callers},
		Operators:  settings.Operators{Address: n.operators},
		Peers:      settings.Peers{Address: n.peers},
		Platform:   settings.Platform{Address: objects},
		Entry:      settings.Entry{TTL: entryTTL, Lag: entryLag},
	}.WithDefaults()
}

// start starts the VM. It runs until ctx ends, or until it is killed or drained.
func (n *node) start(ctx context.Context, objects string, logger log.Logger) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if err := n.openListeners(ctx); err != nil {
		return err
	}
	s := n.settings(objects)
	c := daemon.Credentials{OperatorToken: []byte(operatorToken), PeerSecret: []byte(peerSecret)}
	l := daemon.Listeners{Caller: n.listeners[callerListener], Operator: n.listeners[operatorListener], Peer: n.listeners[peerListener]}
	done := make(chan struct{})
	n.done = done
	go func() {
		err := daemon.ServeOn(ctx, s, c, l, logger)
		n.mu.Lock()
		n.err = err
		n.mu.Unlock()
		close(done)
	}()
	return nil
}
