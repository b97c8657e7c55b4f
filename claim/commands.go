package claim

import (
	"context"
	"crypto/rand"

	"github.com/rotisserie/eris"

	"github.com/baobabdyke/baobabdyke/invariant"
)

var errStopped = eris.New("claims: no answer before the deadline or the stop")

// Begin asks for the sole right to run the named request. Whatever it returns
// but Granted, this try must not run it.
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

// Finish remembers the answer of a request that ran. It returns once the
// answer is written; the answer may be given to the caller before. If ctx ends
// first, the task goes on trying.
func (t *Task) Finish(ctx context.Context, k Ticket, a Response) error {
	p := placeOf(k.Request, t.opts.shards)
	t.settle(p.key, k.ID)
	if len(a.Body) > maxAnswerBytes {
		a.Body = nil
		a.BodyDropped = true
	}
	return t.settled(t.submit(ctx, p.shard, finish{key: p.key, id: k.ID, answer: a}, t.opts.Linger, k.version))
}

// Abandon frees the key of a request that provably did not run, so that a
// further try may run it.
func (t *Task) Abandon(ctx context.Context, k Ticket) error {
	p := placeOf(k.Request, t.opts.shards)
	t.settle(p.key, k.ID)
	return t.settled(t.submit(ctx, p.shard, abandon{key: p.key, id: k.ID}, 0, k.version))
}

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

// maxTickets bounds the open tickets that are remembered for the assertion.
const maxTickets = 1 << 14

// open notes a granted ticket. No other ticket of the key may be open here
// within the retention.
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

// settle forgets an open ticket.
func (t *Task) settle(key hash, id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.tickets[key].id == id {
		delete(t.tickets, key)
	}
}
