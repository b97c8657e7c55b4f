// Package shares decides which VMs share the customers' limits, and those of targets, and
// which part of them each may use alone.
//
// Every VM keeps a record in the object store and renews it. The record states the largest part
// of each limit that its VM uses while others are silent. A VM uses no more than its record
// states, and no more than the records of the others leave, by a list that was read after the
// record was written; so all parts together never exceed the whole. That a VM is silent proves
// nothing: its part is free when its record was not renewed for longer than the VM itself may
// rely on it, and another VM has removed it. A VM whose record was removed joins again like a
// new one.
//
// VMs that hear all others that they know may use the whole limit, with or without the store. So a
// VM that one of them does not know uses nothing, unless it can prove that this one is not in touch
// with all that it knows.
//
// A planned stop leaves the record, with a part of 0, for the next process of the same machine. What
// a lost VM knew of the machine stays true.
package shares

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/baobabdyke/baobabdyke/internal/fleet/roster"
	"github.com/baobabdyke/baobabdyke/store"
)

// Kind is the kind of the records in the object store.
const Kind = "shares"

const (
	// Lease is how long a VM may rely on its record after it was renewed, in a small fleet. It
	// covers one renewal that is lost at the longest interval.
	Lease = 30 * time.Second
	// JoinLease is the lease of a VM that has just joined, and how long it may divide the limits
	// with others without the store. It covers two renewals that are lost at joinInterval. A VM
	// that is lost while it joins may know few of the others, which wait no longer than this.
	JoinLease = 4 * time.Second
	// leaseMargin is how much longer than the lease a record must be unchanged before it is
	// removed, beside leaseDrift of the lease for clocks that run at different speeds.
	leaseMargin = time.Second
	leaseDrift  = 0.02
	// ContactTimeout is how long VMs that are all in touch with each other may divide the
	// limits without the store. It is shorter than unawareTimeout, after which a VM that has
	// started meanwhile, and of which they do not know, may remove their records.
	ContactTimeout = 9 * time.Minute
	unawareTimeout = 10 * time.Minute
	// restartTimeout is how long the record of a VM that was stopped as planned is left for the
	// next process of its machine. One that starts later joins like a new VM.
	restartTimeout = 5 * time.Second
	// quietTimeout is how long a VM must have been silent to count as cut off from those that
	// are heard: both may have been cut off together, and be noticed one after the other.
	quietTimeout = 3 * time.Second
	// interval is the mean time between two renewals.
	interval       = 8 * time.Second
	silentInterval = 2500 * time.Millisecond
	joinInterval   = time.Second
	maxJoins       = 6
	// whole is the sum of all parts. Integers add up to it in any order.
	whole = 1_000_000
)

// A Record is what a VM states in the object store.
type Record struct {
	VM string `json:"vm"`
	// Since is the version of the VM's first record, or 0 in that one. It stays the same for the
	// next processes of the VM's machine until the record is removed.
	Since int64 `json:"since,omitempty"`
	// Seen is the version of the list of records that the VM had read when it wrote this one.
	// It knows of all records that are not newer.
	Seen int64 `json:"seen"`
	// LeaseMS is how long the VM relies on the record, in milliseconds.
	LeaseMS int64 `json:"lease"`
	// Part is the largest part of each limit that the VM uses while others are silent, in
	// millionths. VMs that divide the limits equally, of earlier builds, do not state it.
	Part *int64 `json:"part,omitempty"`
	// Others is the number of other VMs that this one knew. Unless it hears all of them it uses its
	// part alone, and only for its lease.
	Others int `json:"others,omitempty"`
	// Joining reports whether the VM has just joined. Then its lease bounds how long it divides the
	// limits with others without the store, too.
	Joining bool `json:"joining,omitempty"`
	// Stopped reports whether the VM was stopped as planned and its next process has not joined.
	Stopped bool `json:"stopped,omitempty"`

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

// knows reports whether the VM knew of one whose first record has the given version.
func (r *Record) knows(since int64) bool { return since <= r.Seen }

// lease returns how long the VM relies on the record.
func (r *Record) lease() time.Duration { return time.Duration(r.LeaseMS) * time.Millisecond }

// endsAfter returns how long the record must be unchanged for its lease to be over by any clock.
func (r *Record) endsAfter() time.Duration {
	return r.lease() + time.Duration(leaseDrift*float64(r.lease())) + leaseMargin
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
	case r.Part != nil && (*r.Part < 0 || *r.Part > whole) || r.Others < 0:
		return r, errors.New("record with a part or a number of VMs out of range")
	}
	return r, nil
}

