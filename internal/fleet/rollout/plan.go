// Package rollout brings engines to newly named weights. One VM at a time gives
// the orders, under a lease whose term is the fencing number.
//
// The load it answers: weights that are named again while an earlier rollout is
// under way, on engines that are serving.
package rollout

import (
	"cmp"
	"slices"
	"time"

	"github.com/baobabdyke/baobabdyke/internal/fleet/site"
)

const (
	// leastAtOnce and atOncePart bound the engines that load at the same time:
	// the weight store slows down beyond a fifth of them.
	leastAtOnce = 2
	atOncePart  = 5
	// emptyTime is the longest time that an engine is kept from new work before
	// it is ordered.
	emptyTime = 1200 * time.Millisecond
	// loadedRuns is the number of requests per engine above which a pool counts as
	// loaded.
	loadedRuns = 3
	// urgentAge is how long after weights were overtaken a loaded pool spares as
	// many engines as any other; rollouts are bound to end within some 10 s.
	urgentAge = 6 * time.Second
	// firstLoad is the time that a load takes until one has been seen.
	firstLoad = 700 * time.Millisecond
	// loadWeight is the weight of the newest load in the learnt time.
	loadWeight = 0.3
	// reportNext is the pause between two questions whether an engine is done.
	reportNext = 120 * time.Millisecond
	// reportLag is how much older than its answer a report may be.
	reportLag = time.Second
	// orderTimeout is how long an order may take before it is given anew.
	orderTimeout = 6 * time.Second
	// doubtPause is the time in which an engine shows an order that it has accepted.
	doubtPause = 250 * time.Millisecond
	// failPause is the pause after an engine could not be asked.
	failPause = 700 * time.Millisecond
)

// An engine is one target with the weights that it has and should have.
type engine struct {
	target  *site.Target
	model   string
	has     int64
	wants   int64
	running int
	// suspect engines did not answer some VM lately.
	suspect bool
	// since is when the engine's weights were first overtaken.
	since time.Time
}

// A pool is all engines that take orders, and what runs on them.
type pool struct {
	engines int
	running int
	// dark counts the engines that take no connections.
	dark int
}

// room returns how many engines may load, and how many may be emptied for it, at
// the same time. A pool that is loaded spares fewer.
func (p pool) room() (load, empty int) {
	load = max(leastAtOnce, p.engines/atOncePart)
	empty = load
	if p.running > loadedRuns*p.engines {
		empty = max(1, load/2)
	}
	return load, empty
}

// A phase is where the order to one engine stands.
type phase uint8

const (
	// chosen engines are being emptied.
	chosen phase = iota
	// ordered engines have accepted, or may have accepted, the order.
	ordered
	// resting engines could not be asked and are left alone for a while.
	resting
)

// A progress is the order to one engine.
type progress struct {
	incarnation site.Incarnation
	version     int64
	phase       phase
	since       time.Time
	next        time.Time
}

// A step is what is to be done with one engine now: announce, instruct or ask.
type step interface{ step() }

// announce tells other VMs that an engine is about to be ordered, and finds out
// whether it answers.
type announce struct{ engine engine }

// instruct gives the order.
type instruct struct{ engine engine }

// ask reads how far an engine is.
type ask struct{ engine engine }

func (announce) step() {}
func (instruct) step() {}
func (ask) step()      {}

// A book is the state of all orders. It is not safe for concurrent use.
type book struct {
	orders map[string]*progress
	// load is how long an order takes, as learnt.
	load time.Duration
}

func newBook() *book { return &book{orders: map[string]*progress{}, load: firstLoad} }

