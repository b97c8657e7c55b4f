package route

import "time"

// FirstByte records that the first byte of the response has arrived, which means
// that the prefill is done.
func (p *Planner) FirstByte(id uint64) {
	s, ok := p.sends[id]
	if !ok || s.first {
		return
	}
	s.first = true
	p.release(s)
}

// endPrefill removes the prefill of a send and wakes the requests that wait for
// it.
func (p *Planner) release(s *send) {
	for _, k := range s.keys[s.from:] {
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
	if !s.first {
		p.release(s)
	}
	delete(p.sends, id)
	a := p.account(s.target)
	for i := range a.sends {
		if a.sends[i] == s {
			a.sends = append(a.sends[:i], a.sends[i+1:]...)
			break
		}
	}
	if !failed {
		a.hold += time.Duration(holdWeight * float64(now.Sub(s.at)-a.hold))
	}
}
