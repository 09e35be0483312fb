package unresponsive

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"rattantrack.dev/core/clock"
	"rattantrack.dev/core/inflight"
	"rattantrack.dev/core/settings"
)

const ms = clock.Instant(time.Millisecond)

var ids = []settings.UpstreamID{"a", "b", "c"}

func TestUnresponsive(t *testing.T) {
	tests := []struct {
		name  string
		setup func(d *Detector)
		want  bool
	}{
		{"no request is open", func(*Detector) {}, false},
		{"a request has just begun", func(d *Detector) { d.Begin(1500*ms, "a") }, false},
		{"no response for a long time", func(d *Detector) { d.Begin(1000*ms, "a") }, true},
		{"a later request does not hide an older one", func(d *Detector) {
			d.Begin(1000*ms, "a")
			d.Begin(1900*ms, "a")
		}, true},
		{"an event has just arrived", func(d *Detector) {
			d.Begin(1000*ms, "a")
			d.ResponseReceived(1900*ms, "a")
		}, false},
		{"the last event is long ago", func(d *Detector) {
			d.Begin(1000*ms, "a")
			d.ResponseReceived(1200*ms, "a")
		}, true},
		{"another waiting router gets responses", func(d *Detector) {
			d.Begin(1000*ms, "a")
			d.Report(1000*ms, "r2", nil, Observations{"a": {NoResponseMS: 40, Waiting: true, Responded: true}})
		}, false},
		{"another router has open requests and omits the upstream", func(d *Detector) {
			d.Begin(1000*ms, "a")
			d.Report(1900*ms, "r2", inflight.Counts{"a": 2}, nil)
		}, false},
		{"another router got a response and no longer waits", func(d *Detector) {
			d.Begin(1000*ms, "a")
			d.Report(1900*ms, "r2", nil, Observations{"a": {NoResponseMS: 100, Responded: true}})
		}, false},
		{"another router has waited too long as well", func(d *Detector) {
			d.Begin(1000*ms, "a")
			d.Report(1900*ms, "r2", nil, Observations{"a": {NoResponseMS: 800, Waiting: true, Responded: true}})
		}, true},
		{"another router has just begun to wait", func(d *Detector) {
			d.Begin(1000*ms, "a")
			d.Report(1900*ms, "r2", nil, Observations{"a": {NoResponseMS: 10, Waiting: true}})
		}, true},
		{"only another router has waited too long", func(d *Detector) {
			d.Report(1900*ms, "r2", nil, Observations{"a": {NoResponseMS: 800, Waiting: true}})
		}, true},
		{"all requests have ended", func(d *Detector) {
			d.Begin(1000*ms, "a")
			d.End("a")
		}, false},
		{"the instance has restarted", func(d *Detector) {
			d.Begin(1000*ms, "a")
			d.Forget("a")
		}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := &Detector{}
			tt.setup(d)
			qt.New(t).Assert(d.Unresponsive(2000*ms, ids), qt.DeepEquals, []bool{tt.want, false, false})
		})
	}
}

func TestRouterWithoutAnyResponseExcludesNone(t *testing.T) {
	var d Detector
	for _, id := range ids {
		d.Begin(1000*ms, id)
	}
	qt.New(t).Assert(d.Unresponsive(2000*ms, ids), qt.DeepEquals, []bool{false, false, false})
}

func TestUnresponsiveUpstreamIsRetriedAndResponds(t *testing.T) {
	c := qt.New(t)
	var changes []string
	d := Detector{OnChange: func(id settings.UpstreamID, unresponsive bool) {
		changes = append(changes, fmt.Sprint(id, unresponsive))
	}}
	d.Begin(1000*ms, "a")
	c.Assert(d.Unresponsive(2000*ms, ids)[0], qt.IsTrue)
	d.End("a")
	c.Assert(d.Unresponsive(3900*ms, ids)[0], qt.IsTrue)
	c.Assert(d.Unresponsive(4100*ms, ids)[0], qt.IsFalse)
	d.Begin(4100*ms, "a")
	d.ResponseReceived(4200*ms, "a")
	c.Assert(d.Unresponsive(4300*ms, ids)[0], qt.IsFalse)
	c.Assert(changes, qt.DeepEquals, []string{"atrue", "afalse"})
}

// TestUnresponsiveEnginesGetNoRequests simulates 28 routers and 52 engines of which nine stop responding at once, with
// reports between the routers every 340 ms. Once the engines can have been detected, they get no more requests, and no
// engine that responds is excluded.
func TestUnresponsiveEnginesGetNoRequests(t *testing.T) {
	c := qt.New(t)
	const routers, engines, failed = 28, 52, 9
	var engineIDs []settings.UpstreamID
	for e := range engines {
		engineIDs = append(engineIDs, settings.UpstreamID(fmt.Sprintf("e%02d", e)))
	}
	detectors := make([]Detector, routers)
	const failedAt, end, step, reportInterval = 2000, 6000, 20, 340
	wastedRequests, wronglyExcluded := 0, 0
	for at := 0; at < end; at += step {
		now := clock.Instant(at+1) * ms
		for r := range detectors {
			for e, id := range engineIDs {
				isFailed := e < failed && at >= failedAt
				// Each router has a request at about a third of the engines, and engines send an event every 60 ms.
				if (r+e+at/step)%30 == 0 {
					if detectors[r].Unresponsive(now, engineIDs)[e] {
						wronglyExcluded += btoi(!isFailed)
						continue
					}
					wastedRequests += btoi(isFailed && at > failedAt+int(ResponseTimeout.Milliseconds())+reportInterval)
					detectors[r].Begin(now, id)
				}
				if (r+e+at/step)%30 == 15 && !isFailed {
					detectors[r].ResponseReceived(now, id)
					detectors[r].End(id)
				}
				if (r+e+at/step)%3 == 0 && !isFailed && detectors[r].upstreams[id] != nil && detectors[r].upstreams[id].open > 0 {
					detectors[r].ResponseReceived(now, id)
				}
			}
		}
		if at%reportInterval < step {
			for r := range detectors {
				open := make(inflight.Counts)
				for id, u := range detectors[r].upstreams {
					if u.open > 0 {
						open[id] = u.open
					}
				}
				for other := range detectors {
					if other != r {
						detectors[other].Report(now, inflight.RouterID(fmt.Sprint(r)), open, detectors[r].Local(now))
					}
				}
			}
		}
	}
	c.Assert(wronglyExcluded, qt.Equals, 0)
	c.Assert(wastedRequests, qt.Equals, 0)
}

func btoi(b bool) int {
	if b {
		return 1
	}
	return 0
}
