// Package claim runs requests with an idempotency key at most once over all
// VMs: a claim is written to the object API before the request is sent, and
// the answer after it.
//
// Claims live in shards, one object each. A VM gathers the claims of a shard
// and writes them in one conditional update, so that the writes grow with the
// shards in use and not with the requests.
package claim

import "time"

// A Name identifies one piece of once-only work. Digest is the hash of the
// request, so that a key is not used for two different requests.
type Request struct {
	Customer string
	Route    string
	Key      string
	Digest   string
}

// An Answer is the remembered answer of a request that ran. Dropped tells that
// the answer was too large or too old to be kept: Status and ContentType stand,
// Body is empty.
type Response struct {
	Status      int
	ContentType string
	Body        []byte
	BodyDropped bool
}

// A Result is the outcome of a Begin: Granted, Repeated, Pending, Mismatch or
// Unavailable.
type Result interface{ result() }

// Granted gives the sole right to run the request. Exactly one of the methods
// of Ticket ends it.
type Granted struct{ Ticket Ticket }

// A Ticket names a granted claim.
type Ticket struct {
	Request Request
	ID      string
	// version is that of the shard when the claim was in it.
	version int64
}

// Repeated reports that the request ran before, with its answer.
type Repeated struct{ Response Response }

// Pending reports that another try holds the claim: it runs, or may have run.
// Since is when the claim was written by the writer's clock.
type Pending struct{ Since time.Time }

// Mismatch reports that the idempotency key was used with another request.
type Mismatch struct{}

// Unavailable reports that this try holds no claim, so that it did not run the
// request.
type Unavailable struct{ Err error }

func (Granted) result()     {}
func (Repeated) result()    {}
func (Pending) result()     {}
func (Mismatch) result()    {}
func (Unavailable) result() {}
