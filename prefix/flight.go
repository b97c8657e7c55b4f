package prefix

import "time"

const (
	// maxPrefillKeys bounds the number of announced pieces in an Index.
	flightKeys = 1 << 14
	// prefillGrace is how long an announced prefill is kept after it should be
	// done, since the engine's events show its pieces only later.
	flightRest = time.Second
	// maxPrefillTime bounds how long an announced prefill is kept.
	flightLimit = 10 * time.Second
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
type flight struct {
	engine      string
	incarnation string
	weights     string
	until       time.Time
}

// Announce records a prefill announced by another VM.
func (x *Index) Announce(a Announcement, now time.Time) {
	if len(x.flights)+len(a.Keys) > flightKeys {
		x.dropFlights(now)
	}
	f := &flight{
		engine: a.Engine, incarnation: a.Incarnation, weights: a.Weights,
		until: now.Add(min(a.ReadyIn+flightRest, flightLimit)),
	}
	for _, k := range a.Keys {
		if len(x.flights) >= flightKeys {
			return
		}
		x.flights[Key(k)] = f
	}
}

// dropExpiredPrefills drops the announced prefills that have expired.
func (x *Index) dropFlights(now time.Time) {
	for k, f := range x.flights {
		if now.After(f.until) {
			delete(x.flights, k)
		}
	}
}

// addInFlight sets InFlight for the engine that computes the longest prefix of
// keys for another VM. The engine's match is one of dst[first:], or is appended if
// the engine has none.
func (x *Index) inFlight(dst []Match, first int, keys []Key, now time.Time) []Match {
	if len(x.flights) == 0 {
		return dst
	}
	for depth := len(keys); depth > 0; depth-- {
		f, ok := x.flights[keys[depth-1]]
		if !ok || now.After(f.until) {
			continue
		}
		for i := first; i < len(dst); i++ {
			if dst[i].Engine == f.engine && dst[i].Incarnation == f.incarnation {
				dst[i].InFlight = depth
				return dst
			}
		}
		return append(dst, Match{
			Engine: f.engine, Incarnation: f.incarnation, Weights: f.weights, InFlight: depth, Confidence: 1,
		})
	}
	return dst
}
