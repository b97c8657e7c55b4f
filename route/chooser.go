package route

import (
	"context"
	"sync"
	"time"

	"github.com/baobabdyke/baobabdyke/config"
	"github.com/baobabdyke/baobabdyke/prefix"
	"github.com/baobabdyke/baobabdyke/store"
	"github.com/baobabdyke/baobabdyke/target"
)

const (
	inboxSize = 256
	// minAnnouncePieces is the smallest number of uncached pieces for which a
	// send is announced to other VMs.
	minAnnouncePieces = 4
)

// A Fleet provides the states of targets and takes observations of them.
// target.Fleet implements it.
type Fleet interface {
	States(pool string) []target.State
	Observe(target.Observation)
}

// An Index finds the engines that have a prefix cached. prefix.Task implements
// it.
type Index interface {
	Lookup(ctx context.Context, keys []prefix.Key, dst []prefix.Match) []prefix.Match
	Expect(engine, incarnation, weights string, keys []prefix.Key)
	Announce(prefix.Announcement)
}

// Options are the dependencies of a Chooser. Index may be nil.
type Options struct {
	Fleet      Fleet
	Index      Index
	Clock      store.Clock
	DataCentre string
}

// A Chooser runs a Planner in a single goroutine, so that each choice takes all
// earlier sends of this VM into account.
type Chooser struct {
	opts    Options
	planner *Planner
	inbox   chan any
	stopped chan struct{}
	// queries recycles planQuery values.
	queries sync.Pool
}

// planQuery is a message that asks for a plan.
type planQuery struct {
	request Request
	states  []target.State
	matches []prefix.Match
	reply   chan Plan
}

// Other messages to the task. An *attempt is sent when the attempt has ended.
type (
	firstByteCommand struct{ id uint64 }
	dumpQuery        struct{ reply chan Dump }
)

// NewChooser returns a Chooser. It serves Choose only while Run is running.
func NewChooser(opts Options) *Chooser {
	if opts.Clock == nil {
		opts.Clock = store.SystemClock{}
	}
	return &Chooser{
		opts:    opts,
		planner: NewPlanner(PlannerOptions{DataCentre: opts.DataCentre}),
		inbox:   make(chan any, inboxSize),
		stopped: make(chan struct{}),
		queries: sync.Pool{New: func() any {
			return &planQuery{reply: make(chan Plan, 1)}
		}},
	}
}

// Run processes messages until ctx is done. It must be called only once.
func (c *Chooser) Run(ctx context.Context) error {
	defer close(c.stopped)
	for {
		select {
		case <-ctx.Done():
			return nil
		case m := <-c.inbox:
			c.handle(m, c.opts.Clock.Now())
		}
	}
}

// handle processes one message.
func (c *Chooser) handle(m any, now time.Time) {
	switch m := m.(type) {
	case *planQuery:
		m.reply <- c.planner.Plan(now, m.request, m.states, m.matches)
	case firstByteCommand:
		c.planner.FirstByte(m.id)
	case *attempt:
		c.planner.Done(now, m.id, m.failed)
	case dumpQuery:
		m.reply <- c.planner.dump()
	}
}

// Choose returns the target for the request, or what the caller should do
// instead of sending it. Run must be running.
func (c *Chooser) Choose(ctx context.Context, r Request) Choice {
	q := c.queries.Get().(*planQuery)
	q.request = r
	q.states = c.opts.Fleet.States(r.Route.Pool)
	q.matches = q.matches[:0]
	if len(r.Prompt.Keys) > 0 && c.opts.Index != nil {
		q.matches = c.opts.Index.Lookup(ctx, r.Prompt.Keys, q.matches)
	}
	q.matches = filterCurrent(q.matches, q.states)
	select {
	case c.inbox <- q:
	case <-ctx.Done():
		return NoTarget{Reason: "request ended"}
	}
	select {
	case plan := <-q.reply:
		c.queries.Put(q)
		return c.choice(r, plan)
	case <-ctx.Done():
		go c.cancelPlan(q)
		return NoTarget{Reason: "request ended"}
	}
}

// cancelPlan ends the send of a plan whose request ended before the reply.
func (c *Chooser) cancelPlan(q *planQuery) {
	select {
	case plan := <-q.reply:
		if plan.State != nil {
			c.post(&attempt{id: plan.ID, failed: true})
		}
	case <-c.stopped:
	}
}

// post sends a message to the task unless the task has ended.
func (c *Chooser) post(m any) {
	select {
	case c.inbox <- m:
	case <-c.stopped:
	}
}

