package claim

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/go-kit/log"
	"github.com/rotisserie/eris"

	"github.com/baobabdyke/baobabdyke/store"
)

const (
	// maxBacklog bounds the number of writes that a shard queues while the store
	// is unavailable.
	maxBacklog = 256
	// backlogRetryDelay is the time between two attempts to write the backlog.
	backlogRetryDelay = 2 * time.Second
	// workerIdleTimeout is the time without jobs after which a worker ends.
	workerIdleTimeout = 30 * time.Second
	// flushTimeout bounds the last commits of a shard during a graceful shutdown.
	flushTimeout = 3 * time.Second
	// maxFlushCommits bounds the commits of a shard during a graceful shutdown.
	maxFlushCommits = 3
	// maxBatch bounds the number of operations in one commit.
	maxBatch = 512
)

var errBusy = eris.New("claims: queue of the shard is full")

// A worker writes one shard on this VM: it batches operations and commits them
// together.
type worker struct {
	shard  int
	store  store.Store
	clock  store.Clock
	log    log.Logger
	opts   *Options
	stats  *stats
	jobs   chan job
	queue  []job
	cached *record
	// minVersion is the newest known version of the shard. A read that returns an
	// older version is stale and is ignored.
	minVersion int64
	lastCommit time.Time
	rand       *rand.Rand
	// remove removes the worker from the task unless a job is waiting for it.
	remove func(*worker) bool
}

func (w *worker) run(ctx context.Context) {
	defer w.flush(ctx)
	for {
		timer := time.NewTimer(w.timeToCommit())
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case j := <-w.jobs:
			timer.Stop()
			w.add(j)
			continue
		case <-timer.C:
		}
		if len(w.queue) > 0 {
			w.commit(ctx)
			continue
		}
		if w.remove(w) {
			return
		}
	}
}

// add queues a job. If the queue is full, the job gets an error at once.
func (w *worker) add(j job) {
	if len(w.queue) < maxBatch {
		w.queue = append(w.queue, j)
		return
	}
	j.send(reply{err: errBusy})
}

// timeToCommit returns the time until the next commit, which is when the earliest job
// is due, but not within Options.Window of the last commit.
func (w *worker) timeToCommit() time.Duration {
	if len(w.queue) == 0 {
		return workerIdleTimeout
	}
	now := w.clock.Now()
	due := w.queue[0].due
	for _, j := range w.queue {
		if j.due.Before(due) {
			due = j.due
		}
	}
	if next := w.lastCommit.Add(w.opts.Window); next.After(due) {
		due = next
	}
	return max(due.Sub(now), 0)
}

// flush writes the remaining responses when the task ends, and refuses pending
// begin operations.
func (w *worker) flush(ctx context.Context) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), flushTimeout)
	defer cancel()
	for {
		select {
		case j := <-w.jobs:
			w.add(j)
			continue
		default:
		}
		break
	}
	w.refuseBegins(eris.New("claims: task is stopping"))
	for range maxFlushCommits {
		if len(w.queue) > 0 {
			w.commit(ctx)
		}
	}
}

// refuseBegins fails all queued begin operations with err.
func (w *worker) refuseBegins(err error) {
	kept := w.queue[:0]
	for _, j := range w.queue {
		if _, isBegin := j.op.(begin); isBegin {
			j.send(reply{err: err})
			continue
		}
		kept = append(kept, j)
	}
	w.queue = kept
}

// queueAbandon queues the removal of a claim whose request was never sent.
func (w *worker) queueAbandon(b begin, indeterminate bool) {
	ctx := context.Background()
	due := w.clock.Now().Add(w.opts.Linger)
	w.requeue(newJob(ctx, abandon{key: b.key, id: b.id, indeterminate: indeterminate}, due))
}

// requeue queues a job for a later commit. If the backlog is full, the job is
// dropped and its claim remains pending.
func (w *worker) requeue(j job) {
	if len(w.queue) < maxBacklog {
		w.queue = append(w.queue, j)
		return
	}
	w.stats.dropped.Add(1)
	j.send(reply{err: errBusy})
}
