package customer

import (
	"net/http"
	"slices"

	"github.com/baobabdyke/baobabdyke/config"
)

// Reasons of a Denied verdict. They are sent to the caller.
const (
	ReasonNoRoute              = "unknown route"
	ReasonNoKey                = "no key: send it as \"Authorization: Bearer KEY\" or \"X-Api-Key: KEY\""
	ReasonKeyInQuery           = "a key in the query is refused, since addresses are logged: send it as a header"
	ReasonKeyInTrailer         = "a key in a trailer is refused: send it as a header"
	ReasonMultipleKeys         = "the request carries different keys: send one"
	ReasonMalformedCredentials = "malformed credentials: send \"Authorization: Bearer KEY\""
	ReasonUnknownKey           = "unknown key"
	ReasonWithdrawn            = "the key is withdrawn"
	ReasonRouteNotPermitted    = "the customer may not use this route"
	ReasonOtherCustomer        = "the key is now another customer's"
)

// Authorize decides whether a request may run on a route, and for which customer. It
// searches every place of the request that can carry a key. Open routes need no key
// and ignore any.
func Authorize(v *config.View, r *http.Request, route string) Verdict {
	rt := v.Route(route)
	if rt == nil {
		return Denied{Status: http.StatusNotFound, Reason: ReasonNoRoute}
	}
	if rt.Open {
		return Granted{Grant: Grant{Route: route, Version: v.Version}, Route: rt}
	}
	found := find(r, rt.Secrets)
	if denied, bad := found.refusal(); bad {
		return denied
	}
	digest := Digest(found.secrets[0])
	return check(v, Grant{Route: route, Digest: digest}, rt)
}

// Check decides whether a granted request may still run under the current
// configuration. It is called before every send, retry and resume.
func Check(v *config.View, g Grant) Verdict {
	rt := v.Route(g.Route)
	if rt == nil {
		return Denied{Status: http.StatusNotFound, Reason: ReasonNoRoute}
	}
	if rt.Open {
		return Granted{Grant: Grant{Route: g.Route, Version: v.Version}, Route: rt}
	}
	return check(v, g, rt)
}

// MustAbort reports whether a running request must be aborted because its key was
// withdrawn with config.WithdrawnCut. After all other changes of the configuration,
// running requests may finish.
func MustAbort(v *config.View, g Grant) bool {
	if g.Digest == "" {
		return false
	}
	_, key := owner(v, g.Digest)
	return key != nil && key.Withdrawn == config.WithdrawnCut
}

// check decides whether a grant is valid on a route that requires a key. The digest
// of the grant identifies the key; if the grant names a customer, the key must
// still belong to that customer.
func check(v *config.View, g Grant, rt *config.Route) Verdict {
	c, key := owner(v, g.Digest)
	switch {
	case c == nil:
		return Denied{Status: http.StatusUnauthorized, Reason: ReasonUnknownKey}
	case key.Withdrawn != "":
		return Denied{Status: http.StatusUnauthorized, Reason: ReasonWithdrawn}
	case g.Customer != "" && g.Customer != c.Name:
		return Denied{Status: http.StatusUnauthorized, Reason: ReasonOtherCustomer}
	case !slices.Contains(c.Routes, rt.Name):
		return Denied{Status: http.StatusForbidden, Reason: ReasonRouteNotPermitted}
	}
	return Granted{
		Grant: Grant{Customer: c.Name, KeyID: key.ID, Digest: g.Digest, Route: rt.Name, Version: v.Version},
		Route: rt,
	}
}
