package order

import (
	"cmp"
	"slices"

	"github.com/baobabdyke/baobabdyke/config"
	"github.com/baobabdyke/baobabdyke/target"
)

// DesiredModels returns the models that the routes of a pool need, sorted by
// model and version.
func DesiredModels(v *config.View, pool string) []DesiredModel {
	type modelVersion struct{ model, version string }
	adapters := map[modelVersion][]string{}
	for i := range v.Routes {
		r := &v.Routes[i]
		if r.Pool == pool && r.Kind == config.RouteModel {
			mv := modelVersion{model: r.Model, version: r.Version}
			adapters[mv] = append(adapters[mv], r.Adapters...)
		}
	}
	desired := make([]DesiredModel, 0, len(adapters))
	for mv, list := range adapters {
		slices.Sort(list)
		desired = append(desired, DesiredModel{Model: mv.model, Version: mv.version, Adapters: slices.Compact(list)})
	}
	slices.SortFunc(desired, func(a, b DesiredModel) int {
		return cmp.Or(cmp.Compare(a.Model, b.Model), cmp.Compare(a.Version, b.Version))
	})
	return desired
}

// assign assigns one version of each model to each engine, since an engine can
// load only one version of a model. An engine keeps a desired version that it has
// loaded unless too many engines have the same one. The result is by target name.
func assign(desired []DesiredModel, engines []Engine) map[string][]DesiredModel {
	result := make(map[string][]DesiredModel, len(engines))
	for len(desired) > 0 {
		n := 1
		for n < len(desired) && desired[n].Model == desired[0].Model {
			n++
		}
		assignModel(desired[:n], engines, result)
		desired = desired[n:]
	}
	return result
}

// assignModel assigns the versions of one model evenly to the engines.
func assignModel(versions []DesiredModel, engines []Engine, result map[string][]DesiredModel) {
	quota := (len(engines) + len(versions) - 1) / len(versions)
	assigned := make([]int, len(versions))
	var rest []Engine
	for _, e := range engines {
		i := slices.IndexFunc(versions, func(d DesiredModel) bool { return hasVersion(e.Report, d) })
		if i < 0 || assigned[i] >= quota {
			rest = append(rest, e)
			continue
		}
		assigned[i]++
		result[e.Target.Name] = append(result[e.Target.Name], versions[i])
	}
	for _, e := range rest {
		fewest := 0
		for i := range assigned {
			if assigned[i] < assigned[fewest] {
				fewest = i
			}
		}
		assigned[fewest]++
		result[e.Target.Name] = append(result[e.Target.Name], versions[fewest])
	}
}

// findModel returns the entry of a model in a report, or nil.
func findModel(r target.Report, model string) *target.Loaded {
	for i := range r.Models {
		if r.Models[i].Model == model {
			return &r.Models[i]
		}
	}
	return nil
}

// hasVersion reports whether an engine has the desired version loaded.
func hasVersion(r target.Report, d DesiredModel) bool {
	l := findModel(r, d.Model)
	return l != nil && l.Version == d.Version
}
