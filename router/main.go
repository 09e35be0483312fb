// Command router takes callers' requests to the upstreams and answers for their outcome.
package main

import (
	"os"

	"rattantrack.dev/core/operator"
	"rattantrack.dev/router/internal/app"
)

func main() {
	os.Exit(operator.Main("router", "Takes callers' requests to the upstreams.", app.Start))
}
