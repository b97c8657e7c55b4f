// Package customer authenticates and authorises requests: it reads the API key of a
// request, looks up its customer in the current configuration, and removes keys
// from everything that is forwarded to targets.
package customer

import "github.com/baobabdyke/baobabdyke/config"

// A Grant is the right of one request to run on a route. It has no Customer on open
// routes. KeyID identifies the key and is safe to log. Digest is compared by Check
// and must not be logged. Version is the version of the configuration.
type Grant struct {
	Customer string
	KeyID    string
	Digest   string
	Route    string
	Version  int64
}

// A Verdict is the result of an authorization: Granted or Denied.
type Verdict interface{ verdict() }

// Granted reports that the request may run on the route.
type Granted struct {
	Grant Grant
	Route *config.Route
}

// Denied reports that the request may not run. Status is the HTTP status of the
// response (400, 401, 403 or 404) and Reason is a message for the caller.
type Denied struct {
	Status int
	Reason string
}

func (Granted) verdict() {}
func (Denied) verdict()  {}
