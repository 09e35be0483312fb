package retry

import (
	"maps"
	"slices"
	"sync"
	"time"

	"rattantrack.dev/core/clock"
	"rattantrack.dev/core/settings"
)

// Limits bounds the retries that all routers together may make for one service.
type Limits struct {
	// Ratio is the number of retries allowed per request.
	Ratio float64
	// Slack is the number of additional retries allowed in a window.
	Slack float64
	// Window is the length of the sliding window over which requests and retries are counted.
	Window time.Duration
}

// stepsPerWindow is the number of steps in the sliding window.
const stepsPerWindow = 20

// dividedSlackShare is the share of the fleet's slack that the routers divide among themselves. The rest covers a router
// that counts fewer routers than there are.
const dividedSlackShare = 0.7

// step counts the requests and retries of one step of the window.
type step struct {
	number            int64
	requests, retries int
}

// counter holds the steps of one service's window.
type counter struct {
	steps [stepsPerWindow + 1]step
}

// FleetBudget limits the retries of one router to its share of what the fleet may make. Without a limit, retries would
// add to the overload that makes many requests fail at once.
type FleetBudget struct {
	Limits Limits
	// Started is when this router began to count.
	Started clock.Instant

	mu       sync.Mutex
	services map[settings.ServiceName]*counter
}

func (b *FleetBudget) counter(name settings.ServiceName) *counter {
	if b.services == nil {
		b.services = make(map[settings.ServiceName]*counter)
	}
	c := b.services[name]
	if c == nil {
		c = &counter{}
		b.services[name] = c
	}
	return c
}

func (b *FleetBudget) stepNumber(now clock.Instant) int64 {
	return int64(now) / max(1, int64(b.Limits.Window)/stepsPerWindow)
}

func (c *counter) step(number int64) *step {
	s := &c.steps[number%int64(len(c.steps))]
	if s.number != number {
		*s = step{number: number}
	}
	return s
}

// sum returns the totals of the steps that lie in the window.
func (c *counter) sum(number int64) (requests, retries int) {
	for _, s := range c.steps {
		if number-s.number <= stepsPerWindow {
			requests += s.requests
			retries += s.retries
		}
	}
	return requests, retries
}

// RecordRequest records a client request to a service.
func (b *FleetBudget) RecordRequest(now clock.Instant, name settings.ServiceName) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.counter(name).step(b.stepNumber(now)).requests++
}

// Decision is the answer to a router that asks for one more retry, with what it was decided from.
type Decision struct {
	Allowed bool
	// Requests and Retries are those of this router in the window. Retries includes the one that was asked for, if allowed.
	Requests, Retries int
	// Slack is the part of the fleet's slack that this router may use.
	Slack float64
	// Counting is how long this router has counted.
	Counting time.Duration
}

// Allow decides on one more retry, and counts it if it is allowed. The slack is divided by routers, the number of routers in the fleet.
func (b *FleetBudget) Allow(now clock.Instant, name settings.ServiceName, routers int) Decision {
	b.mu.Lock()
	defer b.mu.Unlock()
	c, number := b.counter(name), b.stepNumber(now)
	d := Decision{Slack: dividedSlackShare * b.Limits.Slack / float64(max(1, routers)), Counting: now.Sub(b.Started)}
	d.Requests, d.Retries = c.sum(number)
	if float64(d.Retries+1) > b.Limits.Ratio*float64(d.Requests)+d.Slack {
		return d
	}
	c.step(number).retries++
	d.Allowed = true
	d.Retries++
	return d
}

// Status is what a router has counted for one service in the window.
type Status struct {
	Service  settings.ServiceName `json:"service"`
	Requests int                  `json:"requests"`
	Retries  int                  `json:"retries"`
}

// Statuses returns the counts of all services in the order of their names.
func (b *FleetBudget) Statuses(now clock.Instant) []Status {
	b.mu.Lock()
	defer b.mu.Unlock()
	list := make([]Status, 0, len(b.services))
	for _, name := range slices.Sorted(maps.Keys(b.services)) {
		requests, retries := b.services[name].sum(b.stepNumber(now))
		list = append(list, Status{Service: name, Requests: requests, Retries: retries})
	}
	return list
}
