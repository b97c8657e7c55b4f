// Package workload makes the requests of modelled deployments: who sends them,
// when, with which prompts and how long the answers are.
package workload

import "time"

const (
	// VMs is the number of VMs that requests arrive at.
	VMs = 8
	// Homes is the number of VMs that one customer's requests arrive at.
	Homes = 3
	// Duration is the time over which a load's requests arrive.
	Duration = 180 * time.Second
	// PieceTokens is the tokens of one piece of a prompt.
	PieceTokens = 2048
)

// A Load is the shape of a deployment's requests: nested layers of prefixes.
type Load struct {
	// Name names the deployment.
	Name string
	// Engines is the number of engines that serve the load.
	Engines int
	// Cache is the number of pieces that one engine can hold.
	Cache int
	// Rate is the mean number of requests per second.
	Rate float64
	// Customers holds each customer's share of the requests.
	Customers []float64
	// Base is the pieces that all prompts of a customer begin with.
	Base int
	// Groups is the number of prefixes below a base.
	Groups int
	// GroupLen bounds the pieces of a group.
	GroupLen [2]int
	// Leaves is the number of prefixes below a group.
	Leaves int
	// LeafLen bounds the pieces of a leaf.
	LeafLen [2]int
	// Tail is the tokens of a prompt that no other prompt shares.
	Tail int
	// Output bounds the tokens of an answer.
	Output [2]int
}

// Loads returns the loads of the two deployments.
func Loads() []Load {
	return []Load{
		{
			Name: "hakata", Engines: 10, Cache: 500, Rate: 22, Customers: []float64{0.4, 0.3, 0.15, 0.1, 0.05},
			Base: 12, Groups: 24, GroupLen: [2]int{2, 6}, Leaves: 60, LeafLen: [2]int{1, 4}, Tail: 400, Output: [2]int{5, 60},
		},
		{
			Name: "saldo", Engines: 12, Cache: 600, Rate: 10, Customers: []float64{0.45, 0.25, 0.15, 0.1, 0.05},
			Base: 10, Groups: 40, GroupLen: [2]int{10, 24}, Leaves: 12, LeafLen: [2]int{0, 2}, Tail: 700, Output: [2]int{20, 120},
		},
	}
}
