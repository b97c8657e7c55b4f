package limit

import (
	"math"

	"github.com/baobabdyke/baobabdyke/config"
)

// tolerance is the relative rounding error allowed in comparisons of amounts.
const tolerance = 1e-9

// Plus returns the sum of two costs.
func (c Cost) Plus(d Cost) Cost {
	return Cost{Requests: c.Requests + d.Requests, Tokens: c.Tokens + d.Tokens}
}

// Minus returns the difference of two costs, never below zero.
func (c Cost) Minus(d Cost) Cost {
	return Cost{Requests: math.Max(0, c.Requests-d.Requests), Tokens: math.Max(0, c.Tokens-d.Tokens)}
}

// Scale returns the cost times a factor.
func (c Cost) Scale(f float64) Cost {
	return Cost{Requests: c.Requests * f, Tokens: c.Tokens * f}
}

// Min returns the smaller amount of each kind.
func (c Cost) Min(d Cost) Cost {
	return Cost{Requests: math.Min(c.Requests, d.Requests), Tokens: math.Min(c.Tokens, d.Tokens)}
}

// Covers reports whether d can be taken from c, up to rounding.
func (c Cost) Covers(d Cost) bool {
	return atMost(d.Requests, c.Requests) && atMost(d.Tokens, c.Tokens)
}

// IsZero reports whether a cost is zero, up to rounding.
func (c Cost) IsZero() bool {
	return c.Requests <= tolerance && c.Tokens <= tolerance
}

// sanitised returns the cost with amounts that are negative, infinite or not a
// number replaced by zero.
func (c Cost) sanitised() Cost {
	return Cost{Requests: sanitisedAmount(c.Requests), Tokens: sanitisedAmount(c.Tokens)}
}

func sanitisedAmount(x float64) float64 {
	if !(x > 0) || math.IsInf(x, 0) {
		return 0
	}
	return x
}

// atMost reports whether x is at most y, up to rounding.
func atMost(x, y float64) bool {
	return x <= y+tolerance*(1+math.Abs(y))
}

// burstOf returns the largest cost that a customer may spend at once.
func burstOf(r config.Rate) Cost { return Cost{Requests: r.RequestBurst, Tokens: r.TokenBurst} }

// rateOf returns the cost that a customer may spend per second.
func rateOf(r config.Rate) Cost { return Cost{Requests: r.Requests, Tokens: r.Tokens} }
