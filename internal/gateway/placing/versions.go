package placing

import (
	"github.com/baobabdyke/baobabdyke/internal/fleet/canary"
	"github.com/baobabdyke/baobabdyke/internal/fleet/site"
)

// SetGate sets what decides which versions of targets may take a request. It must be called
// before the Placer is used.
func (p *Placer) SetGate(g *canary.Gate) { p.gate = g }

// permit returns the candidates whose versions may take the request, and those that cached
// segments may be fetched from only.
func (p *Placer) permit(all []candidate, r Request) (allowed, sources []candidate) {
	if p.gate == nil || len(all) == 0 {
		return all, nil
	}
	targets := make([]*site.Target, len(all))
	for i := range all {
		targets[i] = all[i].target
	}
	decide := p.gate.Permit
	if p.previews {
		decide = p.gate.Preview
	}
	permissions := decide(r.Service, len(r.Tried) == 0, targets)
	if permissions == nil {
		return all, nil
	}
	allowed = all[:0:0]
	for i := range all {
		switch permissions[i] {
		case canary.Allowed:
			allowed = append(allowed, all[i])
		case canary.SourceOnly:
			if r.Model != "" {
				sources = append(sources, all[i])
			}
		case canary.Denied:
		}
	}
	return allowed, sources
}
