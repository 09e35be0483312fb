package retry

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"rattantrack.dev/core/clock"
)

// Times of a simulated fleet.
const (
	simTick    = 20 * time.Millisecond
	simMeeting = 300 * time.Millisecond
	simStart   = 500 * time.Millisecond
	// simHistory is how long the fleet runs before the first request fails.
	simHistory = 20 * time.Second
	simLength  = simHistory + 40*time.Second
)

// simRouter is one router of a simulated fleet.
type simRouter struct {
	budget  *FleetBudget
	started time.Duration
	// downUntil and frozenUntil end a restart and a freeze.
	downUntil, frozenUntil time.Duration
	// side is the part of a partition that the router is in.
	side int
	// weight is the router's part of the clients.
	weight float64
	// backlog is the number of requests that wait for a frozen router.
	backlog int
	// heard is the number of routers that the router hears, with itself, 0 as long as it has heard no other one.
	heard int
}

// simFleet is a fleet whose requests fail. Retries fail too, and each request makes as many as it may.
type simFleet struct {
	limits  Limits
	routers []*simRouter
	rng     *rand.Rand
	now     time.Duration
	// requests and retries hold the numbers of each tick.
	requests, retries []int
	// asked and allowed count the retries.
	asked, allowed int
}

func newSimFleet(seed uint64, routers int, limits Limits) *simFleet {
	f := &simFleet{limits: limits, rng: rand.New(rand.NewPCG(seed, 1))}
	for range routers {
		f.routers = append(f.routers, f.newRouter(0.5+f.rng.Float64()))
	}
	return f
}

func (f *simFleet) newRouter(weight float64) *simRouter {
	return &simRouter{budget: f.newBudget(), started: f.now, weight: weight}
}

func (f *simFleet) newBudget() *FleetBudget {
	return &FleetBudget{Limits: f.limits, Started: simInstant(f.now)}
}

// simInstant is an instant of the simulation. The machine has run for a while when it begins.
func simInstant(t time.Duration) clock.Instant { return clock.Instant(time.Hour + t) }

// restart replaces the process of a router by one that remembers nothing.
func (f *simFleet) restart(r *simRouter) {
	r.budget, r.started, r.backlog, r.heard = f.newBudget(), f.now+simStart, 0, 0
	r.budget.Started = simInstant(r.started)
	r.downUntil, r.frozenUntil = r.started, 0
}

// updateHeard updates the number of routers that each router hears, with itself: 0 as long as it has heard no other one.
func (f *simFleet) updateHeard() {
	running := make(map[int]int)
	for _, r := range f.routers {
		if f.now >= max(r.downUntil, r.frozenUntil) {
			running[r.side]++
		}
	}
	for _, r := range f.routers {
		n := running[r.side]
		switch {
		case f.now < max(r.downUntil, r.frozenUntil):
			continue
		case f.now < r.started+simMeeting || n <= 1 && r.heard == 0:
			r.heard = 0
		default:
			r.heard = n
		}
		r.budget.RecordFleet(simInstant(f.now), r.heard)
	}
}

// run plays the fleet at perSecond requests a second, of which the part failing ends in a failure. before is called ahead of each tick.
func (f *simFleet) run(perSecond, failing float64, before func(now time.Duration)) {
	due := 0.0
	for f.now = 0; f.now < simLength; f.now += simTick {
		before(f.now)
		f.updateHeard()
		f.requests, f.retries = append(f.requests, 0), append(f.retries, 0)
		for due += perSecond * simTick.Seconds(); due >= 1; due-- {
			f.send(failing)
		}
		for _, r := range f.routers {
			for ; r.backlog > 0 && f.now >= max(r.downUntil, r.frozenUntil); r.backlog-- {
				f.handle(r, failing)
			}
		}
	}
}

