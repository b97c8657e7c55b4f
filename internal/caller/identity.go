package caller

import (
	"context"
	"crypto/rand"
	"encoding/hex"
)

// maxRequestIDBytes is the largest request ID that is accepted from a caller.
const maxRequestIDBytes = 64

// randomIDBytes is the size of the random part of a request ID.
const randomIDBytes = 12

type requestIDKey struct{}

func withRequestID(ctx context.Context, id string) context.Context {
	return context.WithValue(ctx, requestIDKey{}, id)
}

// requestID returns the ID of the request that ctx belongs to.
func requestID(ctx context.Context) string {
	id, _ := ctx.Value(requestIDKey{}).(string)
	return id
}

// newRequestID returns an ID that is unique across all VMs. It starts with the
// caller's ID if that is safe to log and to forward.
func newRequestID(callerID string) string {
	var b [randomIDBytes]byte
	_, _ = rand.Read(b[:])
	random := hex.EncodeToString(b[:])
	if !isValidRequestID(callerID) {
		return random
	}
	return callerID + "." + random
}

// isValidRequestID reports whether a caller's request ID is safe to log and to
// forward.
func isValidRequestID(id string) bool {
	if id == "" || len(id) > maxRequestIDBytes {
		return false
	}
	for _, c := range []byte(id) {
		letter := 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z'
		digit := '0' <= c && c <= '9'
		if !letter && !digit && c != '-' && c != '_' && c != '.' {
			return false
		}
	}
	return true
}
