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

func TestSilent(t *testing.T) {
	tests := []struct {
		name string
		play func(d *Detector)
		want bool
	}{
		{"no request is open", func(*Detector) {}, false},
		{"a request has just begun", func(d *Detector) { d.Begin(1500*ms, "a") }, false},
		{"nothing has come for long", func(d *Detector) { d.Begin(1000*ms, "a") }, true},
		{"a later request does not hide an older one", func(d *Detector) {
			d.Begin(1000*ms, "a")
			d.Begin(1900*ms, "a")
		}, true},
		{"an event has just come", func(d *Detector) {
			d.Begin(1000*ms, "a")
			d.ResponseReceived(1900*ms, "a")
		}, false},
		{"the last event is long ago", func(d *Detector) {
			d.Begin(1000*ms, "a")
			d.ResponseReceived(1200*ms, "a")
		}, true},
		{"another router that waits too hears it", func(d *Detector) {
			d.Begin(1000*ms, "a")
			d.Report(1000*ms, "r2", nil, Observations{"a": {QuietMS: 40, Waiting: true, Heard: true}})
		}, false},
		{"another router has open requests there and says nothing of them", func(d *Detector) {
			d.Begin(1000*ms, "a")
			d.Report(1900*ms, "r2", inflight.Counts{"a": 2}, nil)
		}, false},
		{"another router has heard it and waits no more", func(d *Detector) {
			d.Begin(1000*ms, "a")
			d.Report(1900*ms, "r2", nil, Observations{"a": {QuietMS: 100, Heard: true}})
		}, false},
		{"another router waits in vain too", func(d *Detector) {
			d.Begin(1000*ms, "a")
			d.Report(1900*ms, "r2", nil, Observations{"a": {QuietMS: 800, Waiting: true, Heard: true}})
		}, true},
		{"another router has just begun to wait", func(d *Detector) {
			d.Begin(1000*ms, "a")
			d.Report(1900*ms, "r2", nil, Observations{"a": {QuietMS: 10, Waiting: true}})
		}, true},
		{"only another router waits in vain", func(d *Detector) {
			d.Report(1900*ms, "r2", nil, Observations{"a": {QuietMS: 800, Waiting: true}})
		}, true},
		{"all requests have ended", func(d *Detector) {
			d.Begin(1000*ms, "a")
			d.End("a")
		}, false},
		{"the instance has started anew", func(d *Detector) {
			d.Begin(1000*ms, "a")
			d.Forget("a")
		}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := &Detector{}
			tt.play(d)
			qt.New(t).Assert(d.Unresponsive(2000*ms, ids), qt.DeepEquals, []bool{tt.want, false, false})
		})
	}
}

func TestRouterThatHearsNobodyLeavesNobodyOut(t *testing.T) {
	var d Detector
	for _, id := range ids {
		d.Begin(1000*ms, id)
	}
	qt.New(t).Assert(d.Unresponsive(2000*ms, ids), qt.DeepEquals, []bool{false, false, false})
}

func TestSilentUpstreamIsTriedAgainAndHeard(t *testing.T) {
	c := qt.New(t)
	var changes []string
	d := Detector{OnChange: func(id settings.UpstreamID, silent bool) {
		changes = append(changes, fmt.Sprint(id, silent))
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

// TestDarkEnginesGetLittle replays 28 routers before 52 engines of which nine go dark at once, with the routers' words
// 340 ms old: once they are found, they get no more requests, and no engine that answers is left out.
func TestDarkEnginesGetLittle(t *testing.T) {
	c := qt.New(t)
	const routers, engines, dark = 28, 52, 9
	var list []settings.UpstreamID
	for e := range engines {
		list = append(list, settings.UpstreamID(fmt.Sprintf("e%02d", e)))
	}
	ds := make([]Detector, routers)
	const darkAt, end, step, exchange = 2000, 6000, 20, 340
	wasted, wrong := 0, 0
	for at := 0; at < end; at += step {
		now := clock.Instant(at+1) * ms
		for r := range ds {
			for e, id := range list {
				isDark := e < dark && at >= darkAt
				// Each router has a request at about a third of the engines, and engines send an event each 60 ms.
				if (r+e+at/step)%30 == 0 {
					if ds[r].Unresponsive(now, list)[e] {
						wrong += btoi(!isDark)
						continue
					}
					wasted += btoi(isDark && at > darkAt+int(ResponseTimeout.Milliseconds())+exchange)
					ds[r].Begin(now, id)
				}
				if (r+e+at/step)%30 == 15 && !isDark {
					ds[r].ResponseReceived(now, id)
					ds[r].End(id)
				}
				if (r+e+at/step)%3 == 0 && !isDark && ds[r].upstreams[id] != nil && ds[r].upstreams[id].open > 0 {
					ds[r].ResponseReceived(now, id)
				}
			}
		}
		if at%exchange < step {
			for r := range ds {
				open := make(inflight.Counts)
				for id, u := range ds[r].upstreams {
					if u.open > 0 {
						open[id] = u.open
					}
				}
				for other := range ds {
					if other != r {
						ds[other].Report(now, inflight.RouterID(fmt.Sprint(r)), open, ds[r].Local(now))
					}
				}
			}
		}
	}
	c.Assert(wrong, qt.Equals, 0)
	c.Assert(wasted, qt.Equals, 0)
}

func btoi(b bool) int {
	if b {
		return 1
	}
	return 0
}
