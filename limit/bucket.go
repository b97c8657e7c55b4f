package limit

import (
	"slices"
	"time"

	"github.com/baobabdyke/baobabdyke/invariant"
)

// refillFactor keeps refills below the rate, so that a VM whose clock runs fast
// does not exceed it.
const refillFactor = 0.9995

// exactFraction is the fraction of the cap from which a transfer is not rounded
// down to whole quanta: a request for the whole burst needs the exact amounts
// of all VMs.
const exactFraction = 0.99

// A bucket is a token bucket for this VM's share of one customer's rate and
// burst.
//
// The sum of its level, the amounts held by gathers, the amounts in transit to
// other VMs and the possible refunds of running requests never exceeds the cap.
type bucket struct {
	level Cost
	cap   Cost
	rate  Cost
	at    time.Time // the time of the last refill
	// held is the amount taken from this bucket by gathers in progress.
	held Cost
	// inTransit are the transfers that the receiver may still spend, in order of
	// expiry. The bucket is not refilled in their place.
	inTransit    []transit
	inTransitSum Cost
	// refundLimits are the largest refunds of running requests, oldest first.
	refundLimits   []refundLimit
	refundLimitSum Cost
}

// A transit is one transfer to another VM that may still be spent there.
type transit struct {
	key    transferKey
	amount Cost
	until  time.Time
}

// A transferKey identifies a transfer request across all VMs.
type transferKey struct {
	from string
	id   uint64
}

// A refundLimit is the largest refund of one running request. The request is
// either a reservation of this VM, whose key has no VM, or one that another VM
// admitted with tokens transferred from here.
type refundLimit struct {
	key    transferKey
	amount Cost
}

// room returns the highest permitted level.
func (b *bucket) room() Cost {
	return b.cap.Minus(b.inTransitSum).Minus(b.held)
}

