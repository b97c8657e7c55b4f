package customer

import (
	"encoding/base64"
	"net/http"
	"net/url"
	"slices"
	"strings"
)

// Names of headers that may carry a key on every route, and of headers that list
// the names of other headers.
const (
	headerAuthorization      = "Authorization"
	headerProxyAuthorization = "Proxy-Authorization"
	headerAPIKey             = "X-Api-Key"
	headerCookie             = "Cookie"
	headerConnection         = "Connection"
	headerTrailer            = "Trailer"
)

// keyHeaders are the headers whose whole value is a key, with or without a
// "Bearer " prefix.
var keyHeaders = []string{headerAPIKey, "Api-Key", "X-Goog-Api-Key", "X-Auth-Token"}

// keyNames are the lower-case names of cookies and of query parameters that carry a
// key. A cookie or parameter with the name of a key header also carries one.
var keyNames = []string{"key", "api_key", "apikey", "access_token", "token", "authorization", "auth"}

// A finding is the result of searching a request for keys.
type finding struct {
	secrets   []string // distinct, in the order found
	malformed bool
	inQuery   bool
	inTrailer bool
}

// find searches a request for keys in every place that can carry one. The secrets
// are the names of further headers that carry keys, from the route.
func find(r *http.Request, secrets []string) finding {
	var f finding
	f.addHeaders(r.Header, secrets)
	for _, c := range r.Cookies() {
		if isKeyName(c.Name, secrets) {
			f.add(c.Value)
		}
	}
	f.inQuery = hasKeyQuery(r.URL, secrets)
	f.inTrailer = hasKeyTrailer(r, secrets)
	return f
}

// refusal returns the verdict on a request without exactly one usable key. It
// reports false if the request has one.
func (f *finding) refusal() (Denied, bool) {
	switch {
	case f.inQuery:
		return Denied{Status: http.StatusBadRequest, Reason: ReasonKeyInQuery}, true
	case f.inTrailer:
		return Denied{Status: http.StatusBadRequest, Reason: ReasonKeyInTrailer}, true
	case f.malformed:
		return Denied{Status: http.StatusUnauthorized, Reason: ReasonMalformedCredentials}, true
	case len(f.secrets) > 1:
		return Denied{Status: http.StatusBadRequest, Reason: ReasonMultipleKeys}, true
	case len(f.secrets) == 0:
		return Denied{Status: http.StatusUnauthorized, Reason: ReasonNoKey}, true
	}
	return Denied{}, false
}

func (f *finding) addHeaders(h http.Header, secrets []string) {
	for _, name := range []string{headerAuthorization, headerProxyAuthorization} {
		for _, value := range h.Values(name) {
			f.addCredentials(value)
		}
	}
	for _, name := range append(slices.Clone(keyHeaders), secrets...) {
		for _, value := range h.Values(name) {
			f.add(bearer(value))
		}
	}
}

// addCredentials adds the key of an Authorization header: a bearer token, or the
// password of basic credentials.
func (f *finding) addCredentials(value string) {
	scheme, rest, ok := strings.Cut(strings.TrimSpace(value), " ")
	rest = strings.TrimSpace(rest)
	switch {
	case ok && strings.EqualFold(scheme, "bearer") && rest != "" && !strings.ContainsAny(rest, " ,"):
		f.add(rest)
	case ok && strings.EqualFold(scheme, "basic"):
		f.addBasic(rest)
	default:
		f.malformed = true
	}
}

// addBasic adds the password of basic credentials.
func (f *finding) addBasic(encoded string) {
	plain, err := base64.StdEncoding.DecodeString(encoded)
	_, password, ok := strings.Cut(string(plain), ":")
	if err != nil || !ok || password == "" {
		f.malformed = true
		return
	}
	f.add(password)
}

// add adds a secret unless it is empty or already present.
func (f *finding) add(secret string) {
	secret = strings.TrimSpace(secret)
	if secret == "" || slices.Contains(f.secrets, secret) {
		return
	}
	f.secrets = append(f.secrets, secret)
}

// bearer returns a value without a "Bearer " prefix.
func bearer(value string) string {
	scheme, rest, ok := strings.Cut(strings.TrimSpace(value), " ")
	if ok && strings.EqualFold(scheme, "bearer") {
		return rest
	}
	return value
}

// sameName compares names as leniently as any target may: it ignores case and treats
// hyphens and underscores as equal.
func sameName(a, b string) bool {
	hyphens := func(s string) string { return strings.ReplaceAll(s, "_", "-") }
	return strings.EqualFold(hyphens(a), hyphens(b))
}

// isKeyName reports whether a cookie or a query parameter may carry a key.
func isKeyName(name string, secrets []string) bool {
	same := func(other string) bool { return sameName(name, other) }
	return slices.ContainsFunc(keyNames, same) ||
		slices.ContainsFunc(keyHeaders, same) ||
		slices.ContainsFunc(secrets, same)
}

// isKeyHeader reports whether a header may carry a key.
func isKeyHeader(name string, secrets []string) bool {
	same := func(other string) bool { return sameName(name, other) }
	return same(headerAuthorization) || same(headerProxyAuthorization) || same(headerCookie) ||
		slices.ContainsFunc(keyHeaders, same) ||
		slices.ContainsFunc(secrets, same)
}

// hasKeyQuery reports whether a query parameter may carry a key. Parameters are
// split as leniently as any target may split them: at "&" and ";".
func hasKeyQuery(u *url.URL, secrets []string) bool {
	return slices.ContainsFunc(queryParts(u.RawQuery), func(part string) bool {
		return isKeyName(partName(part), secrets)
	})
}

func queryParts(raw string) []string {
	return strings.FieldsFunc(raw, func(r rune) bool { return r == '&' || r == ';' })
}

// partName returns the decoded name of one query parameter.
func partName(part string) string {
	name, _, _ := strings.Cut(part, "=")
	if decoded, err := url.QueryUnescape(name); err == nil {
		name = decoded
	}
	return strings.TrimSpace(name)
}

// hasKeyTrailer reports whether the request has, or announces, a trailer that may
// carry a key.
func hasKeyTrailer(r *http.Request, secrets []string) bool {
	for name := range r.Trailer {
		if isKeyHeader(name, secrets) {
			return true
		}
	}
	return slices.ContainsFunc(listed(r.Header, headerTrailer), func(name string) bool {
		return isKeyHeader(name, secrets)
	})
}

// listed returns the names listed in a comma-separated header.
func listed(h http.Header, header string) []string {
	var names []string
	for _, value := range h.Values(header) {
		for _, name := range strings.Split(value, ",") {
			if name = strings.TrimSpace(name); name != "" {
				names = append(names, name)
			}
		}
	}
	return names
}
