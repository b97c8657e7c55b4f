package prefix

import "time"

const (
	// flightKeys bounds the pieces in flight that are remembered.
	flightKeys = 1 << 14
	// flightRest is how long a prefill is remembered after it should be done:
	// until the engine's events show it.
	flightRest = time.Second
	// flightLimit bounds the time that a prefill is remembered at all.
	flightLimit = 10 * time.Second
)

// An Announcement tells of a prefill that a VM has sent to an engine and that
// other VMs cannot see yet. Keys are the pieces that it computes, Ready the time
// until it should be done.
type Announcement struct {
	Engine      string        `cbor:"1,keyasint"`
	Incarnation string        `cbor:"2,keyasint"`
	Weights     string        `cbor:"3,keyasint"`
	Keys        []uint64      `cbor:"4,keyasint"`
	ReadyIn     time.Duration `cbor:"5,keyasint"`
}

// AnnouncementReply acknowledges an Announcement.
type AnnouncementReply struct{}

// A flight is one prefill in flight.
type flight struct {
	engine      string
	incarnation string
	weights     string
	until       time.Time
}

// Announce records a prefill that another VM has sent.
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

// dropFlights forgets the prefills whose time is over.
func (x *Index) dropFlights(now time.Time) {
	for k, f := range x.flights {
		if now.After(f.until) {
			delete(x.flights, k)
		}
	}
}

// inFlight adds to the holdings from first on the engine that computes the
// longest part of keys for another VM.
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
