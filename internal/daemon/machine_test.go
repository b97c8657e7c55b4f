package daemon

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/baobabdyke/baobabdyke/config"
	"github.com/baobabdyke/baobabdyke/internal/caller"
	"github.com/baobabdyke/baobabdyke/internal/fake"
	"github.com/baobabdyke/baobabdyke/internal/seed"
	"github.com/baobabdyke/baobabdyke/internal/settings"
	"github.com/baobabdyke/baobabdyke/internal/virtual"
	"github.com/baobabdyke/baobabdyke/peer"
	"github.com/baobabdyke/baobabdyke/store"
	"github.com/baobabdyke/baobabdyke/target"
)

// customerKeys are the secrets of the customer's keys.
var customerKeys = []string{"first-secret-of-customer", "second-secret-of-customer"}

const (
	// vmCount is the number of VMs.
	vmCount = 3
	// maxCallRate is the largest permitted rate of calls of one VM to the
	// others, per second.
	maxCallRate = 200
	// maxPause is the longest time for which a VM is paused.
	maxPause = time.Minute
	// peerDelay is the latency of a message between two VMs.
	peerDelay = time.Millisecond
)

// An idleListener is a listener that accepts no connections.
type idleListener struct{ closed chan struct{} }

func (l *idleListener) Accept() (net.Conn, error) {
	<-l.closed
	return nil, net.ErrClosed
}

func (l *idleListener) Close() error {
	select {
	case <-l.closed:
	default:
		close(l.closed)
	}
	return nil
}
func (l *idleListener) Addr() net.Addr { return &net.TCPAddr{} }

// A process simulates one process of a VM, from its start to its end.
type process struct {
	vm     *VM
	cancel context.CancelFunc
	done   chan struct{}
	killed atomic.Bool
	node   *peer.MemoryNode
	// storeName identifies the process in calls of the store.
	storeName string
	// checkedCalls is the number of calls to other VMs at checkedAt, when the
	// call rate was last checked.
	checkedCalls int64
	checkedAt    time.Time
	// highestVersion is the highest configuration version seen in the process.
	highestVersion int64
}

// A killableClient sends requests to targets until its process is killed.
type killableClient struct {
	target.Client
	process *process
}

func (c killableClient) Send(ctx context.Context, address string, r target.Request) target.Result {
	if c.process.killed.Load() {
		return target.NotRun{Reason: "dead"}
	}
	return c.Client.Send(ctx, address, r)
}

// A machine is the state machine that rapid drives: complete VMs in one process,
// in virtual time and without sockets.
type machine struct {
	oracle  *oracle
	store   *store.Memory
	peers   *peer.Memory
	network *fake.Network
	service *fake.Service
	engines []*fake.Engine
	vms     []*process
	starts  int
	patches int
	holds   int
	// keyInForce reports by secret whether the key is in force.
	keyInForce map[string]bool

	mu        sync.Mutex
	rand      *rand.Rand
	faultKind string
	killed    map[string]bool
	// pausedUntil is the time until which store calls of a process are delayed,
	// by store name.
	pausedUntil map[string]time.Time
}

func newMachine(randSeed uint64) *machine {
	m := &machine{
		oracle:      newOracle(),
		store:       store.NewMemory(),
		peers:       peer.NewMemory(),
		network:     fake.NewNetwork(),
		service:     fake.NewService("app-1"),
		keyInForce:  map[string]bool{customerKeys[0]: true, customerKeys[1]: true},
		rand:        rand.New(rand.NewPCG(randSeed, 0)),
		killed:      map[string]bool{},
		pausedUntil: map[string]time.Time{},
		vms:         make([]*process, vmCount),
	}
	m.store.SetFault(m.storeFault)
	m.network.Add("192.0.2.1:80", m.service)
	for i := range 2 {
		e := fake.NewEngine(fake.EngineOptions{Name: fmt.Sprintf("engine-%d", i+1), Model: "kuroko"})
		m.engines = append(m.engines, e)
		m.network.Add(fmt.Sprintf("192.0.2.%d:80", i+2), e)
	}
	var list []store.VMRecord
	for i := range m.vms {
		list = append(list, store.VMRecord{ID: vmID(i), Address: vmAddress(i), DataCentre: "hakata", State: store.VMLive})
	}
	m.store.SetVMs(list)
	m.heal()
	for i := range m.vms {
		m.startProcess(i)
	}
	return m
}

