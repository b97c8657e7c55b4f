package prefix

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// BytesPerToken is the number of prompt bytes that one token stands for.
const BytesPerToken = 4

const (
	// divisionBits is the number of leading bits of a Key that all keys of one
	// family share.
	divisionBits  = 16
	divisionShift = 64 - divisionBits
)

// A Division is a part of the index: the families whose keys share their
// leading bits.
type Partition uint16

// Division returns the division of the index that the key belongs to. It is the
// same for all keys of a family, so that a key of an event needs no parent to
// be placed.
func (k Key) Partition() Partition { return Partition(k >> divisionShift) }

// Digest returns a digest of the salt in hexadecimal, which names no customer.
func (s Salt) Digest() string {
	sum := s.sum()
	return hex.EncodeToString(sum[:])
}

// sum hashes the fields of the salt, each with its length before it, so that
// no two salts have the same input.
func (s Salt) sum() [sha256.Size]byte {
	var input []byte
	for _, field := range []string{s.Customer, s.Model, s.Version, s.Adapter} {
		input = binary.AppendUvarint(input, uint64(len(field)))
		input = append(input, field...)
	}
	return sha256.Sum256(input)
}

// Split returns the Prompt of the given bytes, cut into pieces of piece bytes.
// Each key covers the salt and all bytes up to the end of its piece. The rest
// that fills no piece counts into Tokens and has no key.
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

// chainKey returns the key of the next piece: the leading bits of the family
// and the digest's bits after them.
func chainKey(before []Key, digest [sha256.Size]byte) Key {
	k := Key(binary.BigEndian.Uint64(digest[:]))
	if len(before) == 0 {
		return k
	}
	const rest = 1<<divisionShift - 1
	return before[0]&^rest | k&rest
}

// tokens returns the number of tokens in n bytes, rounded up.
func tokens(n int) int { return (n + BytesPerToken - 1) / BytesPerToken }
