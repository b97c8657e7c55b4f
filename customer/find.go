package customer

import (
	"encoding/base64"
	"net/http"
	"net/url"
	"slices"
	"strings"
)

// Names of headers that carry a key on every route.
const (
	headerAuthorization      = "Authorization"
	headerProxyAuthorization = "Proxy-Authorization"
	headerAPIKey             = "X-Api-Key"
	headerCookie             = "Cookie"
	headerConnection         = "Connection"
	headerTrailer            = "Trailer"
)

// keyHeaders are the headers whose whole value is a key.
var keyHeaders = []string{headerAPIKey, "Api-Key", "X-Goog-Api-Key", "X-Auth-Token"}

// keyNames are the names of cookies and of query parameters that carry a key,
// in lower case. A cookie or parameter named like a header counts as well.
var keyNames = []string{"key", "api_key", "apikey", "access_token", "token", "authorization", "auth"}

// A finding is what a request carries in the places of keys.
type finding struct {
	secrets   []string // distinct, in the order found
	malformed bool
	query     bool
	trailer   bool
}

// find reads every place of a request that can carry a key. The secrets are
// the names of further headers, from the route.
func find(r *http.Request, secrets []string) finding {
	var f finding
	f.addHeaders(r.Header, secrets)
	for _, c := range r.Cookies() {
		if isKeyName(c.Name, secrets) {
			f.add(c.Value)
		}
	}
	f.query = hasKeyQuery(r.URL, secrets)
	f.trailer = hasKeyTrailer(r, secrets)
	return f
}

// refusal returns the verdict on a request whose keys cannot be used.
func (f *finding) refusal() (Denied, bool) {
	switch {
	case f.query:
		return Denied{Status: http.StatusBadRequest, Reason: ReasonKeyInQuery}, true
	case f.trailer:
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

// addCredentials adds the key of an Authorization header: a bearer token, or
// the password of basic credentials.
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

func (f *finding) addBasic(encoded string) {
	plain, err := base64.StdEncoding.DecodeString(encoded)
	_, password, ok := strings.Cut(string(plain), ":")
	if err != nil || !ok || password == "" {
		f.malformed = true
		return
	}
	f.add(password)
}

// add adds a secret once. An empty value is no key.
func (f *finding) add(secret string) {
	secret = strings.TrimSpace(secret)
	if secret == "" || slices.Contains(f.secrets, secret) {
		return
	}
	f.secrets = append(f.secrets, secret)
}

// bearer returns a value without a "Bearer " in front.
func bearer(value string) string {
	scheme, rest, ok := strings.Cut(strings.TrimSpace(value), " ")
	if ok && strings.EqualFold(scheme, "bearer") {
		return rest
	}
	return value
}

// sameName compares names as loosely as any target may: upper and lower case,
// hyphens and underscores are the same.
func sameName(a, b string) bool {
	hyphens := func(s string) string { return strings.ReplaceAll(s, "_", "-") }
	return strings.EqualFold(hyphens(a), hyphens(b))
}

// isKeyName tells whether a cookie or a query parameter carries a key.
func isKeyName(name string, secrets []string) bool {
	same := func(other string) bool { return sameName(name, other) }
	return slices.ContainsFunc(keyNames, same) ||
		slices.ContainsFunc(keyHeaders, same) ||
		slices.ContainsFunc(secrets, same)
}

// isKeyHeader tells whether a header carries a key.
func isKeyHeader(name string, secrets []string) bool {
	same := func(other string) bool { return sameName(name, other) }
	return same(headerAuthorization) || same(headerProxyAuthorization) || same(headerCookie) ||
		slices.ContainsFunc(keyHeaders, same) ||
		slices.ContainsFunc(secrets, same)
}

// hasKeyQuery tells whether a key rides in the query. Parameters are split as
// loosely as any target may split them: at "&" and ";".
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

// hasKeyTrailer tells whether a trailer that carries a key is announced or has
// arrived.
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

// listed returns the names in a comma-separated header.
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
