package outlier

import (
	"sync"
	"time"

	"rattantrack.dev/core/clock"
	"rattantrack.dev/core/settings"
)

// Times and thresholds of ejection.
const (
	// window is the time over which results are counted.
	window = 5 * time.Second
	// minResults is the number of results below which an upstream is not judged.
	minResults = 4
	// excess and factor tell a failing upstream from a service in which a part of all requests fails.
	excess = 0.2
	factor = 2.0
	// ejectTime is how long a failing upstream gets no requests; then it is judged anew.
	ejectTime = 3 * time.Second
	// firstRetreat and maxRetreat bound how long an upstream that cannot be reached is left alone, doubling each time.
	firstRetreat = 250 * time.Millisecond
	maxRetreat   = 4 * time.Second
	// maxEjected is the largest part of a service that may be ejected, so that a wrong signal does not empty it.
	maxEjected = 0.5
)

// tally counts results in the present and the previous half of the window.
type tally struct {
	half         int64
	total, fails [2]int
}

func (t *tally) roll(now clock.Instant) {
	half := int64(now) / int64(window/2)
	switch half - t.half {
	case 0:
		return
	case 1:
		t.total[1], t.fails[1] = t.total[0], t.fails[0]
	default:
		t.total[1], t.fails[1] = 0, 0
	}
	t.total[0], t.fails[0] = 0, 0
	t.half = half
}

func (t *tally) add(now clock.Instant, failed bool) {
	t.roll(now)
	t.total[0]++
	if failed {
		t.fails[0]++
	}
}

func (t *tally) sum(now clock.Instant) (total, fails int) {
	t.roll(now)
	return t.total[0] + t.total[1], t.fails[0] + t.fails[1]
}

type upstream struct {
	service  settings.ServiceName
	results  tally
	until    clock.Instant
	retreats int
}

// Detector counts results by upstream; its zero value knows none.
type Detector struct {
	mu        sync.Mutex
	upstreams map[settings.UpstreamID]*upstream
	services  map[settings.ServiceName]*tally
}

func (d *Detector) get(id settings.UpstreamID, service settings.ServiceName) *upstream {
	if d.upstreams == nil {
		d.upstreams = make(map[settings.UpstreamID]*upstream)
		d.services = make(map[settings.ServiceName]*tally)
	}
	u := d.upstreams[id]
	if u == nil {
		u = &upstream{service: service}
		d.upstreams[id] = u
	}
	if d.services[service] == nil {
		d.services[service] = &tally{}
	}
	return u
}

// RecordResult counts the end of an attempt that reached an upstream; it reports whether the upstream is ejected for it.
func (d *Detector) RecordResult(now clock.Instant, id settings.UpstreamID, service settings.ServiceName, failed bool) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	u := d.get(id, service)
	u.results.add(now, failed)
	d.services[service].add(now, failed)
	if !failed {
		u.retreats = 0
		return false
	}
	total, fails := u.results.sum(now)
	allTotal, allFails := d.services[service].sum(now)
	others := 0.0
	if allTotal > total {
		others = float64(allFails-fails) / float64(allTotal-total)
	}
	if total < minResults || float64(fails)/float64(total) < factor*others+excess {
		return false
	}
	u.results = tally{}
	u.until = max(u.until, now.Add(ejectTime))
	return true
}

// RecordUnreachable counts an attempt that found no connection; it returns how long the upstream is left alone.
func (d *Detector) RecordUnreachable(now clock.Instant, id settings.UpstreamID, service settings.ServiceName) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	u := d.get(id, service)
	retreat := min(maxRetreat, firstRetreat<<min(u.retreats, 10))
	u.retreats++
	u.until = max(u.until, now.Add(retreat))
	return retreat
}

// Forget drops what is known of an upstream that has ended or started anew.
func (d *Detector) Forget(id settings.UpstreamID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.upstreams, id)
}

// Ejected reports, for each upstream of one service in the order given, whether it should get no requests now.
func (d *Detector) Ejected(now clock.Instant, ids []settings.UpstreamID) []bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	ejected := make([]bool, len(ids))
	n := 0
	for i, id := range ids {
		if u := d.upstreams[id]; u != nil && now.Before(u.until) {
			ejected[i] = true
			n++
		}
	}
	if float64(n) > maxEjected*float64(len(ids)) {
		clear(ejected)
	}
	return ejected
}