// send sends a request to a router that the balancer draws.
func (f *simFleet) send(failing float64) {
	f.requests[len(f.requests)-1]++
	total := 0.0
	for _, r := range f.routers {
		if f.now >= r.downUntil {
			total += r.weight
		}
	}
	at := f.rng.Float64() * total
	for _, r := range f.routers {
		if f.now < r.downUntil {
			continue
		}
		if at -= r.weight; at < 0 {
			if f.now < r.frozenUntil {
				r.backlog++
				return
			}
			f.handle(r, failing)
			return
		}
	}
}

// handle handles a request at a router.
func (f *simFleet) handle(r *simRouter, failing float64) {
	now := simInstant(f.now)
	r.budget.RecordRequest(now, "desk")
	if f.now < simHistory {
		return
	}
	for range 2 {
		if f.rng.Float64() >= failing {
			return
		}
		f.asked++
		if !r.budget.Allow(now, "desk").Allowed {
			return
		}
		f.allowed++
		f.retries[len(f.retries)-1]++
	}
}

// worst returns the largest excess of the retries of a window over the limit, and when that window ends. The limit counts the requests
// of the window, of the one before it or of the one half a window before it, whichever has most.
func (f *simFleet) worst() (excess float64, at time.Duration) {
	window := int(f.limits.Window / simTick)
	requests, retries := prefixSums(f.requests), prefixSums(f.retries)
	sum := func(sums []int, end int) int { return sums[max(0, end)] - sums[max(0, end-window)] }
	excess = -f.limits.Slack
	for end := range requests {
		most := max(sum(requests, end), sum(requests, end-window/2), sum(requests, end-window))
		if e := float64(sum(retries, end)) - f.limits.Ratio*float64(most) - f.limits.Slack; e > excess {
			excess, at = e, time.Duration(end)*simTick
		}
	}
	return excess, at
}

func prefixSums(values []int) []int {
	sums := make([]int, len(values)+1)
	for i, v := range values {
		sums[i+1] = sums[i] + v
	}
	return sums
}

// after returns a function that reports once that the time has come.
func after(at time.Duration) func(now time.Duration) bool {
	done := false
	return func(now time.Duration) bool {
		if done || now < at {
			return false
		}
		done = true
		return true
	}
}

// disturbance changes a fleet ahead of each tick.
type disturbance func(f *simFleet) func(now time.Duration)

// restartAll restarts a part of the routers at each of the given times after the first failure.
func restartAll(part float64, times ...time.Duration) disturbance {
	return func(f *simFleet) func(now time.Duration) {
		due := make([]func(time.Duration) bool, len(times))
		for i, t := range times {
			due[i] = after(simHistory + t)
		}
		return func(now time.Duration) {
			for _, d := range due {
				if d(now) {
					for _, r := range f.routers[:int(part*float64(len(f.routers)))] {
						f.restart(r)
					}
				}
			}
		}
	}
}

func seconds(list ...float64) (times []time.Duration) {
	for _, s := range list {
		times = append(times, time.Duration(s*float64(time.Second)))
	}
	return times
}

// partition splits the fleet into sides from the first failure on, for the given time.
func partition(sides int, length time.Duration) disturbance {
	return func(f *simFleet) func(now time.Duration) {
		begins, ends := after(simHistory), after(simHistory+length)
		return func(now time.Duration) {
			if begins(now) {
				for i, r := range f.routers {
					r.side = i % sides
				}
			}
			if ends(now) {
				for _, r := range f.routers {
					r.side = 0
				}
			}
		}
	}
}

// moveClients moves all clients to the first half of the routers and back, once each period.
func moveClients(period time.Duration) disturbance {
	return func(f *simFleet) func(now time.Duration) {
		half := len(f.routers) / 2
		return func(now time.Duration) {
			first := now/period%2 == 0
			for i, r := range f.routers {
				r.weight = 0
				if (i < half) == first {
					r.weight = 1
				}
			}
		}
	}
}

