package prefix

import "time"

const (
	// maxPrefillKeys bounds the number of announced pieces in an Index.
	maxPrefillKeys = 1 << 14
	// prefillGrace is how long an announced prefill is kept after it should be
	// done, since the engine's events show its pieces only later.
	prefillGrace = time.Second
	// maxPrefillTime bounds how long an announced prefill is kept.
	maxPrefillTime = 10 * time.Second
)

// An Announcement informs other VMs of a prefill that a VM has just sent to an
// engine, before the engine's events show it. Keys are the pieces that it
// computes, and ReadyIn is the time until it should be done.
type Announcement struct {
	Engine      string        `cbor:"1,keyasint"`
	Incarnation string        `cbor:"2,keyasint"`
	Weights     string        `cbor:"3,keyasint"`
	Keys        []uint64      `cbor:"4,keyasint"`
	ReadyIn     time.Duration `cbor:"5,keyasint"`
}

// AnnouncementReply acknowledges an Announcement.
type AnnouncementReply struct{}

// A prefill is an announced prefill of another VM.
type prefill struct {
	engine      string
	incarnation string
	weights     string
	expiresAt   time.Time
}

// Announce records a prefill announced by another VM.
func (x *Index) Announce(a Announcement, now time.Time) {
	if len(x.prefills)+len(a.Keys) > maxPrefillKeys {
		x.dropExpiredPrefills(now)
	}
	p := &prefill{
		engine: a.Engine, incarnation: a.Incarnation, weights: a.Weights,
		expiresAt: now.Add(min(a.ReadyIn+prefillGrace, maxPrefillTime)),
	}
	for _, k := range a.Keys {
		if len(x.prefills) >= maxPrefillKeys {
			return
		}
		x.prefills[Key(k)] = p
	}
}

// dropExpiredPrefills drops the announced prefills that have expired.
func (x *Index) dropExpiredPrefills(now time.Time) {
	for k, p := range x.prefills {
		if now.After(p.expiresAt) {
			delete(x.prefills, k)
		}
	}
}

// addInFlight sets InFlight for the engine that computes the longest prefix of
// keys for another VM. The engine's match is one of dst[first:], or is appended if
// the engine has none.
func (x *Index) addInFlight(dst []Match, first int, keys []Key, now time.Time) []Match {
	if len(x.prefills) == 0 {
		return dst
	}
	for depth := len(keys); depth > 0; depth-- {
		p, ok := x.prefills[keys[depth-1]]
		if !ok || now.After(p.expiresAt) {
			continue
		}
		for i := first; i < len(dst); i++ {
			if dst[i].Engine == p.engine && dst[i].Incarnation == p.incarnation {
				dst[i].InFlight = depth
				return dst
			}
		}
		return append(dst, Match{
			Engine: p.engine, Incarnation: p.incarnation, Weights: p.weights, InFlight: depth, Confidence: 1,
		})
	}
	return dst
}
