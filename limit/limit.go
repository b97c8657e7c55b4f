// Package limit holds customers to rates and bursts that count over all VMs
// together. The amounts are escrowed: each VM spends only what it holds.
package limit

import "time"

// A Cost is what one request takes from its customer's rate: one request and a
// number of tokens.
type Cost struct {
	Requests float64 `json:"requests"`
	Tokens   float64 `json:"tokens"`
}

// A Reservation is the cost that one admitted request holds until it settles.
type Reservation struct {
	ID       uint64
	Customer string
	Cost     Cost
}

// A Decision is the outcome of a Reserve: Admitted, Refused or TooLarge.
type Decision interface{ decision() }

// Admitted reports that the cost was taken.
type Admitted struct{ Reservation Reservation }

// Refused reports that the customer is over its rate; the same request may be
// admitted after RetryAfter.
type Refused struct{ RetryAfter time.Duration }

// TooLarge reports a cost that exceeds the customer's burst, so that waiting
// does not help.
type TooLarge struct{ Burst Cost }

func (Admitted) decision() {}
func (Refused) decision()  {}
func (TooLarge) decision() {}
