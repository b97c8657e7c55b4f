// Package claim ensures that requests with an idempotency key run at most once
// across all VMs: a claim is written to the object store before the request is
// sent, and the response after it.
//
// Claims are stored in shards, one object each. A VM batches the claims of a
// shard and writes them in one conditional update, so that the number of writes
// grows with the number of active shards and not with the number of requests.
package claim

import "time"

// A Request identifies a request that must run at most once. Digest is the hash
// of the request, which detects the use of one key for two different requests.
type Request struct {
	Customer string
	Route    string
	Key      string
	Digest   string
}

// A Response is the stored response of a request that ran. BodyDropped reports
// whether the body was too large or too old to be kept: Status is still set, Body
// is empty.
type Response struct {
	Status      int
	ContentType string
	Body        []byte
	BodyDropped bool
}

// A Result is the outcome of a Begin: Granted, Repeated, Pending, Mismatch or
// Unavailable.
type Result interface{ result() }

// Granted gives the exclusive right to run the request. The Ticket must be passed
// to exactly one of Finish and Abandon.
type Granted struct{ Ticket Ticket }

// A Ticket identifies a granted claim.
type Ticket struct {
	Request Request
	ID      string
	// version is a version of the shard that contains the claim.
	version int64
}

// Repeated reports that the request has already run, with its stored response.
type Repeated struct{ Response Response }

// Pending reports that another attempt holds the claim: the request is running or
// may have run. Since is when the claim was written, by the writer's clock.
type Pending struct{ Since time.Time }

// Mismatch reports that the idempotency key was used with another request.
type Mismatch struct{}

// Unavailable reports that the claim could not be obtained, so this attempt must
// not run the request.
type Unavailable struct{ Err error }

func (Granted) result()     {}
func (Repeated) result()    {}
func (Pending) result()     {}
func (Mismatch) result()    {}
func (Unavailable) result() {}
