package route

import "time"

// First records the first byte of an answer: the prompt is computed.
func (p *Planner) FirstByte(id uint64) {
	s, ok := p.sends[id]
	if !ok || s.first {
		return
	}
	s.first = true
	p.release(s)
}

// release ends the prefill of a send and wakes its followers.
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

// Done records the end of an attempt.
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
