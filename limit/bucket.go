package limit

import (
	"slices"
	"time"

	"github.com/baobabdyke/baobabdyke/invariant"
)

// refillFactor keeps refills below the rate, so that a clock that runs fast
// does not exceed it.
const refillFactor = 0.9995

// exactPart is the part of a full bucket above which a transfer is not rounded
// down to whole grains: a request of the whole burst needs every part of it.
const exactPart = 0.99

// A bucket is the part of one customer's rate and burst that this VM holds.
//
// What it may still give out stays within its cap at every instant: the level,
// what gathers hold, the room that transfers keep closed, and what running
// requests may still refund.
type bucket struct {
	level Cost
	cap   Cost
	rate  Cost
	at    time.Time // the level is right at this time
	// held is the bucket's own part in gathers under way.
	held Cost
	// closed is the room of tokens that were sent and may still be spent by
	// the receiver, in the order in which it opens again.
	closed    []closing
	closedSum Cost
	// rights is what running requests may refund, oldest first.
	rights    []right
	rightsSum Cost
}

// A closing is the room of one transfer.
type closing struct {
	key    askKey
	amount Cost
	until  time.Time
}

// An askKey identifies an ask over all VMs.
type askKey struct {
	from string
	id   uint64
}

// A right is the largest refund of one running request: of a reservation of
// this VM, whose key has no VM, or of an ask that another VM has spent.
type right struct {
	key    askKey
	amount Cost
}

// room returns how high the level may be.
func (b *bucket) room() Cost {
	return b.cap.Minus(b.closedSum).Minus(b.held)
}

// advance refills the bucket up to now. Room that opened on the way counts
// from the time of its opening only.
func (b *bucket) advance(now time.Time) {
	for len(b.closed) > 0 && !b.closed[0].until.After(now) {
		b.refill(b.closed[0].until)
		b.closedSum = b.closedSum.Minus(b.closed[0].amount)
		b.closed = b.closed[1:]
	}
	if len(b.closed) == 0 {
		b.closed = nil
		b.closedSum = Cost{}
	}
	b.refill(now)
}

func (b *bucket) refill(now time.Time) {
	if d := now.Sub(b.at); d > 0 {
		b.level = b.level.Plus(b.rate.Scale(d.Seconds() * refillFactor))
		b.at = now
	}
	b.clip()
}

// clip takes away what exceeds the cap: first from the level, then from the
// rights to a refund, oldest first.
func (b *bucket) clip() {
	room := b.room()
	b.level = b.level.Min(room)
	excess := b.rightsSum.Minus(room.Minus(b.level))
	for i := 0; i < len(b.rights) && !excess.IsZero(); i++ {
		lost := b.rights[i].amount.Min(excess)
		b.rights[i].amount = b.rights[i].amount.Minus(lost)
		b.rightsSum = b.rightsSum.Minus(lost)
		excess = excess.Minus(lost)
	}
	for len(b.rights) > 0 && b.rights[0].amount.IsZero() {
		b.rights = b.rights[1:]
	}
	if len(b.rights) == 0 {
		b.rights = nil
		b.rightsSum = Cost{}
	}
	b.hold()
}

// hold asserts that the bucket gives out no more than its cap.
func (b *bucket) hold() {
	room := b.room()
	invariant.Check(room.Covers(b.level), "limit-cap", "level %v over room %v", b.level, room)
	invariant.Check(b.level.Requests >= 0 && b.level.Tokens >= 0, "limit-level", "level %v", b.level)
	rest := room.Minus(b.level)
	invariant.Check(rest.Covers(b.rightsSum), "limit-rights", "rights %v over rest %v", b.rightsSum, rest)
}

// take takes a cost that the level covers and remembers the right to refund.
func (b *bucket) take(id uint64, c Cost) {
	b.level = b.level.Minus(c)
	b.addRight(askKey{id: id}, c)
}

