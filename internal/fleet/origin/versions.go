package origin

import (
	"maps"
	"slices"
	"time"

	"github.com/baobabdyke/baobabdyke/internal/fleet/site"
	"github.com/baobabdyke/baobabdyke/internal/fleet/source"
)

// A listing is the time during which a version was listed.
type listing struct{ first, last time.Time }

// versions tells which software versions of each service's targets are listed, or were lately.
type versions struct {
	// started is since when targets are known.
	started time.Time
	listed  map[string]map[string]listing
	// streamed are the services with routes whose streams may be taken up under config.
	streamed map[string]bool
	config   *site.Config
	// view is the one that was last observed, at observed.
	view     *source.View
	observed time.Time
	// anyMixed reports whether a service has several versions, now or lately.
	anyMixed bool
}

// observeInterval is the shortest time between two observations of the same view.
const observeInterval = 50 * time.Millisecond

// observe records the versions that are listed now.
func (v *versions) observe(view *source.View, now time.Time) {
	if view.Config == nil || len(view.Targets) == 0 && v.started.IsZero() || view == v.view && now.Sub(v.observed) < observeInterval {
		return
	}
	v.view, v.observed = view, now
	if v.started.IsZero() {
		v.started = now
	}
	if v.listed == nil {
		v.listed = map[string]map[string]listing{}
	}
	v.configure(view.Config)
	for _, t := range view.Targets {
		if !v.streamed[t.Service] {
			continue
		}
		if v.listed[t.Service] == nil {
			v.listed[t.Service] = map[string]listing{}
		}
		l, known := v.listed[t.Service][t.Version]
		if !known {
			l.first = now
		}
		l.last = now
		v.listed[t.Service][t.Version] = l
	}
	for _, of := range v.listed {
		for version, l := range of {
			if now.Sub(l.last) >= remember {
				delete(of, version)
			}
		}
	}
	v.updateMixed()
}

// configure finds the services whose streams may be taken up.
func (v *versions) configure(cfg *site.Config) {
	if cfg == v.config {
		return
	}
	v.config, v.streamed = cfg, map[string]bool{}
	for _, r := range cfg.Routes {
		if !r.Resumable {
			continue
		}
		for _, s := range r.Shares {
			v.streamed[s.Service] = true
		}
	}
}

// updateMixed updates anyMixed.
func (v *versions) updateMixed() {
	v.anyMixed = false
	for service := range v.listed {
		v.anyMixed = v.anyMixed || v.isMixed(service)
	}
}

// isMixed reports whether a service has several versions, now or lately.
func (v *versions) isMixed(service string) bool { return len(v.listed[service]) > 1 }

// of returns the versions that a service has, or had lately, in order.
func (v *versions) of(service string) []string { return slices.Sorted(maps.Keys(v.listed[service])) }

// learn counts versions as listed lately, which a record says a service has or had. A VM that has
// known the targets for long enough knows better.
func (v *versions) learn(service string, names []string, now time.Time) {
	if !v.started.IsZero() && now.Sub(v.started) >= remember {
		return
	}
	if v.listed == nil {
		v.listed = map[string]map[string]listing{}
	}
	if v.listed[service] == nil {
		v.listed[service] = map[string]listing{}
	}
	for _, name := range names {
		l := v.listed[service][name]
		l.last = now
		v.listed[service][name] = l
	}
	v.updateMixed()
}

// young returns the versions of a service that have been listed for less than a time, beside
// others, since targets are known.
func (v *versions) young(service string, age time.Duration, now time.Time) []string {
	var out []string
	for version, l := range v.listed[service] {
		if l.first.After(v.started) && now.Sub(l.first) < age {
			out = append(out, version)
		}
	}
	return out
}

// only returns the one version that a service has and had lately, if it is one.
func (v *versions) only(service string) (version string, ok bool) {
	if len(v.listed[service]) != 1 {
		return "", false
	}
	for version = range v.listed[service] {
	}
	return version, true
}

// isSole reports whether all streams of a service that may still go on began at the same version.
func (v *versions) isSole(service string, now time.Time) bool {
	_, ok := v.only(service)
	return ok && !v.started.IsZero() && now.Sub(v.started) >= remember
}
