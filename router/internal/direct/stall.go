package direct

import (
	"sync"
	"time"

	"rattantrack.dev/core/members"
	"rattantrack.dev/core/settings"
	"rattantrack.dev/core/waiting"
)

// Times without progress after which an attempt is given up for another one.
const (
	// responseTimeoutFactor gives the response timeout of a repeatable request as a multiple of its objective.
	responseTimeoutFactor = 2
	// minResponseTimeout and minStallTimeout are the lower bounds on the wait for a response and for a stream event.
	minResponseTimeout = 250 * time.Millisecond
	minStallTimeout    = 1200 * time.Millisecond
	// stallTimeoutFactor gives the longest pause between two events of a resumable stream as a multiple of its pause
	// objective. After it the attempt is given up and the stream resumed elsewhere.
	stallTimeoutFactor = 4
)

// stallTimer gives up an attempt of a repeatable request that makes no progress for too long. The zero value never fires.
type stallTimer struct {
	pause time.Duration
	// giveUp ends the attempt if another one is allowed, and reports whether it has. Otherwise the attempt goes on: it is the only one
	// that can still bring an answer.
	giveUp func() bool

	mu             sync.Mutex
	timer          *time.Timer
	stopped, fired bool
}

// startStallTimer starts the timer of an attempt, unless the request may not run again after it.
func (ex *exchange) startStallTimer(conn interface{ Close() }, inst members.Instance) *stallTimer {
	if !ex.RouteConfig.Repeatable() || ex.res.Runs+1 >= ex.RouteConfig.Attempts {
		return &stallTimer{}
	}
	timeout := max(minResponseTimeout, responseTimeoutFactor*ex.RouteConfig.Objective)
	if ex.RouteConfig.Kind == settings.RouteStream {
		timeout = max(minStallTimeout, timeout)
	}
	if ex.RouteConfig.Affinity {
		// In overload the request first waits for a slot there.
		timeout += waiting.Wait(ex.dispatcher.runTime(ex.Request), ex.res.Choice.Load, inst.Slots)
	}
	t := &stallTimer{pause: max(minStallTimeout, stallTimeoutFactor*ex.RouteConfig.PauseObjective)}
	t.giveUp = func() bool {
		if !ex.takeRetry(inst, "stalled") {
			return false
		}
		conn.Close()
		return true
	}
	t.start(timeout)
	return t
}

// start starts the timer.
func (t *stallTimer) start(timeout time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.timer = time.AfterFunc(timeout, t.expire)
}

// expire handles the end of the time without progress.
func (t *stallTimer) expire() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.stopped || t.fired {
		return
	}
	if t.fired = t.giveUp(); !t.fired {
		t.timer.Reset(t.pause)
	}
}

// reset restarts the timer with the limit for the pause between events.
func (t *stallTimer) reset() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.timer != nil && !t.fired {
		t.timer.Reset(t.pause)
	}
}

// suspend stops the timer until its next reset.
func (t *stallTimer) suspend() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.timer != nil {
		t.timer.Stop()
	}
}

// stop stops the timer and reports whether it has given up the attempt.
func (t *stallTimer) stop() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stopped = true
	if t.timer != nil {
		t.timer.Stop()
	}
	return t.fired
}
