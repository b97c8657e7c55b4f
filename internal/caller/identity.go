package caller

import (
	"context"
	"crypto/rand"
	"encoding/hex"
)

// maxIDBytes is the largest request id that is taken from a caller.
const maxIDBytes = 64

// randomIDBytes is the size of the random part of a request id.
const randomIDBytes = 12

type idKey struct{}

func withID(ctx context.Context, id string) context.Context {
	return context.WithValue(ctx, idKey{}, id)
}

// requestID returns the id of the request that ctx belongs to.
func requestID(ctx context.Context) string {
	id, _ := ctx.Value(idKey{}).(string)
	return id
}

// newID returns an id that no other request of any VM has. It starts with the
// caller's own id if that is safe to log and to pass on.
func newID(own string) string {
	var b [randomIDBytes]byte
	_, _ = rand.Read(b[:])
	random := hex.EncodeToString(b[:])
	if !validID(own) {
		return random
	}
	return own + "." + random
}

// validID tells whether a caller's request id is safe to log and to pass on.
func validID(id string) bool {
	if id == "" || len(id) > maxIDBytes {
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
