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
	// announcePieces is the number of pieces to compute from which on other VMs
	// hear of a send.
	announcePieces = 4
)

// A Fleet is what a Chooser needs of target.Fleet.
type Fleet interface {
	States(pool string) []target.State
	Observe(target.Observation)
}

// An Index is what a Chooser needs of prefix.Task.
type Index interface {
	Lookup(ctx context.Context, keys []prefix.Key, dst []prefix.Match) []prefix.Match
	Expect(engine, incarnation, weights string, keys []prefix.Key)
	Announce(prefix.Announcement)
}

// Options are the parts that a Chooser needs.
type Options struct {
	Fleet      Fleet
	Index      Index
	Clock      store.Clock
	DataCentre string
}

// A Chooser is a task that owns a Planner: one goroutine decides, so that each
// choice sees all sends before it.
type Chooser struct {
	opts    Options
	planner *Planner
	inbox   chan any
	ended   chan struct{}
	// queries holds planQuery values for reuse.
	queries sync.Pool
}

// planQuery asks for a plan.
type planQuery struct {
	request Request
	states  []target.State
	held    []prefix.Match
	reply   chan Plan
}

// Messages to the task, beside *planQuery and *attempt.
type (
	firstCommand struct{ id uint64 }
	dumpQuery    struct{ reply chan Dump }
)

// NewChooser returns a Chooser, which works while Run runs.
func NewChooser(opts Options) *Chooser {
	if opts.Clock == nil {
		opts.Clock = store.SystemClock{}
	}
	return &Chooser{
		opts:    opts,
		planner: NewPlanner(PlannerOptions{DataCentre: opts.DataCentre}),
		inbox:   make(chan any, inboxSize),
		ended:   make(chan struct{}),
		queries: sync.Pool{New: func() any {
			return &planQuery{reply: make(chan Plan, 1)}
		}},
	}
}

// Run works until ctx ends. It runs once.
func (c *Chooser) Run(ctx context.Context) error {
	defer close(c.ended)
	for {
		select {
		case <-ctx.Done():
			return nil
		case m := <-c.inbox:
			c.take(m, c.opts.Clock.Now())
		}
	}
}

// take handles one message.
func (c *Chooser) take(m any, now time.Time) {
	switch m := m.(type) {
	case *planQuery:
		m.reply <- c.planner.Plan(now, m.request, m.states, m.held)
	case firstCommand:
		c.planner.FirstByte(m.id)
	case *attempt:
		c.planner.Done(now, m.id, m.failed)
	case dumpQuery:
		m.reply <- c.planner.dump()
	}
}

// Choose returns where the request should go now. Run must be running.
func (c *Chooser) Choose(ctx context.Context, r Request) Choice {
	q := c.queries.Get().(*planQuery)
	q.request = r
	q.states = c.opts.Fleet.States(r.Route.Pool)
	q.held = q.held[:0]
	if len(r.Prompt.Keys) > 0 && c.opts.Index != nil {
		q.held = c.opts.Index.Lookup(ctx, r.Prompt.Keys, q.held)
	}
	q.held = current(q.held, q.states)
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
		go c.forget(q)
		return NoTarget{Reason: "request ended"}
	}
}

// forget takes back a plan that nobody waits for.
func (c *Chooser) forget(q *planQuery) {
	select {
	case plan := <-q.reply:
		if plan.State != nil {
			c.say(&attempt{id: plan.ID, failed: true})
		}
	case <-c.ended:
	}
}

// say sends a command to the task unless it has ended.
func (c *Chooser) say(m any) {
	select {
	case c.inbox <- m:
	case <-c.ended:
	}
}

// choice turns a plan into a Choice.
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
	if told, ok := AnnouncementOf(plan, r.Prompt); ok && c.opts.Index != nil {
		c.opts.Index.Announce(told)
	}
	return Chosen{
		Target:       a.target,
		ChosenAt:     plan.PlannedAt,
		Incarnation:  a.report.Incarnation,
		Weights:      a.report.Weights,
		CachedTokens: plan.CachedTokens,
		PrefillTime:  plan.PrefillTime,
		ExpectedTTFT: plan.ExpectedTTFT,
		FirstByte:    a.first,
		Done:         a.done,
	}
}

// AnnouncementOf returns what other VMs should hear of a placed plan, and
// whether they should: it computes announcePieces or more.
func AnnouncementOf(plan Plan, prompt prefix.Prompt) (prefix.Announcement, bool) {
	if prompt.PieceTokens == 0 {
		return prefix.Announcement{}, false
	}
	missing := prompt.Keys[min(len(prompt.Keys), plan.CachedTokens/prompt.PieceTokens):]
	if len(missing) < announcePieces {
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

// An attempt is a send that the Chooser is told the progress of.
type attempt struct {
	chooser *Chooser
	id      uint64
	target  *config.Target
	report  *target.Report
	keys    []prefix.Key
	failed  bool
}

// first records the first byte: the prompt is computed and cached.
func (a *attempt) first() {
	c := a.chooser
	c.say(firstCommand{a.id})
	if c.opts.Index != nil {
		c.opts.Index.Expect(a.target.Name, a.report.Incarnation, a.report.Weights, a.keys)
	}
	c.opts.Fleet.Observe(target.Succeeded{Target: a.target.Name})
}

// done records the end of the attempt.
func (a *attempt) done(_ time.Duration, err error) {
	a.failed = err != nil
	a.chooser.say(a)
}

// current keeps the holdings of the incarnation and weight version that the
// engine reports: entries of a dead incarnation or older weights never count.
func current(held []prefix.Match, states []target.State) []prefix.Match {
	kept := held[:0]
	for i := range held {
		if s := stateOf(states, held[i].Engine); s != nil &&
			s.Report.Incarnation == held[i].Incarnation && s.Report.Weights == held[i].Weights {
			kept = append(kept, held[i])
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

// A Dump is the state of a Chooser for operators.
type Dump struct {
	Sends    int            `json:"sends"`
	Prefills int            `json:"prefills"`
	Targets  map[string]int `json:"targets"`
}

func (p *Planner) dump() Dump {
	d := Dump{Sends: len(p.sends), Prefills: len(p.prefills), Targets: map[string]int{}}
	for name, a := range p.accounts {
		d.Targets[name] = len(a.sends)
	}
	return d
}

// Dump returns the state for operators. It is empty if the task does not run.
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
