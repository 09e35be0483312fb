package unresponsive

import (
	"math"
	"sync"
	"time"

	"rattantrack.dev/core/clock"
	"rattantrack.dev/core/inflight"
	"rattantrack.dev/core/settings"
)

// Times of the judgement.
const (
	// ResponseTimeout is how long nothing may come from an upstream at a router that waits for it: an engine that reads the
	// longest prompt answers nobody for 450 ms, and plain services answer in tens of milliseconds.
	ResponseTimeout = 700 * time.Millisecond
	// holdTime is how long an upstream gets no requests after it was found silent, unless it is heard.
	holdTime = 2 * time.Second
	// reportTime is how long another router's word is believed.
	reportTime = 1500 * time.Millisecond
	// maxSilent is the largest part of a service that may be left out: a router that hears nothing from most upstreams
	// has lost its own path.
	maxSilent = 0.5
)

// Observation is what one router hears of one upstream.
type Observation struct {
	// QuietMS is the time in milliseconds since the router heard the upstream or, where Heard is false, began to wait.
	QuietMS uint16
	// Waiting says that the router has requests open there.
	Waiting, Heard bool
}

func (s Observation) quiet() time.Duration { return time.Duration(s.QuietMS) * time.Millisecond }

// Observations is what one router hears of the upstreams.
type Observations map[settings.UpstreamID]Observation

// upstream is what this router knows of one upstream.
type upstream struct {
	open int
	// opened is when the oldest of the requests that are open without a break began, heard when a byte last came.
	opened, heard clock.Instant
	// found is when it was last found silent, 0 for not.
	found clock.Instant
}

// sign returns the state as other routers should know it.
func (u *upstream) sign(now clock.Instant) Observation {
	s := Observation{Waiting: u.open > 0, Heard: u.heard != 0 && (u.open == 0 || u.heard >= u.opened)}
	since := u.opened
	if s.Heard {
		since = u.heard
	}
	s.QuietMS = uint16(min(math.MaxUint16, now.Sub(since).Milliseconds()))
	return s
}

// report is what another router said last.
type report struct {
	at    clock.Instant
	signs Observations
}

// Detector judges the upstreams; its zero value knows none. It answers upstreams that go dark while their connections stay
// open: each router has a few requests there and would learn of it only when these time out, one after the other.
type Detector struct {
	// OnChange hears of each upstream that is found silent or heard again.
	OnChange func(id settings.UpstreamID, silent bool)

	mu        sync.Mutex
	upstreams map[settings.UpstreamID]*upstream
	others    map[inflight.RouterID]report
	// suspected is when a router last said that it waits for an upstream in vain.
	suspected map[settings.UpstreamID]clock.Instant
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

// Begin notes a request that is sent to an upstream.
func (d *Detector) Begin(now clock.Instant, id settings.UpstreamID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	u := d.get(id)
	if u.open == 0 {
		u.opened = now
	}
	u.open++
}

// ResponseReceived notes that bytes have come from an upstream.
func (d *Detector) ResponseReceived(now clock.Instant, id settings.UpstreamID) {
	d.mu.Lock()
	u := d.get(id)
	u.heard = now
	again := u.found != 0
	u.found = 0
	d.mu.Unlock()
	if again {
		d.changed(id, false)
	}
}

// End notes that a request has ended, however it did.
func (d *Detector) End(id settings.UpstreamID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	u := d.get(id)
	u.open = max(0, u.open-1)
}

// Forget drops what is known of an upstream that has ended or started anew.
func (d *Detector) Forget(id settings.UpstreamID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.upstreams, id)
	delete(d.suspected, id)
	for _, r := range d.others {
		delete(r.signs, id)
	}
}

// Local returns what other routers should hear of the upstreams. An upstream that answers the requests open there is left
// out, which most are: it goes without saying for one with open requests.
func (d *Detector) Local(now clock.Instant) Observations {
	d.mu.Lock()
	defer d.mu.Unlock()
	signs := make(Observations)
	for id, u := range d.upstreams {
		s := u.sign(now)
		if (s.Waiting && !s.hears(0)) || (!s.Waiting && s.hears(0)) {
			signs[id] = s
		}
	}
	return signs
}

// Report takes in what another router hears, and the requests that it has open.
func (d *Detector) Report(now clock.Instant, from inflight.RouterID, open inflight.Counts, signs Observations) {
	if signs == nil {
		signs = make(Observations, len(open))
	}
	for id := range open {
		if _, ok := signs[id]; !ok {
			signs[id] = Observation{Waiting: true, Heard: true}
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.others == nil {
		d.others = make(map[inflight.RouterID]report)
		d.suspected = make(map[settings.UpstreamID]clock.Instant)
	}
	for id, s := range signs {
		if s.inVain() {
			d.suspected[id] = now
		}
	}
	d.others[from] = report{at: now, signs: signs}
}

// Unresponsive reports, for each upstream of one service in the order given, whether it should get no requests now.
func (d *Detector) Unresponsive(now clock.Instant, ids []settings.UpstreamID) []bool {
	silent, found := d.silent(now, ids)
	for _, id := range found {
		d.changed(id, true)
	}
	return silent
}

// silent also returns the upstreams that have just been found.
func (d *Detector) silent(now clock.Instant, ids []settings.UpstreamID) (silent []bool, found []settings.UpstreamID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	silent = make([]bool, len(ids))
	judged := make([]bool, len(ids))
	n := 0
	for i, id := range ids {
		u := d.get(id)
		judged[i] = d.judge(now, id, u)
		silent[i] = judged[i] || (u.found != 0 && now.Sub(u.found) < holdTime)
		if silent[i] {
			n++
		}
	}
	if float64(n) > maxSilent*float64(len(ids)) {
		clear(silent)
		return silent, nil
	}
	for i, id := range ids {
		if !judged[i] {
			continue
		}
		u := d.get(id)
		if u.found == 0 {
			found = append(found, id)
		}
		u.found = now
	}
	return silent, found
}

// judge reports whether one router waits for an upstream in vain and no other hears it. A router that waits speaks for
// the time of its report, so that a slow exchange never makes a busy upstream look silent.
func (d *Detector) judge(now clock.Instant, id settings.UpstreamID, u *upstream) bool {
	own := u.sign(now)
	if own.hears(0) {
		return false
	}
	vain := own.inVain()
	if at, ok := d.suspected[id]; !vain && (!ok || now.Sub(at) >= reportTime) {
		// Nobody waits in vain, which holds for nearly every upstream; the reports need not be looked through.
		return false
	}
	for from, r := range d.others {
		age := now.Sub(r.at)
		if age >= reportTime {
			delete(d.others, from)
			continue
		}
		s, ok := r.signs[id]
		if !ok {
			continue
		}
		if s.hears(age) {
			return false
		}
		vain = vain || s.inVain()
	}
	return vain
}

// inVain reports whether a sign shows a router that waits for too long.
func (s Observation) inVain() bool { return s.Waiting && s.quiet() >= ResponseTimeout }

// hears reports whether a sign shows that the upstream answers: a router that waits for it has heard it shortly before its
// word, or one that does not wait has heard it shortly before now.
func (s Observation) hears(age time.Duration) bool {
	if !s.Heard {
		return false
	}
	if s.Waiting {
		return s.quiet() < ResponseTimeout/2
	}
	return s.quiet()+age < ResponseTimeout
}

func (d *Detector) changed(id settings.UpstreamID, silent bool) {
	if d.OnChange != nil {
		d.OnChange(id, silent)
	}
}