// choice converts a plan to a Choice and announces the send if required.
func (c *Chooser) choice(r Request, plan Plan) Choice {
	switch {
	case plan.Ready != nil:
		return AwaitPrefill{Ready: plan.Ready, Until: plan.Until}
	case plan.State == nil:
		return NoTarget{Reason: plan.Reason, RetryAfter: plan.RetryAfter}
	}
	a := &attempt{
		chooser: c,
		id:      plan.ID,
		target:  plan.State.Target,
		report:  &plan.State.Report,
		keys:    r.Prompt.Keys,
	}
	if announcement, ok := AnnouncementOf(plan, r.Prompt); ok && c.opts.Index != nil {
		c.opts.Index.Announce(announcement)
	}
	return Chosen{
		Target:       a.target,
		ChosenAt:     plan.PlannedAt,
		Incarnation:  a.report.Incarnation,
		Weights:      a.report.Weights,
		CachedTokens: plan.CachedTokens,
		PrefillTime:  plan.PrefillTime,
		ExpectedTTFT: plan.ExpectedTTFT,
		FirstByte:    a.firstByte,
		Done:         a.done,
	}
}

// AnnouncementOf returns the announcement of a planned send for other VMs, and
// reports whether the send should be announced, which it should if at least
// minAnnouncePieces pieces are uncached.
func AnnouncementOf(plan Plan, prompt prefix.Prompt) (prefix.Announcement, bool) {
	if prompt.PieceTokens == 0 {
		return prefix.Announcement{}, false
	}
	missing := prompt.Keys[min(len(prompt.Keys), plan.CachedTokens/prompt.PieceTokens):]
	if len(missing) < minAnnouncePieces {
		return prefix.Announcement{}, false
	}
	a := prefix.Announcement{
		Engine:      plan.State.Target.Name,
		Incarnation: plan.State.Report.Incarnation,
		Weights:     plan.State.Report.Weights,
		ReadyIn:     plan.ExpectedTTFT,
	}
	for _, k := range missing {
		a.Keys = append(a.Keys, uint64(k))
	}
	return a, true
}

// An attempt reports the progress of a send to the Chooser.
type attempt struct {
	chooser *Chooser
	id      uint64
	target  *config.Target
	report  *target.Report
	keys    []prefix.Key
	failed  bool
}

// firstByte records that the first byte has arrived: the prompt is computed and
// cached.
func (a *attempt) firstByte() {
	c := a.chooser
	c.post(firstByteCommand{a.id})
	if c.opts.Index != nil {
		c.opts.Index.Expect(a.target.Name, a.report.Incarnation, a.report.Weights, a.keys)
	}
	c.opts.Fleet.Observe(target.Succeeded{Target: a.target.Name})
}

// done records the end of the attempt.
func (a *attempt) done(_ time.Duration, err error) {
	a.failed = err != nil
	a.chooser.post(a)
}

// filterCurrent keeps the matches whose incarnation and weights version are those
// that the engine reports. Entries of a former incarnation or of older weights
// never count.
func filterCurrent(matches []prefix.Match, states []target.State) []prefix.Match {
	kept := matches[:0]
	for i := range matches {
		if s := stateOf(states, matches[i].Engine); s != nil &&
			s.Report.Incarnation == matches[i].Incarnation && s.Report.Weights == matches[i].Weights {
			kept = append(kept, matches[i])
		}
	}
	return kept
}

func stateOf(states []target.State, name string) *target.State {
	for i := range states {
		if states[i].Target.Name == name {
			return &states[i]
		}
	}
	return nil
}

// A Dump is the state of a Chooser, for operators: the number of unfinished
// sends, the number of pieces being computed, and the sends by target.
type Dump struct {
	Sends    int            `json:"sends"`
	Prefills int            `json:"prefills"`
	Targets  map[string]int `json:"targets"`
}

func (p *Planner) dump() Dump {
	d := Dump{Sends: len(p.sends), Prefills: len(p.prefills), Targets: map[string]int{}}
	for name, a := range p.targets {
		d.Targets[name] = len(a.sends)
	}
	return d
}

// Dump returns the state for operators. It is empty if the task does not reply
// within a second.
func (c *Chooser) Dump() any {
	q := dumpQuery{reply: make(chan Dump, 1)}
	timeout := time.After(time.Second)
	select {
	case c.inbox <- q:
	case <-timeout:
		return Dump{}
	}
	select {
	case d := <-q.reply:
		return d
	case <-timeout:
		return Dump{}
	}
}
