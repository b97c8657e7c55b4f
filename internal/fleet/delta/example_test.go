package delta_test

import (
	"fmt"
	"strings"

	"github.com/baobabdyke/baobabdyke/internal/fleet/delta"
)

// The receiver has the base, so that only the difference is sent.
func ExampleEncode() {
	routes := strings.Repeat("a route\n", 10000)
	base, value := []byte(routes), []byte(routes+"another route\n")
	data, err := delta.Encode(value, base)
	if err != nil {
		fmt.Println(err)
		return
	}
	got, err := delta.Decode(data, base)
	fmt.Println(len(data) < 100, string(got) == string(value), err)
	// Output: true true <nil>
}