func (b *bucket) addRight(key askKey, c Cost) {
	b.rights = append(b.rights, right{key: key, amount: c})
	b.rightsSum = b.rightsSum.Plus(c)
	b.clip()
}

// settle ends a right and puts the unused part of it back, as far as the bucket
// has not been refilled since.
func (b *bucket) settle(key askKey, refund Cost) {
	i := slices.IndexFunc(b.rights, func(r right) bool { return r.key == key })
	if i < 0 {
		return
	}
	amount := b.rights[i].amount
	b.rights = slices.Delete(b.rights, i, i+1)
	b.rightsSum = b.rightsSum.Minus(amount)
	b.level = b.level.Plus(refund.Min(amount))
	b.clip()
}

// hand takes out up to want for another VM and keeps its room closed.
func (b *bucket) hand(key askKey, want Cost, until time.Time) Cost {
	given := want.Min(b.level)
	whole := given.grainsDown()
	if given.Requests < exactPart*b.cap.Requests {
		given.Requests = whole.Requests
	}
	if given.Tokens < exactPart*b.cap.Tokens {
		given.Tokens = whole.Tokens
	}
	if given.IsZero() {
		return Cost{}
	}
	b.level = b.level.Minus(given)
	b.closed = append(b.closed, closing{key: key, amount: given, until: until})
	b.closedSum = b.closedSum.Plus(given)
	b.clip()
	return given
}

// takeBack ends a transfer: it opens the room, if that is still closed, and
// puts back what the other VM did not need. What that VM has spent it may
// refund later.
func (b *bucket) takeBack(key askKey, amount Cost) {
	if sent, ok := b.open(key); ok {
		b.level = b.level.Plus(amount.Min(sent))
		b.addRight(key, sent.Minus(amount))
	}
}

// refund puts back what a request did not use of a transfer, also when the
// message that ends the transfer is still on the way.
func (b *bucket) refund(key askKey, amount Cost) {
	if sent, ok := b.open(key); ok {
		b.addRight(key, sent)
	}
	b.settle(key, amount)
}

// open opens the room of a transfer and returns what was sent.
func (b *bucket) open(key askKey) (Cost, bool) {
	i := slices.IndexFunc(b.closed, func(c closing) bool { return c.key == key })
	if i < 0 {
		return Cost{}, false
	}
	sent := b.closed[i].amount
	b.closed = slices.Delete(b.closed, i, i+1)
	b.closedSum = b.closedSum.Minus(sent)
	return sent, true
}

// hold back takes a part of the level into a gather.
func (b *bucket) holdBack(want Cost) Cost {
	own := want.Min(b.level)
	b.level = b.level.Minus(own)
	b.held = b.held.Plus(own)
	b.clip()
	return own
}

// letGo ends a gather's hold without spending it. The room that it opens
// counts from now on only.
func (b *bucket) letGo(own Cost, now time.Time) {
	b.advance(now)
	b.held = b.held.Minus(own)
	b.level = b.level.Plus(own)
	b.clip()
}

// spend ends a gather's hold by spending it. The room that it opens counts from
// now on only.
func (b *bucket) spend(id uint64, own Cost, now time.Time) {
	b.advance(now)
	b.held = b.held.Minus(own)
	b.addRight(askKey{id: id}, own)
}

// keep adds what another VM sent beyond the need and returns what has no room.
func (b *bucket) keep(extra Cost) Cost {
	kept := extra.Min(b.room().Minus(b.level))
	b.level = b.level.Plus(kept)
	b.clip()
	return extra.Minus(kept)
}

// resize changes the share, from now on.
func (b *bucket) resize(share float64, rate, burst Cost, now time.Time) {
	b.advance(now)
	b.rate = rate.Scale(share)
	b.cap = burst.Scale(share)
	b.clip()
}

// full tells whether the bucket would be the same if it were made anew.
func (b *bucket) full() bool {
	return len(b.rights) == 0 && len(b.closed) == 0 && b.held.IsZero() && b.level.Covers(b.cap)
}
