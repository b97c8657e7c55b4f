// Package entry answers which VMs a caller should use for a route, a customer
// and a prefix.
package entry

import "github.com/baobabdyke/baobabdyke/config"

// A Request asks for VMs. Customer is empty on open routes. Family is 0 when
// the caller gives no prefix. Rate is the customer's rate. DataCentre is where
// the caller is, and may be empty.
type Request struct {
	Customer   string
	Route      string
	Family     uint64
	Rate       config.Rate
	DataCentre string
}

// An Answer is an ordered list of VMs for a caller. The caller keeps it for TTL
// seconds.
type Response struct {
	VMs []Address `json:"vms"`
	TTL int       `json:"ttl"`
}

// An Address is one VM in an Answer.
type Address struct {
	Address    string `json:"address"`
	DataCentre string `json:"datacentre"`
}
