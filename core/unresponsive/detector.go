package unresponsive

import (
	"math"
	"sync"
	"time"

	"rattantrack.dev/core/clock"
	"rattantrack.dev/core/inflight"
	"rattantrack.dev/core/settings"
)

// Timing and limits of the detection.
const (
	// ResponseTimeout is how long a router with open requests at an upstream gets no response before it suspects the
	// upstream. An engine that processes the longest prompt sends nothing for 450 ms, and plain services respond within
	// tens of milliseconds.
	ResponseTimeout = 700 * time.Millisecond
	// exclusionTime is how long an upstream gets no requests after it was last detected as unresponsive, unless it
	// responds earlier.
	exclusionTime = 2 * time.Second
	// reportLifetime is how long the observations of another router are used.
	reportLifetime = 1500 * time.Millisecond
	// maxExcludedShare is the largest share of a service's upstreams that may be excluded. A router that gets no
	// response from most upstreams has lost its own network path.
	maxExcludedShare = 0.5
)

// Observation is the state of one upstream as one router sees it.
type Observation struct {
	// NoResponseMS is the time in milliseconds since the last response or, if Responded is false, since the router
	// began to wait.
	NoResponseMS uint16
	// Waiting is set while the router has open requests at the upstream. Responded is set if a response has arrived,
	// for a waiting router since it began to wait.
	Waiting, Responded bool
}

func (o Observation) noResponse() time.Duration {
	return time.Duration(o.NoResponseMS) * time.Millisecond
}

// Observations is the state of the upstreams as one router sees it.
type Observations map[settings.UpstreamID]Observation

// upstream is this router's own state of one upstream.
type upstream struct {
	open int
	// openSince is when the number of open requests last rose from zero, lastResponse is when bytes last arrived.
	openSince, lastResponse clock.Instant
	// detectedAt is when the upstream was last detected as unresponsive, 0 if it has responded since or never was.
	detectedAt clock.Instant
}

// observation returns the state to report to other routers.
func (u *upstream) observation(now clock.Instant) Observation {
	o := Observation{Waiting: u.open > 0, Responded: u.lastResponse != 0 && (u.open == 0 || u.lastResponse >= u.openSince)}
	since := u.openSince
	if o.Responded {
		since = u.lastResponse
	}
	o.NoResponseMS = uint16(min(math.MaxUint16, now.Sub(since).Milliseconds()))
	return o
}

// report holds the latest observations received from another router.
type report struct {
	at           clock.Instant
	observations Observations
}

// Detector decides which upstreams are unresponsive; its zero value is ready to use. An upstream may stop responding
// while its connections stay open. Each router has only a few requests there and would notice only when these time out
// one after the other, so the routers combine their observations.
type Detector struct {
	// OnChange is called for each upstream that becomes unresponsive or responds again.
	OnChange func(id settings.UpstreamID, unresponsive bool)

	mu        sync.Mutex
	upstreams map[settings.UpstreamID]*upstream
	reports   map[inflight.RouterID]report
	// suspectedAt is when a router last reported a wait of at least ResponseTimeout.
	suspectedAt map[settings.UpstreamID]clock.Instant
}

func (d *Detector) get(id settings.UpstreamID) *upstream {
	if d.upstreams == nil {
		d.upstreams = make(map[settings.UpstreamID]*upstream)
	}
	u := d.upstreams[id]
	if u == nil {
		u = &upstream{}
		d.upstreams[id] = u
	}
	return u
}

// Begin records a request that is sent to an upstream.
func (d *Detector) Begin(now clock.Instant, id settings.UpstreamID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	u := d.get(id)
	if u.open == 0 {
		u.openSince = now
	}
	u.open++
}

// ResponseReceived records that bytes have arrived from an upstream.
func (d *Detector) ResponseReceived(now clock.Instant, id settings.UpstreamID) {
	d.mu.Lock()
	u := d.get(id)
	u.lastResponse = now
	recovered := u.detectedAt != 0
	u.detectedAt = 0
	d.mu.Unlock()
	if recovered {
		d.notify(id, false)
	}
}

// End records the end of a request, whatever its outcome.
func (d *Detector) End(id settings.UpstreamID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	u := d.get(id)
	u.open = max(0, u.open-1)
}

// Forget removes the state of an upstream that has ended or restarted.
func (d *Detector) Forget(id settings.UpstreamID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.upstreams, id)
	delete(d.suspectedAt, id)
	for _, r := range d.reports {
		delete(r.observations, id)
	}
}

