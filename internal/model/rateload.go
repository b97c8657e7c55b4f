package model

import (
	"math/rand/v2"
	"time"
)

const (
	// RateVMs is the number of VMs of a load on rates.
	RateVMs = 8
	// RateTime is how long a load on rates lasts.
	RateDuration = 120 * time.Second
	// RateTokens is the rate of each customer of a load, in tokens a second.
	RateTokens = 8000.0
	// BurstTokens is the burst of each customer of a load.
	BurstTokens = 16000.0
)

// RateCustomers are the customers of a load on rates.
var RateCustomers = []string{"hakata", "saldo", "kokura", "maia", "gaia"}

// An Offer is one request of a load on rates.
type RateRequest struct {
	At       time.Duration
	VM       int
	Customer string
	Tokens   float64
}

// A RateLoad says where requests go and how large they are.
type RateLoad struct {
	Name     string
	CrashVMs bool // the two VMs that hold the most are lost, but listed
	// Unlisted takes the lost VMs off the platform's list after listLag.
	Unlist bool
	// Rolling restarts one VM after the other, each by a planned stop.
	RollingRestart bool
	// VM returns where a request goes at a time.
	PickVM func(r *rand.Rand, at time.Duration) int
	// Pace returns the factor on the mean pace at a time.
	RateFactor func(at time.Duration) float64
	// Unused is the part of a reservation that comes back after holdTime.
	UnusedShare float64
	// Least and Most bound the tokens of one request.
	MinTokens, MaxTokens float64
}

func anyVM(r *rand.Rand, _ time.Duration) int { return r.IntN(RateVMs) }
func steady(time.Duration) float64            { return 1 }

// RateLoads are the loads that ways to hold rates are measured on.
var RateLoads = []RateLoad{
	{Name: "even", PickVM: anyVM, RateFactor: steady, MinTokens: 100, MaxTokens: 900},
	{Name: "skewed", PickVM: func(r *rand.Rand, _ time.Duration) int {
		if r.IntN(5) > 0 {
			return 3
		}
		return r.IntN(RateVMs)
	}, RateFactor: steady, MinTokens: 100, MaxTokens: 900},
	{Name: "moving", PickVM: func(_ *rand.Rand, at time.Duration) int {
		return int(at/(5*time.Second)) % RateVMs
	}, RateFactor: steady, MinTokens: 100, MaxTokens: 900},
	{Name: "bursty", PickVM: func(r *rand.Rand, at time.Duration) int {
		return (int(at/(3*time.Second)) + 4*r.IntN(2)) % RateVMs
	}, RateFactor: func(at time.Duration) float64 {
		if at%(3*time.Second) < time.Second {
			return 3
		}
		return 0
	}, MinTokens: 100, MaxTokens: 900},
	{Name: "large", PickVM: anyVM, RateFactor: steady, MinTokens: 2000, MaxTokens: 6000},
	{Name: "unused", UnusedShare: 0.6, PickVM: anyVM, RateFactor: func(time.Duration) float64 { return 1.75 }, MinTokens: 250, MaxTokens: 2250},
	{Name: "lost", CrashVMs: true, PickVM: anyVM, RateFactor: steady, MinTokens: 100, MaxTokens: 900},
	{Name: "unlisted", CrashVMs: true, Unlist: true, PickVM: anyVM, RateFactor: steady, MinTokens: 100, MaxTokens: 900},
	{Name: "rolling", RollingRestart: true, PickVM: anyVM, RateFactor: steady, MinTokens: 100, MaxTokens: 900},
}

// holdTime is the time until a reservation settles.
const holdTime = 500 * time.Millisecond

// listLag is the time after which the platform's list drops a lost VM.
const listLag = 30 * time.Second

// rollEvery is the time between two planned stops of the rolling load.
const rollEvery = 10 * time.Second

// Offers returns the requests of a load, the same for every way.
func (l RateLoad) Requests(part float64, seed uint64) []RateRequest {
	r := rand.New(rand.NewPCG(seed, 7))
	var list []RateRequest
	mean := (l.MinTokens + l.MaxTokens) / 2
	const slice = 10 * time.Millisecond
	for at := time.Duration(0); at < RateDuration; at += slice {
		chance := part * RateTokens / mean * slice.Seconds() * l.RateFactor(at)
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
