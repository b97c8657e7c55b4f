package canary

import (
	"cmp"
	"math"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/go-kit/log"

	"github.com/baobabdyke/baobabdyke/internal/fleet/site"
	"github.com/baobabdyke/baobabdyke/internal/fleet/source"
)

const (
	// holdBack is how long after a new version of a service was first seen the orders must
	// have been read without one for it before its targets get requests. Targets may be
	// listed before the order that they are started for.
	holdBack = 2 * time.Second
	// retention is how long a version without listed targets is remembered.
	retention = 30 * time.Second
	// withdrawDelay is how long an order must be missing to count as withdrawn. A store
	// that was restored from an older copy lacks it until the operator has written it again.
	withdrawDelay = 4 * time.Second
	// maxRoutes bounds the routes that are counted for one order.
	maxRoutes = 256
)

// Options are the parameters of a Gate.
type Options struct {
	VM  string
	Log log.Logger
	// Share returns the share of a service's requests that a bad version may get.
	Share func() float64
	// OnChange is called, without locks, when the other VMs should know of a change at once.
	OnChange func()
}

// A Gate decides which versions of a service's targets may take a request of this VM. It
// is safe for concurrent use.
type Gate struct {
	opts Options

	mu       sync.Mutex
	services map[string]*service
	counters Counters
}

// Counters count the decisions of a Gate since its start.
type Counters struct {
	// Sent and Requests are the requests to services with an order in progress, and those
	// of them that went to the new version, including repeated ones.
	Sent, Requests int64
	// Held counts the choices in which targets of a version without an order were held back.
	Held int64
	// Bad counts bad answers of new versions, Stopped the orders that this VM stopped.
	Bad, Stopped int64
}

// A service is the state of one service.
type service struct {
	name string
	// used are the versions that may take requests without an order, with the time at
	// which they were last listed. seen are others, with the time at which they were first
	// seen. refused are versions whose order was not completed.
	used, seen, refused map[string]time.Time
	// order is nil if there is none.
	order *order
	// running counts the requests in flight by version.
	running map[string]int
	// longest is the longest time that a request had until its deadline when it was sent.
	longest time.Duration
	// latencies are the usual times of whole answers of the old version, by route.
	latencies map[string]*latency
}

// An order is the state of an order on one VM.
type order struct {
	spec  *site.Order
	id    uint64
	round int64
	// since is when the order was given, as far as known.
	since time.Time
	stage Stage
	// stageAt is when this VM learned of the stage. Requests and sends count from then on.
	stageAt         time.Time
	requests, sends int64
	offset          float64
	// missingSince is since when the order is missing; zero if it is not.
	missingSince time.Time
	// own are the counts of this VM, peers the latest of the others, and sums those of all
	// VMs, including earlier starts of them.
	own, sums *tally
	peers     map[string]peerCounts
	judge     *judge
	// oldSlots and newSlots are the slots of listed targets, and oldTargets and newTargets
	// their numbers. newSeen is when a new target was last listed.
	oldSlots, newSlots, oldTargets, newTargets int
	newSeen                                    time.Time
}

// A peerCounts holds the counts of another VM.
type peerCounts struct {
	born   int64
	routes []RouteCounts
}

// NewGate returns a Gate that knows no service.
func NewGate(o Options) *Gate { return &Gate{opts: o, services: map[string]*service{}} }

func newService(name string) *service {
	return &service{
		name: name, used: map[string]time.Time{}, seen: map[string]time.Time{}, refused: map[string]time.Time{},
		running: map[string]int{}, latencies: map[string]*latency{},
	}
}

// newOrder returns the state of an order that was given at a time.
func (g *Gate) newOrder(spec *site.Order, round int64, since, now time.Time) *order {
	o := &order{
		spec: spec, id: orderID(spec), round: round, since: since, newSeen: now,
		own: newTally(), sums: newTally(), peers: map[string]peerCounts{}, judge: newJudge(),
	}
	g.begin(o, Watching, now)
	return o
}

