package shutdown

import (
	"sync/atomic"
	"time"

	"rattantrack.dev/core/clock"
)

// runMargin allows for requests that run longer than the mean of their service.
const runMargin = 2

// EndedError is the cause of the end of a request that a stopping process has no more time for.
type EndedError struct{}

func (*EndedError) Error() string { return "the process stops" }

// Tracker knows when a process ends. The zero value is for a process that does not stop.
type Tracker struct {
	end atomic.Int64
}

// Begin records that the process stops, and when it ends the requests that are open then.
func (t *Tracker) Begin(end clock.Instant) { t.end.Store(int64(end)) }

// Fits reports whether a request that is about to be sent can be expected to end before the process does. A request gets its final answer
// at its deadline; until then it runs for about runTime.
func (t *Tracker) Fits(now, deadline clock.Instant, runTime time.Duration) bool {
	end := clock.Instant(t.end.Load())
	return end == 0 || !end.Before(deadline) || !end.Before(now.Add(runMargin*runTime))
}