func vmID(i int) string      { return fmt.Sprintf("vm-%d", i+1) }
func vmAddress(i int) string { return fmt.Sprintf("198.51.100.%d:70", i+1) }

// startProcess starts a process of a VM.
func (m *machine) startProcess(i int) {
	p := &process{done: make(chan struct{})}
	s := settings.Settings{
		VM: vmID(i), Region: "kyushu", DataCentre: "hakata",
		Callers:   settings.Callers{Address: fmt.Sprintf("198.51.100.%d:80", i+1), MaxBodyBytes: 1 << 20, MaxHeaderBytes: 1 << 16, BodyTimeout: time.Minute},
		Operators: settings.Operators{Address: fmt.Sprintf("198.51.100.%d:90", i+1)},
		Peers:     settings.Peers{Address: vmAddress(i)},
		Platform:  settings.Platform{CallsPerSecond: 200},
		Entry:     settings.Entry{TTL: 100 * time.Millisecond, Lag: 100 * time.Millisecond},
	}
	node := m.peers.Node(s.VM, s.Peers.Address)
	p.node, p.checkedAt = node, time.Now()
	client := target.NewHTTPClient(target.HTTPOptions{Transport: m.network})
	m.starts++
	p.storeName = fmt.Sprintf("%s/%d", s.VM, m.starts)
	storeView := m.store.For(p.storeName)
	p.vm = New(s, Credentials{OperatorToken: []byte(testToken)}, Dependencies{
		Store: storeView, Directory: storeView, Clock: store.SystemClock{},
		Targets: killableClient{Client: client, process: p}, Peers: node, Calls: node,
	}, log.NewNopLogger())
	l := Listeners{Caller: &idleListener{closed: make(chan struct{})}, Operator: &idleListener{closed: make(chan struct{})}}
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	go func() {
		defer close(p.done)
		_ = p.vm.Run(ctx, l, nil)
	}()
	m.vms[i] = p
}

// stop shuts the process down gracefully and waits for its end.
func (p *process) stop() {
	p.cancel()
	<-p.done
}

// storeFault draws the fault of a store call.
func (m *machine) storeFault(c store.Call) store.Fault {
	m.mu.Lock()
	defer m.mu.Unlock()
	f := store.Fault{Delay: time.Duration(1+m.rand.IntN(5)) * time.Millisecond}
	if m.killed[c.From] {
		return store.Fault{Refuse: true}
	}
	f.Delay = max(f.Delay, time.Until(m.pausedUntil[c.From]))
	switch m.faultKind {
	case "down":
		f.Refuse = true
	case "slow":
		f.Delay = max(f.Delay, 2*time.Second)
	case "lossy":
		f.LoseResponse = m.rand.IntN(3) == 0
		f.LoseRequest = m.rand.IntN(6) == 0
		f.Stale = int64(m.rand.IntN(3))
	}
	return f
}

func (m *machine) setFault(kind string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.faultKind = kind
}

// send sends one request to the callers' interface of a VM and records the
// response.
func (m *machine) send(i int, req observedRequest, path, body string) {
	p := m.vms[i]
	ctx, cancel := context.WithTimeout(context.Background(), 25*time.Second)
	defer cancel()
	r := httptest.NewRequestWithContext(ctx, http.MethodPost, path, strings.NewReader(body))
	r.Header.Set("Authorization", "Bearer "+req.secret)
	r.Header.Set("Content-Type", "application/json")
	if req.idempotencyKey != "" {
		r.Header.Set(caller.HeaderIdempotencyKey, req.idempotencyKey)
	}
	w := httptest.NewRecorder()
	req.start = time.Now()
	p.vm.callers.ServeHTTP(w, r)
	if p.killed.Load() {
		// The caller gets no response from a killed process.
		return
	}
	req.end = time.Now()
	req.id = w.Header().Get(caller.HeaderRequestID)
	req.status = w.Code
	req.outcome = w.Header().Get(caller.HeaderOutcome)
	req.body = w.Body.String()
	req.failed = strings.Contains(req.body, "event: error")
	req.complete = isCompleteStream(req.body)
	m.oracle.add(req)
}

