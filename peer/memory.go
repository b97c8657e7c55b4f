package peer

import (
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// A Memory is an in-memory network between VMs of one process, with fault
// injection, for tests and the demo. Messages are encoded and decoded as on a
// real network. It waits on timers and channels only, so that it works in
// virtual time.
type Memory struct {
	mu     sync.Mutex
	nodes  map[string]*MemoryNode // by address
	links  map[link]*linkState
	rates  map[link]*rateLimit
	pauses map[string]chan struct{} // by id of the paused VM; closed by Resume

	latency func(from, to string) time.Duration
}

// A link is the direction from one VM to another. With one end empty, it is what a VM
// sends to all others, or receives from them.
type link struct{ from, to string }

type linkState struct {
	disconnected  bool
	dropMessages  bool
	dropResponses bool
	latency       time.Duration
}

// A rateLimit is the rate of a link, whose messages take turns by frames.
type rateLimit struct {
	bytesPerSecond int
	// free is when the link has sent all frames.
	free time.Time
}

// frameBytes is the size of the parts in which messages share a link.
const frameBytes = 16 << 10

// reserve adds a frame to the link and returns when it will have been sent.
func (l *rateLimit) reserve(size int, now time.Time) time.Time {
	if l == nil || l.bytesPerSecond <= 0 {
		return now
	}
	if l.free.Before(now) {
		l.free = now
	}
	l.free = l.free.Add(time.Duration(size) * time.Second / time.Duration(l.bytesPerSecond))
	return l.free
}

// NewMemory returns a Memory without VMs.
func NewMemory() *Memory {
	return &Memory{
		nodes:  map[string]*MemoryNode{},
		links:  map[link]*linkState{},
		rates:  map[link]*rateLimit{},
		pauses: map[string]chan struct{}{},
	}
}

// Node adds a VM. It replaces an earlier VM at the same address.
func (m *Memory) Node(id, address string) *MemoryNode {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := &MemoryNode{memory: m, id: id, address: address}
	m.nodes[address] = n
	return n
}

// Remove removes the VM at an address from the network: calls to it fail with
// ErrUnreachable.
func (m *Memory) Remove(address string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.nodes, address)
}

// Disconnect makes calls between two VMs fail at once, in both directions.
func (m *Memory) Disconnect(a, b string) {
	m.changeBoth(a, b, func(s *linkState) { s.disconnected = true })
}

// DisconnectOneWay makes messages from one VM to another fail at once: requests
// as well as responses.
func (m *Memory) DisconnectOneWay(from, to string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.link(from, to).disconnected = true
}

// DropMessages drops all messages between two VMs, so that calls wait until
// their deadline.
func (m *Memory) DropMessages(a, b string) {
	m.changeBoth(a, b, func(s *linkState) { s.dropMessages = true })
}

// DropResponses drops the responses of calls between two VMs. The calls are
// handled.
func (m *Memory) DropResponses(a, b string) {
	m.changeBoth(a, b, func(s *linkState) { s.dropResponses = true })
}

// Delay sets the latency of messages between two VMs, in each direction.
func (m *Memory) Delay(a, b string, d time.Duration) {
	m.changeBoth(a, b, func(s *linkState) { s.latency = d })
}

// SetLatency sets the function that returns the latency of messages from one VM
// to another, to which Delay adds.
func (m *Memory) SetLatency(f func(from, to string) time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.latency = f
}

// SetRate limits what a VM sends, and what it receives, to a number of bytes a second; 0
// means no limit.
func (m *Memory) SetRate(id string, bytesPerSecond int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.rates[link{from: id}] = &rateLimit{bytesPerSecond: bytesPerSecond}
	m.rates[link{to: id}] = &rateLimit{bytesPerSecond: bytesPerSecond}
}

// Transfer waits for as long as a message of the given size takes on the links of two VMs.
// The sender or the receiver may be another machine, whose links have no limit.
func (m *Memory) Transfer(ctx context.Context, from, to string, size int) error {
	for rest := size; rest > 0; rest -= frameBytes {
		n := min(rest, frameBytes)
		now := time.Now()
		m.mu.Lock()
		end := m.rates[link{from: from}].reserve(n, now)
		if received := m.rates[link{to: to}].reserve(n, now); received.After(end) {
			end = received
		}
		m.mu.Unlock()
		if err := sleep(ctx, end.Sub(now)); err != nil {
			return err
		}
	}
	return nil
}

// Heal removes the faults and the delay between two VMs. It does not resume a
// paused VM.
func (m *Memory) Heal(a, b string) {
	m.changeBoth(a, b, func(s *linkState) { *s = linkState{} })
}

// Pause stops all messages to and from a VM until Resume. Calls to the VM wait
// until Resume or their deadline; its own calls wait until Resume.
func (m *Memory) Pause(id string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.pauses[id] == nil {
		m.pauses[id] = make(chan struct{})
	}
}

// Resume ends the pause of a VM.
func (m *Memory) Resume(id string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if resumed := m.pauses[id]; resumed != nil {
		close(resumed)
		delete(m.pauses, id)
	}
}

