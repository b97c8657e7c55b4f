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

// machineKeys are the secrets of the machine's customer.
var machineKeys = []string{"first-secret-of-customer", "second-secret-of-customer"}

const (
	// machineVMs is the number of VMs of the machine.
	machineVMs = 3
	// maxCallRate is the most calls a second of one VM to the others.
	maxCallRate = 200
	// longestPause bounds the pause of a VM.
	longestPause = time.Minute
	// peerDelay is the time of a message between two VMs.
	peerDelay = time.Millisecond
)

// A quietListener is a port that nobody connects to.
type quietListener struct{ closed chan struct{} }

func (l *quietListener) Accept() (net.Conn, error) {
	<-l.closed
	return nil, net.ErrClosed
}

func (l *quietListener) Close() error {
	select {
	case <-l.closed:
	default:
		close(l.closed)
	}
	return nil
}
func (l *quietListener) Addr() net.Addr { return &net.TCPAddr{} }

// A process is one VM's process of the machine.
type process struct {
	vm     *VM
	cancel context.CancelFunc
	done   chan struct{}
	dead   atomic.Bool
	node   *peer.MemoryNode
	// store is the process's name at the store.
	store string
	// calls and checked are what the process had called when it was last checked.
	calls   int64
	checked time.Time
	// highest is the highest version of the configuration that it had in force.
	highest int64
}

// A mortalClient reaches targets only while its process is alive.
type mortalClient struct {
	target.Client
	p *process
}

func (c mortalClient) Send(ctx context.Context, address string, r target.Request) target.Result {
	if c.p.dead.Load() {
		return target.NotRun{Reason: "dead"}
	}
	return c.Client.Send(ctx, address, r)
}

// A machine runs whole VMs in one process and virtual time, with no sockets.
type machine struct {
	oracle  *oracle
	store   *store.Memory
	peers   *peer.Memory
	network *fake.Network
	service *fake.Service
	engines []*fake.Engine
	vms     []*process
	boots   int
	patches int
	holds   int
	// keys tells which secrets are in force.
	keys map[string]bool

	mu    sync.Mutex
	rand  *rand.Rand
	fault string
	dead  map[string]bool
	// paused tells until when calls of a process stand.
	paused map[string]time.Time
}

func newMachine(source uint64) *machine {
	m := &machine{
		oracle:  newOracle(),
		store:   store.NewMemory(),
		peers:   peer.NewMemory(),
		network: fake.NewNetwork(),
		service: fake.NewService("app-1"),
		keys:    map[string]bool{machineKeys[0]: true, machineKeys[1]: true},
		rand:    rand.New(rand.NewPCG(source, 0)),
		dead:    map[string]bool{},
		paused:  map[string]time.Time{},
		vms:     make([]*process, machineVMs),
	}
	m.store.SetFault(m.faultOf)
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
		m.boot(i)
	}
	return m
}

func vmID(i int) string      { return fmt.Sprintf("vm-%d", i+1) }
func vmAddress(i int) string { return fmt.Sprintf("198.51.100.%d:70", i+1) }

// boot starts a process of a VM.
func (m *machine) boot(i int) {
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
	p.node, p.checked = node, time.Now()
	client := target.NewHTTPClient(target.HTTPOptions{Transport: m.network})
	m.boots++
	p.store = fmt.Sprintf("%s/%d", s.VM, m.boots)
	view := m.store.For(p.store)
	p.vm = New(s, Credentials{OperatorToken: []byte(testToken)}, Outside{
		Store: view, Directory: view, Clock: store.SystemClock{},
		Targets: mortalClient{Client: client, p: p}, Peers: node, Calls: node,
	}, log.NewNopLogger())
	l := Listeners{Caller: &quietListener{closed: make(chan struct{})}, Operator: &quietListener{closed: make(chan struct{})}}
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	go func() {
		defer close(p.done)
		_ = p.vm.Run(ctx, l, nil)
	}()
	m.vms[i] = p
}

// stop ends a process as planned and waits for it.
func (p *process) stop() {
	p.cancel()
	<-p.done
}

