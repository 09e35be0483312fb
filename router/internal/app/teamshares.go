package app

import (
	"rattantrack.dev/core/clock"
	"rattantrack.dev/core/fairshare"
)

// teamShares exposes the teams that are limited to their shares as a Dumper.
type teamShares struct {
	tracker *fairshare.Tracker
}

// String returns the name in dumps.
func (s *teamShares) String() string { return "team_shares" }

// Dump returns the limited teams.
func (s *teamShares) Dump() any { return s.tracker.Limited(clock.Boot{}.Now()) }