// Members are the VMs that share the limits as one VM knows them.
type Members struct {
	// VMs are the other VMs that may use a part.
	VMs []string
	// Stopped are the VMs that were stopped as planned, and whose machines may start again.
	Stopped []string
	// Parts are the largest parts that the other VMs use while others are silent, where known.
	Parts map[string]float64
	// Part is the part of each limit that this VM may use while others are silent; 0 stands for
	// an equal part.
	Part float64
	// ShareUntil is until when this VM may use its part while others are silent.
	ShareUntil time.Time
	// Unknown reports whether one of the others does not know of this VM, so that what is
	// divided by the names of the VMs is not this VM's to use.
	Unknown bool
	// ContactUntil is until when this VM may divide the limits with the others while none is
	// silent.
	ContactUntil time.Time
	// Held are the records of VMs that have been silent for quietTimeout, whose parts are not free yet.
	Held []Held
}

// Held is the record of a silent VM, whose part is not free.
type Held struct {
	VM   string
	Part float64
	// Until is when the part will be free if the VM stays silent.
	Until time.Time
	// Blocks reports whether the VM may use the whole limit with others, so that this VM, which
	// it does not know, may use nothing.
	Blocks bool
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
	// silentSince is since when the VMs with a record are silent.
	silentSince map[string]time.Time
	// seen is the version of the last list, and own this VM's record there; nil if there was
	// none.
	seen int64
	own  *Record
	// next is the record to write now, and named the VMs that the last written one counts. These
	// must be heard until a record is written without them.
	next  Record
	named []string
	// part is the part that this VM may use, and ceiling the least one that it has stated since a
	// write is known to have succeeded.
	part, ceiling int64
	// blocked and unknown report whether a VM that does not know this one may use the whole
	// limit, and whether there is one at all.
	blocked, unknown bool
	held             []Held
	// retainUntil is until when missing records count as present, since the store was
	// restored from a copy that may lack them.
	retainUntil time.Time
	// shareUntil is until when this VM may rely on its last record, and contact when the
	// last list was read.
	shareUntil time.Time
	contact    time.Time
	// joins counts the first intervals. absentAt is when the last list without a record of this
	// VM was read, and joining reports whether the record of this VM may still be that of one
	// that has just joined.
	joins    int
	absentAt time.Time
	joining  bool
	// raised reports whether the record to write states a larger part than this VM may use
	// before the records have been read again.
	raised bool
}

// NewRegistry returns the Registry of a VM that starts now.
func NewRegistry(vm string, now time.Time) *Registry {
	return &Registry{
		vm: vm, lease: Lease, records: map[string]Record{}, observed: map[string]observation{},
		silentSince: map[string]time.Time{}, contact: now, ceiling: whole,
	}
}

// SetLease changes how long this VM relies on records that it writes from now on.
func (r *Registry) SetLease(lease time.Duration) { r.lease = min(lease, unawareTimeout) }

// joinLease returns the lease of a VM that has just joined.
func (r *Registry) joinLease() time.Duration {
	return time.Duration(float64(JoinLease) * float64(r.lease) / float64(Lease))
}

// Apply applies all records in the store, as of a version and read at a time. It returns
// those of VMs that are certainly not using their part, which may be removed if they are
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
	if now.Before(r.retainUntil) {
		for vm, rec := range r.records {
			if l, ok := listed[vm]; !ok || l.Stopped && !rec.Stopped {
				listed[vm] = rec
			} else if l.Part != nil && rec.Part != nil && *l.Part < *rec.Part {
				l.Part = rec.Part
				listed[vm] = l
			}
		}
	}
	r.records = listed
	switch {
	case r.own == nil:
		// The record was removed, or was never written.
		r.shareUntil = time.Time{}
		r.joining, r.joins, r.absentAt = true, 0, now
	case r.own.Joining:
		r.joining = true
	}
	r.observe(now, alive)
	r.divide(now, alive)
	return r.removable(now, alive)
}

