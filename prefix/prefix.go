// Package prefix knows which engine holds which cached piece of a prompt. What
// it says is a hint: an engine decides for itself what it can reuse.
package prefix

// A Salt separates cached prefixes that must not be shared. Customer is empty
// on routes that are open to all.
type Salt struct {
	Customer string
	Model    string
	Version  string
	Adapter  string
}

// A Key names one piece of a prompt together with all pieces before it and the
// salt.
type Key uint64

// A Prompt is the part of a request that engines cache: its piece keys in
// order, the number of tokens of one piece, and the tokens in all.
type Prompt struct {
	Salt        Salt
	Keys        []Key
	PieceTokens int
	Tokens      int
}

// Family returns the key that requests with the same first piece share, or
// zero for a prompt shorter than a piece.
func (p Prompt) Family() Key {
	if len(p.Keys) == 0 {
		return 0
	}
	return p.Keys[0]
}
