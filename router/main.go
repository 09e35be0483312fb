// Command router forwards callers' requests to the upstreams and reports the outcome of each.
package main

import (
	"os"

	"rattantrack.dev/core/operator"
	"rattantrack.dev/router/internal/app"
)

func main() {
	os.Exit(operator.Main("router", "Takes callers' requests to the upstreams.", app.Start))
}
