// Package customer decides for which customer a request runs: it reads the key
// of a request, checks it against the configuration in force, and removes it
// from everything that is passed on.
package customer

import "github.com/baobabdyke/baobabdyke/config"

// A Grant is the right of one request to run on a route. Open routes give a
// Grant with no Customer. KeyID names the key and is safe to log; Digest is
// what a later Check compares, and is not.
type Grant struct {
	Customer string
	KeyID    string
	Digest   string
	Route    string
	Version  int64
}

// A Verdict is the outcome of an authorization: Granted or Denied.
type Verdict interface{ verdict() }

// Granted reports that the request may run on the route.
type Granted struct {
	Grant Grant
	Route *config.Route
}

// Denied reports that the request may not run. Status is the HTTP status that
// fits (400, 401, 403 or 404) and Reason is for the caller to read.
type Denied struct {
	Status int
	Reason string
}

func (Granted) verdict() {}
func (Denied) verdict()  {}
