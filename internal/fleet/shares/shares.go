// Package shares decides which VMs share the customers' limits, and those of targets.
//
// Every VM keeps a record in the object store and renews it. A VM may use its share of the
// limits alone, without the others, only while its record is renewed, and only if all other
// VMs with a record know of it. So the VMs that know least still divide the limits among
// all that use a share. That a VM is silent proves nothing: its share is free again when its record
// was not renewed for longer than the VM itself may rely on it, and another VM has removed
// it. A VM whose record was removed joins again like a new one.
package shares

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/baobabdyke/baobabdyke/store"
)

// Kind is the kind of the records in the object store.
const Kind = "shares"

const (
	// Lease is how long a VM may rely on its record after it was renewed, in a small fleet. It
	// covers one renewal that is lost at the longest interval.
	Lease = 30 * time.Second
	// leaseMargin is how much longer than the lease a record must be unchanged before it is
	// removed, beside leaseDrift of the lease for clocks that run at different speeds.
	leaseMargin = time.Second
	leaseDrift  = 0.02
	// ContactTimeout is how long VMs that are all in touch with each other may divide the
	// limits without the store. It is shorter than unawareTimeout, after which a VM that has
	// started meanwhile, and of which they do not know, may remove their records.
	ContactTimeout = 9 * time.Minute
	unawareTimeout = 10 * time.Minute
	// interval is the mean time between two renewals.
	interval       = 8 * time.Second
	silentInterval = 2500 * time.Millisecond
	joinInterval   = time.Second
	maxJoins       = 6
)

// A Record is what a VM states in the object store.
type Record struct {
	VM string `json:"vm"`
	// Since is the version of the VM's first record, or 0 in that one.
	Since int64 `json:"since,omitempty"`
	// Seen is the version of the list of records that the VM had read when it wrote this one.
	// It knows of all records that are not newer.
	Seen int64 `json:"seen"`
	// LeaseMS is how long the VM relies on the record, in milliseconds.
	LeaseMS int64 `json:"lease"`

	// version is the version of the record in the store.
	version int64
}

// since returns the version of the VM's first record.
func (r *Record) since() int64 {
	if r.Since == 0 {
		return r.version
	}
	return r.Since
}

// At returns the record as it is in the store at a version.
func (r Record) At(version int64) Record {
	r.version = version
	return r
}

// removableAfter returns how long the record must be unchanged before a VM may remove it
// whose first record has the given version.
func (r *Record) removableAfter(remover int64) time.Duration {
	if r.Seen < remover {
		return unawareTimeout
	}
	lease := time.Duration(r.LeaseMS) * time.Millisecond
	return lease + time.Duration(leaseDrift*float64(lease)) + leaseMargin
}

// decode decodes the record in an object.
func decode(o store.Object) (Record, error) {
	r := Record{version: o.Version}
	if err := json.Unmarshal(o.Value, &r); err != nil {
		return r, err
	}
	switch {
	case Kind+"/"+r.VM != o.Key:
		return r, fmt.Errorf("record of VM %q under the name of another one", r.VM)
	case r.VM == "" || r.LeaseMS < 0 || r.LeaseMS > unawareTimeout.Milliseconds():
		return r, errors.New("record without a VM or with a lease out of range")
	}
	return r, nil
}

// Members are the VMs that share the limits as one VM knows them.
type Members struct {
	// VMs are the other VMs with a record.
	VMs []string
	// ShareUntil is until when this VM may use its share while others are silent.
	ShareUntil time.Time
	// ContactUntil is until when this VM may divide the limits with the others while none is
	// silent.
	ContactUntil time.Time
}

// An observation is since when a record has had a version, as this VM knows.
type observation struct {
	version int64
	at      time.Time
}

// A Registry holds the records as one VM knows them. It is not safe for concurrent use. Its
// times must come from a clock that includes the time for which the system is suspended.
type Registry struct {
	vm    string
	lease time.Duration

	records  map[string]Record
	observed map[string]observation
	// seen is the version of the last list, and own this VM's record there; nil if there was
	// none.
	seen int64
	own  *Record
	// retainUntil is until when missing records count as present, since the store was
	// restored from a copy that may lack them.
	retainUntil time.Time
	// shareUntil is until when this VM may rely on its last record, and contact when the
	// last list was read.
	shareUntil time.Time
	contact    time.Time
	// joins counts the first intervals.
	joins int
}

