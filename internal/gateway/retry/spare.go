package retry

import "time"

// spareSlices divide the window in which spare attempts are counted.
const spareSlices = 10

// A window counts what was sent to a service in slices of the limits' window. One slice more
// than the window has keeps attempts that are only partly within it.
type window struct {
	slices [spareSlices + 1]counts
}

// counts are the amounts of one slice.
type counts struct {
	number                    int64
	requests, retries, spares int
}

// at returns the slice of a time.
func (w *window) at(length time.Duration, now time.Time) *counts {
	number := now.UnixNano() / max(int64(length)/spareSlices, 1)
	s := &w.slices[number%int64(len(w.slices))]
	if s.number != number {
		*s = counts{number: number}
	}
	return s
}

// sum returns the requests of less than the window, and the attempts of more than it.
func (w *window) sum(length time.Duration, now time.Time) (out counts) {
	number := w.at(length, now).number
	for _, s := range w.slices {
		age := number - s.number
		if age < 0 || age > spareSlices {
			continue
		}
		out.retries += s.retries
		out.spares += s.spares
		if age < spareSlices {
			out.requests += s.requests
		}
	}
	return out
}

// SpendSpare reports whether an attempt to a service is permitted that no failure calls for,
// and charges it. Such attempts use the part of the ratio that retries do not (earnFraction),
// so that all attempts together stay within the ratio and retries find what they would find
// without them. Retries count against that part as well: where they use it up, it is empty.
func (b *Budget) SpendSpare(service string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.account(service, now)
	sum := a.recent.sum(b.limits.Window, now)
	// The product is rounded, which must not deny an attempt.
	const rounding = 1e-6
	if float64(sum.retries+sum.spares+1) > b.limits.Ratio*(1-earnFraction)*float64(sum.requests)+rounding {
		return false
	}
	a.recent.at(b.limits.Window, now).spares++
	return true
}
