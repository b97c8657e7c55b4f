package admission

import (
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/go-kit/log"

	"github.com/baobabdyke/baobabdyke/internal/fleet/roster"
	"github.com/baobabdyke/baobabdyke/internal/logs/logline"
)

// loggedRefusals is the number of refusals that are logged a second. The others are counted
// in the next line.
const loggedRefusals = 5

// A Controller is a State that is safe for concurrent use.
type Controller struct {
	enabled func() bool
	log     log.Logger
	refusal logline.Sampler

	mu    sync.Mutex
	state *State
}

// NewController returns a Controller that admits everything while it is not enabled.
func NewController(enabled func() bool, logger log.Logger) *Controller {
	return &Controller{enabled: enabled, log: logger, refusal: logline.Sampler{PerSecond: loggedRefusals}, state: NewState(rand.Float64)}
}

// Enabled reports whether admission control is switched on.
func (c *Controller) Enabled() bool { return c != nil && c.enabled() }

// Admit decides whether a request is sent now. The ticket is nil for refused requests, and
// while the Controller is not enabled.
func (c *Controller) Admit(r Request, now time.Time) (*Ticket, Decision) {
	if !c.Enabled() {
		return nil, Decision{Admitted: true, Share: 1}
	}
	c.mu.Lock()
	t, d := c.state.Admit(r, now)
	var status ServiceStatus
	if !d.Admitted {
		status = c.state.services[r.Service].status()
	}
	c.mu.Unlock()
	if !d.Admitted {
		if ok, leftOut := c.refusal.Allow(now); ok {
			_ = c.log.Log("msg", "request refused under overload", "service", r.Service, "class", r.Class, "customer", r.Customer,
				"tokens", r.Tokens, "share", d.Share, "level", status.Level, "wait", status.Wait, "occupancy", status.Occupancy, "gate", status.Gate, "worst", status.Worst, "running", status.Running,
				"retryms", d.RetryAfter.Milliseconds(), "leftout", leftOut)
		}
	}
	return t, d
}

// Overloaded reports whether some of the requests of a service are refused now.
func (c *Controller) Overloaded(service string) bool {
	if !c.Enabled() {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	v, ok := c.state.services[service]
	return ok && v.admitted() < 1
}

// FirstToken records that a request has received its first token or its whole response. The
// ticket may be nil.
func (c *Controller) FirstToken(t *Ticket, now time.Time) {
	if t == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state.FirstToken(t, now)
}

// End records the end of a request. The ticket may be nil.
func (c *Controller) End(t *Ticket, o Outcome, now time.Time) {
	if t == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state.End(t, o, now)
}

// Report sets what other VMs are told.
func (c *Controller) Report(e *roster.Entry, now time.Time) {
	if !c.Enabled() {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	e.Asked, e.Waits = c.state.Asked(now), c.state.Waits(now)
}

// Merge records what another VM tells.
func (c *Controller) Merge(e *roster.Entry, now time.Time) {
	if !c.Enabled() {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state.Merge(e, now)
}

// Status returns the state for operators.
func (c *Controller) Status() []ServiceStatus {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state.Status()
}

// A Page is the state of admission as two tables.
type Page struct {
	Enabled  bool            `json:"enabled"`
	Services []ServiceStatus `json:"services"`
	Flows    []FlowStatus    `json:"flows"`
}

// Page returns the state for "baobabdyke show admission".
func (c *Controller) Page() Page {
	p := Page{Enabled: c.Enabled(), Services: c.Status(), Flows: []FlowStatus{}}
	for i := range p.Services {
		p.Flows = append(p.Flows, p.Services[i].Flows...)
		p.Services[i].Flows = nil
	}
	return p
}

// maxListed is the number of flows of a service in its status. The others are added up.
const maxListed = 24

// A ServiceStatus is the state of a service for operators.
type ServiceStatus struct {
	Service string `json:"service"`
	// Admitted is the share of the work asked for that is admitted, all from 1 on. It follows
	// from Level, its slow part, and Wait, the mean wait for first tokens as a part of the
	// latest timely one.
	Admitted float64 `json:"admitted"`
	Level    float64 `json:"level"`
	Wait     float64 `json:"wait"`
	// Occupancy is the share of the service's slots that requests of all VMs take.
	Occupancy float64 `json:"occupancy"`
	// Gate is how much waits count, from 0 to 1, and Worst the mean wait over all VMs of the
	// class that waits longest.
	Gate  float64 `json:"gate"`
	Worst float64 `json:"worst"`
	// Running is the number of admitted requests that have not ended, and Undecided that of
	// those whose first token may still arrive in time.
	Running   int          `json:"running"`
	Undecided int          `json:"undecided"`
	Flows     []FlowStatus `json:"flows,omitempty"`
}

// A FlowStatus is the state of a customer's requests of a class.
type FlowStatus struct {
	Service  string `json:"service"`
	Class    string `json:"class"`
	Customer string `json:"customer"`
	// Share is the share of the requests that are admitted now.
	Share float64 `json:"share"`
	Counts
}

// Status returns the state of all services, by name, with the customers and classes that ask
// for most.
func (s *State) Status() []ServiceStatus {
	out := make([]ServiceStatus, 0, len(s.services))
	for name, v := range s.services {
		status := v.status()
		status.Service, status.Flows = name, v.flowStatus()
		out = append(out, status)
	}
	slices.SortFunc(out, func(a, b ServiceStatus) int { return strings.Compare(a.Service, b.Service) })
	return out
}

func (v *service) status() ServiceStatus {
	return ServiceStatus{Admitted: v.admitted(), Level: v.level, Wait: v.meanWait(), Occupancy: v.occupancy, Gate: v.gate(), Worst: v.worst, Running: v.running, Undecided: len(v.pending)}
}

func (v *service) flowStatus() []FlowStatus {
	flows := make([]FlowStatus, 0, len(v.flows)+1)
	for _, f := range v.flows {
		share := f.share
		if v.admitted() >= 1 {
			share = 1
		}
		flows = append(flows, FlowStatus{Service: v.name, Class: f.key.class, Customer: f.key.customer, Share: share, Counts: f.counts})
	}
	slices.SortFunc(flows, func(a, b FlowStatus) int {
		if d := (b.AdmittedTokens + b.RefusedTokens) - (a.AdmittedTokens + a.RefusedTokens); d != 0 {
			return int(min(max(d, -1), 1))
		}
		return strings.Compare(a.Class+"/"+a.Customer, b.Class+"/"+b.Customer)
	})
	others := FlowStatus{Service: v.name, Class: "others", Share: v.admitted(), Counts: v.forgotten}
	for _, f := range flows[min(maxListed, len(flows)):] {
		others.add(f.Counts)
	}
	flows = flows[:min(maxListed, len(flows))]
	if others.Counts != (Counts{}) {
		flows = append(flows, others)
	}
	return flows
}