// freezeAll stops a part of the routers for the given time.
func freezeAll(part float64, length time.Duration) disturbance {
	return func(f *simFleet) func(now time.Duration) {
		begins := after(simHistory + time.Second)
		return func(now time.Duration) {
			if begins(now) {
				for _, r := range f.routers[:int(part*float64(len(f.routers)))] {
					r.frozenUntil = now + length
				}
			}
		}
	}
}

// join adds as many routers as there are.
func join(f *simFleet) func(now time.Duration) {
	due := after(simHistory + 3*time.Second)
	return func(now time.Duration) {
		if due(now) {
			for range len(f.routers) {
				r := f.newRouter(1)
				f.routers = append(f.routers, r)
			}
		}
	}
}

// together applies several disturbances.
func together(list ...disturbance) disturbance {
	return func(f *simFleet) func(now time.Duration) {
		steps := make([]func(time.Duration), len(list))
		for i, d := range list {
			steps[i] = d(f)
		}
		return func(now time.Duration) {
			for _, step := range steps {
				step(now)
			}
		}
	}
}

// undisturbed changes nothing.
func undisturbed(*simFleet) func(time.Duration) { return func(time.Duration) {} }

// simSizes are fleets with the limits of deployments of their size.
var simSizes = []struct {
	name      string
	routers   int
	perSecond float64
	slack     float64
}{
	{"5 routers", 5, 135, 58},
	{"22 routers", 22, 280, 84},
	{"22 routers with few requests", 22, 20, 84},
	{"103 routers", 103, 1400, 246},
}

// checkFleets plays a disturbance in fleets of all sizes, and fails if the retries of some window exceed the fleet's limit.
func checkFleets(t *testing.T, name string, d disturbance) {
	t.Run(name, func(t *testing.T) {
		t.Parallel()
		for _, size := range simSizes {
			for _, failing := range []float64{0.3, 1} {
				f := newSimFleet(1, size.routers, Limits{Ratio: 0.2, Slack: size.slack, Window: 10 * time.Second})
				f.run(size.perSecond, failing, d(f))
				excess, at := f.worst()
				t.Logf("%s, %.0f%% fail: %d of %d retries allowed", size.name, 100*failing, f.allowed, f.asked)
				qt.Check(t, excess <= 0, qt.IsTrue, qt.Commentf("%.0f retries too many in the window up to %v", excess, at))
			}
		}
	})
}

func TestFleetRetriesMoreThanItsWindowAllows(t *testing.T) {
	checkFleets(t, "undisturbed", undisturbed)
	checkFleets(t, "half freeze for two seconds", freezeAll(0.5, 2*time.Second))
}

func TestPartitionedRoutersTakeTheSlackSeveralTimes(t *testing.T) {
	checkFleets(t, "two sides", partition(2, 5*time.Second))
	checkFleets(t, "five sides for longer than lost routers are known", partition(5, 38*time.Second))
	checkFleets(t, "each router alone", partition(1000, 5*time.Second))
	checkFleets(t, "restarts behind a partition", together(partition(1000, 20*time.Second), restartAll(0.5, seconds(2, 6)...)))
}

func TestStartedRoutersRetryOnRequestsAlreadyPaidWith(t *testing.T) {
	checkFleets(t, "all restart once", restartAll(1, seconds(4)...))
	checkFleets(t, "all restart three times", restartAll(1, seconds(3, 5.5, 8)...))
	checkFleets(t, "half restart six times", restartAll(0.5, seconds(1, 2, 3, 4, 5, 6)...))
	checkFleets(t, "twice as many routers", join)
	checkFleets(t, "all freeze for four seconds", freezeAll(1, 4*time.Second))
	checkFleets(t, "clients move each second", moveClients(time.Second))
	checkFleets(t, "clients move each half window", moveClients(5*time.Second))
	checkFleets(t, "clients move each window", moveClients(10*time.Second))
	checkFleets(t, "clients move while routers restart", together(moveClients(5*time.Second), restartAll(0.5, seconds(2, 5, 8)...)))
}
