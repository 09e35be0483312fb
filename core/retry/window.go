package retry

import (
	"sync"
	"time"

	"rattantrack.dev/core/clock"
	"rattantrack.dev/core/settings"
)

// Limits are the bound on repeats that all routers share, for each service.
type Limits struct {
	// Ratio is the number of repeats that each request allows.
	Ratio float64
	// Slack is the number of repeats allowed in a window besides.
	Slack float64
	// Window is the sliding time over which both are counted.
	Window time.Duration
}

// windowSteps is the resolution of the sliding window.
const windowSteps = 20

// shareOfSlack is the part of the fleet's slack that the routers divide. The rest covers a router that counts fewer
// routers than there are.
const shareOfSlack = 0.7

// step counts one part of the window.
type step struct {
	number            int64
	requests, repeats int
}

// counter is the window of one service.
type counter struct {
	steps [windowSteps + 1]step
}

// FleetBudget bounds the repeats of one router to its part of what the fleet may make. It answers a load in which many
// requests fail at once: without a bound, repeats would add to the load that made them fail.
type FleetBudget struct {
	Limits Limits

	mu       sync.Mutex
	services map[settings.ServiceName]*counter
}

func (w *FleetBudget) counter(name settings.ServiceName) *counter {
	if w.services == nil {
		w.services = make(map[settings.ServiceName]*counter)
	}
	c := w.services[name]
	if c == nil {
		c = &counter{}
		w.services[name] = c
	}
	return c
}

func (w *FleetBudget) number(now clock.Instant) int64 {
	return int64(now) / max(1, int64(w.Limits.Window)/windowSteps)
}

func (c *counter) at(number int64) *step {
	s := &c.steps[number%int64(len(c.steps))]
	if s.number != number {
		*s = step{number: number}
	}
	return s
}

// sum adds up the steps that lie in the window.
func (c *counter) sum(number int64) (requests, repeats int) {
	for _, s := range c.steps {
		if number-s.number <= windowSteps {
			requests += s.requests
			repeats += s.repeats
		}
	}
	return requests, repeats
}

// RecordRequest counts a request of a client.
func (w *FleetBudget) RecordRequest(now clock.Instant, name settings.ServiceName) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.counter(name).at(w.number(now)).requests++
}

// Allow reports whether one more repeat may be made, and counts it; routers is the number of routers that share.
func (w *FleetBudget) Allow(now clock.Instant, name settings.ServiceName, routers int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	c, number := w.counter(name), w.number(now)
	requests, repeats := c.sum(number)
	allowed := w.Limits.Ratio*float64(requests) + shareOfSlack*w.Limits.Slack/float64(max(1, routers))
	if float64(repeats+1) > allowed {
		return false
	}
	c.at(number).repeats++
	return true
}
