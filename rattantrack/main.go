// Command rattantrack is the operators' command line: it reads and asks, and never writes shared state.
package main

import (
	"os"

	"rattantrack.dev/rattantrack/internal/cmd"
)

func main() {
	os.Exit(cmd.Main(os.Args[1:], os.Stdout, os.Stderr))
}
