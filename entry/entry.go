// Package entry selects the VMs to which a caller should send its requests for a
// route, a customer and a prefix.
package entry

import "github.com/baobabdyke/baobabdyke/config"

// A Request asks for the VMs that a caller should use. Customer is empty on
// open routes. Family is the key of the first piece of the prompt, which all
// prompts of a prefix family share, or 0 if the caller gives none. Rate is the
// customer's rate limit. DataCentre is the location of the caller and may be
// empty.
type Request struct {
	Customer   string
	Route      string
	Family     uint64
	Rate       config.Rate
	DataCentre string
}

// A Response is a list of VMs in order of preference. The caller may cache it for
// TTL seconds.
type Response struct {
	VMs []Address `json:"vms"`
	TTL int       `json:"ttl"`
}

// An Address is one VM in a Response.
type Address struct {
	Address    string `json:"address"`
	DataCentre string `json:"datacentre"`
}
