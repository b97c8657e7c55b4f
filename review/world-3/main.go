// Command world-3 plays one case of the third review: it starts machines of the system as
// processes, with stand-ins for the platform's store, the runners and the clients.
//
//	world-3 CASE BINARY FOLDER
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With
// TROUBLE=0 it leaves the disruption out.
package main

import (
	"fmt"
	"os"
)

func main() {
	if len(os.Args) != 4 {
		unable("usage: world-3 CASE BINARY FOLDER")
	}
	cases := map[string]func(w *world, trouble bool) bool{"turns": turns, "silence": silence, "upgrade": upgrade, "replaced": replaced}
	play, ok := cases[os.Args[1]]
	if !ok {
		unable("no case %q", os.Args[1])
	}
	w := newWorld(os.Args[2], os.Args[3])
	held := play(w, os.Getenv("TROUBLE") != "0")
	w.logf("answers by status: %v", w.answers)
	w.logf("the rule held: %t", held)
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		for _, v := range w.vms {
			data, _ := os.ReadFile(v.log)
			_ = os.WriteFile(keep+"/"+v.name+".log", data, 0o600)
		}
	}
	w.close()
	fmt.Println("the rule held:", held)
	if !held {
		os.Exit(1)
	}
}
