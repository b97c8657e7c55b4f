package limit_test

import (
	"errors"
	"flag"
	"maps"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/baobabdyke/baobabdyke/config"
	"github.com/baobabdyke/baobabdyke/internal/seed"
	"github.com/baobabdyke/baobabdyke/limit"
)

var long = flag.Bool("long", false, "run ten times as many action sequences")

func TestMain(m *testing.M) {
	flag.Parse()
	checks := "100"
	if *long {
		checks = "1000"
	}
	err := errors.Join(seed.SetRapid(), flag.Set("rapid.steps", "80"),
		flag.Set("rapid.checks", checks), flag.Set("rapid.nofailfile", "true"))
	if err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// A machine is a rapid state machine that runs a fleet through requests, faults
// and configuration changes. Failures are detected by the oracles, the check of
// conservation and the invariants of the package.
type machine struct {
	f       *fleet
	running []running
}

// A running is an admitted request that has not settled.
type running struct {
	n           *node
	reservation limit.Reservation
	admission   int
}

var customers = []string{"hakata", "saldo"}

func newMachine(t *rapid.T) *machine {
	cfg := &config.Config{Version: 1}
	for _, name := range customers {
		cfg.Customers = append(cfg.Customers, config.Customer{Name: name, Rate: drawRate(t)})
	}
	layout := limit.Layout{Shards: 2, Slots: rapid.SampledFrom([]int{4, 2, 1, 5}).Draw(t, "slots")}
	f := newFleet(rapid.SampledFrom([]int{3, 2, 4, 1}).Draw(t, "VMs"), layout, cfg, rapid.Uint64().Draw(t, "seed"))
	f.Advance(12 * time.Second)
	return &machine{f: f}
}

func drawRate(t *rapid.T) config.Rate {
	tokens := rapid.SampledFrom([]float64{300, 2000, 0}).Draw(t, "rate")
	burst := rapid.SampledFrom([]float64{2, 0.5, 8}).Draw(t, "seconds")
	requests := tokens / rapid.SampledFrom([]float64{2, 30}).Draw(t, "tokens in a request")
	return config.Rate{Requests: requests, RequestBurst: requests * burst, Tokens: tokens, TokenBurst: tokens * burst}
}

// drawNode returns one of the running VMs, including paused ones.
func (m *machine) drawNode(t *rapid.T) *node {
	alive := slices.DeleteFunc(slices.Clone(m.f.nodes), func(n *node) bool { return n.dead })
	if len(alive) == 0 {
		t.Skip()
	}
	return rapid.SampledFrom(alive).Draw(t, "vm")
}

func (m *machine) reserve(t *rapid.T) {
	n := m.drawNode(t)
	customer := rapid.SampledFrom(customers).Draw(t, "customer")
	fraction := rapid.SampledFrom([]float64{0.01, 0.1, 0.3, 0.7, 1}).Draw(t, "fraction of the burst")
	c := limit.Cost{Requests: 1, Tokens: fraction * m.f.view.Customer(customer).Rate.TokenBurst}
	for range rapid.SampledFrom([]int{1, 5, 20}).Draw(t, "requests") {
		n.deliver(func() {
			n.reserve(customer, c, func(d limit.Decision, admission int) {
				if a, ok := d.(limit.Admitted); ok {
					m.running = append(m.running, running{n: n, reservation: a.Reservation, admission: admission})
				}
			})
		})
	}
}

func (m *machine) settle(t *rapid.T) {
	for range rapid.IntRange(1, 10).Draw(t, "requests") {
		if len(m.running) == 0 {
			return
		}
		i := rapid.IntRange(0, len(m.running)-1).Draw(t, "request")
		r := m.running[i]
		m.running = slices.Delete(m.running, i, i+1)
		used := limit.Cost{Requests: 1, Tokens: r.reservation.Cost.Tokens * rapid.Float64Range(0, 1).Draw(t, "used")}
		r.n.deliver(func() {
			m.f.oracles[r.reservation.Customer].settle(r.admission, used)
			r.n.step(limit.Settle{Reservation: r.reservation, Used: used})
		})
	}
}

// patch changes a rate, and applies the change on some of the VMs.
func (m *machine) patch(t *rapid.T) {
	cfg := &config.Config{Version: m.f.view.Version + 1, Customers: slices.Clone(m.f.view.Customers)}
	cfg.Customers[rapid.IntRange(0, len(customers)-1).Draw(t, "customer")].Rate = drawRate(t)
	m.f.view = config.NewView(cfg)
	for _, n := range m.f.nodes {
		if rapid.Bool().Draw(t, "hears") {
			n.configure(m.f.view)
		}
	}
}

func (m *machine) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"reserve": m.reserve, "burst": m.reserve, "settle": m.settle, "wait": m.wait, "wait again": m.wait,
		"patch": m.patch, "fault": m.fault, "repair": m.repair,
		"": func(t *rapid.T) {
			count, worst := m.f.violations()
			must.Zero(t, count, must.Sprintf("over-admission by up to %v", worst))
			m.checkConservation(t)
		},
	}
}

