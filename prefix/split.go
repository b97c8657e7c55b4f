package prefix

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// BytesPerToken is the assumed number of prompt bytes per token.
const BytesPerToken = 4

const (
	// partitionBits is the number of leading bits that all keys of a family
	// share.
	partitionBits  = 16
	partitionShift = 64 - partitionBits
)

// A Partition is a part of the index: the families whose keys have the same
// leading bits.
type Partition uint16

// Partition returns the partition of the index that the key belongs to. It is the
// same for all keys of a family, so that the partition of a key in a cache event
// is known without its parent.
func (k Key) Partition() Partition { return Partition(k >> partitionShift) }

// Digest returns a digest of the salt in hexadecimal, which does not reveal the
// customer.
func (s Salt) Digest() string {
	sum := s.sum()
	return hex.EncodeToString(sum[:])
}

// sum hashes the fields of the salt. Each field is prefixed with its length, so
// that different salts never have the same hash input.
func (s Salt) sum() [sha256.Size]byte {
	var input []byte
	for _, field := range []string{s.Customer, s.Model, s.Version, s.Adapter} {
		input = binary.AppendUvarint(input, uint64(len(field)))
		input = append(input, field...)
	}
	return sha256.Sum256(input)
}

// Split splits prompt into pieces of the given number of bytes and returns the
// resulting Prompt. Each key covers the salt and all bytes up to the end of its
// piece. An incomplete last piece counts towards Tokens but has no key.
func Split(salt Salt, prompt []byte, piece int) Prompt {
	p := Prompt{Salt: salt, Tokens: tokens(len(prompt))}
	if piece <= 0 {
		return p
	}
	p.PieceTokens = tokens(piece)
	n := len(prompt) / piece
	if n == 0 {
		return p
	}
	p.Keys = make([]Key, 0, n)
	chain := salt.sum()
	h := sha256.New()
	for i := range n {
		h.Reset()
		_, _ = h.Write(chain[:])
		_, _ = h.Write(prompt[i*piece : (i+1)*piece])
		h.Sum(chain[:0])
		p.Keys = append(p.Keys, chainKey(p.Keys, chain))
	}
	return p
}

// chainKey returns the key of the piece after before: the leading bits of the
// family's first key, followed by bits of the digest.
func chainKey(before []Key, digest [sha256.Size]byte) Key {
	k := Key(binary.BigEndian.Uint64(digest[:]))
	if len(before) == 0 {
		return k
	}
	const rest = 1<<partitionShift - 1
	return before[0]&^rest | k&rest
}

// tokens returns the number of tokens in n bytes, rounded up.
func tokens(n int) int { return (n + BytesPerToken - 1) / BytesPerToken }