// Local returns the observations to report to other routers. It omits idle upstreams without a recent response and
// those that respond to their open requests, as most do; Report assumes the latter for every upstream with open requests.
func (d *Detector) Local(now clock.Instant) Observations {
	d.mu.Lock()
	defer d.mu.Unlock()
	observations := make(Observations)
	for id, u := range d.upstreams {
		o := u.observation(now)
		if (o.Waiting && !o.responsive(0)) || (!o.Waiting && o.responsive(0)) {
			observations[id] = o
		}
	}
	return observations
}

// Report stores the observations of another router and the requests that it has open.
func (d *Detector) Report(now clock.Instant, from inflight.RouterID, open inflight.Counts, observations Observations) {
	if observations == nil {
		observations = make(Observations, len(open))
	}
	for id := range open {
		if _, ok := observations[id]; !ok {
			observations[id] = Observation{Waiting: true, Responded: true}
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.reports == nil {
		d.reports = make(map[inflight.RouterID]report)
		d.suspectedAt = make(map[settings.UpstreamID]clock.Instant)
	}
	for id, o := range observations {
		if o.timedOut() {
			d.suspectedAt[id] = now
		}
	}
	d.reports[from] = report{at: now, observations: observations}
}

// Unresponsive reports, for each of a service's upstreams in the given order, whether it should get no requests now.
func (d *Detector) Unresponsive(now clock.Instant, ids []settings.UpstreamID) []bool {
	excluded, detected := d.detect(now, ids)
	for _, id := range detected {
		d.notify(id, true)
	}
	return excluded
}

// detect does the work of Unresponsive and also returns the newly detected upstreams.
func (d *Detector) detect(now clock.Instant, ids []settings.UpstreamID) (excluded []bool, detected []settings.UpstreamID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	excluded = make([]bool, len(ids))
	unresponsive := make([]bool, len(ids))
	excludedCount := 0
	for i, id := range ids {
		u := d.get(id)
		unresponsive[i] = d.isUnresponsive(now, id, u)
		excluded[i] = unresponsive[i] || (u.detectedAt != 0 && now.Sub(u.detectedAt) < exclusionTime)
		if excluded[i] {
			excludedCount++
		}
	}
	if float64(excludedCount) > maxExcludedShare*float64(len(ids)) {
		clear(excluded)
		return excluded, nil
	}
	for i, id := range ids {
		if !unresponsive[i] {
			continue
		}
		u := d.get(id)
		if u.detectedAt == 0 {
			detected = append(detected, id)
		}
		u.detectedAt = now
	}
	return excluded, detected
}

// isUnresponsive reports whether a router has waited for an upstream for at least ResponseTimeout while no router
// reports a recent response. The observation of a waiting router counts as of its report, so that a slow exchange
// between routers does not make a busy upstream look unresponsive.
func (d *Detector) isUnresponsive(now clock.Instant, id settings.UpstreamID, u *upstream) bool {
	own := u.observation(now)
	if own.responsive(0) {
		return false
	}
	timedOut := own.timedOut()
	if at, ok := d.suspectedAt[id]; !timedOut && (!ok || now.Sub(at) >= reportLifetime) {
		// No router suspects the upstream, which is the usual case, so the reports of all routers are not searched.
		return false
	}
	for from, r := range d.reports {
		age := now.Sub(r.at)
		if age >= reportLifetime {
			delete(d.reports, from)
			continue
		}
		o, ok := r.observations[id]
		if !ok {
			continue
		}
		if o.responsive(age) {
			return false
		}
		timedOut = timedOut || o.timedOut()
	}
	return timedOut
}

// timedOut reports whether the router has waited for at least ResponseTimeout without a response.
func (o Observation) timedOut() bool { return o.Waiting && o.noResponse() >= ResponseTimeout }

// responsive reports whether the observation, made age ago, shows a recent response: for a waiting router recent as of
// its report, else recent as of now.
func (o Observation) responsive(age time.Duration) bool {
	if !o.Responded {
		return false
	}
	if o.Waiting {
		return o.noResponse() < ResponseTimeout/2
	}
	return o.noResponse()+age < ResponseTimeout
}

func (d *Detector) notify(id settings.UpstreamID, unresponsive bool) {
	if d.OnChange != nil {
		d.OnChange(id, unresponsive)
	}
}