func (m *Memory) changeBoth(a, b string, f func(*linkState)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f(m.link(a, b))
	f(m.link(b, a))
}

// link returns the state of one direction. The caller holds mu.
func (m *Memory) link(from, to string) *linkState {
	l := link{from: from, to: to}
	if m.links[l] == nil {
		m.links[l] = &linkState{}
	}
	return m.links[l]
}

// deliver waits until a message of the given size from one VM to another arrives, or
// returns an error if it does not.
func (m *Memory) deliver(ctx context.Context, from, to string, size int) error {
	m.mu.Lock()
	s := linkState{}
	if state := m.links[link{from: from, to: to}]; state != nil {
		s = *state
	}
	if m.latency != nil {
		s.latency += m.latency(from, to)
	}
	resumed := m.pauses[to]
	m.mu.Unlock()
	if s.disconnected {
		return ErrUnreachable
	}
	if s.dropMessages {
		<-ctx.Done()
		return ctx.Err()
	}
	if err := m.Transfer(ctx, from, to, size); err != nil {
		return err
	}
	if err := sleep(ctx, s.latency); err != nil {
		return err
	}
	return awaitResume(ctx, resumed)
}

func (m *Memory) dropsResponses(from, to string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.links[link{from: from, to: to}]
	return s != nil && s.dropResponses
}

func (m *Memory) resumeSignal(id string) chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.pauses[id]
}

func (m *Memory) find(address string) *MemoryNode {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.nodes[address]
}

// A MemoryNode is one VM on a Memory. It implements Caller and Registrar.
type MemoryNode struct {
	registry
	memory  *Memory
	id      string
	address string

	traffic struct {
		sync.Mutex
		Traffic
	}
}

var (
	_ Caller    = (*MemoryNode)(nil)
	_ Registrar = (*MemoryNode)(nil)
)

// Traffic is the number of calls that a VM made and served, and the bytes of
// their encoded messages.
type Traffic struct {
	Calls    int64
	Served   int64
	Sent     int64
	Received int64
}

// Traffic returns the traffic of the VM since it was added.
func (n *MemoryNode) Traffic() Traffic {
	n.traffic.Lock()
	defer n.traffic.Unlock()
	return n.traffic.Traffic
}

// Call implements Caller.
func (n *MemoryNode) Call(ctx context.Context, to Destination, call string, req, resp any) error {
	ctx, cancel := withCallTimeout(ctx)
	defer cancel()
	data, err := encoding.Marshal(req)
	if err != nil {
		return err
	}
	n.addTraffic(Traffic{Calls: 1, Sent: int64(len(data))})
	response, err := n.exchange(ctx, to, call, data)
	if resumed := n.memory.resumeSignal(n.id); resumed != nil {
		<-resumed
	}
	if err == nil {
		err = ctx.Err()
	}
	if err != nil {
		return eris.Wrapf(err, "call %s of VM %s", call, to.VM)
	}
	n.addTraffic(Traffic{Received: int64(len(response))})
	return encoding.Unmarshal(response, resp)
}

// exchange delivers the request and returns the response.
func (n *MemoryNode) exchange(
	ctx context.Context, to Destination, call string, data []byte,
) ([]byte, error) {
	if resumed := n.memory.resumeSignal(n.id); resumed != nil {
		<-resumed
	}
	if err := n.memory.deliver(ctx, n.id, to.VM, len(data)); err != nil {
		return nil, err
	}
	receiver := n.memory.find(to.Address)
	if receiver == nil {
		return nil, ErrUnreachable
	}
	if receiver.id != to.VM {
		return nil, ErrWrongVM
	}
	response, err := receiver.runHandler(ctx, n.id, call, data)
	if n.memory.dropsResponses(n.id, to.VM) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if err != nil {
		return nil, err
	}
	return response, n.memory.deliver(ctx, to.VM, n.id, len(response))
}

// runHandler runs the handler of a call. The handler keeps running if ctx ends
// before it returns.
func (n *MemoryNode) runHandler(
	ctx context.Context, from, call string, data []byte,
) ([]byte, error) {
	n.addTraffic(Traffic{Served: 1, Received: int64(len(data))})
	type result struct {
		data []byte
		err  error
	}
	done := make(chan result, 1)
	go func() {
		decode := func(req any) error { return encoding.Unmarshal(data, req) }
		resp, err := n.serve(ctx, from, call, decode)
		if err != nil {
			done <- result{err: err}
			return
		}
		out, err := encoding.Marshal(resp)
		done <- result{data: out, err: err}
	}()
	select {
	case r := <-done:
		n.addTraffic(Traffic{Sent: int64(len(r.data))})
		return r.data, r.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (n *MemoryNode) addTraffic(t Traffic) {
	n.traffic.Lock()
	defer n.traffic.Unlock()
	n.traffic.Calls += t.Calls
	n.traffic.Served += t.Served
	n.traffic.Sent += t.Sent
	n.traffic.Received += t.Received
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

// awaitResume waits until resumed is closed. It does not wait if resumed is nil.
func awaitResume(ctx context.Context, resumed chan struct{}) error {
	if resumed == nil {
		return nil
	}
	select {
	case <-resumed:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
