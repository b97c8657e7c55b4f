// Package limit enforces rates and bursts of customers across all VMs of a
// fleet. It uses escrow: each customer's rate and burst are divided into
// shares, each share belongs to one VM at a time, and a VM admits requests only
// against its own shares and tokens transferred to it by other VMs.
package limit

import "time"

// A Cost is a number of requests and tokens. A single request usually costs
// one request and a number of tokens.
type Cost struct {
	Requests float64 `json:"requests"`
	Tokens   float64 `json:"tokens"`
}

// A Reservation is the cost reserved for one admitted request until Settle.
type Reservation struct {
	ID       uint64
	Customer string
	Cost     Cost
}

// A Decision is the result of Task.Reserve: Admitted, Refused or TooLarge.
type Decision interface{ decision() }

// Admitted is the decision for a request whose cost has been reserved.
type Admitted struct{ Reservation Reservation }

// Refused is the decision for a request that exceeds the customer's rate. The
// same request may be admitted after RetryAfter.
type Refused struct{ RetryAfter time.Duration }

// TooLarge is the decision for a request whose cost exceeds the customer's
// burst, so that it can never be admitted.
type TooLarge struct{ Burst Cost }

func (Admitted) decision() {}
func (Refused) decision()  {}
func (TooLarge) decision() {}
