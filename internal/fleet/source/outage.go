package source

import "time"

// minOutage is the shortest outage of the store in which entries of targets may expire.
// They expire after three intervals of about a second without a write.
const minOutage = time.Second

// endOutage records that the store has responded at a time. The failed reads before it are
// an outage if they lasted so long that entries may have expired. One that is shorter, as when a
// single call failed, does not begin a new grace period for missing entries, which would
// otherwise never end if it recurs. The caller holds mu.
func (s *Source) endOutage(t *table, at time.Time) {
	if !t.failed || !at.After(t.failedAt) {
		return
	}
	t.failed = false
	// Meanwhile the store may have responded to another VM.
	since := t.silentSince
	if t.confirmed.After(since) {
		since = t.confirmed
	}
	silent := at.Sub(since)
	outage := silent >= minOutage
	if outage && at.After(t.recovered) {
		t.recovered = at
	}
	s.log("msg", "object store responds again", "silent", silent, "outage", outage)
}

// confirm records that the table had all changes at a time, and so that the store
// responded then to some VM. The caller holds mu.
func (s *Source) confirm(t *table, at time.Time) {
	s.endOutage(t, at)
	if !at.After(t.confirmed) {
		return
	}
	if at.Sub(t.confirmed) >= minOutage {
		t.gapEnd = at
	}
	t.confirmed = at
}

// mayHaveBeenAway reports whether an outage of the store may have ended at a time, as another
// VM says. It has not if this VM's state was confirmed while the store was silent to that
// VM, which may have been cut off from it alone.
func (t *table) mayHaveBeenAway(end time.Time) bool {
	return end.Sub(t.confirmed) >= minOutage || !t.gapEnd.Before(end.Add(-minOutage))
}