// checkConservation checks that the amounts that all VMs together could spend at
// once do not exceed the burst.
func (m *machine) checkConservation(t *rapid.T) {
	sums := map[string]limit.Cost{}
	for _, n := range m.f.nodes {
		if n.dead {
			continue
		}
		for _, a := range n.s.Dump(m.f.Now()).Accounts {
			sums[a.Customer] = sums[a.Customer].Plus(a.Level).Plus(a.Held).Plus(a.InTransit)
		}
	}
	for _, name := range customers {
		top := m.f.oracles[name].rateSince
		burst := limit.Cost{Requests: top.RequestBurst, Tokens: top.TokenBurst}
		must.True(t, burst.Covers(sums[name]), must.Sprintf("%s: %v could be spent at once, burst %v", name, sums[name], burst))
	}
}

func (m *machine) wait(t *rapid.T) {
	ms := rapid.SampledFrom([]int{20, 1, 190, 215, 260, 1000, 12000, 70000}).Draw(t, "ms")
	m.f.Advance(time.Duration(ms) * time.Millisecond)
}

// fault injects one fault, which lasts until a repair.
func (m *machine) fault(t *rapid.T) {
	f := m.f
	faults := map[string]func(){
		"pause":       func() { m.drawNode(t).paused = true },
		"restart":     func() { f.start(m.drawNode(t).member.ID); f.sendMembership() },
		"restart all": m.restartAll,
		"lose":        func() { m.drawNode(t).dead = true },
		"replace":     m.replace,
		"hand back":   func() { n := m.drawNode(t); n.deliver(func() { n.step(limit.ReleaseAll{}) }) },
		"cut":         func() { f.blocked[[2]string{m.drawNode(t).member.ID, m.drawNode(t).member.ID}] = true },
		"lossy":       func() { f.lossRate = 0.3 },
		"slow":        func() { f.maxJitter = 400 * time.Millisecond },
		"store":       func() { f.storeDown = true },
		"lost answer": func() { f.loseWriteResponses = true },
	}
	faults[rapid.SampledFrom(slices.Sorted(maps.Keys(faults))).Draw(t, "fault")]()
}

// repair ends some of the faults.
func (m *machine) repair(t *rapid.T) {
	f := m.f
	if rapid.Bool().Draw(t, "network") {
		clear(f.blocked)
		f.lossRate, f.maxJitter = 0, 0
	}
	if rapid.Bool().Draw(t, "store") {
		f.storeDown, f.loseWriteResponses = false, false
	}
	if rapid.Bool().Draw(t, "VMs") {
		for _, n := range f.nodes {
			n.resume()
			n.configure(f.view)
		}
		m.replace()
	}
}

// replace removes the dead VMs from the platform's list and adds a new VM.
func (m *machine) replace() {
	for _, n := range m.f.nodes {
		n.unlisted = n.unlisted || n.dead
	}
	if len(m.f.nodes) < 8 {
		m.f.start("")
	}
	m.f.sendMembership()
}

func (m *machine) restartAll() {
	for _, n := range slices.Clone(m.f.nodes) {
		if !n.dead {
			m.f.start(n.member.ID)
		}
	}
	m.f.sendMembership()
}

func TestMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		t.Repeat(newMachine(t).actions())
	})
}
