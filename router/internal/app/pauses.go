package app

import (
	"rattantrack.dev/core/backoff"
	"rattantrack.dev/core/clock"
)

// pauses exposes the pauses that upstreams have asked for as a Dumper.
type pauses struct {
	tracker *backoff.Tracker
}

// String returns the name in dumps.
func (p *pauses) String() string { return "pauses" }

// Dump returns the pauses that have not ended.
func (p *pauses) Dump() any { return p.tracker.Status(clock.Boot{}.Now()) }
