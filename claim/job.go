package claim

import (
	"context"
	"sync/atomic"
	"time"
)

// A job is one op with the caller that waits for its outcome.
type job struct {
	ctx context.Context
	op  op
	due time.Time
	// since is a version that the shard surely had reached.
	since int64
	done  chan reply
	// left is set once: by the caller when it stops waiting, or by the worker
	// when it answers.
	left *atomic.Bool
}

// A reply is what a worker answers, with the version of the shard that it found
// or wrote. Err is set if the op was not carried out.
type reply struct {
	outcome outcome
	version int64
	err     error
}

func newJob(ctx context.Context, o op, due time.Time) job {
	return job{ctx: ctx, op: o, due: due, done: make(chan reply, 1), left: new(atomic.Bool)}
}

// answer sends the reply. It reports false if the caller has stopped waiting.
func (j job) answer(r reply) bool {
	if !j.left.CompareAndSwap(false, true) {
		return false
	}
	j.done <- r
	return true
}

// wait returns the reply. It reports false if ctx or the task ends before.
func (j job) wait(stopped <-chan struct{}) (reply, bool) {
	select {
	case r := <-j.done:
		return r, true
	case <-j.ctx.Done():
	case <-stopped:
	}
	if j.left.CompareAndSwap(false, true) {
		return reply{}, false
	}
	return <-j.done, true
}

// abandoned tells whether the op need not be carried out, since its caller has
// left: an answer is worth remembering all the same, a claim is not.
func (j job) abandoned() bool {
	_, begins := j.op.(begin)
	return begins && (j.left.Load() || j.ctx.Err() != nil)
}
