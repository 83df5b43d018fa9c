// Command rig3 plays the scripted cases of the third review. It starts the system's processes with the command of the deploy
// file, and has stand-ins for the platform's store, for executors and for clients.
package main

import (
	"fmt"
	"os"
)

// main plays a case: rig3 CASE FOLDER.
func main() {
	cases := map[string]func(*world){"apart": apart, "lowered": lowered}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig3 CASE FOLDER")
		os.Exit(2)
	}
	w := newWorld(os.Args[2])
	cases[os.Args[1]](w)
	os.Exit(w.finish())
}
