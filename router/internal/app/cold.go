package app

import (
	"time"

	"rattantrack.dev/core/clock"
	"rattantrack.dev/core/cold"
	"rattantrack.dev/core/settings"
)

// coldLimit returns how long the upstreams of a service are cold, and the requests a second that one bears meanwhile, 0 for any.
func (d *Direct) coldLimit(name settings.ServiceName) (time.Duration, float64) {
	_, declarations := d.store.Current()
	if declarations == nil {
		return 0, 0
	}
	service := declarations.Services[name]
	return service.ColdTime, service.ColdRate
}

// logCold logs that the requests to an upstream begin to be held to this router's part.
func (d *Direct) logCold(id settings.UpstreamID, bound, part, routers int) {
	d.metrics.Scope.Counter("cold_upstreams").Inc(1)
	d.log.Info("upstream cold", "upstream", id, "per_second", bound, "part", part, "routers", routers)
}

// coldUpstreams exposes the cold upstreams as a Dumper.
type coldUpstreams struct {
	tracker *cold.Tracker
}

// String returns the name in dumps.
func (u *coldUpstreams) String() string { return "cold_upstreams" }

// Dump returns the upstreams whose requests are held to this router's part.
func (u *coldUpstreams) Dump() any { return u.tracker.Statuses(clock.Boot{}.Now()) }
