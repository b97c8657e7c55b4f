package order_test

import (
	"fmt"
	"time"

	"github.com/baobabdyke/baobabdyke/config"
	"github.com/baobabdyke/baobabdyke/order"
	"github.com/baobabdyke/baobabdyke/target"
)

func ExamplePlan() {
	now := time.Unix(1000, 0)
	engine := config.Target{Name: "runner-1", Kind: config.TargetEngine, Pool: "verdict-llm", Fencing: true}
	input := order.PlanInput{
		View: config.NewView(&config.Config{
			Routes: []config.Route{{Kind: config.RouteModel, Pool: "verdict-llm", Model: "verdict", Version: "v2"}},
		}),
		Pool: "verdict-llm",
		Engines: []order.Engine{{
			Target: &engine,
			Report: target.Report{Models: []target.Loaded{{Model: "verdict", Version: "v1"}}},
			Live:   true,
		}},
		TermStart: now.Add(-time.Minute),
		Now:       now,
	}
	for _, p := range order.Plan(input) {
		fmt.Println(p.Engine.Target.Name, p.Order.Kind, p.Order.Model, p.Order.Version)
	}
	// Output: runner-1 load verdict v2
}