// isCompleteStream reports whether a stream has all its events in order, up to
// the last one.
func isCompleteStream(stream string) bool {
	offset := 0
	for line := range strings.Lines(stream) {
		if id, ok := strings.CutPrefix(strings.TrimSpace(line), "id: "); ok {
			offset++
			if id != fmt.Sprint(offset) {
				return false
			}
		}
	}
	return strings.Contains(stream, "data: [DONE]")
}

func (m *machine) drawKey(t *rapid.T) string { return rapid.SampledFrom(customerKeys).Draw(t, "key") }
func (m *machine) drawVM(t *rapid.T) int     { return rapid.IntRange(0, vmCount-1).Draw(t, "vm") }

// hold sends several concurrent attempts, with one idempotency key and to
// successive VMs, to hold a seat that is new or was requested before.
func (m *machine) hold(t *rapid.T) {
	n := rapid.IntRange(max(0, m.holds-3), m.holds).Draw(t, "hold")
	m.holds = max(m.holds, n+1)
	tries := rapid.IntRange(1, 4).Draw(t, "tries")
	key := m.drawKey(t)
	first := m.drawVM(t)
	var wg sync.WaitGroup
	for i := range tries {
		wg.Go(func() {
			req := observedRequest{secret: key, idempotencyKey: fmt.Sprintf("hold-%d", n), seat: fmt.Sprint(n)}
			m.send((first+i)%vmCount, req, "/s/hold/holds", fmt.Sprintf(`{"seat":"%d"}`, n))
		})
	}
	wg.Wait()
}

// chat requests streams from successive VMs, sometimes far more than the rate
// limit permits.
func (m *machine) chat(t *rapid.T) {
	n := rapid.SampledFrom([]int{1, 5, 40}).Draw(t, "chats")
	key, i := m.drawKey(t), m.drawVM(t)
	var wg sync.WaitGroup
	for k := range n {
		wg.Go(func() {
			m.send((i+k)%vmCount, observedRequest{secret: key, stream: true}, "/v1/chat/completions", chatBody("row C?", 5))
		})
	}
	wg.Wait()
}

// submit submits a patch to the configuration through one VM.
func (m *machine) submit(i int, p config.Patch) config.PatchResult {
	m.patches++
	p.ID = fmt.Sprintf("patch-%d", m.patches)
	manager := m.vms[i].vm.configs
	p.Base = manager.Current().Version
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	return manager.Submit(ctx, p)
}

// toggleKey withdraws the second key, or grants it again.
func (m *machine) toggleKey(t *rapid.T) {
	secret := customerKeys[1]
	i := m.drawVM(t)
	if m.keyInForce[secret] {
		w := config.Withdrawal{Customer: "bunraku", Key: "k2", Mode: config.WithdrawnFinish}
		if _, ok := m.submit(i, config.Patch{Withdraw: []config.Withdrawal{w}}).(config.PatchAccepted); ok {
			m.keyInForce[secret] = false
			m.oracle.mu.Lock()
			m.oracle.withdrawn[secret] = time.Now()
			m.oracle.mu.Unlock()
		}
		return
	}
	g := config.Grant{Customer: "bunraku", Key: config.Key{ID: "k2", Digest: fake.Digest(secret)}}
	// The key may be accepted as soon as the patch is submitted.
	m.oracle.mu.Lock()
	delete(m.oracle.withdrawn, secret)
	m.oracle.mu.Unlock()
	m.keyInForce[secret] = true
	m.submit(i, config.Patch{Grant: []config.Grant{g}, Reinstate: []string{fake.Digest(secret)}})
}

