package store

import "context"

// Values of VMRecord.State.
const (
	VMLive    = "live"
	VMLeaving = "leaving"
)

// A VMRecord is one VM as the platform lists it. ID names one machine and is
// never reused; Address (an IP number) may be reused by a later machine.
type VMRecord struct {
	ID         string `json:"id"`
	Address    string `json:"address"`
	DataCentre string `json:"dataCentre"`
	State      string `json:"state"`
}

// A Directory is the platform's list of VMs. It lags: a VM that is gone may be
// listed, and a new VM may be missing. A VM that was listed and is no longer
// has provably ended: its machine does not run any more.
type Directory interface {
	VMs(ctx context.Context) ([]VMRecord, error)
}
