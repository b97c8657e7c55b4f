package target

import (
	"context"
	"errors"
	"time"

	"github.com/baobabdyke/baobabdyke/config"
)

const fleetTick = 50 * time.Millisecond

// pollResult is the outcome of polling a target.
type pollResult struct {
	target string
	report Report
	err    error
}

// Run tracks the targets until ctx is done.
func (f *Fleet) Run(ctx context.Context) error {
	ticker := time.NewTicker(fleetTick)
	defer ticker.Stop()
	f.tick(ctx, f.opts.Clock.Now())
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			f.tick(ctx, f.opts.Clock.Now())
		case m := <-f.inbox:
			f.handle(m, f.opts.Clock.Now())
		}
		if f.urgent && len(f.inbox) == 0 {
			f.publish()
		}
	}
}

// handle processes one message.
func (f *Fleet) handle(m any, now time.Time) {
	switch m := m.(type) {
	case pollResult:
		f.handlePoll(m, now)
	case StatesUpdate:
		f.handleUpdate(m, now)
	case Succeeded:
		f.updateHealth(m.Target, (*breaker).onResponse)
	case Failed:
		f.updateHealth(m.Target, func(b *breaker) { b.onFailure(now) })
	case ReportOutdated:
		if r, ok := f.records[m.Target]; ok {
			r.outdated, r.nextPoll = true, now
		}
	case Unreachable:
		f.updateHealth(m.Target, func(b *breaker) { b.onUnreachable(now) })
	}
}

// updateHealth applies change to the breaker of a target. A new health state is
// published immediately.
func (f *Fleet) updateHealth(name string, change func(*breaker)) {
	r, ok := f.records[name]
	if !ok {
		return
	}
	before := r.breaker.state()
	change(r.breaker)
	if r.breaker.state() == before {
		return
	}
	f.logHealth(name, before, r.breaker.state())
	f.urgent = true
}

func (f *Fleet) logHealth(name, before, after string) {
	_ = f.opts.Log.Log("event", "target health changed", "target", name, "from", before, "to", after)
}

func (f *Fleet) handlePoll(p pollResult, now time.Time) {
	r, ok := f.records[p.target]
	if !ok {
		return
	}
	r.polling = false
	r.polled = true
	switch {
	case p.err == nil:
		f.storeReport(p.target, p.report, now, now)
	case errors.Is(p.err, ErrNoReport):
		f.updateHealth(p.target, func(b *breaker) { b.onReport(false, now) })
	default:
		f.updateHealth(p.target, func(b *breaker) { b.onNoReport(now) })
	}
}

// storeReport stores a report unless a newer one is known.
func (f *Fleet) storeReport(name string, report Report, at, now time.Time) {
	r, ok := f.records[name]
	if !ok || r.state.Reported && at.Before(r.state.ReportedAt) {
		return
	}
	old := r.state.Report
	r.polled = true
	r.state.Reported = true
	r.state.Report = report
	r.state.ReportedAt = at
	f.changed = true
	f.updateHealth(name, func(b *breaker) { b.onReport(report.Leaving, now) })
	f.urgent = f.urgent || old.Incarnation != report.Incarnation || old.Weights != report.Weights
}

// tick applies the configuration, polls targets, shares reports and publishes the
// states.
func (f *Fleet) tick(ctx context.Context, now time.Time) {
	f.updateRecords()
	if f.opts.Roster != nil {
		f.readers.SetLive(f.opts.Roster.Live())
	}
	for name, r := range f.records {
		f.updateHealth(name, func(b *breaker) { b.tick(now) })
		if f.isDue(r, now) {
			r.polling, r.outdated = true, false
			r.nextPoll = now.Add(pollInterval)
			go f.poll(ctx, name, r.state.Target.Address)
		}
	}
	if !now.Before(f.nextShare) {
		f.nextShare = now.Add(shareInterval)
		f.share(ctx, now)
	}
	if f.changed || f.urgent {
		f.publish()
	}
}

// updateRecords updates the records to the current configuration. A target whose
// address has changed counts as a new target.
func (f *Fleet) updateRecords() {
	v := f.opts.Config()
	if v == nil || v.Version == f.published.Load().version && len(f.records) == len(v.Targets) {
		return
	}
	old := f.records
	f.records = make(map[string]*record, len(v.Targets))
	for i := range v.Targets {
		t := &v.Targets[i]
		if r, ok := old[t.Name]; ok && r.state.Target.Address == t.Address {
			r.state.Target = t
			f.records[t.Name] = r
			continue
		}
		f.records[t.Name] = &record{state: State{Target: t}, breaker: newBreaker()}
	}
	f.changed = true
}

// isDue reports whether this VM should poll the target now.
func (f *Fleet) isDue(r *record, now time.Time) bool {
	if r.polling || now.Before(r.nextPoll) {
		return false
	}
	return r.outdated || f.isReader(r.state.Target) || now.Sub(r.state.ReportedAt) > takeoverAge
}

// poll reads the load of one target and passes the outcome to the task.
func (f *Fleet) poll(ctx context.Context, name, address string) {
	callCtx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	report, err := f.opts.Client.Load(callCtx, address)
	select {
	case f.inbox <- pollResult{target: name, report: report, err: err}:
	case <-ctx.Done():
	}
}

// isReader reports whether the target is assigned to this VM for polling.
func (f *Fleet) isReader(t *config.Target) bool {
	return f.opts.Roster == nil || f.readers.Reader(t.Name) == f.opts.Self
}

// publish replaces the copy that the queries read.
func (f *Fleet) publish() {
	f.changed, f.urgent = false, false
	p := &published{pools: map[string][]State{}, warm: true}
	v := f.opts.Config()
	if v == nil {
		p.warm = false
		f.published.Store(p)
		return
	}
	p.version = v.Version
	for i := range v.Targets {
		r, ok := f.records[v.Targets[i].Name]
		if !ok {
			p.warm = false
			continue
		}
		r.state.Health = r.breaker.state()
		p.warm = p.warm && r.polled
		p.all = append(p.all, r.state)
		p.pools[r.state.Target.Pool] = append(p.pools[r.state.Target.Pool], r.state)
	}
	p.warm = p.warm && v.Version > 0
	f.published.Store(p)
}
