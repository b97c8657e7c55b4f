// Package dispatch runs one request on targets: it chooses, sends, retries
// where that is allowed, and hands the answer to the caller.
package dispatch