// crash kills a process without a shutdown.
func (m *machine) crash(t *rapid.T) { m.kill(m.drawVM(t)) }

// crashAll kills all processes at the same time.
func (m *machine) crashAll(*rapid.T) {
	for i := range m.vms {
		m.kill(i)
	}
}

// pause delays all messages and store calls of a VM for a random time.
func (m *machine) pause(t *rapid.T) {
	i := m.drawVM(t)
	d := time.Duration(rapid.IntRange(1, int(maxPause/time.Second)).Draw(t, "paused")) * time.Second
	m.peers.Pause(vmID(i))
	m.mu.Lock()
	m.pausedUntil[m.vms[i].storeName] = time.Now().Add(d)
	m.mu.Unlock()
	time.AfterFunc(d, func() { m.peers.Resume(vmID(i)) })
}

func (m *machine) kill(i int) {
	p := m.vms[i]
	p.killed.Store(true)
	m.peers.Remove(vmAddress(i))
	m.mu.Lock()
	m.killed[p.storeName] = true
	m.mu.Unlock()
	p.cancel()
	m.startProcess(i)
}

// restart shuts a process down gracefully and starts a new one.
func (m *machine) restart(t *rapid.T) {
	i := m.drawVM(t)
	m.vms[i].stop()
	m.startProcess(i)
}

// injectFault changes the fault of the store, and disconnects two VMs or heals all
// connections.
func (m *machine) injectFault(t *rapid.T) {
	m.setFault(rapid.SampledFrom([]string{"none", "down", "slow", "lossy"}).Draw(t, "store"))
	a, b := m.drawVM(t), m.drawVM(t)
	if a == b {
		m.heal()
		return
	}
	m.peers.Disconnect(vmID(a), vmID(b))
}

// injectTargetFault makes a target fail.
func (m *machine) injectTargetFault(t *rapid.T) {
	switch rapid.SampledFrom([]string{"lose", "refuse", "crash", "cut", "silent"}).Draw(t, "trouble") {
	case "lose":
		m.service.DropResponses(1)
	case "refuse":
		m.service.RefuseNext(1)
	case "crash":
		m.engines[0].Crash()
	case "cut":
		m.engines[1].TruncateAfter(2)
	case "silent":
		m.engines[0].StallAfter(2)
	}
}

func (m *machine) advanceTime(t *rapid.T) {
	time.Sleep(time.Duration(rapid.IntRange(10, 6000).Draw(t, "pass")) * time.Millisecond)
}

func (m *machine) heal() {
	for a := range vmCount {
		for b := range a {
			m.peers.Heal(vmID(a), vmID(b))
			m.peers.Delay(vmID(a), vmID(b), peerDelay)
		}
	}
}

// check verifies the guarantees. It is called after each step.
func (m *machine) check(t *rapid.T) {
	if violation := m.oracle.firstViolation(m.service, m.engines); violation != "" {
		t.Fatal(violation)
	}
	for i, p := range m.vms {
		version := p.vm.configs.Current().Version
		if version < p.highestVersion {
			t.Fatalf("configuration of %s went back from version %d to %d", vmID(i), p.highestVersion, version)
		}
		p.highestVersion = version
		p.checkCallRate(t)
	}
}

// checkCallRate fails the test if the process calls other VMs far more often than
// its tasks and the callers' requests require.
func (p *process) checkCallRate(t *rapid.T) {
	span := time.Since(p.checkedAt)
	if span < time.Second {
		return
	}
	calls := p.node.Traffic().Calls
	if rate := float64(calls-p.checkedCalls) / span.Seconds(); rate > maxCallRate {
		t.Fatalf("%.0f calls per second to other VMs during %s", rate, span)
	}
	p.checkedCalls, p.checkedAt = calls, time.Now()
}

