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
	// backlogMax bounds the answers that a shard keeps for the store's return.
	backlogMax = 256
	// backlogWait is the time between two tries to write the backlog.
	backlogWait = 2 * time.Second
	// idleTime is the time after which a worker without jobs ends.
	idleTime = 30 * time.Second
	// flushTimeout bounds the last commit of a shard at a planned stop.
	flushTimeout = 3 * time.Second
	// flushTries bounds the commits of a shard at a planned stop.
	flushTries = 3
	// maxBatch bounds the ops of one commit.
	maxBatch = 512
)

var errBusy = eris.New("claims: too many requests wait for their claim")

// A worker owns one shard on this VM: it gathers ops and commits them together.
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
	// seen is the newest version of the shard that this VM knows of. An older
	// read is stale and says nothing.
	seen int64
	last time.Time
	rand *rand.Rand
	// retire ends the worker unless a job waits for it.
	retire func(*worker) bool
}

func (w *worker) run(ctx context.Context) {
	defer w.flush(ctx)
	for {
		timer := time.NewTimer(w.untilDue())
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
		if w.retire(w) {
			return
		}
	}
}

// add queues a job. An op that finds the queue full is answered at once.
func (w *worker) add(j job) {
	if len(w.queue) < maxBatch {
		w.queue = append(w.queue, j)
		return
	}
	j.answer(reply{err: errBusy})
}

// untilDue is the time until the next commit: the earliest due op, but no
// earlier than a window after the last commit.
func (w *worker) untilDue() time.Duration {
	if len(w.queue) == 0 {
		return idleTime
	}
	now := w.clock.Now()
	due := w.queue[0].due
	for _, j := range w.queue {
		if j.due.Before(due) {
			due = j.due
		}
	}
	if next := w.last.Add(w.opts.Window); next.After(due) {
		due = next
	}
	return max(due.Sub(now), 0)
}

// flush writes what answers are left when the task ends, and refuses the rest.
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
	w.refuseBegins(eris.New("claims: stopping"))
	for range flushTries {
		if len(w.queue) > 0 {
			w.commit(ctx)
		}
	}
}

// refuseBegins answers all queued begins that they were not written.
func (w *worker) refuseBegins(err error) {
	kept := w.queue[:0]
	for _, j := range w.queue {
		if _, begins := j.op.(begin); begins {
			j.answer(reply{err: err})
			continue
		}
		kept = append(kept, j)
	}
	w.queue = kept
}

// free queues the abandonment of a claim that was never sent.
func (w *worker) free(b begin, doubtful bool) {
	ctx := context.Background()
	due := w.clock.Now().Add(w.opts.Linger)
	w.keep(newJob(ctx, abandon{key: b.key, id: b.id, doubtful: doubtful}, due))
}

// keep queues an op for later. Without room the claim stays as it is: pending.
func (w *worker) keep(j job) {
	if len(w.queue) < backlogMax {
		w.queue = append(w.queue, j)
		return
	}
	w.stats.forgotten.Add(1)
	j.answer(reply{err: errBusy})
}
