// Command standins plays one case of the review: it starts VMs of the system, with
// stand-ins for the platform, the runners and the clients.
//
//	standins CASE BINARY FOLDER
//
// The exit code is 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"time"
)

// A play is one run of a case.
type play struct {
	binary string
	// dir is a temporary folder for settings and logs.
	dir     string
	trouble bool
	start   time.Time
	record  *os.File
}

// note writes a line of the record.
func (p *play) note(format string, args ...any) {
	_, _ = fmt.Fprintf(p.record, "%8.3f s  %s\n", time.Since(p.start).Seconds(), fmt.Sprintf(format, args...))
}

// at returns the time of the record at which something happened.
func (p *play) at(t time.Time) float64 { return t.Sub(p.start).Seconds() }

var cases = map[string]func(p *play) int{
	"idle":    playIdle,
	"removal": playRemoval,
	"wall":    playWall,
}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins CASE BINARY FOLDER")
		os.Exit(2)
	}
	os.Exit(run(cases[os.Args[1]], os.Args[2], os.Args[3]))
}

func run(f func(p *play) int, binary, folder string) int {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(dir) }()
	} else {
		fmt.Fprintln(os.Stderr, "logs in", dir)
	}
	record, err := os.Create(folder + "/record.txt")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer func() { _ = record.Close() }()
	p := &play{binary: binary, dir: dir, trouble: os.Getenv("TROUBLE") != "0", start: time.Now(), record: record}
	return f(p)
}
