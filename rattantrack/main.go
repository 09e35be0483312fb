// Command rattantrack is the command line for operators. It reads files and queries processes, and never writes shared state.
package main

import (
	"os"

	"rattantrack.dev/rattantrack/internal/cmd"
)

func main() {
	os.Exit(cmd.Main(os.Args[1:], os.Stdout, os.Stderr))
}