// advance refills the bucket up to now. The room of a transfer that has expired
// in the meantime is refilled only from its expiry on.
func (b *bucket) advance(now time.Time) {
	for len(b.inTransit) > 0 && !b.inTransit[0].until.After(now) {
		b.refill(b.inTransit[0].until)
		b.inTransitSum = b.inTransitSum.Minus(b.inTransit[0].amount)
		b.inTransit = b.inTransit[1:]
	}
	if len(b.inTransit) == 0 {
		b.inTransit = nil
		b.inTransitSum = Cost{}
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

// clip removes what exceeds the cap: first from the level, then from the refund
// limits, oldest first.
func (b *bucket) clip() {
	room := b.room()
	b.level = b.level.Min(room)
	excess := b.refundLimitSum.Minus(room.Minus(b.level))
	for i := 0; i < len(b.refundLimits) && !excess.IsZero(); i++ {
		lost := b.refundLimits[i].amount.Min(excess)
		b.refundLimits[i].amount = b.refundLimits[i].amount.Minus(lost)
		b.refundLimitSum = b.refundLimitSum.Minus(lost)
		excess = excess.Minus(lost)
	}
	for len(b.refundLimits) > 0 && b.refundLimits[0].amount.IsZero() {
		b.refundLimits = b.refundLimits[1:]
	}
	if len(b.refundLimits) == 0 {
		b.refundLimits = nil
		b.refundLimitSum = Cost{}
	}
	b.checkInvariants()
}

// checkInvariants panics if more than the cap could be spent.
func (b *bucket) checkInvariants() {
	room := b.room()
	invariant.Check(room.Covers(b.level), "limit-cap", "level %v exceeds room %v", b.level, room)
	invariant.Check(b.level.Requests >= 0 && b.level.Tokens >= 0, "limit-level", "level %v is negative", b.level)
	rest := room.Minus(b.level)
	invariant.Check(rest.Covers(b.refundLimitSum), "limit-rights", "refund limits %v exceed free room %v", b.refundLimitSum, rest)
}

// take subtracts a cost that the level covers and permits its refund.
func (b *bucket) take(id uint64, c Cost) {
	b.level = b.level.Minus(c)
	b.addRefundLimit(transferKey{id: id}, c)
}

func (b *bucket) addRefundLimit(key transferKey, c Cost) {
	b.refundLimits = append(b.refundLimits, refundLimit{key: key, amount: c})
	b.refundLimitSum = b.refundLimitSum.Plus(c)
	b.clip()
}

// settle removes a refund limit and adds the refund to the level, up to that
// limit. The limit has shrunk if the bucket has been refilled in the meantime.
func (b *bucket) settle(key transferKey, refund Cost) {
	i := slices.IndexFunc(b.refundLimits, func(r refundLimit) bool { return r.key == key })
	if i < 0 {
		return
	}
	amount := b.refundLimits[i].amount
	b.refundLimits = slices.Delete(b.refundLimits, i, i+1)
	b.refundLimitSum = b.refundLimitSum.Minus(amount)
	b.level = b.level.Plus(refund.Min(amount))
	b.clip()
}

// transferOut subtracts up to want for a transfer to another VM. The amount
// stays in transit until the given time.
func (b *bucket) transferOut(key transferKey, want Cost, until time.Time) Cost {
	given := want.Min(b.level)
	whole := given.roundDown()
	if given.Requests < exactFraction*b.cap.Requests {
		given.Requests = whole.Requests
	}
	if given.Tokens < exactFraction*b.cap.Tokens {
		given.Tokens = whole.Tokens
	}
	if given.IsZero() {
		return Cost{}
	}
	b.level = b.level.Minus(given)
	b.inTransit = append(b.inTransit, transit{key: key, amount: given, until: until})
	b.inTransitSum = b.inTransitSum.Plus(given)
	b.clip()
	return given
}

// acceptReturn ends a transfer that is still in transit and adds the amount
// that the other VM did not need to the level. The other VM may refund the
// rest later.
func (b *bucket) acceptReturn(key transferKey, amount Cost) {
	if sent, ok := b.endTransit(key); ok {
		b.level = b.level.Plus(amount.Min(sent))
		b.addRefundLimit(key, sent.Minus(amount))
	}
}

// acceptRefund adds the amount of a transfer that a request did not use to the
// level. The refund may arrive before the message that ends the transfer.
func (b *bucket) acceptRefund(key transferKey, amount Cost) {
	if sent, ok := b.endTransit(key); ok {
		b.addRefundLimit(key, sent)
	}
	b.settle(key, amount)
}

// endTransit ends a transfer that is in transit and returns its amount.
func (b *bucket) endTransit(key transferKey) (Cost, bool) {
	i := slices.IndexFunc(b.inTransit, func(t transit) bool { return t.key == key })
	if i < 0 {
		return Cost{}, false
	}
	sent := b.inTransit[i].amount
	b.inTransit = slices.Delete(b.inTransit, i, i+1)
	b.inTransitSum = b.inTransitSum.Minus(sent)
	return sent, true
}

// holdForGather moves up to want from the level into a gather.
func (b *bucket) holdForGather(want Cost) Cost {
	own := want.Min(b.level)
	b.level = b.level.Minus(own)
	b.held = b.held.Plus(own)
	b.clip()
	return own
}

// releaseHeld returns the amount held by a gather to the level. The bucket is
// advanced first, so that the freed room is not refilled for the past.
func (b *bucket) releaseHeld(own Cost, now time.Time) {
	b.advance(now)
	b.held = b.held.Minus(own)
	b.level = b.level.Plus(own)
	b.clip()
}

// spendHeld spends the amount held by a gather and permits its refund. The
// bucket is advanced first, so that the freed room is not refilled for the
// past.
func (b *bucket) spendHeld(id uint64, own Cost, now time.Time) {
	b.advance(now)
	b.held = b.held.Minus(own)
	b.addRefundLimit(transferKey{id: id}, own)
}

// deposit adds tokens received from another VM to the level and returns the
// part for which there is no room.
func (b *bucket) deposit(extra Cost) Cost {
	kept := extra.Min(b.room().Minus(b.level))
	b.level = b.level.Plus(kept)
	b.clip()
	return extra.Minus(kept)
}

// resize changes the share of the rate and burst from now on.
func (b *bucket) resize(share float64, rate, burst Cost, now time.Time) {
	b.advance(now)
	b.rate = rate.Scale(share)
	b.cap = burst.Scale(share)
	b.clip()
}

// isFull reports whether the bucket is full and has nothing held, in transit or
// refundable, so that it equals a new one.
func (b *bucket) isFull() bool {
	return len(b.refundLimits) == 0 && len(b.inTransit) == 0 && b.held.IsZero() && b.level.Covers(b.cap)
}
