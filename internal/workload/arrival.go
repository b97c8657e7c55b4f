package workload

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/baobabdyke/baobabdyke/prefix"
)

// An Arrival is one request of a load.
type Arrival struct {
	// At is the arrival time, counted from the start of the load.
	At time.Duration
	// Customer is the index of the customer that sends the request.
	Customer int
	// Prompt holds the prompt's piece keys and token counts.
	Prompt prefix.Prompt
	// Pieces are the same piece keys in the form that engines use.
	Pieces []uint64
	// OutputTokens is the length of the response.
	OutputTokens int
	// VM is the index of the VM that the request arrives at.
	VM int
}

// Arrivals returns the requests of a load. If shifting is set, the set of popular
// prefixes changes every ten seconds.
func (l Load) Arrivals(rng *rand.Rand, shifting bool) []Arrival {
	var list []Arrival
	groups := rand.NewZipf(rng, 1.3, 2, uint64(l.Groups-1))
	leaves := rand.NewZipf(rng, 1.2, 3, uint64(l.LeavesPerGroup-1))
	for at := time.Duration(0); at < Duration; at += time.Duration(rng.ExpFloat64() / l.Rate * float64(time.Second)) {
		a := Arrival{At: at, Customer: pick(rng, l.CustomerShares), OutputTokens: between(rng, l.OutputTokens)}
		group, leaf := int(groups.Uint64()), int(leaves.Uint64())
		if shifting {
			group = (group + 7*int(at/(10*time.Second))) % l.Groups
		}
		a.setPrompt(l, group, leaf)
		a.VM = (a.Customer*3 + rng.IntN(HomeVMs)) % VMs
		list = append(list, a)
	}
	return list
}

// setPrompt sets the prompt of an arrival: the customer's base, a group and a leaf.
func (a *Arrival) setPrompt(l Load, group, leaf int) {
	name := fmt.Sprintf("%s/%d", l.Name, a.Customer)
	a.appendPieces(name, l.BasePieces)
	name = fmt.Sprintf("%s/%d", name, group)
	a.appendPieces(name, length(name, l.GroupPieces))
	name = fmt.Sprintf("%s/%d", name, leaf)
	a.appendPieces(name, length(name, l.LeafPieces))
	a.Prompt.PieceTokens = PieceTokens
	a.Prompt.Tokens = len(a.Pieces)*PieceTokens + l.TailTokens
}

func (a *Arrival) appendPieces(name string, n int) {
	for i := range n {
		k := xxhash.Sum64String(fmt.Sprintf("%s#%d", name, i))
		a.Pieces = append(a.Pieces, k)
		a.Prompt.Keys = append(a.Prompt.Keys, prefix.Key(k))
	}
}

func length(name string, bounds [2]int) int {
	return bounds[0] + int(xxhash.Sum64String(name)%uint64(bounds[1]-bounds[0]+1))
}

func between(rng *rand.Rand, bounds [2]int) int { return bounds[0] + rng.IntN(bounds[1]-bounds[0]+1) }

func pick(rng *rand.Rand, shares []float64) int {
	x := rng.Float64()
	for i, s := range shares {
		if x -= s; x < 0 {
			return i
		}
	}
	return len(shares) - 1
}
