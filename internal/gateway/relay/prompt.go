package relay

import (
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/baobabdyke/baobabdyke/internal/fleet/site"
	"github.com/baobabdyke/baobabdyke/internal/gateway/placing"
	"github.com/baobabdyke/baobabdyke/platform"
)

// A prompt is a request's prompt within one cache scope. Each attempt uses the scope of
// the configuration that is in force when it is made: a customer may have been isolated
// since the request was admitted.
type prompt struct {
	model string
	scope string
	// prefixes are the starts of the prompt that other prompts may share.
	prefixes []placing.Prefix
}

// newPrompt returns the prompt of a request within a cache scope.
func newPrompt(info *platform.RequestInfo, scope string) prompt {
	p := prompt{model: info.Model, scope: scope}
	if len(info.Segments) == 0 {
		return p
	}
	hash := xxhash.New()
	_, _ = hash.WriteString(info.Model + scope)
	tokens := 0
	for _, segment := range info.Segments[:len(info.Segments)-1] {
		tokens += segment.Tokens
		_, _ = hash.WriteString("/" + segment.ID)
		p.prefixes = append(p.prefixes, placing.Prefix{Hash: hash.Sum64(), Segment: segment.ID, Tokens: tokens})
	}
	return p
}

// promptUnder returns the prompt under a configuration.
func (j *job) promptUnder(cfg *site.Config) prompt {
	if scope := cfg.CacheScope(j.customerName()); scope != j.prompt.scope {
		return newPrompt(&j.info, scope)
	}
	return j.prompt
}

// cacheStore returns the address of the KV cache store for the prompt, or "" if there is
// none.
func (p prompt) cacheStore(cfg *site.Config) string {
	if len(p.prefixes) == 0 {
		return ""
	}
	if cache := cfg.CacheStore(p.prefixes[len(p.prefixes)-1].Hash); cache != nil {
		return cache.Address
	}
	return ""
}

// salt identifies the KV cache that was made within the prompt's scope with a version of
// the weights.
func (p prompt) salt(weights int64) string {
	return p.model + ".v" + strconv.FormatInt(weights, 10) + p.scope
}
