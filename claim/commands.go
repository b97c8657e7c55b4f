package claim

import (
	"context"
	"crypto/rand"

	"github.com/rotisserie/eris"

	"github.com/baobabdyke/baobabdyke/invariant"
)

var errStopped = eris.New("claims: no result before the deadline or the shutdown")

// Begin asks for the exclusive right to run a request. Unless it returns Granted,
// the caller must not run the request.
func (t *Task) Begin(ctx context.Context, n Request) Result {
	p := placeOf(n, t.opts.shards)
	o := begin{key: p.key, digest: sum(n.Digest), id: rand.Text()}
	r, ok := t.submit(ctx, p.shard, o, 0, 0)
	if !ok {
		return t.unavailable(errStopped)
	}
	if r.err != nil {
		return t.unavailable(r.err)
	}
	switch out := r.outcome.(type) {
	case won:
		t.stats.granted.Add(1)
		t.open(p.key, o.id)
		return Granted{Ticket: Ticket{Request: n, ID: o.id, version: r.version}}
	case repeated:
		t.stats.repeated.Add(1)
		return Repeated{Response: out.answer}
	case pending:
		t.stats.pending.Add(1)
		return Pending{Since: out.since}
	case mismatch:
		t.stats.mismatch.Add(1)
		return Mismatch{}
	default:
		return t.unavailable(errFull)
	}
}

// Finish stores the response of a request that ran. It returns once the response
// is written; the response may be sent to the caller before that. If ctx ends
// first, the task keeps trying in the background.
func (t *Task) Finish(ctx context.Context, k Ticket, a Response) error {
	p := placeOf(k.Request, t.opts.shards)
	t.settle(p.key, k.ID)
	if len(a.Body) > maxAnswerBytes {
		a.Body = nil
		a.BodyDropped = true
	}
	return t.settled(t.submit(ctx, p.shard, finish{key: p.key, id: k.ID, answer: a}, t.opts.Linger, k.version))
}

// Abandon releases the claim of a request that certainly did not run, so that a
// further attempt may run it.
func (t *Task) Abandon(ctx context.Context, k Ticket) error {
	p := placeOf(k.Request, t.opts.shards)
	t.settle(p.key, k.ID)
	return t.settled(t.submit(ctx, p.shard, abandon{key: p.key, id: k.ID}, 0, k.version))
}

// resultError returns the error of a Finish or an Abandon.
func (t *Task) settled(r reply, ok bool) error {
	if !ok {
		return errStopped
	}
	if r.err != nil {
		return r.err
	}
	if _, lost := r.outcome.(gone); lost {
		return errGone
	}
	return nil
}

func (t *Task) unavailable(err error) Result {
	t.stats.failed.Add(1)
	return Unavailable{Err: err}
}

// maxTickets bounds the number of open tickets that are kept to check that no
// claim is granted twice.
const maxTickets = 1 << 14

// addTicket records a granted ticket. It asserts that no other ticket of the key
// is open on this VM within the retention period.
func (t *Task) open(key hash, id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.opts.Clock.Now()
	other, ok := t.tickets[key]
	sole := !ok || other.id == id || now.Sub(other.at) >= t.opts.Retention
	invariant.Check(sole, "claim-granted-once", "claim %s granted while %s is open", id, other.id)
	if len(t.tickets) < maxTickets {
		t.tickets[key] = openTicket{id: id, at: now}
	}
}

// removeTicket removes an open ticket.
func (t *Task) settle(key hash, id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.tickets[key].id == id {
		delete(t.tickets, key)
	}
}
