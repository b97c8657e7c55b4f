package customer

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"fmt"

	"github.com/baobabdyke/baobabdyke/config"
)

// Digest returns the digest of a secret in the format of the configuration: the
// SHA-256 hash in lower-case hexadecimal.
func Digest(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(sum[:])
}

// String returns the grant without its digest.
func (g Grant) String() string {
	return fmt.Sprintf("customer=%s key=%s route=%s version=%d", g.Customer, g.KeyID, g.Route, g.Version)
}

// Format implements fmt.Formatter, so that no verb prints the digest.
func (g Grant) Format(s fmt.State, _ rune) {
	_, _ = s.Write([]byte(g.String()))
}

// MarshalText implements encoding.TextMarshaler, so that encoded grants do not
// contain the digest.
func (g Grant) MarshalText() ([]byte, error) {
	return []byte(g.String()), nil
}

// Format implements fmt.Formatter, so that no verb prints the digest.
func (d Granted) Format(s fmt.State, _ rune) {
	_, _ = s.Write([]byte(d.Grant.String()))
}

// owner returns the customer and the key with the given digest, or nil. As the
// lookup uses a hash of the secret, its duration reveals nothing about the secret;
// the final comparison takes constant time.
func owner(v *config.View, digest string) (*config.Customer, *config.Key) {
	c, key := v.KeyByDigest(digest)
	if key == nil || subtle.ConstantTimeCompare([]byte(key.Digest), []byte(digest)) != 1 {
		return nil, nil
	}
	return c, key
}
