// Package stream relays the response of a target to a caller, complete and in
// order. It resumes a stream that breaks, or ends it with an error event.
package stream
