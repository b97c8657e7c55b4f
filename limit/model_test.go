package limit_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/baobabdyke/baobabdyke/config"
	"github.com/baobabdyke/baobabdyke/internal/model"
	"github.com/baobabdyke/baobabdyke/internal/seed"
	"github.com/baobabdyke/baobabdyke/limit"
)

// warmUpTime is the time for which a fleet runs before measurements start.
const warmUpTime = 30 * time.Second

// An escrow runs this package as a model.RateLimiter.
type escrow struct{ f *fleet }

func newEscrow(slots int) *escrow {
	cfg := &config.Config{Version: 1}
	for _, name := range model.RateCustomers {
		cfg.Customers = append(cfg.Customers, config.Customer{Name: name, Rate: config.Rate{
			Requests: model.RateTokens, RequestBurst: model.BurstTokens, Tokens: model.RateTokens, TokenBurst: model.BurstTokens,
		}})
	}
	f := newFleet(model.RateVMs, limit.Layout{Shards: 1, Slots: slots}, cfg, seed.Value())
	f.Advance(warmUpTime)
	f.bytes, f.messages, f.storeCalls, f.storeWrites = 0, 0, 0, 0
	return &escrow{f: f}
}

func (e *escrow) Advance(d time.Duration) { e.f.Advance(d) }

func (e *escrow) Unlist() {
	for _, n := range e.f.nodes {
		n.unlisted = n.dead
	}
	e.f.sendMembership()
}

// Restart releases the VM's slots, stops it a second later and restarts it after
// another second.
func (e *escrow) Restart(vm int) {
	n := e.f.nodes[vm]
	n.member.State = "draining"
	n.step(limit.ReleaseAll{})
	e.f.After(time.Second, func() {
		n.dead = true
		e.f.sendMembership()
	})
	e.f.After(2*time.Second, func() {
		e.f.start(n.member.ID)
		e.f.sendMembership()
	})
}

func (e *escrow) CrashVMs() {
	lost := 0
	for _, n := range e.f.nodes {
		if n.s.HeldSlots() > 0 && lost < 2 {
			n.dead = true
			lost++
		}
	}
}

// Submit sends a request to the VM, or to the next one if it is dead or draining,
// as callers with several addresses do.
func (e *escrow) Submit(r model.RateRequest, done func(func(float64))) {
	n := e.f.nodes[r.VM]
	for i := 1; n.dead || n.member.State == "draining"; i++ {
		n = e.f.nodes[(r.VM+i)%model.RateVMs]
	}
	n.reserve(r.Customer, limit.Cost{Requests: 1, Tokens: r.Tokens}, func(d limit.Decision, admission int) {
		a, ok := d.(limit.Admitted)
		if !ok {
			done(nil)
			return
		}
		done(func(tokens float64) {
			used := limit.Cost{Requests: 1, Tokens: r.Tokens - tokens}
			e.f.oracles[r.Customer].settle(admission, used)
			n.step(limit.Settle{Reservation: a.Reservation, Used: used})
		})
	})
}

// BenchmarkMeasure reports the percentage of requests that are refused although
// the customers are within their rates, for each scheme and load, at 70% and
// at 90% of the rates.
func BenchmarkMeasure(b *testing.B) {
	schemes := []struct {
		name string
		make func() model.RateLimiter
	}{
		{"static r÷N", func() model.RateLimiter { return model.NewStaticLimiter(model.RateVMs) }},
		{"leased grants", func() model.RateLimiter { return model.NewLeasedLimiter() }},
		{"escrow 2 holders", func() model.RateLimiter { return newEscrow(2) }},
		{"escrow 3 holders", func() model.RateLimiter { return newEscrow(3) }},
		{"escrow all VMs", func() model.RateLimiter { return newEscrow(model.RateVMs) }},
	}
	for _, load := range []float64{0.7, 0.9} {
		for _, s := range schemes {
			b.Run(fmt.Sprintf("load=%.0f%%/%s", load*100, s.name), func(b *testing.B) {
				for b.Loop() {
					measure(b, s.make, load)
				}
				b.ReportMetric(0, "ns/op")
			})
		}
	}
}

func measure(b *testing.B, make func() model.RateLimiter, load float64) {
	violations, messages, requests, bytes, writes, calls := 0, 0, 0, 0.0, 0.0, 0.0
	for _, l := range model.RateLoads {
		limiter := make()
		b.ReportMetric(model.FalseRefusals(limiter, l, load, seed.Value()), l.Name+"_%")
		if e, ok := limiter.(*escrow); ok {
			count, _ := e.f.violations()
			violations += count
			messages += e.f.messages
			requests += len(l.Requests(load, seed.Value()))
			per := float64(model.RateVMs) * model.RateDuration.Seconds()
			bytes = max(bytes, float64(e.f.bytes)/per)
			writes += float64(e.f.storeWrites) / per / float64(len(model.RateLoads))
			calls = max(calls, float64(e.f.storeCalls)/per)
		}
	}
	b.ReportMetric(float64(violations), "over")
	b.ReportMetric(bytes, "max_B/s/VM")
	b.ReportMetric(float64(messages)/float64(max(requests, 1)), "messages/request")
	b.ReportMetric(writes, "writes/s/VM")
	b.ReportMetric(calls, "max_calls/s/VM")
}