// begin begins a stage. Requests count anew, since the share applies to those from now on.
//
// A VM may send floor(share x requests + offset) to the new version. With offsets that are
// spread evenly over the VMs, the mean over the VMs is share x requests, also if each VM gets
// a few requests only.
func (g *Gate) begin(o *order, stage Stage, now time.Time) {
	o.stage, o.stageAt, o.requests, o.sends = stage, now, 0, 0
	o.offset = fraction(hashOf(g.opts.VM, strconv.FormatUint(o.id, 16), strconv.FormatInt(o.round, 10), stage.String()))
}

func (g *Gate) log(keyvals ...any) {
	if g.opts.Log != nil {
		_ = g.opts.Log.Log(keyvals...)
	}
}

// Sync applies the targets and the orders of a view, whose orders were complete ordersAge
// ago.
func (g *Gate) Sync(v *source.View, ordersAge time.Duration, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	listed := map[string]map[string]bool{}
	for _, t := range v.Targets {
		if t.Leaving {
			continue
		}
		if listed[t.Service] == nil {
			listed[t.Service] = map[string]bool{}
		}
		listed[t.Service][t.Version] = true
	}
	for name := range listed {
		if g.services[name] == nil {
			g.services[name] = newService(name)
		}
	}
	for name, spec := range v.Orders {
		if g.services[name] == nil && spec.Invalid == "" {
			g.services[name] = newService(name)
		}
	}
	for name, s := range g.services {
		g.syncOrder(s, v.Orders[name], now)
		g.syncVersions(s, listed[name], now.Add(-ordersAge), now)
		s.syncTargets(v, now)
	}
}

// syncOrder applies the present order for a service, which is nil if there is none.
func (g *Gate) syncOrder(s *service, spec *site.Order, now time.Time) {
	if spec != nil && spec.Invalid != "" {
		spec = nil
	}
	o := s.order
	switch {
	case spec == nil && o == nil:
	case spec == nil && o.missingSince.IsZero():
		o.missingSince = now
	case spec == nil && now.Sub(o.missingSince) < withdrawDelay:
	case spec == nil:
		g.log("msg", "order to move traffic withdrawn", "service", s.name, "to", o.spec.To, "stage", o.stage)
		g.drop(s, now)
	case o == nil || o.id != orderID(spec):
		var before site.OrderStatus
		if o != nil {
			before = o.spec.Status
			g.log("msg", "order to move traffic replaced", "service", s.name, "to", o.spec.To, "stage", o.stage)
			g.drop(s, now)
		}
		s.order = g.newOrder(spec, 0, now, now)
		delete(s.used, spec.To)
		delete(s.seen, spec.To)
		delete(s.refused, spec.To)
		g.log("msg", "order to move traffic", "service", s.name, "to", spec.To, "duration", spec.Duration, "status", spec.Status.State)
		if spec.IsDone() && spec.Status != before {
			g.setStage(s, stageOf(spec.Status.State), "the status in the store", now)
		}
	default:
		o.missingSince = time.Time{}
		before := o.spec.Status
		o.spec = spec
		if spec.IsDone() && spec.Status != before {
			// A VM that hears of no other VM learns of the end from the store.
			g.setStage(s, stageOf(spec.Status.State), "the status in the store", now)
		}
	}
}

// drop ends the order of a service. Its version is refused unless the order is completed.
func (g *Gate) drop(s *service, now time.Time) {
	if o := s.order; o.stage != Completed {
		s.refused[o.spec.To] = now
		delete(s.used, o.spec.To)
	}
	s.order = nil
}

// stageOf returns the stage of a terminal state.
func stageOf(s site.OrderState) Stage {
	if s == site.OrderCompleted {
		return Completed
	}
	return RolledBack
}