// observe takes note of since when records are unchanged and VMs silent.
func (r *Registry) observe(now time.Time, alive func(vm string) bool) {
	for vm := range r.observed {
		if _, ok := r.records[vm]; !ok {
			delete(r.observed, vm)
			delete(r.silentSince, vm)
		}
	}
	for vm, rec := range r.records {
		if o, ok := r.observed[vm]; !ok || o.version != rec.version {
			r.observed[vm] = observation{rec.version, now}
		}
		switch _, silent := r.silentSince[vm]; {
		case alive(vm):
			delete(r.silentSince, vm)
		case !silent:
			r.silentSince[vm] = now
		}
	}
}

// divide works out which part this VM may use, and which records hold back the rest.
func (r *Registry) divide(now time.Time, alive func(vm string) bool) {
	r.part, r.blocked, r.unknown, r.held = r.free(), false, false, nil
	if r.own == nil || r.own.Part == nil {
		r.part = 0
	} else {
		r.part = min(r.part, *r.own.Part, r.ceiling)
	}
	for vm, rec := range r.records {
		if rec.Stopped {
			continue
		}
		blocks := false
		if r.own == nil || !rec.knows(r.own.since()) {
			r.unknown = true
			blocks = r.mayBeInTouch(&rec, now, alive)
			r.blocked = r.blocked || blocks
		}
		if r.isQuiet(vm, now) {
			r.held = append(r.held, Held{VM: vm, Part: fraction(r.partOf(&rec)), Until: r.observed[vm].at.Add(r.removableAfter(&rec, now, alive)), Blocks: blocks})
		}
	}
	slices.SortFunc(r.held, func(a, b Held) int { return strings.Compare(a.VM, b.VM) })
}

// free returns the equal part of this VM, or what the others leave if that is less.
func (r *Registry) free() int64 {
	left := int64(whole)
	for _, rec := range r.records {
		left -= r.partOf(&rec)
	}
	return max(min(left, whole/int64(len(r.records)+1)), 0)
}

// fraction returns a part as a fraction of the whole.
func fraction(part int64) float64 { return float64(part) / whole }

// partOf returns the largest part that another VM uses while others are silent.
func (r *Registry) partOf(rec *Record) int64 {
	switch {
	case rec.Stopped:
		return 0
	case rec.Part != nil:
		return *rec.Part
	}
	// It divides the limits equally among the VMs that it knows, at least.
	known := int64(1)
	for vm, other := range r.records {
		if vm != rec.VM && rec.knows(other.since()) {
			known++
		}
	}
	if r.own != nil && rec.knows(r.own.since()) {
		known++
	}
	return whole / known
}

// mayBeInTouch reports whether another VM may be in touch with all VMs that it knows, and use
// the whole limit with them. A silent one is not if one of them has ended or is heard here.
func (r *Registry) mayBeInTouch(rec *Record, now time.Time, alive func(vm string) bool) bool {
	if rec.Part == nil || !r.isQuiet(rec.VM, now) {
		return true
	}
	partners := 0
	for vm, other := range r.records {
		if vm != rec.VM && rec.knows(other.since()) && !other.Stopped && !alive(vm) {
			partners++
		}
	}
	return partners >= rec.Others
}

// isQuiet reports whether a VM has been silent for quietTimeout.
func (r *Registry) isQuiet(vm string, now time.Time) bool {
	since, silent := r.silentSince[vm]
	return silent && now.Sub(since) >= quietTimeout
}

// removableAfter returns how long a record must be unchanged before this VM may remove it.
func (r *Registry) removableAfter(rec *Record, now time.Time, alive func(vm string) bool) time.Duration {
	switch {
	case rec.Stopped:
		return restartTimeout
	case rec.Joining, r.own != nil && rec.knows(r.own.since()), !r.mayBeInTouch(rec, now, alive):
		return rec.endsAfter()
	}
	return unawareTimeout
}

