package app

import (
	"rattantrack.dev/core/clock"
	"rattantrack.dev/core/ratelimit"
	"rattantrack.dev/core/settings"
)

// rateLimits exposes the rate limits of the upstreams as a Dumper.
type rateLimits struct {
	tracker *ratelimit.Tracker
}

// rateLimitStatus is one limit in a dump.
type rateLimitStatus struct {
	Upstream  settings.UpstreamID `json:"upstream"`
	PerSecond float64             `json:"per_second"`
	// StatedMS is the time since the upstream stated it.
	StatedMS int64 `json:"stated_ms_ago"`
}

// String returns the name in dumps.
func (r *rateLimits) String() string { return "rate_limits" }

// Dump returns the limits in force.
func (r *rateLimits) Dump() any {
	list := []rateLimitStatus{}
	for _, s := range r.tracker.Statements(clock.Boot{}.Now()) {
		if s.Limited {
			list = append(list, rateLimitStatus{Upstream: s.Upstream, PerSecond: float64(s.Rate), StatedMS: s.Age.Milliseconds()})
		}
	}
	return list
}
