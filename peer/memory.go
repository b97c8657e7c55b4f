package peer

import (
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// A Memory connects VMs within one process, for tests and the demo. Messages
// are encoded and decoded as between machines, and each way between two VMs can
// be broken. It waits on timers only, so that it works in virtual time.
type Memory struct {
	mu    sync.Mutex
	nodes map[string]*MemoryNode // by address
	links map[link]*linkState
	traps map[string]chan struct{} // paused VMs; closed on resume

	latency func(from, to string) time.Duration
}

// A link is one way from a VM to another.
type link struct{ from, to string }

type linkState struct {
	cut     bool
	silent  bool
	lossy   bool
	latency time.Duration
}

// NewMemory returns a Memory without VMs.
func NewMemory() *Memory {
	return &Memory{
		nodes: map[string]*MemoryNode{},
		links: map[link]*linkState{},
		traps: map[string]chan struct{}{},
	}
}

// Node adds a VM, which takes over the address from an earlier one.
func (m *Memory) Node(id, address string) *MemoryNode {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := &MemoryNode{memory: m, id: id, address: address}
	m.nodes[address] = n
	return n
}

// Remove takes a VM off the network: connections to it are refused.
func (m *Memory) Remove(address string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.nodes, address)
}

// Cut makes calls between two VMs fail at once, both ways.
func (m *Memory) Disconnect(a, b string) {
	m.change(a, b, func(s *linkState) { s.cut = true })
}

// CutWay makes calls of one VM to another fail at once.
func (m *Memory) DisconnectOneWay(from, to string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.link(from, to).cut = true
}

// Silence makes calls between two VMs wait until their deadline, both ways.
func (m *Memory) DropMessages(a, b string) {
	m.change(a, b, func(s *linkState) { s.silent = true })
}

// LoseAnswers makes calls between two VMs be handled without an answer.
func (m *Memory) DropResponses(a, b string) {
	m.change(a, b, func(s *linkState) { s.lossy = true })
}

// Delay sets the latency of messages between two VMs, each way.
func (m *Memory) Delay(a, b string, d time.Duration) {
	m.change(a, b, func(s *linkState) { s.latency = d })
}

// Latency sets the latency of messages between VMs, each way, to which Delay
// adds.
func (m *Memory) SetLatency(f func(from, to string) time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.latency = f
}

// Heal ends what Cut, Silence, LoseAnswers and Delay did between two VMs.
func (m *Memory) Heal(a, b string) {
	m.change(a, b, func(s *linkState) { *s = linkState{} })
}

// Pause stops all messages to and from a VM until Resume. Calls to it wait
// until their deadline; its own calls wait for Resume.
func (m *Memory) Pause(id string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.traps[id] == nil {
		m.traps[id] = make(chan struct{})
	}
}

// Resume ends a Pause.
func (m *Memory) Resume(id string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if trap := m.traps[id]; trap != nil {
		close(trap)
		delete(m.traps, id)
	}
}

func (m *Memory) change(a, b string, f func(*linkState)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f(m.link(a, b))
	f(m.link(b, a))
}

// link returns the state of one way. The caller holds mu.
func (m *Memory) link(from, to string) *linkState {
	l := link{from: from, to: to}
	if m.links[l] == nil {
		m.links[l] = &linkState{}
	}
	return m.links[l]
}

// travel carries one message from a VM to another, or fails.
func (m *Memory) travel(ctx context.Context, from, to string) error {
	m.mu.Lock()
	s := linkState{}
	if known := m.links[link{from: from, to: to}]; known != nil {
		s = *known
	}
	if m.latency != nil {
		s.latency += m.latency(from, to)
	}
	trap := m.traps[to]
	m.mu.Unlock()
	if s.cut {
		return ErrUnreachable
	}
	if s.silent {
		<-ctx.Done()
		return ctx.Err()
	}
	if err := sleep(ctx, s.latency); err != nil {
		return err
	}
	return await(ctx, trap)
}

func (m *Memory) lossy(from, to string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.links[link{from: from, to: to}]
	return s != nil && s.lossy
}

func (m *Memory) trap(id string) chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.traps[id]
}

func (m *Memory) find(address string) *MemoryNode {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.nodes[address]
}

// A MemoryNode is one VM on a Memory: a Caller and a Registrar.
type MemoryNode struct {
	registry
	memory  *Memory
	id      string
	address string

	count struct {
		sync.Mutex
		Traffic
	}
}

var (
	_ Caller    = (*MemoryNode)(nil)
	_ Registrar = (*MemoryNode)(nil)
)

// Traffic counts the calls that a VM made and answered and the bytes of their
// encoded messages.
type Traffic struct {
	Calls    int64
	Served   int64
	Sent     int64
	Received int64
}

// Traffic returns what the VM has sent and received.
func (n *MemoryNode) Traffic() Traffic {
	n.count.Lock()
	defer n.count.Unlock()
	return n.count.Traffic
}

// Call implements Caller.
func (n *MemoryNode) Call(ctx context.Context, to Destination, call string, req, resp any) error {
	ctx, cancel := boundCall(ctx)
	defer cancel()
	data, err := messages.Marshal(req)
	if err != nil {
		return err
	}
	n.add(Traffic{Calls: 1, Sent: int64(len(data))})
	answer, err := n.exchange(ctx, to, call, data)
	if trap := n.memory.trap(n.id); trap != nil {
		<-trap
	}
	if err == nil {
		err = ctx.Err()
	}
	if err != nil {
		return eris.Wrapf(err, "call %s of VM %s", call, to.VM)
	}
	n.add(Traffic{Received: int64(len(answer))})
	return messages.Unmarshal(answer, resp)
}

// exchange carries the request there and the answer back.
func (n *MemoryNode) exchange(
	ctx context.Context, to Destination, call string, data []byte,
) ([]byte, error) {
	if trap := n.memory.trap(n.id); trap != nil {
		<-trap
	}
	if err := n.memory.travel(ctx, n.id, to.VM); err != nil {
		return nil, err
	}
	target := n.memory.find(to.Address)
	if target == nil {
		return nil, ErrUnreachable
	}
	if target.id != to.VM {
		return nil, ErrWrongVM
	}
	answer, err := target.answer(ctx, n.id, call, data)
	if n.memory.lossy(n.id, to.VM) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if err != nil {
		return nil, err
	}
	return answer, n.memory.travel(ctx, to.VM, n.id)
}

// answer runs the handler of a call. The handler keeps running when ctx ends
// before it returns.
func (n *MemoryNode) answer(
	ctx context.Context, from, call string, data []byte,
) ([]byte, error) {
	n.add(Traffic{Served: 1, Received: int64(len(data))})
	type result struct {
		data []byte
		err  error
	}
	done := make(chan result, 1)
	go func() {
		decode := func(req any) error { return messages.Unmarshal(data, req) }
		resp, err := n.serve(ctx, from, call, decode)
		if err != nil {
			done <- result{err: err}
			return
		}
		out, err := messages.Marshal(resp)
		done <- result{data: out, err: err}
	}()
	select {
	case r := <-done:
		n.add(Traffic{Sent: int64(len(r.data))})
		return r.data, r.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (n *MemoryNode) add(t Traffic) {
	n.count.Lock()
	defer n.count.Unlock()
	n.count.Calls += t.Calls
	n.count.Served += t.Served
	n.count.Sent += t.Sent
	n.count.Received += t.Received
}

func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// await waits until a pause ends.
func await(ctx context.Context, trap chan struct{}) error {
	if trap == nil {
		return nil
	}
	select {
	case <-trap:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
