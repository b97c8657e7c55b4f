package claim

import (
	"time"

	"github.com/rotisserie/eris"

	"github.com/baobabdyke/baobabdyke/invariant"
	"github.com/baobabdyke/baobabdyke/store"
)

const (
	// maxRecordBytes bounds the size of a shard. Above it, response bodies are
	// dropped; if that is not enough, new claims are refused.
	maxRecordBytes = store.MaxValueBytes * 7 / 8
	// bodyRetention is how long a response body is stored. The claim and the
	// status are kept for the whole retention period.
	bodyRetention = time.Hour
	// maxBodyBytes is the size of the largest response body that is stored.
	maxBodyBytes = 16 << 10
)

var (
	errFull     = eris.New("claims: shard is full of unexpired claims")
	errNotFound = eris.New("claims: claim not found: it has expired or was abandoned")
)

// An op is an operation on a shard: begin, finish or abandon. Operations are
// idempotent, since the id of the ticket identifies an earlier write of the same
// operation.
type op interface{ op() }

// A begin requests the claim.
type begin struct {
	key    hash
	digest hash
	id     string
}

// A finish stores the response.
type finish struct {
	key      hash
	id       string
	response Response
}

// An abandon removes the claim. If indeterminate is set, the write of the claim may
// still take effect; a new version of the record is then written even if it does
// not contain the claim, so that the late write fails with a conflict.
type abandon struct {
	key           hash
	id            string
	indeterminate bool
}

func (begin) op()   {}
func (finish) op()  {}
func (abandon) op() {}

// An outcome is the outcome of an op in a step: granted, repeated, pending,
// mismatch, full, written or notFound.
type outcome interface{ outcome() }

type (
	granted  struct{}
	repeated struct{ response Response }
	pending  struct{ since time.Time }
	mismatch struct{}
	full     struct{}
	written  struct{}
	notFound struct{}
)

func (granted) outcome()  {}
func (repeated) outcome() {}
func (pending) outcome()  {}
func (mismatch) outcome() {}
func (full) outcome()     {}
func (written) outcome()  {}
func (notFound) outcome() {}

// step applies ops to a record. It returns the record to write, whether it must be
// written, and the outcome of each op, which is valid once the write has taken
// effect.
func step(r record, ops []op, now time.Time, retention time.Duration) (record, bool, []outcome) {
	next := r.clone()
	expire(&next, now, retention)
	changed := false
	outcomes := make([]outcome, 0, len(ops))
	for _, o := range ops {
		out, write := apply(&next, o, now)
		outcomes = append(outcomes, out)
		changed = changed || write
	}
	if changed {
		dropBodies(&next)
	}
	checkTransition(r, next, ops, now, retention)
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
		return granted{}, false
	case e.Digest != o.digest:
		return mismatch{}, false
	case e.State == stateRan:
		return repeated{response: e.response()}, false
	default:
		return pending{since: e.at()}, false
	}
}

// grant adds a claim if the record has room for it and, later, for its status.
func grant(r *record, o begin, now time.Time) (outcome, bool) {
	e := entry{Key: o.key, Digest: o.digest, ID: o.id, At: now.UnixMilli()}
	if r.size-r.bodySize+e.size() > maxRecordBytes {
		return full{}, false
	}
	r.set(e)
	return granted{}, true
}

func applyFinish(r *record, o finish) (outcome, bool) {
	e, ok := r.entries[o.key]
	if !ok || e.ID != o.id {
		return notFound{}, false
	}
	if e.State == stateRan {
		return written{}, false
	}
	e.State = stateRan
	e.Status = o.response.Status
	e.ContentType = o.response.ContentType
	e.Body = o.response.Body
	e.Dropped = o.response.BodyDropped
	invariant.Check(len(e.Body) <= maxBodyBytes, "claim-answer-bounded", "response body of %d bytes", len(e.Body))
	r.set(e)
	return written{}, true
}

func applyAbandon(r *record, o abandon) (outcome, bool) {
	e, ok := r.entries[o.key]
	if !ok || e.ID != o.id {
		return written{}, o.indeterminate
	}
	invariant.Check(e.State == statePending, "claim-abandon-unrun", "claim %s abandoned after it ran", o.id)
	r.remove(o.key)
	return written{}, true
}

func expired(e entry, now time.Time, retention time.Duration) bool {
	return now.Sub(e.at()) > retention
}

// expire removes the claims that are older than the retention period, and the
// response bodies of those that are older than bodyRetention.
func expire(r *record, now time.Time, retention time.Duration) {
	for key, e := range r.entries {
		switch {
		case expired(e, now, retention):
			r.remove(key)
		case e.bodySize() > 0 && expired(e, now, bodyRetention):
			r.set(e.withoutBody())
		}
	}
}

// dropBodies drops the oldest response bodies, but not their claims, until the
// record is at most maxRecordBytes.
func dropBodies(r *record) {
	if r.size <= maxRecordBytes {
		return
	}
	for _, e := range r.sorted() {
		if r.size <= maxRecordBytes {
			return
		}
		if e.bodySize() > 0 {
			r.set(e.withoutBody())
		}
	}
}

// checkTransition asserts the invariants between a record and the next: a claim
// that was not abandoned keeps its owner within the retention period, the status
// of a response never changes, and the value is not too large for the store.
func checkTransition(r, next record, ops []op, now time.Time, retention time.Duration) {
	invariant.Check(next.size <= store.MaxValueBytes, "claim-fits", "record of %d bytes", next.size)
	for key, old := range r.entries {
		e, ok := next.entries[key]
		kept := ok && e.ID == old.ID
		switch {
		case expired(old, now, retention):
		case old.State == statePending:
			invariant.Check(kept || isAbandoned(ops, old.ID), "claim-sole-owner", "claim %s replaced by %s", old.ID, e.ID)
		default:
			same := kept && e.State == stateRan && e.Status == old.Status
			invariant.Check(same, "claim-answer-kept", "outcome of claim %s lost", old.ID)
		}
	}
}

// isAbandoned reports whether one of the ops abandons the claim with the given id.
func isAbandoned(ops []op, id string) bool {
	for _, o := range ops {
		if a, ok := o.(abandon); ok && a.id == id {
			return true
		}
	}
	return false
}
