package outlier

import (
	"sync"
	"time"

	"rattantrack.dev/core/clock"
	"rattantrack.dev/core/settings"
)

// Timing and thresholds of ejection.
const (
	// window is the time over which results are counted.
	window = 5 * time.Second
	// minResults is the number of results below which an upstream is not ejected for failures.
	minResults = 4
	// An upstream is ejected if its failure rate is at least rateFactor times the rate of the service's other upstreams
	// plus rateMargin. This distinguishes a failing upstream from a service in which a share of all requests fails.
	rateMargin = 0.2
	rateFactor = 2.0
	// ejectionTime is how long a failing upstream gets no requests. Its results are counted from zero afterwards.
	ejectionTime = 3 * time.Second
	// firstBackoff and maxBackoff bound how long an unreachable upstream gets no requests. The time doubles with each
	// failed connection.
	firstBackoff = 250 * time.Millisecond
	maxBackoff   = 4 * time.Second
	// maxEjectedShare is the largest share of a service's upstreams that may be ejected, so that a wrong signal does
	// not leave the service without upstreams.
	maxEjectedShare = 0.5
)

// counter counts results in the current and the previous half of the window.
type counter struct {
	half         int64
	total, fails [2]int
}

func (c *counter) roll(now clock.Instant) {
	half := int64(now) / int64(window/2)
	switch half - c.half {
	case 0:
		return
	case 1:
		c.total[1], c.fails[1] = c.total[0], c.fails[0]
	default:
		c.total[1], c.fails[1] = 0, 0
	}
	c.total[0], c.fails[0] = 0, 0
	c.half = half
}

func (c *counter) add(now clock.Instant, failed bool) {
	c.roll(now)
	c.total[0]++
	if failed {
		c.fails[0]++
	}
}

func (c *counter) sum(now clock.Instant) (total, fails int) {
	c.roll(now)
	return c.total[0] + c.total[1], c.fails[0] + c.fails[1]
}

type upstream struct {
	service         settings.ServiceName
	results         counter
	ejectedUntil    clock.Instant
	connectFailures int
}

// Detector counts results per upstream and ejects outliers; its zero value is ready to use.
type Detector struct {
	mu        sync.Mutex
	upstreams map[settings.UpstreamID]*upstream
	services  map[settings.ServiceName]*counter
}

func (d *Detector) get(id settings.UpstreamID, service settings.ServiceName) *upstream {
	if d.upstreams == nil {
		d.upstreams = make(map[settings.UpstreamID]*upstream)
		d.services = make(map[settings.ServiceName]*counter)
	}
	u := d.upstreams[id]
	if u == nil {
		u = &upstream{service: service}
		d.upstreams[id] = u
	}
	if d.services[service] == nil {
		d.services[service] = &counter{}
	}
	return u
}

// RecordResult records the result of an attempt that reached an upstream and reports whether it ejects the upstream.
func (d *Detector) RecordResult(now clock.Instant, id settings.UpstreamID, service settings.ServiceName, failed bool) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	u := d.get(id, service)
	u.results.add(now, failed)
	d.services[service].add(now, failed)
	if !failed {
		u.connectFailures = 0
		return false
	}
	total, fails := u.results.sum(now)
	serviceTotal, serviceFails := d.services[service].sum(now)
	othersRate := 0.0
	if serviceTotal > total {
		othersRate = float64(serviceFails-fails) / float64(serviceTotal-total)
	}
	if total < minResults || float64(fails)/float64(total) < rateFactor*othersRate+rateMargin {
		return false
	}
	u.results = counter{}
	u.ejectedUntil = max(u.ejectedUntil, now.Add(ejectionTime))
	return true
}

// RecordUnreachable records an attempt that could not connect and returns how long the upstream gets no requests.
func (d *Detector) RecordUnreachable(now clock.Instant, id settings.UpstreamID, service settings.ServiceName) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	u := d.get(id, service)
	backoff := min(maxBackoff, firstBackoff<<min(u.connectFailures, 10))
	u.connectFailures++
	u.ejectedUntil = max(u.ejectedUntil, now.Add(backoff))
	return backoff
}

// Forget removes the results of an upstream that has ended or restarted.
func (d *Detector) Forget(id settings.UpstreamID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.upstreams, id)
}

// Ejected reports, for each of a service's upstreams in the given order, whether it should get no requests now.
func (d *Detector) Ejected(now clock.Instant, ids []settings.UpstreamID) []bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	ejected := make([]bool, len(ids))
	ejectedCount := 0
	for i, id := range ids {
		if u := d.upstreams[id]; u != nil && now.Before(u.ejectedUntil) {
			ejected[i] = true
			ejectedCount++
		}
	}
	if float64(ejectedCount) > maxEjectedShare*float64(len(ids)) {
		clear(ejected)
	}
	return ejected
}
