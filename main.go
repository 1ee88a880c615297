// Figtrack routes requests of callers to separate pools of prefill and
// decode engines and to plain services.
package main

import "os"

func main() {
	os.Exit(run(os.Args[1:], os.Stdout, os.Stderr))
}