// checkRecovery ends all faults and checks that every VM serves again after
// maxPause and another minute.
func (m *machine) checkRecovery(fail func(format string, args ...any)) {
	m.setFault("none")
	m.heal()
	for _, s := range []func(int){m.service.DropResponses, m.service.RefuseNext} {
		s(0)
	}
	time.Sleep(maxPause)
	time.Sleep(time.Minute)
	for i, p := range m.vms {
		if err := p.vm.checkAccepting(); err != nil {
			fail("%s does not serve a minute after all faults ended: %v", vmID(i), err)
		}
		if p.vm.configs.Current().Version != m.vms[0].vm.configs.Current().Version {
			fail("%s has configuration version %d, want %d", vmID(i), p.vm.configs.Current().Version, m.vms[0].vm.configs.Current().Version)
		}
	}
	before := len(m.oracle.requests)
	m.send(0, observedRequest{secret: customerKeys[0], stream: true}, "/v1/chat/completions", chatBody("row D?", 5))
	if got := m.oracle.requests[before:]; len(got) != 1 || !got[0].complete {
		fail("no complete response a minute after all faults ended: %+v", got)
	}
}

// configure submits the configuration and waits until it is distributed.
func (m *machine) configure(t *testing.T) {
	t.Helper()
	text := fake.SmallFleetPatch(customerKeys[0], [2]string{"192.0.2.2:80", "192.0.2.3:80"}, "192.0.2.1:80")
	p, err := config.DecodePatch("patch", []byte(text))
	must.NoError(t, err)
	rate := config.Rate{Requests: customerRate, RequestBurst: customerBurst, Tokens: 1e6, TokenBurst: 1e6}
	p.Set.Customers[0].Rate = rate
	p.Set.Customers[0].Keys = append(p.Set.Customers[0].Keys, config.Key{ID: "k2", Digest: fake.Digest(customerKeys[1])})
	time.Sleep(time.Second)
	r := m.submit(0, p)
	_, ok := r.(config.PatchAccepted)
	must.True(t, ok, must.Sprintf("patch: %#v", r))
	time.Sleep(10 * time.Second)
}

func (m *machine) stop() {
	m.setFault("none")
	for _, p := range m.vms {
		p.stop()
	}
	for _, e := range m.engines {
		e.Crash()
	}
	time.Sleep(time.Minute)
}

// useOneProcessor sets GOMAXPROCS to 1 for the test. The race detector of Go 1.26
// crashes if timers of one synctest bubble fire on two processors.
func useOneProcessor(t *testing.T) {
	t.Helper()
	before := runtime.GOMAXPROCS(1)
	t.Cleanup(func() { runtime.GOMAXPROCS(before) })
}

// limitRapidRun reduces the number of checks and steps unless they are set by the
// flags of rapid.
func limitRapidRun(t *testing.T) {
	t.Helper()
	for name, value := range map[string]string{"rapid.checks": "10", "rapid.steps": "25"} {
		if f := flag.Lookup(name); f.Value.String() == f.DefValue {
			must.NoError(t, f.Value.Set(value))
		}
	}
}

// TestMachine applies random requests, patches, crashes and faults to a fleet and
// checks its guarantees after each step.
func TestMachine(t *testing.T) {
	useOneProcessor(t)
	must.NoError(t, seed.SetRapid())
	limitRapidRun(t)
	rapid.Check(t, func(r *rapid.T) {
		virtual.Bubble(t, func() {
			m := newMachine(rapid.Uint64().Draw(r, "source"))
			defer m.stop()
			m.configure(t)
			r.Repeat(map[string]func(*rapid.T){
				"hold": m.hold, "hold again": m.hold, "chat": m.chat, "toggle": m.toggleKey,
				"crash": m.crash, "herd": m.crashAll, "pause": m.pause, "restart": m.restart, "spoil": m.injectFault, "trouble": m.injectTargetFault,
				"pass": m.advanceTime, "": m.check,
			})
			m.checkRecovery(r.Fatalf)
			m.check(r)
		})
	})
}
