package target

import (
	"context"
	"errors"
	"time"

	"github.com/baobabdyke/baobabdyke/config"
)

const fleetTick = 50 * time.Millisecond

// polled is the outcome of asking a target for its load.
type polled struct {
	target string
	report Report
	err    error
}

// Run works until ctx ends.
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
			f.take(m, f.opts.Clock.Now())
		}
		if f.urgent && len(f.inbox) == 0 {
			f.publish()
		}
	}
}

// take handles one message.
func (f *Fleet) take(m any, now time.Time) {
	switch m := m.(type) {
	case polled:
		f.takePolled(m, now)
	case StatesUpdate:
		f.takeShared(m, now)
	case Succeeded:
		f.withLife(m.Target, (*life).answered)
	case Failed:
		f.withLife(m.Target, func(l *life) { l.failed(now) })
	case ReportOutdated:
		if r, ok := f.records[m.Target]; ok {
			r.moved, r.nextPoll = true, now
		}
	case Unreachable:
		f.withLife(m.Target, func(l *life) { l.unreachable(now) })
	}
}

// withLife changes the life of a target. A new state is published at once.
func (f *Fleet) withLife(name string, change func(*life)) {
	r, ok := f.records[name]
	if !ok {
		return
	}
	before := r.life.state()
	change(r.life)
	if r.life.state() == before {
		return
	}
	f.logLife(name, before, r.life.state())
	f.urgent = true
}

func (f *Fleet) logLife(name, before, after string) {
	_ = f.opts.Log.Log("event", "target", "target", name, "from", before, "to", after)
}

func (f *Fleet) takePolled(p polled, now time.Time) {
	r, ok := f.records[p.target]
	if !ok {
		return
	}
	r.polling = false
	r.asked = true
	switch {
	case p.err == nil:
		f.takeReport(p.target, p.report, now, now)
	case errors.Is(p.err, ErrNoReport):
		f.withLife(p.target, func(l *life) { l.reported(false, now) })
	default:
		f.withLife(p.target, func(l *life) { l.silent(now) })
	}
}

// takeReport keeps a report unless a newer one is known.
func (f *Fleet) takeReport(name string, report Report, at, now time.Time) {
	r, ok := f.records[name]
	if !ok || r.state.Reported && at.Before(r.state.ReportedAt) {
		return
	}
	old := r.state.Report
	r.asked = true
	r.state.Reported = true
	r.state.Report = report
	r.state.ReportedAt = at
	f.dirty = true
	f.withLife(name, func(l *life) { l.reported(report.Leaving, now) })
	f.urgent = f.urgent || old.Incarnation != report.Incarnation || old.Weights != report.Weights
}

// tick follows the configuration, asks targets, shares and publishes.
func (f *Fleet) tick(ctx context.Context, now time.Time) {
	f.follow()
	if f.opts.Roster != nil {
		f.readers.SetLive(f.opts.Roster.Live())
	}
	for name, r := range f.records {
		f.withLife(name, func(l *life) { l.tick(now) })
		if f.due(r, now) {
			r.polling, r.moved = true, false
			r.nextPoll = now.Add(pollEvery)
			go f.poll(ctx, name, r.state.Target.Address)
		}
	}
	if !now.Before(f.nextShare) {
		f.nextShare = now.Add(shareEvery)
		f.share(ctx, now)
	}
	if f.dirty || f.urgent {
		f.publish()
	}
}

// follow makes the records those of the configuration in force. A target whose
// address changed is another target.
func (f *Fleet) follow() {
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
		f.records[t.Name] = &record{state: State{Target: t}, life: newLife()}
	}
	f.dirty = true
}

// due tells whether this VM should ask the target now.
func (f *Fleet) due(r *record, now time.Time) bool {
	if r.polling || now.Before(r.nextPoll) {
		return false
	}
	return r.moved || f.reads(r.state.Target) || now.Sub(r.state.ReportedAt) > coverAfter
}

// poll asks one target and passes the outcome to the task.
func (f *Fleet) poll(ctx context.Context, name, address string) {
	limited, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	report, err := f.opts.Client.Load(limited, address)
	select {
	case f.inbox <- polled{target: name, report: report, err: err}:
	case <-ctx.Done():
	}
}

// reads tells whether this VM is the one that reads the target.
func (f *Fleet) reads(t *config.Target) bool {
	return f.opts.Roster == nil || f.readers.Reader(t.Name) == f.opts.Self
}

// publish replaces the copy that queries read.
func (f *Fleet) publish() {
	f.dirty, f.urgent = false, false
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
		r.state.Health = r.life.state()
		p.warm = p.warm && r.asked
		p.all = append(p.all, r.state)
		p.pools[r.state.Target.Pool] = append(p.pools[r.state.Target.Pool], r.state)
	}
	p.warm = p.warm && v.Version > 0
	f.published.Store(p)
}
