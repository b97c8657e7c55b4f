// The program world runs a small deployment on loopback addresses: the VMs as processes of the
// project's program, and stand-ins of the platform's store, of runners and of clients. It is
// used by the scripts of the second review.
package main

import (
	"fmt"
	"os"
)

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: world CASE PROGRAM RECORD")
		os.Exit(2)
	}
	cases := map[string]func(*world, bool) (bool, bool){"lost": lost, "wall": wall}
	run, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintf(os.Stderr, "unknown case %q\n", os.Args[1])
		os.Exit(2)
	}
	record, err := os.Create(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	dir, err := os.MkdirTemp("", "world-2-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	kept, ran := run(newWorld(os.Args[2], dir, record), os.Getenv("TROUBLE") != "0")
	_ = record.Close()
	_ = os.RemoveAll(dir)
	switch {
	case !ran:
		fmt.Println("the case could not run")
		os.Exit(2)
	case !kept:
		fmt.Println("the rule was broken")
		os.Exit(1)
	}
	fmt.Println("the rule held")
}