// faultOf draws the fault of a call of the store.
func (m *machine) faultOf(c store.Call) store.Fault {
	m.mu.Lock()
	defer m.mu.Unlock()
	f := store.Fault{Delay: time.Duration(1+m.rand.IntN(5)) * time.Millisecond}
	if m.dead[c.From] {
		return store.Fault{Refuse: true}
	}
	f.Delay = max(f.Delay, time.Until(m.paused[c.From]))
	switch m.fault {
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
	m.fault = kind
}

// ask sends one request through a VM's callers' interface.
func (m *machine) ask(i int, h heard, path, body string) {
	p := m.vms[i]
	ctx, cancel := context.WithTimeout(context.Background(), 25*time.Second)
	defer cancel()
	r := httptest.NewRequestWithContext(ctx, http.MethodPost, path, strings.NewReader(body))
	r.Header.Set("Authorization", "Bearer "+h.key)
	r.Header.Set("Content-Type", "application/json")
	if h.once != "" {
		r.Header.Set(caller.HeaderIdempotencyKey, h.once)
	}
	w := httptest.NewRecorder()
	h.start = time.Now()
	p.vm.callers.ServeHTTP(w, r)
	if p.dead.Load() {
		// A dead process answers nobody.
		return
	}
	h.end = time.Now()
	h.id = w.Header().Get(caller.HeaderRequestID)
	h.status = w.Code
	h.outcome = w.Header().Get(caller.HeaderOutcome)
	h.body = w.Body.String()
	h.failed = strings.Contains(h.body, "event: error")
	h.whole = inOrder(h.body)
	m.oracle.add(h)
}

// inOrder tells whether a stream has all its events up to its end.
func inOrder(stream string) bool {
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

func (m *machine) key(t *rapid.T) string { return rapid.SampledFrom(machineKeys).Draw(t, "key") }
func (m *machine) draw(t *rapid.T) int   { return rapid.IntRange(0, machineVMs-1).Draw(t, "vm") }

// hold tries to hold a seat on some VMs at once, a new one or one from before.
func (m *machine) hold(t *rapid.T) {
	n := rapid.IntRange(max(0, m.holds-3), m.holds).Draw(t, "hold")
	m.holds = max(m.holds, n+1)
	tries := rapid.IntRange(1, 4).Draw(t, "tries")
	key := m.key(t)
	first := m.draw(t)
	var waiting sync.WaitGroup
	for i := range tries {
		waiting.Go(func() {
			h := heard{key: key, once: fmt.Sprintf("hold-%d", n), seat: fmt.Sprint(n)}
			m.ask((first+i)%machineVMs, h, "/s/hold/holds", fmt.Sprintf(`{"seat":"%d"}`, n))
		})
	}
	waiting.Wait()
}

// chat asks for streams on one VM, at times far more than the rate.
func (m *machine) chat(t *rapid.T) {
	n := rapid.SampledFrom([]int{1, 5, 40}).Draw(t, "chats")
	key, i := m.key(t), m.draw(t)
	var waiting sync.WaitGroup
	for k := range n {
		waiting.Go(func() {
			m.ask((i+k)%machineVMs, heard{key: key, stream: true}, "/v1/chat/completions", chatBody("row C?", 5))
		})
	}
	waiting.Wait()
}

// submit patches the configuration through one VM.
func (m *machine) submit(i int, p config.Patch) config.PatchResult {
	m.patches++
	p.ID = fmt.Sprintf("patch-%d", m.patches)
	k := m.vms[i].vm.keeper
	p.Base = k.Current().Version
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	return k.Submit(ctx, p)
}

// toggle withdraws the second key, or puts it back into force.
func (m *machine) toggle(t *rapid.T) {
	secret := machineKeys[1]
	i := m.draw(t)
	if m.keys[secret] {
		w := config.Withdrawal{Customer: "bunraku", Key: "k2", Mode: config.WithdrawnFinish}
		if _, ok := m.submit(i, config.Patch{Withdraw: []config.Withdrawal{w}}).(config.PatchAccepted); ok {
			m.keys[secret] = false
			m.oracle.mu.Lock()
			m.oracle.withdrawn[secret] = time.Now()
			m.oracle.mu.Unlock()
		}
		return
	}
	g := config.Grant{Customer: "bunraku", Key: config.Key{ID: "k2", Digest: fake.Digest(secret)}}
	// From the attempt on the key may work.
	m.oracle.mu.Lock()
	delete(m.oracle.withdrawn, secret)
	m.oracle.mu.Unlock()
	m.keys[secret] = true
	m.submit(i, config.Patch{Grant: []config.Grant{g}, Reinstate: []string{fake.Digest(secret)}})
}

// crash ends a process at once: it reaches nobody any more.
func (m *machine) crash(t *rapid.T) { m.kill(m.draw(t)) }

// herd ends all processes at once.
func (m *machine) herd(*rapid.T) {
	for i := range m.vms {
		m.kill(i)
	}
}

// pause holds up all messages of a VM for a while, and its calls of the store.
func (m *machine) pause(t *rapid.T) {
	i := m.draw(t)
	d := time.Duration(rapid.IntRange(1, int(longestPause/time.Second)).Draw(t, "paused")) * time.Second
	m.peers.Pause(vmID(i))
	m.mu.Lock()
	m.paused[m.vms[i].store] = time.Now().Add(d)
	m.mu.Unlock()
	time.AfterFunc(d, func() { m.peers.Resume(vmID(i)) })
}

func (m *machine) kill(i int) {
	p := m.vms[i]
	p.dead.Store(true)
	m.peers.Remove(vmAddress(i))
	m.mu.Lock()
	m.dead[p.store] = true
	m.mu.Unlock()
	p.cancel()
	m.boot(i)
}

// restart ends a process as planned and starts the next.
func (m *machine) restart(t *rapid.T) {
	i := m.draw(t)
	m.vms[i].stop()
	m.boot(i)
}

// spoil changes what goes wrong with the store and between VMs.
func (m *machine) spoil(t *rapid.T) {
	m.setFault(rapid.SampledFrom([]string{"none", "down", "slow", "lossy"}).Draw(t, "store"))
	a, b := m.draw(t), m.draw(t)
	if a == b {
		m.heal()
		return
	}
	m.peers.Disconnect(vmID(a), vmID(b))
}

// trouble makes a target misbehave.
func (m *machine) trouble(t *rapid.T) {
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

func (m *machine) pass(t *rapid.T) {
	time.Sleep(time.Duration(rapid.IntRange(10, 6000).Draw(t, "pass")) * time.Millisecond)
}

func (m *machine) heal() {
	for a := range machineVMs {
		for b := range a {
			m.peers.Heal(vmID(a), vmID(b))
			m.peers.Delay(vmID(a), vmID(b), peerDelay)
		}
	}
}

// check is called after each step.
func (m *machine) check(t *rapid.T) {
	if wrong := m.oracle.judge(m.service, m.engines); wrong != "" {
		t.Fatal(wrong)
	}
	for i, p := range m.vms {
		version := p.vm.keeper.Current().Version
		if version < p.highest {
			t.Fatalf("%s fell from version %d to %d", vmID(i), p.highest, version)
		}
		p.highest = version
		p.callRate(t)
	}
}

// callRate fails if the process calls others far more often than its duties
// and the callers' requests ask for.
func (p *process) callRate(t *rapid.T) {
	span := time.Since(p.checked)
	if span < time.Second {
		return
	}
	calls := p.node.Traffic().Calls
	if rate := float64(calls-p.calls) / span.Seconds(); rate > maxCallRate {
		t.Fatalf("%.0f calls a second to other VMs in %s", rate, span)
	}
	p.calls, p.checked = calls, time.Now()
}

// calm ends all trouble, and waits until everything works again.
func (m *machine) calm(fail func(format string, args ...any)) {
	m.setFault("none")
	m.heal()
	for _, s := range []func(int){m.service.DropResponses, m.service.RefuseNext} {
		s(0)
	}
	time.Sleep(longestPause)
	time.Sleep(time.Minute)
	for i, p := range m.vms {
		if err := p.vm.accepting(); err != nil {
			fail("%s does not serve a minute after all trouble: %v", vmID(i), err)
		}
		if p.vm.keeper.Current().Version != m.vms[0].vm.keeper.Current().Version {
			fail("%s has version %d, not %d", vmID(i), p.vm.keeper.Current().Version, m.vms[0].vm.keeper.Current().Version)
		}
	}
	before := len(m.oracle.heard)
	m.ask(0, heard{key: machineKeys[0], stream: true}, "/v1/chat/completions", chatBody("row D?", 5))
	if got := m.oracle.heard[before:]; len(got) != 1 || !got[0].whole {
		fail("no whole answer a minute after all trouble: %+v", got)
	}
}

// prepare gives the machine its configuration.
func (m *machine) prepare(t *testing.T) {
	t.Helper()
	text := fake.SmallFleetPatch(machineKeys[0], [2]string{"192.0.2.2:80", "192.0.2.3:80"}, "192.0.2.1:80")
	p, err := config.DecodePatch("patch", []byte(text))
	must.NoError(t, err)
	rate := config.Rate{Requests: oracleRate, RequestBurst: oracleBurst, Tokens: 1e6, TokenBurst: 1e6}
	p.Set.Customers[0].Rate = rate
	p.Set.Customers[0].Keys = append(p.Set.Customers[0].Keys, config.Key{ID: "k2", Digest: fake.Digest(machineKeys[1])})
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

// onOneProcessor keeps the race detector of Go 1.26 alive, which does not
// survive timers of one synctest bubble that fire on two processors.
func onOneProcessor(t *testing.T) {
	t.Helper()
	before := runtime.GOMAXPROCS(1)
	t.Cleanup(func() { runtime.GOMAXPROCS(before) })
}

// shortByDefault bounds the run unless the flags of rapid ask for a longer one.
func shortByDefault(t *testing.T) {
	t.Helper()
	for name, short := range map[string]string{"rapid.checks": "10", "rapid.steps": "25"} {
		if f := flag.Lookup(name); f.Value.String() == f.DefValue {
			must.NoError(t, f.Value.Set(short))
		}
	}
}

func TestMachine(t *testing.T) {
	onOneProcessor(t)
	must.NoError(t, seed.SetRapid())
	shortByDefault(t)
	rapid.Check(t, func(r *rapid.T) {
		virtual.Bubble(t, func() {
			m := newMachine(rapid.Uint64().Draw(r, "source"))
			defer m.stop()
			m.prepare(t)
			r.Repeat(map[string]func(*rapid.T){
				"hold": m.hold, "hold again": m.hold, "chat": m.chat, "toggle": m.toggle,
				"crash": m.crash, "herd": m.herd, "pause": m.pause, "restart": m.restart, "spoil": m.spoil, "trouble": m.trouble,
				"pass": m.pass, "": m.check,
			})
			m.calm(r.Fatalf)
			m.check(r)
		})
	})
}
