// Package prefix maintains an index of the prompt pieces that each engine has in
// its prefix cache. Lookups are hints: the engine itself decides what it can
// reuse.
package prefix

// A Salt separates cached prefixes that must not be shared. Customer is empty on
// open routes.
type Salt struct {
	Customer string
	Model    string
	Version  string
	Adapter  string
}

// A Key identifies a piece of a prompt together with all pieces before it and the
// salt.
type Key uint64

// A Prompt is the part of a request that engines cache: its piece keys in order,
// the number of tokens per piece, and the total number of tokens.
type Prompt struct {
	Salt        Salt
	Keys        []Key
	PieceTokens int
	Tokens      int
}

// Family returns the key of the first piece, or zero if the prompt is shorter than
// a piece. A family is the set of prompts with the same salt and first piece.
func (p Prompt) Family() Key {
	if len(p.Keys) == 0 {
		return 0
	}
	return p.Keys[0]
}
