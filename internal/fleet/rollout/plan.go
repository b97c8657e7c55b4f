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
	// settleTime is the time between telling other VMs that an engine is about to
	// be ordered and the order.
	settleTime = 40 * time.Millisecond
	// reportFirst is when an ordered engine is first asked whether it is done,
	// reportNext the pause between further questions.
	reportFirst = 500 * time.Millisecond
	reportNext  = 250 * time.Millisecond
	// orderTimeout is how long an order may take before it is given anew.
	orderTimeout = 6 * time.Second
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
	model       string
	version     int64
	phase       phase
	since       time.Time
	next        time.Time
}

// A step is what is to be done with one engine now: announce, instruct or ask.
type step interface{ step() }

// announce tells other VMs that an engine is about to be ordered.
type announce struct{ engine engine }

// instruct gives the order.
type instruct struct{ engine engine }

// ask reads how far an engine is.
type ask struct{ engine engine }

func (announce) step() {}
func (instruct) step() {}
func (ask) step()      {}

// A book is the state of all orders. It is not safe for concurrent use.
type book struct{ orders map[string]*progress }

func newBook() *book { return &book{orders: map[string]*progress{}} }

// plan returns what is to be done now, given the engines that lag behind and the
// number of all engines.
func (b *book) plan(lagging []engine, all int, now time.Time) []step {
	b.prune(lagging)
	slices.SortFunc(lagging, func(x, y engine) int {
		return cmp.Or(cmp.Compare(x.running, y.running), cmp.Compare(x.target.ID, y.target.ID))
	})
	room := max(leastAtOnce, all/atOncePart)
	var steps []step
	for _, e := range lagging {
		if p := b.orders[e.target.ID]; p != nil && p.phase != resting {
			room--
		}
	}
	for _, e := range lagging {
		p := b.orders[e.target.ID]
		switch {
		case p == nil && room > 0, p != nil && p.phase == resting && room > 0 && now.After(p.next):
			room--
			b.orders[e.target.ID] = &progress{
				incarnation: e.target.Incarnation(), model: e.model, version: e.wants, phase: chosen, since: now, next: now.Add(settleTime),
			}
			steps = append(steps, announce{e})
		case p == nil || now.Before(p.next):
		case p.phase == chosen:
			steps = append(steps, instruct{e})
		case p.phase == ordered && now.Sub(p.since) > orderTimeout:
			p.phase = chosen
			steps = append(steps, instruct{e})
		case p.phase == ordered:
			steps = append(steps, ask{e})
		}
	}
	return steps
}

// prune drops the orders to engines that no longer lag, and those to earlier
// starts of an engine.
func (b *book) prune(lagging []engine) {
	still := map[string]site.Incarnation{}
	for _, e := range lagging {
		still[e.target.ID] = e.target.Incarnation()
	}
	for id, p := range b.orders {
		if still[id] != p.incarnation {
			delete(b.orders, id)
		}
	}
}

// accepted notes that an order is, or may be, carried out.
func (b *book) accepted(id string, now time.Time) {
	if p := b.orders[id]; p != nil {
		p.phase, p.since, p.next = ordered, now, now.Add(reportFirst)
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
