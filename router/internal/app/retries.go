package app

import (
	"rattantrack.dev/core/clock"
	"rattantrack.dev/core/retry"
)

// retries exposes what this router has counted for the retry budget as a Dumper.
type retries struct {
	budget *retry.FleetBudget
}

// String returns the name in dumps.
func (r *retries) String() string { return "retry_budget" }

// Dump returns the requests and retries of each service in the window.
func (r *retries) Dump() any { return r.budget.Statuses(clock.Boot{}.Now()) }
