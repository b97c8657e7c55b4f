package claim

import (
	"context"
	"sync/atomic"
	"time"
)

// A job is one operation and the caller that waits for its outcome.
type job struct {
	ctx context.Context
	op  op
	due time.Time
	// minVersion is a version that the shard is known to have reached.
	minVersion int64
	done       chan reply
	// closed is set once: by the caller when it stops waiting, or by the worker
	// when it sends the reply.
	closed *atomic.Bool
}

// A reply is the result of a job, with the version of the shard that was read or
// written. Err is set if the operation was not applied.
type reply struct {
	outcome outcome
	version int64
	err     error
}

func newJob(ctx context.Context, o op, due time.Time) job {
	return job{ctx: ctx, op: o, due: due, done: make(chan reply, 1), closed: new(atomic.Bool)}
}

// send sends the reply. It reports false if the caller has stopped waiting.
func (j job) send(r reply) bool {
	if !j.closed.CompareAndSwap(false, true) {
		return false
	}
	j.done <- r
	return true
}

// wait returns the reply. It reports false if ctx or the task ends first.
func (j job) wait(stopped <-chan struct{}) (reply, bool) {
	select {
	case r := <-j.done:
		return r, true
	case <-j.ctx.Done():
	case <-stopped:
	}
	if j.closed.CompareAndSwap(false, true) {
		return reply{}, false
	}
	return <-j.done, true
}

// abandoned reports whether the operation can be skipped because its caller has
// stopped waiting. This applies to begin only: a response is stored in any case.
func (j job) abandoned() bool {
	_, isBegin := j.op.(begin)
	return isBegin && (j.closed.Load() || j.ctx.Err() != nil)
}
