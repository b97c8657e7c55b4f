package placing

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/baobabdyke/baobabdyke/internal/fleet/source"
)

// A Candidacy is one target of a request's service as the decision sees it. Times are in
// milliseconds.
type Candidacy struct {
	Target     string `json:"target"`
	DataCentre string `json:"datacentre"`
	Chosen     bool   `json:"chosen"`
	// Reason is why the target was not chosen, or empty.
	Reason string `json:"reason,omitempty"`
	// Excluded reports whether the target may not run the request. The fields below are
	// then not set.
	Excluded bool `json:"excluded"`
	// CostMS is what targets are compared by, and FirstMS the expected time to the first
	// token.
	CostMS  float64 `json:"costms"`
	FirstMS float64 `json:"firstms"`
	// Home reports whether the target is the home engine of the prompt's shared segments.
	Home bool `json:"home"`
	// HeldTokens is the number of shared tokens that the target holds, and MissingTokens
	// what it would have to read. Source is where it would fetch the rest from.
	HeldTokens    int    `json:"heldtokens"`
	MissingTokens int    `json:"missingtokens"`
	Source        string `json:"source,omitempty"`
	Weights       int64  `json:"weights"`
	// Running and PrefillTokens are what is in flight there as far as this VM knows.
	Running       int     `json:"running"`
	PrefillTokens int     `json:"prefilltokens"`
	Slots         int     `json:"slots"`
	Slowdown      float64 `json:"slowdown"`
	FailureRate   float64 `json:"failurerate"`
	// ResponseMS is the age of the latest response to this VM; -1 if there is none.
	ResponseMS int64 `json:"responsems"`
}

// A Placement is the decision about a request's target.
type Placement struct {
	// Found reports whether there is a target; it is then the first candidate.
	Found bool `json:"found"`
	// Late reports whether the request would have a lower priority than others since no
	// target can meet the latency goal.
	Late       bool        `json:"late"`
	Candidates []Candidacy `json:"candidates"`
	// LoadsMS is the age of the oldest report of another VM that is used; -1 if there is
	// none.
	LoadsMS int64 `json:"loadsms"`
	VMs     int   `json:"vms"`
}

// Explain returns what Choose would decide about a request, and why. It changes nothing: it
// decides on a copy of the state.
func (p *Placer) Explain(v *source.View, r Request, now time.Time) Placement {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.copyState()
	w := c.weigh(v, r, now)
	out := Placement{LoadsMS: -1, VMs: len(p.peers) + 1}
	for _, peer := range p.peers {
		if age := now.Sub(peer.received); age <= peerLoadTTL {
			out.LoadsMS = max(out.LoadsMS, age.Milliseconds())
		}
	}
	weighed := map[string]bool{}
	var choice Choice
	if out.Found = len(w.candidates) > 0; out.Found {
		choice = c.decide(&w, now)
		out.Late = choice.Late
	}
	for i := range w.candidates {
		weighed[w.candidates[i].target.ID] = true
		out.Candidates = append(out.Candidates, w.candidates[i].candidacy(choice, now))
	}
	for _, t := range v.Targets {
		if t.Service != r.Service || weighed[t.ID] {
			continue
		}
		_, excluded := c.candidate(v, t, &r, now)
		if excluded == "" {
			excluded = "is avoided: it fails, is silent, carries out an order, cannot be reached, or has a version that may not take the request"
		}
		out.Candidates = append(out.Candidates, Candidacy{Target: t.ID, DataCentre: t.DataCentre, Slots: t.Slots, Excluded: true, Reason: excluded, ResponseMS: -1})
	}
	slices.SortFunc(out.Candidates, compareCandidacies)
	return out
}

// compareCandidacies puts the chosen target first and those that are excluded last.
func compareCandidacies(a, b Candidacy) int {
	rank := func(c Candidacy) int {
		switch {
		case c.Chosen:
			return 0
		case c.Excluded:
			return 2
		default:
			return 1
		}
	}
	switch {
	case rank(a) != rank(b):
		return rank(a) - rank(b)
	case a.CostMS < b.CostMS:
		return -1
	case a.CostMS > b.CostMS:
		return 1
	case a.Target < b.Target:
		return -1
	default:
		return 1
	}
}

func (c *candidate) candidacy(choice Choice, now time.Time) Candidacy {
	out := Candidacy{
		Target: c.target.ID, DataCentre: c.target.DataCentre, Chosen: c.target.ID == choice.Target.ID, CostMS: c.cost,
		FirstMS: float64(c.ttft) / float64(time.Millisecond), Home: c.home, HeldTokens: c.heldTokens, MissingTokens: c.missingTokens,
		Source: c.source, Weights: c.version, Running: c.running, PrefillTokens: c.prefill, Slots: c.target.Slots,
		Slowdown: c.state.slowdown, FailureRate: c.failureRate, ResponseMS: -1,
	}
	if !c.state.lastResponse.IsZero() {
		out.ResponseMS = now.Sub(c.state.lastResponse).Milliseconds()
	}
	expected := float64(choice.Expected) / float64(time.Millisecond)
	switch {
	case out.Chosen:
		// A late request is compared by other costs.
		out.CostMS = expected
	case choice.Late:
		out.Reason = "costs more for a late request"
	default:
		out.Reason = fmt.Sprintf("costs %.1f ms more", c.cost-expected)
	}
	return out
}

// copyState returns a Placer with a copy of what a decision changes. What it only reads is
// shared, and guarded by the mutex of p, which the caller must hold.
func (p *Placer) copyState() *Placer {
	out := &Placer{
		dataCentre: p.dataCentre, gate: p.gate, previews: true, maxWeightsAge: p.maxWeightsAge, notices: p.notices, limits: p.limits, busy: p.busy,
		totalledAt: p.totalledAt, totalsDirty: p.totalsDirty, peerTotals: p.peerTotals, holders: p.holders, index: p.index,
		turn: p.turn, deferredShare: p.deferredShare,
		states: make(map[string]*targetState, len(p.states)), peers: maps.Clone(p.peers), sendRates: maps.Clone(p.sendRates),
	}
	for id, s := range p.states {
		copied := *s
		out.states[id] = &copied
	}
	return out
}
