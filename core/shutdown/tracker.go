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

// stop holds the times of a stop.
type stop struct {
	noticeEnd, end clock.Instant
}

// Tracker knows when a process ends. The zero value is for a process that does not stop.
type Tracker struct {
	stop atomic.Pointer[stop]
}

// Begin records that the process stops. Clients have noticed it by noticeEnd; the requests that are open at end are ended then.
func (t *Tracker) Begin(noticeEnd, end clock.Instant) {
	t.stop.Store(&stop{noticeEnd: noticeEnd, end: end})
}

// Fits reports whether a request that is about to be sent ends before the process does. A request gets its final answer at its deadline at
// the latest, and runs for about runTime. One that was received after the end of the notice must be sure to end in time, since few
// requests come then, and other processes serve them.
func (t *Tracker) Fits(now, received, deadline clock.Instant, runTime time.Duration) bool {
	s := t.stop.Load()
	if s == nil || !s.end.Before(deadline) {
		return true
	}
	return !s.noticeEnd.Before(received) && !s.end.Before(now.Add(runMargin*runTime))
}