// setStage begins a stage of a service's order, unless that is not later.
func (g *Gate) setStage(s *service, stage Stage, why string, now time.Time) bool {
	o := s.order
	if stage <= o.stage || o.stage.IsTerminal() || stage > RolledBack {
		return false
	}
	g.log("msg", "traffic moves", "service", s.name, "to", o.spec.To, "stage", stage, "before", o.stage, "why", why,
		"requests", o.requests, "sends", o.sends, "age", now.Sub(o.since))
	g.begin(o, stage, now)
	if stage == Completed {
		// The targets of other versions stop without draining.
		for version := range s.used {
			s.refused[version] = now
		}
		clear(s.used)
		s.used[o.spec.To] = now
	}
	return true
}

// syncVersions updates the versions that may take requests. Those of targets that are
// listed when the service is first seen do. Other versions do once the orders were read
// long enough after that, up to the time confirmed, and there was none for them, or if no
// other version has targets.
func (g *Gate) syncVersions(s *service, listed map[string]bool, confirmed, now time.Time) {
	usedListed := false
	for version := range listed {
		_, used := s.used[version]
		_, refused := s.refused[version]
		switch {
		case s.isOrdered(version):
		case used:
			s.used[version] = now
			usedListed = true
		case refused:
			s.refused[version] = now
		case s.seen[version].IsZero():
			s.seen[version] = now
		}
	}
	for version, since := range s.seen {
		if !listed[version] {
			delete(s.seen, version)
		} else if !usedListed || confirmed.Sub(since) >= holdBack {
			if len(s.used) > 0 {
				g.log("msg", "version of targets in use without an order", "service", s.name, "version", version)
			}
			s.used[version] = now
			delete(s.seen, version)
		}
	}
	if s.order == nil && !usedListed {
		s.useRefused(listed, now)
	}
	for version, last := range s.used {
		if len(s.used) > 1 && now.Sub(last) > retention {
			delete(s.used, version)
		}
	}
	for version, last := range s.refused {
		if now.Sub(last) > retention {
			delete(s.refused, version)
		}
	}
}

// isOrdered reports whether an order moves the traffic to a version, and is not completed.
func (s *service) isOrdered(version string) bool {
	return s.order != nil && s.order.spec.To == version && s.order.stage != Completed
}

// useRefused uses refused versions if no other version has targets.
func (s *service) useRefused(listed map[string]bool, now time.Time) {
	for version := range listed {
		if _, used := s.used[version]; used {
			return
		}
	}
	for version := range listed {
		if _, refused := s.refused[version]; refused {
			delete(s.refused, version)
			s.used[version] = now
		}
	}
}

// syncTargets counts the targets of each version.
func (s *service) syncTargets(v *source.View, now time.Time) {
	o := s.order
	if o == nil {
		return
	}
	o.oldSlots, o.newSlots, o.oldTargets, o.newTargets = 0, 0, 0, 0
	for _, t := range v.Targets {
		if t.Service != s.name || t.Leaving {
			continue
		}
		if t.Version == o.spec.To {
			o.newSlots += t.Slots
			o.newTargets++
			o.newSeen = now
		} else if _, used := s.used[t.Version]; used {
			o.oldSlots += t.Slots
			o.oldTargets++
		}
	}
}

// A Permission is what a target may be used for.
type Permission uint8

// Permissions of targets. SourceOnly permits that cached prompt segments are fetched from
// the target.
const (
	Denied Permission = iota
	SourceOnly
	Allowed
)

// Permit returns, for each target of a service, whether it may take a request. First
// reports whether this is the first attempt of the request. Nil allows all.
func (g *Gate) Permit(name string, first bool, targets []*site.Target) []Permission {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.services[name]
	if s == nil {
		return nil
	}
	p := g.permit(s, first, targets)
	if p.held {
		g.counters.Held++
	}
	if p.counted {
		s.order.requests++
		g.counters.Requests++
	}
	if p.toNew {
		// A target that is chosen counts as sent to, whether or not a request follows.
		s.order.sends++
		g.counters.Sent++
	}
	return p.targets
}

// Preview returns what Permit would return, and counts nothing.
func (g *Gate) Preview(name string, first bool, targets []*site.Target) []Permission {
	g.mu.Lock()
	defer g.mu.Unlock()
	if s := g.services[name]; s != nil {
		return g.permit(s, first, targets).targets
	}
	return nil
}