// removable returns the records that this VM may remove.
func (r *Registry) removable(now time.Time, alive func(vm string) bool) (out []Record) {
	if r.own == nil {
		return nil
	}
	for vm, rec := range r.records {
		if !alive(vm) && now.Sub(r.observed[vm].at) > r.removableAfter(&rec, now, alive) {
			out = append(out, rec)
		}
	}
	slices.SortFunc(out, func(a, b Record) int { return strings.Compare(a.VM, b.VM) })
	return out
}

// Next returns the record to write now, and the version that it replaces.
func (r *Registry) Next() (rec Record, replaces int64) {
	part := int64(0)
	rec = Record{VM: r.vm, Seen: r.seen, LeaseMS: r.lease.Milliseconds(), Part: &part, Others: len(r.records)}
	if r.joining && r.joins < maxJoins {
		rec.Joining, rec.LeaseMS = true, r.joinLease().Milliseconds()
	}
	if r.own != nil {
		// The first record states nothing, as others that join at the same time are not known.
		part = r.free()
		rec.Since, replaces = r.own.since(), r.own.version
	}
	r.raised = part > r.part
	r.ceiling = min(r.ceiling, part)
	r.next = rec
	return rec, replaces
}

// Renewed records that the record of Next was written that was sent at a time.
func (r *Registry) Renewed(sent time.Time) {
	r.shareUntil, r.joining = sent.Add(r.next.lease()), r.next.Joining
	r.ceiling = *r.next.Part
	r.named = r.named[:0]
	for vm := range r.records {
		r.named = append(r.named, vm)
	}
}

// Stop returns the record to leave at a planned stop, where the last one that was written has the
// given version.
func (r *Registry) Stop(written int64) Record {
	rec := Record{VM: r.vm, Since: written, Seen: r.seen, Part: new(int64), Others: len(r.records), Stopped: true}
	if r.own != nil {
		rec.Since = r.own.since()
	}
	return rec
}

// Interval returns the mean time until the records are read again. It is 0 after the first
// record, as this VM has to know of those that were written at the same time, and after one that
// states a larger part if this VM has none or another one is silent; in a large fleet, where limits go
// by totals, that waits for the next read. It is short for the first maxJoins ones, as VMs
// often start together. It is also short while a VM is silent, whose part others can use once they
// have seen its record unchanged for long enough.
func (r *Registry) Interval(alive func(vm string) bool) time.Duration {
	silent := false
	for vm, rec := range r.records {
		silent = silent || !rec.Stopped && !alive(vm)
	}
	raised := r.raised
	r.raised = false
	switch {
	case r.own == nil, raised && (silent || r.part == 0) && len(r.records) < roster.SmallFleetSize:
		return 0
	case r.joins < maxJoins:
		r.joins++
		return joinInterval
	case silent:
		return silentInterval
	}
	return interval
}

// Members returns the VMs that share the limits.
func (r *Registry) Members() Members {
	m := Members{
		ContactUntil: r.contact.Add(ContactTimeout), Part: fraction(r.part), Parts: map[string]float64{}, Unknown: r.unknown, Held: r.held,
	}
	if r.joining {
		m.ContactUntil = r.absentAt.Add(r.joinLease())
		if r.shareUntil.After(m.ContactUntil) {
			m.ContactUntil = r.shareUntil
		}
	}
	for vm, rec := range r.records {
		if rec.Stopped {
			m.Stopped = append(m.Stopped, vm)
			continue
		}
		m.VMs, m.Parts[vm] = append(m.VMs, vm), fraction(r.partOf(&rec))
	}
	for _, vm := range r.named {
		if _, ok := r.records[vm]; !ok {
			m.VMs, m.Parts[vm] = append(m.VMs, vm), 0
		}
	}
	slices.Sort(m.VMs)
	slices.Sort(m.Stopped)
	if r.part > 0 && !r.blocked {
		m.ShareUntil = r.shareUntil
	}
	return m
}
