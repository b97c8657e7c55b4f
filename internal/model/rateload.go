package model

import (
	"math/rand/v2"
	"time"
)

const (
	// RateVMs is the number of VMs that requests of a RateLoad arrive at.
	RateVMs = 8
	// RateDuration is the duration of a RateLoad.
	RateDuration = 120 * time.Second
	// RateTokens is the rate of each customer in tokens per second.
	RateTokens = 8000.0
	// BurstTokens is the burst size of each customer in tokens.
	BurstTokens = 16000.0
)

// RateCustomers are the customers of a RateLoad.
var RateCustomers = []string{"hakata", "saldo", "kokura", "maia", "gaia"}

// A RateRequest is one request of a RateLoad.
type RateRequest struct {
	At       time.Duration
	VM       int
	Customer string
	Tokens   float64
}

// A RateLoad describes when requests arrive, at which VMs, and how large they are.
type RateLoad struct {
	Name string
	// CrashVMs crashes two VMs that hold limits; they stay on the platform's list.
	CrashVMs bool
	// Unlist removes the crashed VMs from the platform's list after unlistDelay.
	Unlist bool
	// RollingRestart restarts one VM after another, each after a graceful shutdown.
	RollingRestart bool
	// PickVM returns the VM that a request at a time is sent to.
	PickVM func(r *rand.Rand, at time.Duration) int
	// RateFactor returns the factor by which the mean rate is multiplied at a time.
	RateFactor func(at time.Duration) float64
	// UnusedShare is the share of a reservation that is refunded after settleDelay.
	UnusedShare float64
	// MinTokens and MaxTokens bound the tokens of one request.
	MinTokens, MaxTokens float64
}

func anyVM(r *rand.Rand, _ time.Duration) int { return r.IntN(RateVMs) }
func constantRate(time.Duration) float64      { return 1 }

// RateLoads are the loads that rate limiters are measured on.
var RateLoads = []RateLoad{
	{Name: "even", PickVM: anyVM, RateFactor: constantRate, MinTokens: 100, MaxTokens: 900},
	{Name: "skewed", PickVM: func(r *rand.Rand, _ time.Duration) int {
		if r.IntN(5) > 0 {
			return 3
		}
		return r.IntN(RateVMs)
	}, RateFactor: constantRate, MinTokens: 100, MaxTokens: 900},
	{Name: "moving", PickVM: func(_ *rand.Rand, at time.Duration) int {
		return int(at/(5*time.Second)) % RateVMs
	}, RateFactor: constantRate, MinTokens: 100, MaxTokens: 900},
	{Name: "bursty", PickVM: func(r *rand.Rand, at time.Duration) int {
		return (int(at/(3*time.Second)) + 4*r.IntN(2)) % RateVMs
	}, RateFactor: func(at time.Duration) float64 {
		if at%(3*time.Second) < time.Second {
			return 3
		}
		return 0
	}, MinTokens: 100, MaxTokens: 900},
	{Name: "large", PickVM: anyVM, RateFactor: constantRate, MinTokens: 2000, MaxTokens: 6000},
	{Name: "unused", UnusedShare: 0.6, PickVM: anyVM, RateFactor: func(time.Duration) float64 { return 1.75 }, MinTokens: 250, MaxTokens: 2250},
	{Name: "lost", CrashVMs: true, PickVM: anyVM, RateFactor: constantRate, MinTokens: 100, MaxTokens: 900},
	{Name: "unlisted", CrashVMs: true, Unlist: true, PickVM: anyVM, RateFactor: constantRate, MinTokens: 100, MaxTokens: 900},
	{Name: "rolling", RollingRestart: true, PickVM: anyVM, RateFactor: constantRate, MinTokens: 100, MaxTokens: 900},
}

// settleDelay is the time from the admission of a request to its settlement.
const settleDelay = 500 * time.Millisecond

// unlistDelay is the time until the platform's list drops a crashed VM.
const unlistDelay = 30 * time.Second

// restartInterval is the time between two restarts of a rolling restart.
const restartInterval = 10 * time.Second

// Requests returns the requests of a load. Equal arguments give equal requests.
func (l RateLoad) Requests(share float64, seed uint64) []RateRequest {
	r := rand.New(rand.NewPCG(seed, 7))
	var list []RateRequest
	mean := (l.MinTokens + l.MaxTokens) / 2
	const slice = 10 * time.Millisecond
	for at := time.Duration(0); at < RateDuration; at += slice {
		chance := share * RateTokens / mean * slice.Seconds() * l.RateFactor(at)
		for _, customer := range RateCustomers {
			for p := chance; p > 0; p-- {
				if r.Float64() >= p {
					continue
				}
				list = append(list, RateRequest{
					At: at + time.Duration(r.Int64N(int64(slice))), VM: l.PickVM(r, at), Customer: customer,
					Tokens: l.MinTokens + r.Float64()*(l.MaxTokens-l.MinTokens),
				})
			}
		}
	}
	return list
}
