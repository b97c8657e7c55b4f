package prefix_test

import (
	"fmt"

	"github.com/baobabdyke/baobabdyke/prefix"
	"github.com/baobabdyke/baobabdyke/target"
)

func ExampleIndex() {
	salt := prefix.Salt{Customer: "hall", Model: "kuroko", Version: "v1"}
	rules := prefix.Split(salt, []byte("house rules, house rules"), 6)
	x := prefix.NewIndex(0, start)
	x.Apply("engine-1", target.CacheEvent{
		Sequence: 1, Incarnation: "a", Kind: target.EventStored, Pieces: rawKeys(rules.Keys[:3]),
	}, start)
	for _, h := range x.Lookup(nil, rules.Keys, start) {
		fmt.Printf("%s holds %d of %d pieces\n", h.Engine, h.Pieces, len(rules.Keys))
	}
	// Output: engine-1 holds 3 of 4 pieces
}