// A permit is which targets may take a request, and what the request then counts as.
type permit struct {
	targets []Permission
	// held reports whether targets of a version without an order were held back, counted
	// whether the request counts for the order's share, and toNew whether it goes to the new
	// version.
	held, counted, toNew bool
}

// permit decides which targets of a service may take a request.
func (g *Gate) permit(s *service, first bool, targets []*site.Target) permit {
	out := permit{targets: make([]Permission, len(targets))}
	olds, news := 0, 0
	for i, t := range targets {
		if _, used := s.used[t.Version]; used {
			out.targets[i] = Allowed
			olds++
		} else if s.isOrdered(t.Version) {
			news++
		}
	}
	o := s.order
	if o == nil || o.stage.IsTerminal() {
		out.held = olds < len(targets)
		return out
	}
	share := o.stage.share(g.opts.Share())
	out.counted = first && olds+news > 0
	toNew := !o.isHeld() && (o.stage == Full || o.oldTargets == 0 || news > 0 && o.wantsNew(out.counted, share))
	if toNew {
		for i := range out.targets {
			out.targets[i] = min(out.targets[i], SourceOnly)
		}
		o.allowNew(out.targets, targets, news, share)
	}
	out.toNew = toNew && news > 0
	return out
}

// isHeld reports whether the new version gets no requests for now.
func (o *order) isHeld() bool { return o.judge.stopped != "" || !o.missingSince.IsZero() }

// wantsNew reports whether the share permits one more request to the new version. Counted
// reports whether the request is one that does not count yet.
func (o *order) wantsNew(counted bool, share float64) bool {
	requests := o.requests
	if counted {
		requests++
	}
	return float64(o.sends+1) <= math.Floor(share*float64(requests)+o.offset)
}

// allowNew allows targets of the new version. While the version is watched these are so few
// that each gets about as many requests as a target of the old version: some faults show
// under load only. All VMs choose the same ones.
func (o *order) allowNew(out []Permission, targets []*site.Target, news int, share float64) {
	n := max(1, int(math.Round(share*float64(o.oldTargets))))
	if o.stage != Watching || o.oldTargets == 0 || news <= n {
		for i, t := range targets {
			if t.Version == o.spec.To {
				out[i] = Allowed
			}
		}
		return
	}
	type ranked struct {
		index int
		rank  uint64
	}
	order := make([]ranked, 0, news)
	id := strconv.FormatUint(o.id, 16)
	for i, t := range targets {
		if t.Version == o.spec.To {
			order = append(order, ranked{i, hashOf(id, t.ID)})
		}
	}
	slices.SortFunc(order, func(a, b ranked) int { return cmp.Compare(a.rank, b.rank) })
	for _, r := range order[:n] {
		out[r.index] = Allowed
	}
}

// Begin records that a request is sent to a target, and End that it is over.
func (g *Gate) Begin(t *site.Target) { g.count(t, 1) }

// End records that a request at a target is over.
func (g *Gate) End(t *site.Target) { g.count(t, -1) }

func (g *Gate) count(t *site.Target, n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.services[t.Service]
	if s == nil {
		s = newService(t.Service)
		g.services[t.Service] = s
	}
	if s.running[t.Version] += n; s.running[t.Version] <= 0 {
		delete(s.running, t.Version)
	}
}

// RecordDeadline records how long a request has until its deadline when it is sent to a
// target of a service.
func (g *Gate) RecordDeadline(name string, left time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if s := g.services[name]; s != nil {
		s.longest = max(s.longest, left)
	}
}

// oldRunning returns the number of requests in flight at targets of other versions than the
// new one.
func (s *service) oldRunning() (n int) {
	for version, running := range s.running {
		if version != s.order.spec.To {
			n += running
		}
	}
	return n
}

// Counters returns the counters.
func (g *Gate) Counters() Counters {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.counters
}
