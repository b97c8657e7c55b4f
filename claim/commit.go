package claim

import (
	"context"
	"errors"
	"time"

	"github.com/go-kit/log/level"
	"github.com/rotisserie/eris"

	"github.com/baobabdyke/baobabdyke/invariant"
	"github.com/baobabdyke/baobabdyke/store"
)

const (
	// maxTries bounds the writes of one commit.
	maxTries = 6
	// retryFirst and retryMax bound the jittered wait between two tries.
	retryFirst = 5 * time.Millisecond
	retryMax   = 80 * time.Millisecond
	// callTimeout bounds one call of the object API.
	callTimeout = 5 * time.Second
)

// commit carries out all queued ops in one conditional update, and again from
// the record as it then is if the update conflicts or its outcome is unknown.
func (w *worker) commit(ctx context.Context) {
	w.last = w.clock.Now()
	jobs := w.takeQueue()
	doubt := false
	var err error
	for try := range maxTries {
		if try > 0 && !w.pause(ctx, try) {
			break
		}
		var done bool
		done, err = w.try(ctx, jobs, &doubt)
		if done {
			return
		}
	}
	w.fail(jobs, doubt, err)
}

// takeQueue empties the queue and leaves out callers that have gone.
func (w *worker) takeQueue() []job {
	jobs := make([]job, 0, len(w.queue))
	for _, j := range w.queue {
		if !j.abandoned() {
			jobs = append(jobs, j)
		}
	}
	w.queue = w.queue[:0]
	return jobs
}

// try makes one update. It reports true once all jobs are answered. Doubt is
// set while an update may still take effect.
func (w *worker) try(ctx context.Context, jobs []job, doubt *bool) (bool, error) {
	w.catchUp(jobs)
	fresh, err := w.load(ctx)
	if err != nil {
		return false, err
	}
	next, changed, outcomes := step(*w.cached, opsOf(jobs), w.clock.Now(), w.opts.Retention)
	if !changed && !fresh && !certain(outcomes) {
		w.cached = nil
		return w.try(ctx, jobs, doubt)
	}
	if !changed {
		w.answer(jobs, outcomes)
		return true, nil
	}
	value := next.encode()
	invariant.Check(len(value) <= store.MaxValueBytes, "claim-value-fits", "%d bytes", len(value))
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	w.stats.writes.Add(1)
	switch r := w.store.Put(ctx, objectKey(w.shard), value, w.cached.version).(type) {
	case store.Done:
		next.version = r.Version
		w.seen = r.Version
		w.cached = &next
		w.answer(jobs, outcomes)
		return true, nil
	case store.Conflict:
		w.stats.conflicts.Add(1)
		w.cached = nil
		return false, eris.New("claims: shard is contended")
	case store.NotSent:
		return false, r.Err
	case store.Unknown:
		w.stats.unknown.Add(1)
		*doubt = true
		w.cached = nil
		return false, r.Err
	}
	panic("claim: unknown result of a write")
}

// catchUp drops a kept record that is older than what a job has seen.
func (w *worker) catchUp(jobs []job) {
	for _, j := range jobs {
		w.seen = max(w.seen, j.since)
	}
	if w.cached != nil && w.cached.version < w.seen {
		w.cached = nil
	}
}

// certain tells whether outcomes taken from a kept record still hold: only what
// never changes within its retention does.
func certain(outcomes []outcome) bool {
	for _, o := range outcomes {
		switch o.(type) {
		case repeated, won, written:
		default:
			return false
		}
	}
	return true
}

// load reads the record unless it is kept. It reports whether it read it.
func (w *worker) load(ctx context.Context) (bool, error) {
	if w.cached != nil {
		return false, nil
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	w.stats.reads.Add(1)
	o, err := w.store.Get(ctx, objectKey(w.shard))
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		return false, err
	}
	if o.Version < w.seen {
		return false, eris.Errorf("claims: stale read of shard %d", w.shard)
	}
	w.seen = o.Version
	if err != nil {
		r := newRecord()
		w.cached = &r
		return true, nil
	}
	r, err := decode(o.Version, o.Value)
	if err != nil {
		return false, err
	}
	w.cached = &r
	return true, nil
}

// answer sends the outcomes. A claim that nobody waits for any more did
// provably not run, and is freed.
func (w *worker) answer(jobs []job, outcomes []outcome) {
	for i, j := range jobs {
		heard := j.answer(reply{outcome: outcomes[i], version: w.cached.version})
		if _, ok := outcomes[i].(won); ok && !heard {
			w.free(j.op.(begin), false)
		}
	}
}

// fail ends the jobs that could not be carried out: begins are refused, answers
// and abandonments are kept for later.
func (w *worker) fail(jobs []job, doubt bool, err error) {
	if err == nil {
		err = eris.New("claims: stopping")
	}
	_ = level.Warn(w.log).Log("msg", "claims not written", "shard", w.shard, "claims", len(jobs), "err", err)
	due := w.clock.Now().Add(backlogWait)
	for _, j := range jobs {
		b, begins := j.op.(begin)
		if !begins {
			j.due = due
			w.keep(j)
			continue
		}
		j.answer(reply{err: err})
		if doubt {
			w.free(b, true)
		}
	}
}

func opsOf(jobs []job) []op {
	ops := make([]op, len(jobs))
	for i, j := range jobs {
		ops[i] = j.op
	}
	return ops
}

// pause waits before a further try. It reports false if ctx ends.
func (w *worker) pause(ctx context.Context, try int) bool {
	limit := min(retryFirst<<try, retryMax)
	timer := time.NewTimer(limit/2 + time.Duration(w.rand.Int64N(int64(limit/2))))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
