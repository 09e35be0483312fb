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
	// Window is the length of the sliding window over which requests and retries are counted. Its requests are those of the window itself
	// or of the window before it, whichever has more.
	Window time.Duration
}

// Parameters of the fleet's budget.
const (
	// stepsPerWindow is the number of steps in which a window is counted.
	stepsPerWindow = 40
	// currentShare is the part of a request's retries that belongs to the windows with the request. The rest belongs to the windows that
	// begin where these end: it pays for many retries at once, while the first part lets a started router retry.
	currentShare = 0.25
	// dividedSlackShare is the part of the fleet's slack that the routers divide among themselves. The rest covers routers that do not
	// know of each other, and retries that reach upstreams later than they were allowed.
	dividedSlackShare = 0.5
	// fleetMemory is for how long, at least, the slack is divided by the largest number of routers known: those that are out of sight
	// may still be retrying.
	fleetMemory = 10 * time.Minute
)

// FleetBudget limits the retries of one router so that those of all routers stay within the fleet's limits. Without a limit, retries
// would add to the overload that makes many requests fail at once.
//
// Each retry is paid for, in every window that it will be part of, by requests to this router that count in that window already. So the
// sum over all routers holds whichever of them start, end, freeze, lose sight of each other or get other routers' clients.
type FleetBudget struct {
	Limits Limits
	// Started is when this router began to count.
	Started clock.Instant

	mu       sync.Mutex
	services map[settings.ServiceName]*counter
	fleet    peak
}

// Decision is the answer to a router that asks for one more retry, with what it was decided from.
type Decision struct {
	Allowed bool
	// Left is the number of retries that were left, as a fraction.
	Left float64
	// Requests and Retries are those of this router in the window that ends now, without the retry that was asked for.
	Requests, Retries int
	// Slack is the part of the fleet's slack that this router may use, Routers the number by which it is divided, 0 if it is unknown.
	Slack   float64
	Routers int
	// Counting is how long this router has counted.
	Counting time.Duration
}

// Status is what a router has counted for one service in the window that ends now.
type Status struct {
	Service  settings.ServiceName `json:"service"`
	Requests int                  `json:"requests"`
	Retries  int                  `json:"retries"`
}

// RecordRequest records a client request to a service.
func (b *FleetBudget) RecordRequest(now clock.Instant, name settings.ServiceName) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.counter(name).step(b.stepNumber(now)).requests++
}

// RecordFleet records how many routers the fleet has, as far as this router knows, 0 if it knows no other one although there are some. It
// is called all the time, so that the number from before a partition is known.
func (b *FleetBudget) RecordFleet(now clock.Instant, routers int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fleet.record(now, routers)
}

// Allow decides on one more retry, and counts it if it is allowed.
func (b *FleetBudget) Allow(now clock.Instant, name settings.ServiceName) Decision {
	b.mu.Lock()
	defer b.mu.Unlock()
	c, number := b.counter(name), b.stepNumber(now)
	d := Decision{Slack: b.slack(now), Routers: b.fleet.largest(), Counting: now.Sub(b.Started)}
	h := c.history(number)
	d.Requests, d.Retries = h.current()
	d.Left = h.left(b.Limits.Ratio) + d.Slack
	if d.Left < 1 {
		return d
	}
	c.step(number).retries++
	d.Allowed = true
	return d
}

// Statuses returns the counts of all services in the order of their names.
func (b *FleetBudget) Statuses(now clock.Instant) []Status {
	b.mu.Lock()
	defer b.mu.Unlock()
	list := make([]Status, 0, len(b.services))
	for _, name := range slices.Sorted(maps.Keys(b.services)) {
		s := Status{Service: name}
		h := b.services[name].history(b.stepNumber(now))
		s.Requests, s.Retries = h.current()
		list = append(list, s)
	}
	return list
}

// slack returns this router's part of the fleet's slack. A started router takes none until what an earlier process in its place may have
// taken has left the window, and none while it does not know the fleet.
func (b *FleetBudget) slack(now clock.Instant) float64 {
	routers := b.fleet.largest()
	if routers == 0 || now.Sub(b.Started) < b.Limits.Window {
		return 0
	}
	return dividedSlackShare * b.Limits.Slack / float64(routers)
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

// peak keeps the largest number recorded within fleetMemory or a little longer.
type peak struct {
	since             clock.Instant
	current, previous int
}

// record records a number.
func (p *peak) record(now clock.Instant, n int) {
	if now.Sub(p.since) >= fleetMemory {
		p.since, p.previous, p.current = now, p.current, 0
	}
	p.current = max(p.current, n)
}

func (p *peak) largest() int { return max(p.current, p.previous) }