// NewRegistry returns the Registry of a VM that starts now.
func NewRegistry(vm string, now time.Time) *Registry {
	return &Registry{vm: vm, lease: Lease, records: map[string]Record{}, observed: map[string]observation{}, contact: now}
}

// SetLease changes how long this VM relies on records that it writes from now on.
func (r *Registry) SetLease(lease time.Duration) { r.lease = min(lease, unawareTimeout) }

// Apply applies all records in the store, as of a version and read at a time. It returns
// those of VMs that are certainly not using their share, which may be removed if they are
// unchanged; alive reports whether another VM was heard from lately.
func (r *Registry) Apply(list []Record, at int64, now time.Time, alive func(vm string) bool) (removable []Record) {
	if r.seen != 0 && store.Era(at) > store.Era(r.seen) {
		r.retainUntil = now.Add(r.lease)
	}
	r.seen, r.contact, r.own = at, now, nil
	listed := map[string]Record{}
	for _, rec := range list {
		if rec.VM == r.vm {
			r.own = &rec
			continue
		}
		listed[rec.VM] = rec
	}
	for vm, rec := range r.records {
		if _, ok := listed[vm]; !ok && now.Before(r.retainUntil) {
			listed[vm] = rec
		}
	}
	r.records = listed
	if r.own == nil {
		// The record was removed, or was never written.
		r.shareUntil = time.Time{}
	}
	return r.removable(now, alive)
}

// removable returns the records that this VM may remove.
func (r *Registry) removable(now time.Time, alive func(vm string) bool) (out []Record) {
	for vm := range r.observed {
		if _, ok := r.records[vm]; !ok {
			delete(r.observed, vm)
		}
	}
	for vm, rec := range r.records {
		o, ok := r.observed[vm]
		if !ok || o.version != rec.version {
			r.observed[vm] = observation{rec.version, now}
			continue
		}
		if r.own != nil && !alive(vm) && now.Sub(o.at) > rec.removableAfter(r.own.since()) {
			out = append(out, rec)
		}
	}
	return out
}

// Next returns the record to write now, and the version that it replaces.
func (r *Registry) Next() (rec Record, replaces int64) {
	rec = Record{VM: r.vm, Seen: r.seen, LeaseMS: r.lease.Milliseconds()}
	if r.own != nil {
		rec.Since, replaces = r.own.since(), r.own.version
	}
	return rec, replaces
}

// Renewed records that a record was written that was sent at a time.
func (r *Registry) Renewed(sent time.Time) { r.shareUntil = sent.Add(r.lease) }

// confirmed reports whether all other VMs know of this one.
func (r *Registry) confirmed() bool {
	if r.own == nil {
		return false
	}
	for _, rec := range r.records {
		if rec.Seen < r.own.since() {
			return false
		}
	}
	return true
}

// Interval returns the mean time until the records are read again. It is 0 after the first
// record, as this VM has to know of those that were written at the same time, and short for the
// first maxJoins ones, as VMs often start together. It is also short while a VM is silent, whose
// share others can use once they have seen its record unchanged for long enough.
func (r *Registry) Interval(alive func(vm string) bool) time.Duration {
	if r.own == nil {
		return 0
	}
	if r.joins < maxJoins {
		r.joins++
		return joinInterval
	}
	for vm := range r.records {
		if !alive(vm) {
			return silentInterval
		}
	}
	return interval
}

// Members returns the VMs that share the limits.
func (r *Registry) Members() Members {
	m := Members{ContactUntil: r.contact.Add(ContactTimeout)}
	for vm := range r.records {
		m.VMs = append(m.VMs, vm)
	}
	slices.Sort(m.VMs)
	if r.confirmed() {
		m.ShareUntil = r.shareUntil
	}
	return m
}
