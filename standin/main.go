// Command standin runs small stand-ins for what the platform and the upstreams give, for tests and the demo only.
package main

import (
	"os"

	"rattantrack.dev/standin/internal/cmd"
)

func main() {
	os.Exit(cmd.Main())
}
