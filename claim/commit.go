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
	// maxAttempts bounds the number of writes of one commit.
	maxAttempts = 6
	// minRetryDelay and maxRetryDelay bound the jittered delay between two
	// attempts.
	minRetryDelay = 5 * time.Millisecond
	maxRetryDelay = 80 * time.Millisecond
	// callTimeout bounds one call of the object store.
	callTimeout = 5 * time.Second
)

// commit applies all queued operations in one conditional update. If the update
// conflicts or its outcome is unknown, it applies them again to the current record.
func (w *worker) commit(ctx context.Context) {
	w.lastCommit = w.clock.Now()
	jobs := w.takeQueue()
	indeterminate := false
	var err error
	for attempt := range maxAttempts {
		if attempt > 0 && !w.pause(ctx, attempt) {
			break
		}
		var done bool
		done, err = w.try(ctx, jobs, &indeterminate)
		if done {
			return
		}
	}
	w.fail(jobs, indeterminate, err)
}

// takeQueue empties the queue and returns its jobs without the abandoned ones.
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

// try attempts one update. It returns true once all jobs have a result. It sets
// indeterminate if an update may still take effect.
func (w *worker) try(ctx context.Context, jobs []job, indeterminate *bool) (bool, error) {
	w.dropStaleCache(jobs)
	fresh, err := w.load(ctx)
	if err != nil {
		return false, err
	}
	next, changed, outcomes := step(*w.cached, opsOf(jobs), w.clock.Now(), w.opts.Retention)
	if !changed && !fresh && !areFinal(outcomes) {
		w.cached = nil
		return w.try(ctx, jobs, indeterminate)
	}
	if !changed {
		w.sendReplies(jobs, outcomes)
		return true, nil
	}
	value := next.encode()
	invariant.Check(len(value) <= store.MaxValueBytes, "claim-value-fits", "record of %d bytes", len(value))
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	w.stats.writes.Add(1)
	switch r := w.store.Put(ctx, objectKey(w.shard), value, w.cached.version).(type) {
	case store.Done:
		next.version = r.Version
		w.minVersion = r.Version
		w.cached = &next
		w.sendReplies(jobs, outcomes)
		return true, nil
	case store.Conflict:
		w.stats.conflicts.Add(1)
		w.cached = nil
		return false, eris.New("claims: write conflict on a contended shard")
	case store.NotSent:
		return false, r.Err
	case store.Unknown:
		w.stats.unknown.Add(1)
		*indeterminate = true
		w.cached = nil
		return false, r.Err
	}
	panic("claim: unexpected type of write result")
}

// dropStaleCache drops the cached record if it is older than a version that a job
// requires.
func (w *worker) dropStaleCache(jobs []job) {
	for _, j := range jobs {
		w.minVersion = max(w.minVersion, j.minVersion)
	}
	if w.cached != nil && w.cached.version < w.minVersion {
		w.cached = nil
	}
}

// areFinal reports whether outcomes derived from a cached record are still valid:
// only those that cannot change within the retention period are.
func areFinal(outcomes []outcome) bool {
	for _, o := range outcomes {
		switch o.(type) {
		case repeated, granted, written:
		default:
			return false
		}
	}
	return true
}

// load reads the record unless it is cached. It reports whether it was read.
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
	if o.Version < w.minVersion {
		return false, eris.Errorf("claims: stale read of shard %d", w.shard)
	}
	w.minVersion = o.Version
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

// sendReplies sends the outcomes to the callers. If the caller of a granted claim
// has stopped waiting, the request certainly did not run, so the claim is abandoned.
func (w *worker) sendReplies(jobs []job, outcomes []outcome) {
	for i, j := range jobs {
		delivered := j.send(reply{outcome: outcomes[i], version: w.cached.version})
		if _, ok := outcomes[i].(granted); ok && !delivered {
			w.queueAbandon(j.op.(begin), false)
		}
	}
}

// fail handles the jobs of a failed commit: begin operations get an error, finish
// and abandon operations are queued again. If indeterminate is set, the claims of
// the begin operations may still be written, so they are abandoned.
func (w *worker) fail(jobs []job, indeterminate bool, err error) {
	if err == nil {
		err = eris.New("claims: task is stopping")
	}
	_ = level.Warn(w.log).Log("msg", "cannot write claims", "shard", w.shard, "claims", len(jobs), "err", err)
	due := w.clock.Now().Add(backlogRetryDelay)
	for _, j := range jobs {
		b, isBegin := j.op.(begin)
		if !isBegin {
			j.due = due
			w.requeue(j)
			continue
		}
		j.send(reply{err: err})
		if indeterminate {
			w.queueAbandon(b, true)
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

// pause waits before a further attempt. It reports false if ctx ends first.
func (w *worker) pause(ctx context.Context, attempt int) bool {
	maxDelay := min(minRetryDelay<<attempt, maxRetryDelay)
	timer := time.NewTimer(maxDelay/2 + time.Duration(w.rand.Int64N(int64(maxDelay/2))))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
