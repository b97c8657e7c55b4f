package model

import (
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/baobabdyke/baobabdyke/internal/workload"
	"github.com/baobabdyke/baobabdyke/prefix"
	"github.com/baobabdyke/baobabdyke/route"
	"github.com/baobabdyke/baobabdyke/target"
)

// maxHashedPieces bounds the leading pieces that PrefixHash hashes.
const maxHashedPieces = 16

// A node is the state of one VM.
type node struct {
	planner         *route.Planner
	index           *prefix.Index
	states          []target.State
	sentSinceReport []int
	nextEngine      int
}

func newPlanner(policy string) *route.Planner {
	if policy == TTFTOnly {
		return route.NewPlanner(route.PlannerOptions{RecomputeWeight: -1})
	}
	return route.NewPlanner(route.PlannerOptions{})
}

func (n *node) usable(i int, excluded []string) bool {
	return n.states[i].Health == target.HealthLive && !slices.Contains(excluded, n.states[i].Target.Name)
}

func (n *node) leastLoaded(t *Trial, excluded []string) int {
	best, least := 0, 1<<30
	for j := range t.engines {
		i := (j + n.nextEngine) % len(t.engines)
		if x := n.states[i].Report.Queued + n.states[i].Report.Running + n.sentSinceReport[i]; n.usable(i, excluded) && x < least {
			best, least = i, x
		}
	}
	n.nextEngine++
	return best
}

func (n *node) byPrefixHash(t *Trial, a workload.Arrival, excluded []string) int {
	best, most := 0, uint64(0)
	k := a.Pieces[min(len(a.Pieces), maxHashedPieces)-1]
	for i, e := range t.engines {
		if h := xxhash.Sum64String(fmt.Sprintf("%s/%d", e.Target.Name, k)); n.usable(i, excluded) && h > most {
			best, most = i, h
		}
	}
	return best
}
