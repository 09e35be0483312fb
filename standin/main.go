// Command standin simulates the platform's services and the upstreams for tests, benchmarks and the demo.
package main

import (
	"os"

	"rattantrack.dev/standin/internal/cmd"
)

func main() {
	os.Exit(cmd.Main())
}
