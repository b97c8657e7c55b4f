package order

import (
	"cmp"
	"slices"

	"github.com/baobabdyke/baobabdyke/config"
	"github.com/baobabdyke/baobabdyke/target"
)

// Wants returns what the routes of a pool want, by model and version.
func DesiredModels(v *config.View, pool string) []DesiredModel {
	type name struct{ model, version string }
	adapters := map[name][]string{}
	for i := range v.Routes {
		r := &v.Routes[i]
		if r.Pool == pool && r.Kind == config.RouteModel {
			n := name{model: r.Model, version: r.Version}
			adapters[n] = append(adapters[n], r.Adapters...)
		}
	}
	wants := make([]DesiredModel, 0, len(adapters))
	for n, list := range adapters {
		slices.Sort(list)
		wants = append(wants, DesiredModel{Model: n.model, Version: n.version, Adapters: slices.Compact(list)})
	}
	slices.SortFunc(wants, func(a, b DesiredModel) int {
		return cmp.Or(cmp.Compare(a.Model, b.Model), cmp.Compare(a.Version, b.Version))
	})
	return wants
}

// assign divides the versions of each model over the engines, since an engine
// holds one version of a model. Engines keep a wanted version that they hold
// unless too many hold the same. The result is by target name.
func assign(wants []DesiredModel, engines []Engine) map[string][]DesiredModel {
	result := make(map[string][]DesiredModel, len(engines))
	for len(wants) > 0 {
		n := 1
		for n < len(wants) && wants[n].Model == wants[0].Model {
			n++
		}
		assignModel(wants[:n], engines, result)
		wants = wants[n:]
	}
	return result
}

// assignModel divides the versions of one model.
func assignModel(versions []DesiredModel, engines []Engine, result map[string][]DesiredModel) {
	quota := (len(engines) + len(versions) - 1) / len(versions)
	taken := make([]int, len(versions))
	var rest []Engine
	for _, e := range engines {
		i := slices.IndexFunc(versions, func(w DesiredModel) bool { return holds(e.Report, w) })
		if i < 0 || taken[i] >= quota {
			rest = append(rest, e)
			continue
		}
		taken[i]++
		result[e.Target.Name] = append(result[e.Target.Name], versions[i])
	}
	for _, e := range rest {
		least := 0
		for i := range taken {
			if taken[i] < taken[least] {
				least = i
			}
		}
		taken[least]++
		result[e.Target.Name] = append(result[e.Target.Name], versions[least])
	}
}

// loaded returns what a report says of a model, or nil.
func loaded(r target.Report, model string) *target.Loaded {
	for i := range r.Models {
		if r.Models[i].Model == model {
			return &r.Models[i]
		}
	}
	return nil
}

// holds tells whether an engine holds the version of a want.
func holds(r target.Report, w DesiredModel) bool {
	l := loaded(r, w.Model)
	return l != nil && l.Version == w.Version
}
