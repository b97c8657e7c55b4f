// Package stream passes the answer of a target to a caller complete and in
// order, resumes it where it broke, or ends it with an explicit error.
package stream
