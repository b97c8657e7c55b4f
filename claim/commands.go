package claim

import (
	"context"
	"crypto/rand"

	"github.com/rotisserie/eris"

	"github.com/baobabdyke/baobabdyke/invariant"
)

var errStopped = eris.New("claims: no result before the deadline or the shutdown")

// Begin requests the exclusive right to run a request. Unless it returns Granted,
// the caller must not run the request.
func (t *Task) Begin(ctx context.Context, req Request) Result {
	loc := locate(req, t.opts.shards)
	o := begin{key: loc.key, digest: hashOf(req.Digest), id: rand.Text()}
	r, ok := t.submit(ctx, loc.shard, o, 0, 0)
	if !ok {
		return t.unavailable(errStopped)
	}
	if r.err != nil {
		return t.unavailable(r.err)
	}
	switch out := r.outcome.(type) {
	case granted:
		t.stats.granted.Add(1)
		t.addTicket(loc.key, o.id)
		return Granted{Ticket: Ticket{Request: req, ID: o.id, version: r.version}}
	case repeated:
		t.stats.repeated.Add(1)
		return Repeated{Response: out.response}
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
func (t *Task) Finish(ctx context.Context, ticket Ticket, resp Response) error {
	loc := locate(ticket.Request, t.opts.shards)
	t.removeTicket(loc.key, ticket.ID)
	if len(resp.Body) > maxBodyBytes {
		resp.Body = nil
		resp.BodyDropped = true
	}
	return t.resultError(t.submit(ctx, loc.shard, finish{key: loc.key, id: ticket.ID, response: resp}, t.opts.Linger, ticket.version))
}

// Abandon releases the claim of a request that certainly did not run, so that a
// further attempt may run it.
func (t *Task) Abandon(ctx context.Context, ticket Ticket) error {
	loc := locate(ticket.Request, t.opts.shards)
	t.removeTicket(loc.key, ticket.ID)
	return t.resultError(t.submit(ctx, loc.shard, abandon{key: loc.key, id: ticket.ID}, 0, ticket.version))
}

// resultError returns the error of a Finish or an Abandon.
func (t *Task) resultError(r reply, ok bool) error {
	if !ok {
		return errStopped
	}
	if r.err != nil {
		return r.err
	}
	if _, missing := r.outcome.(notFound); missing {
		return errNotFound
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
func (t *Task) addTicket(key hash, id string) {
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
func (t *Task) removeTicket(key hash, id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.tickets[key].id == id {
		delete(t.tickets, key)
	}
}
