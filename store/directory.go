package store

import "context"

// Values of VMRecord.State.
const (
	VMLive    = "live"
	VMLeaving = "leaving"
)

// A VMRecord is an entry of the platform's list. ID identifies one VM and is
// never reused; Address (an IP address) may be reused by a later VM.
type VMRecord struct {
	ID         string `json:"id"`
	Address    string `json:"address"`
	DataCentre string `json:"dataCentre"`
	State      string `json:"state"`
}

// A Directory is the platform's list of VMs. The list may be out of date: it may
// contain a VM that has ended, and a new VM may be missing. A VM that was listed
// and no longer is has provably ended and does not run any more.
type Directory interface {
	VMs(ctx context.Context) ([]VMRecord, error)
}
