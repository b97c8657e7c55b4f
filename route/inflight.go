package route

import "time"

// FirstByte records that the first byte of the response has arrived, which means
// that the prefill is done.
func (p *Planner) FirstByte(id uint64) {
	s, ok := p.sends[id]
	if !ok || s.gotFirstByte {
		return
	}
	s.gotFirstByte = true
	p.endPrefill(s)
}

// endPrefill removes the prefill of a send and wakes the requests that wait for
// it.
func (p *Planner) endPrefill(s *send) {
	for _, k := range s.keys[s.firstMissing:] {
		if p.prefills[k] == s {
			delete(p.prefills, k)
		}
	}
	if s.ready != nil {
		close(s.ready)
		s.ready = nil
	}
}

// Done records the end of a send. Only successful sends count into the average
// slot time.
func (p *Planner) Done(now time.Time, id uint64, failed bool) {
	s, ok := p.sends[id]
	if !ok {
		return
	}
	if !s.gotFirstByte {
		p.endPrefill(s)
	}
	delete(p.sends, id)
	stats := p.statsFor(s.target)
	for i := range stats.sends {
		if stats.sends[i] == s {
			stats.sends = append(stats.sends[:i], stats.sends[i+1:]...)
			break
		}
	}
	if !failed {
		stats.slotTime += time.Duration(slotTimeWeight * float64(now.Sub(s.sentAt)-stats.slotTime))
	}
}
