package app

import (
	"context"
	"time"

	"rattantrack.dev/core/clock"
	"rattantrack.dev/core/retry"
	"rattantrack.dev/router/internal/routers"
)

// fleetInterval is how often the retry budget is told the size of the fleet.
const fleetInterval = time.Second

// retries tells the retry budget the size of the fleet, and exposes what this router has counted for it as a Dumper.
type retries struct {
	budget  *retry.FleetBudget
	routers *routers.Service
}

// String returns the service's name.
func (r *retries) String() string { return "retry_budget" }

// Run records the number of routers until ctx ends.
func (r *retries) Run(ctx context.Context, ready func()) error {
	ready()
	for {
		others, alone := r.routers.KnownAddresses()
		n := len(others) + 1
		if alone {
			n = 0
		}
		r.budget.RecordFleet(clock.Boot{}.Now(), n)
		if !clock.Sleep(ctx, fleetInterval) {
			return nil
		}
	}
}

// Dump returns the requests and retries of each service in the window.
func (r *retries) Dump() any { return r.budget.Statuses(clock.Boot{}.Now()) }
