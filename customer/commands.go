package customer

import (
	"net/http"
	"net/url"
	"strings"
)

// hopHeaders are the hop-by-hop headers, which apply to one connection only.
var hopHeaders = []string{
	headerConnection, "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate",
	"Te", headerTrailer, "Transfer-Encoding", "Upgrade",
}

// Strip removes everything that may carry an API key from a header and a URL. It
// also removes hop-by-hop headers, including those that are listed in Connection.
// The secrets are the names of further headers that carry keys, from the route. The
// URL may be nil.
func Strip(h http.Header, u *url.URL, secrets []string) {
	for _, name := range listed(h, headerConnection) {
		remove(h, name)
	}
	for _, name := range hopHeaders {
		remove(h, name)
	}
	StripTrailer(h, secrets)
	if u != nil {
		u.User = nil
		u.RawQuery = withoutKeys(u.RawQuery, secrets)
		u.Fragment = ""
		u.RawFragment = ""
	}
}

// StripTrailer removes every field that may carry an API key from a trailer.
func StripTrailer(trailer http.Header, secrets []string) {
	for name := range trailer {
		if isKeyHeader(name, secrets) {
			delete(trailer, name)
		}
	}
}

// remove deletes a header, ignoring the case of its name.
func remove(h http.Header, name string) {
	for present := range h {
		if strings.EqualFold(present, name) {
			delete(h, present)
		}
	}
}

// withoutKeys returns a query without the parameters that may carry keys.
func withoutKeys(raw string, secrets []string) string {
	kept := make([]string, 0, 4)
	for _, part := range queryParts(raw) {
		if !isKeyName(partName(part), secrets) {
			kept = append(kept, part)
		}
	}
	if len(kept) == len(queryParts(raw)) {
		return raw
	}
	return strings.Join(kept, "&")
}
