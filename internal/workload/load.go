// Package workload generates the requests of modelled deployments: arrival times,
// customers, prompts and lengths of responses.
package workload

import "time"

const (
	// VMs is the number of VMs that requests arrive at.
	VMs = 8
	// HomeVMs is the number of VMs that one customer's requests arrive at.
	HomeVMs = 3
	// Duration is the time over which a load's requests arrive.
	Duration = 180 * time.Second
	// PieceTokens is the number of tokens in one piece of a prompt.
	PieceTokens = 2048
)

// A Load describes the requests of a deployment. Prompts share nested prefixes:
// a base per customer, groups below a base and leaves below a group.
type Load struct {
	// Name names the deployment.
	Name string
	// Engines is the number of engines that serve the load.
	Engines int
	// CachePieces is the number of pieces that one engine can cache.
	CachePieces int
	// Rate is the mean number of requests per second.
	Rate float64
	// CustomerShares holds each customer's share of the requests.
	CustomerShares []float64
	// BasePieces is the number of pieces that all prompts of a customer start with.
	BasePieces int
	// Groups is the number of prefixes below a base.
	Groups int
	// GroupPieces bounds the number of pieces of a group.
	GroupPieces [2]int
	// LeavesPerGroup is the number of prefixes below a group.
	LeavesPerGroup int
	// LeafPieces bounds the number of pieces of a leaf.
	LeafPieces [2]int
	// TailTokens is the number of tokens that a prompt shares with no other.
	TailTokens int
	// OutputTokens bounds the length of a response.
	OutputTokens [2]int
}

// Loads returns the loads of two modelled deployments.
func Loads() []Load {
	return []Load{
		{
			Name: "hakata", Engines: 10, CachePieces: 500, Rate: 22, CustomerShares: []float64{0.4, 0.3, 0.15, 0.1, 0.05},
			BasePieces: 12, Groups: 24, GroupPieces: [2]int{2, 6}, LeavesPerGroup: 60, LeafPieces: [2]int{1, 4}, TailTokens: 400, OutputTokens: [2]int{5, 60},
		},
		{
			Name: "saldo", Engines: 12, CachePieces: 600, Rate: 10, CustomerShares: []float64{0.45, 0.25, 0.15, 0.1, 0.05},
			BasePieces: 10, Groups: 40, GroupPieces: [2]int{10, 24}, LeavesPerGroup: 12, LeafPieces: [2]int{0, 2}, TailTokens: 700, OutputTokens: [2]int{20, 120},
		},
	}
}
