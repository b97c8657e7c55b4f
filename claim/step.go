package claim

import (
	"time"

	"github.com/rotisserie/eris"

	"github.com/baobabdyke/baobabdyke/invariant"
	"github.com/baobabdyke/baobabdyke/store"
)

const (
	// maxRecordBytes bounds a shard; above it answers are dropped, then new
	// claims are refused.
	maxRecordBytes = store.MaxValueBytes * 7 / 8
	// answerTime is the time that an answer is remembered. The claim and the
	// status stay for the whole retention.
	answerTime = time.Hour
	// maxAnswerBytes is the largest body that is remembered.
	maxAnswerBytes = 16 << 10
)

var (
	errFull = eris.New("claims: shard is full of claims within their retention")
	errGone = eris.New("claims: the claim is not there any more")
)

// An op is what one caller wants of a shard: begin, finish or abandon. Carrying
// out an op twice is the same as once, since the ticket's id tells its own
// earlier write.
type op interface{ op() }

// begin asks for the claim.
type begin struct {
	key    hash
	digest hash
	id     string
}

// finish remembers the answer.
type finish struct {
	key    hash
	id     string
	answer Response
}

// abandon frees the key. Doubtful tells that the claim's own write may still
// be on its way, so that the record must move past it.
type abandon struct {
	key      hash
	id       string
	doubtful bool
}

func (begin) op()   {}
func (finish) op()  {}
func (abandon) op() {}

// An outcome is what a step says of an op: won, repeated, pending, mismatch,
// full, written or gone.
type outcome interface{ outcome() }

type (
	won      struct{}
	repeated struct{ answer Response }
	pending  struct{ since time.Time }
	mismatch struct{}
	full     struct{}
	written  struct{}
	gone     struct{}
)

func (won) outcome()      {}
func (repeated) outcome() {}
func (pending) outcome()  {}
func (mismatch) outcome() {}
func (full) outcome()     {}
func (written) outcome()  {}
func (gone) outcome()     {}

// step carries ops out on a record. It returns the record to write, whether it
// differs from r, and the outcome of each op once the write took effect.
func step(r record, ops []op, now time.Time, retention time.Duration) (record, bool, []outcome) {
	next := r.clone()
	expire(&next, now, retention)
	changed := false
	outcomes := make([]outcome, 0, len(ops))
	for _, o := range ops {
		out, wrote := apply(&next, o, now)
		outcomes = append(outcomes, out)
		changed = changed || wrote
	}
	if changed {
		shrink(&next)
	}
	check(r, next, ops, now, retention)
	return next, changed, outcomes
}

func apply(r *record, o op, now time.Time) (outcome, bool) {
	switch o := o.(type) {
	case begin:
		return applyBegin(r, o, now)
	case finish:
		return applyFinish(r, o)
	case abandon:
		return applyAbandon(r, o)
	}
	panic("claim: unknown op")
}

func applyBegin(r *record, o begin, now time.Time) (outcome, bool) {
	e, ok := r.entries[o.key]
	switch {
	case !ok:
		return grant(r, o, now)
	case e.ID == o.id:
		return won{}, false
	case e.Digest != o.digest:
		return mismatch{}, false
	case e.State == stateRan:
		return repeated{answer: e.answer()}, false
	default:
		return pending{since: e.at()}, false
	}
}

// grant adds a claim if there is room for it and, later, for its status.
func grant(r *record, o begin, now time.Time) (outcome, bool) {
	e := entry{Key: o.key, Digest: o.digest, ID: o.id, At: now.UnixMilli()}
	if r.size-r.extra+e.size() > maxRecordBytes {
		return full{}, false
	}
	r.set(e)
	return won{}, true
}

func applyFinish(r *record, o finish) (outcome, bool) {
	e, ok := r.entries[o.key]
	if !ok || e.ID != o.id {
		return gone{}, false
	}
	if e.State == stateRan {
		return written{}, false
	}
	e.State = stateRan
	e.Status = o.answer.Status
	e.ContentType = o.answer.ContentType
	e.Body = o.answer.Body
	e.Dropped = o.answer.BodyDropped
	invariant.Check(len(e.Body) <= maxAnswerBytes, "claim-answer-bounded", "%d bytes", len(e.Body))
	r.set(e)
	return written{}, true
}

func applyAbandon(r *record, o abandon) (outcome, bool) {
	e, ok := r.entries[o.key]
	if !ok || e.ID != o.id {
		return written{}, o.doubtful
	}
	invariant.Check(e.State == statePending, "claim-abandon-unrun", "claim %s has run", o.id)
	r.remove(o.key)
	return written{}, true
}

func expired(e entry, now time.Time, retention time.Duration) bool {
	return now.Sub(e.at()) > retention
}

// expire drops the claims whose retention is over, and the answers of those
// that are older than answerTime.
func expire(r *record, now time.Time, retention time.Duration) {
	for key, e := range r.entries {
		switch {
		case expired(e, now, retention):
			r.remove(key)
		case e.extra() > 0 && expired(e, now, answerTime):
			r.set(e.withoutAnswer())
		}
	}
}

// shrink drops the oldest answers, not their claims, until the record fits.
func shrink(r *record) {
	if r.size <= maxRecordBytes {
		return
	}
	for _, e := range r.sorted() {
		if r.size <= maxRecordBytes {
			return
		}
		if e.extra() > 0 {
			r.set(e.withoutAnswer())
		}
	}
}

// check asserts what must hold between a record and the next: a claim that was
// not abandoned keeps its owner within its retention, an answer never changes,
// and the value fits.
func check(r, next record, ops []op, now time.Time, retention time.Duration) {
	invariant.Check(next.size <= store.MaxValueBytes, "claim-fits", "%d bytes", next.size)
	for key, old := range r.entries {
		e, ok := next.entries[key]
		kept := ok && e.ID == old.ID
		switch {
		case expired(old, now, retention):
		case old.State == statePending:
			invariant.Check(kept || abandons(ops, old.ID), "claim-sole-owner", "claim %s replaced by %s", old.ID, e.ID)
		default:
			same := kept && e.State == stateRan && e.Status == old.Status
			invariant.Check(same, "claim-answer-kept", "claim %s has lost its outcome", old.ID)
		}
	}
}

// abandons tells whether one of the ops abandons a claim.
func abandons(ops []op, id string) bool {
	for _, o := range ops {
		if a, ok := o.(abandon); ok && a.id == id {
			return true
		}
	}
	return false
}
