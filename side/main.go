// Command side runs beside one upstream and controls the access to it.
package main

import (
	"os"

	"rattantrack.dev/core/operator"
	"rattantrack.dev/side/internal/app"
)

func main() {
	os.Exit(operator.Main("side", "Runs beside one upstream and controls the access to it.", app.Start))
}