// plan returns what is to be done now, given the engines that lag behind and their
// pool. Engines are emptied before they are ordered, so that
// loads follow each other without a pause; those whose weights were overtaken
// first go first, and those that may not answer last.
func (b *book) plan(lagging []engine, p pool, now time.Time) []step {
	b.prune(lagging)
	doubtful := func(e engine) bool {
		p := b.orders[e.target.ID]
		return e.suspect || p != nil && p.phase == resting
	}
	slices.SortFunc(lagging, func(x, y engine) int {
		return cmp.Or(compareBool(doubtful(x), doubtful(y)), x.since.Compare(y.since), cmp.Compare(x.running, y.running), cmp.Compare(x.target.ID, y.target.ID))
	})
	load, empty := p.room()
	urgent := oldest(lagging, now) > urgentAge
	if urgent {
		empty = load
	}
	if p.dark+len(b.orders) >= max(1, p.engines/2) {
		// Engines with weights that are too old serve nobody.
		empty = 0
		if urgent {
			empty = 1
		}
	}
	for _, p := range b.orders {
		switch p.phase {
		case ordered:
			load--
		case chosen:
			empty--
		case resting:
		}
	}
	var steps []step
	for _, e := range lagging {
		if p := b.orders[e.target.ID]; p != nil && p.phase == ordered && now.After(p.next) {
			steps = append(steps, b.follow(e, p, now))
		}
	}
	for _, e := range b.emptied(lagging, now) {
		if load > 0 {
			load--
			empty++
			steps = append(steps, instruct{e})
		}
	}
	for _, e := range lagging {
		p := b.orders[e.target.ID]
		if empty <= 0 || p != nil && (p.phase != resting || now.Before(p.next)) {
			continue
		}
		empty--
		b.orders[e.target.ID] = &progress{
			incarnation: e.target.Incarnation(), version: e.wants, phase: chosen, since: now,
		}
		steps = append(steps, announce{e})
	}
	return steps
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// oldest returns for how long the weights of the engine that lags most have been
// overtaken.
func oldest(lagging []engine, now time.Time) time.Duration {
	most := time.Duration(0)
	for _, e := range lagging {
		most = max(most, now.Sub(e.since))
	}
	return most
}

// follow returns what is to be done with an engine that has been ordered.
func (b *book) follow(e engine, p *progress, now time.Time) step {
	if now.Sub(p.since) > orderTimeout {
		p.phase = chosen
		return instruct{e}
	}
	return ask{e}
}

// emptied returns the chosen engines that may be ordered, idle ones first.
func (b *book) emptied(lagging []engine, now time.Time) []engine {
	var idle, late []engine
	for _, e := range lagging {
		p := b.orders[e.target.ID]
		switch {
		case p == nil || p.phase != chosen || !p.since.Before(now) || now.Before(p.next):
		case e.running == 0:
			idle = append(idle, e)
		case now.Sub(p.since) > emptyTime:
			late = append(late, e)
		}
	}
	return append(idle, late...)
}

// prune drops the orders to engines that no longer lag, and those to earlier
// starts of an engine.
func (b *book) prune(lagging []engine) {
	still := map[string]engine{}
	for _, e := range lagging {
		still[e.target.ID] = e
	}
	for id, p := range b.orders {
		e, ok := still[id]
		switch {
		case !ok || e.target.Incarnation() != p.incarnation:
			delete(b.orders, id)
		case p.version != e.wants && p.phase == chosen:
			p.version = e.wants
		}
	}
}

// accepted notes that an order is, or may be, carried out.
func (b *book) accepted(id string, now time.Time) {
	if p := b.orders[id]; p != nil {
		p.phase, p.since, p.next = ordered, now, now.Add(b.load-reportNext)
	}
}

// doubted notes that an order may have been lost, so that it is soon given again
// unless the engine shows it.
func (b *book) doubted(id string, now time.Time) {
	if p := b.orders[id]; p != nil {
		p.phase, p.next = chosen, now.Add(doubtPause)
	}
}

// done learns from an engine that has carried out its order.
func (b *book) done(id string, now time.Time) {
	if p := b.orders[id]; p != nil && p.phase == ordered {
		took := now.Sub(p.since)
		b.load += time.Duration(loadWeight * float64(took-b.load))
	}
}

// pending notes that an engine has not finished.
func (b *book) pending(id string, now time.Time) {
	if p := b.orders[id]; p != nil {
		p.next = now.Add(reportNext)
	}
}

// failed notes that an engine could not be asked, or has refused.
func (b *book) failed(id string, now time.Time) {
	if p := b.orders[id]; p != nil {
		p.phase, p.next = resting, now.Add(failPause)
	}
}

// finished tells that the order to an engine has ended with another version
// than wanted, so that it has to be ordered again.
func (b *book) finished(id string) { delete(b.orders, id) }

// busy returns the engines that are about to carry out an order.
func (b *book) busy() []string {
	var ids []string
	for id, p := range b.orders {
		if p.phase != resting {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}
