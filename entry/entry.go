// Package entry answers which VMs a caller should use for a route, a customer
// and a prefix.
package entry

// An Answer is an ordered list of VMs for a caller. The caller keeps it for TTL
// seconds.
type Answer struct {
	VMs []Address `json:"vms"`
	TTL int       `json:"ttl"`
}

// An Address is one VM in an Answer.
type Address struct {
	Address    string `json:"address"`
	DataCentre string `json:"datacentre"`
}
