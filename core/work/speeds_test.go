package work

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"rattantrack.dev/core/clock"
	"rattantrack.dev/core/settings"
)

// vms are upstreams each of which is slow for a share of its time. A state lasts for one period.
type vms struct {
	random *rand.Rand
	ids    []settings.UpstreamID
	period time.Duration
	until  []clock.Instant
	slow   []bool
}

const slowdown, slowShare = 2.5, 0.15

func newVMs(n int, period time.Duration) *vms {
	v := &vms{random: rand.New(rand.NewPCG(5, 5)), period: period, until: make([]clock.Instant, n), slow: make([]bool, n)}
	for i := range n {
		v.ids = append(v.ids, settings.UpstreamID(fmt.Sprintf("e%02d", i)))
		v.until[i] = clock.Instant(v.random.Int64N(int64(period)))
	}
	return v
}

// state returns the slowdown of an upstream now; calls are in the order of time.
func (v *vms) state(now clock.Instant, i int) float64 {
	for v.until[i] <= now {
		v.until[i] = v.until[i].Add(v.period)
		v.slow[i] = v.random.Float64() < slowShare
	}
	if v.slow[i] {
		return slowdown
	}
	return 1
}

// choose plays a minute in which two routers record readings, pass them on every 80 ms and send requests to the upstreams that they
// expect to be the fastest of three. It returns the share of the requests that met a slow upstream.
func choose(v *vms) (share float64, routers [2]*Speeds) {
	routers = [2]*Speeds{{}, {}}
	met, sent := 0, 0
	var passed clock.Instant
	for now := clock.Instant(time.Second); now < clock.Instant(61*time.Second); now = now.Add(2 * time.Millisecond) {
		r := routers[v.random.IntN(2)]
		i := v.random.IntN(len(v.ids))
		r.Record(now, v.ids[i], v.state(now, i))
		if now.Sub(passed) >= 80*time.Millisecond {
			passed = now
			a, b := routers[0].Recent(now.Add(-5*time.Millisecond)), routers[1].Recent(now.Add(-5*time.Millisecond))
			routers[0].Merge(now, b)
			routers[1].Merge(now, a)
		}
		if now < clock.Instant(20*time.Second) {
			continue
		}
		offer := v.random.Perm(len(v.ids))[:3]
		best, lowest := 0, 1e9
		for _, j := range offer {
			if e := r.Expected(now, []settings.UpstreamID{v.ids[j]})[0]; e < lowest {
				best, lowest = j, e
			}
		}
		sent++
		if v.state(now, best) > 1 {
			met++
		}
	}
	return float64(met) / float64(sent), routers
}

// TestSlowUpstreamsAreAvoidedWhileReadingsHold replays upstreams that are slow for 600 ms at a time: fresh readings are worth acting on.
func TestSlowUpstreamsAreAvoidedWhileReadingsHold(t *testing.T) {
	c := qt.New(t)
	share, routers := choose(newVMs(12, 600*time.Millisecond))
	c.Assert(share < slowShare/3, qt.IsTrue, qt.Commentf("%v of the requests met a slow upstream", share))
	for i := range routers {
		c.Assert(routers[i].lags.at(10*time.Millisecond) > 0.7, qt.IsTrue, qt.Commentf("%+v", routers[i].lags.list()))
		c.Assert(routers[i].lags.at(1400*time.Millisecond) < 0.2, qt.IsTrue, qt.Commentf("%+v", routers[i].lags.list()))
	}
}

// TestReadingsThatDoNotHoldAreIgnored replays upstreams whose state changes faster than readings arrive: chats must not be moved about
// because of them.
func TestReadingsThatDoNotHoldAreIgnored(t *testing.T) {
	c := qt.New(t)
	v := newVMs(12, 4*time.Millisecond)
	_, routers := choose(v)
	now := clock.Instant(61 * time.Second)
	for i := range routers {
		for _, e := range routers[i].Expected(now.Add(100*time.Millisecond), v.ids) {
			c.Assert(e > 1.1 && e < 1.4, qt.IsTrue, qt.Commentf("expected %v, mean 1.225", e))
		}
	}
}

// TestReadingPassedInCircleIsNoNewOne guards against a persistence learnt from pairs of one reading with itself.
func TestReadingPassedInCircleIsNoNewOne(t *testing.T) {
	c := qt.New(t)
	var a, b Speeds
	now := clock.Instant(time.Second)
	a.Record(now, "e", 2.5)
	for range 10 {
		now = now.Add(80 * time.Millisecond)
		b.Merge(now.Add(3*time.Millisecond), a.Recent(now))
		a.Merge(now.Add(6*time.Millisecond), b.Recent(now.Add(3*time.Millisecond)))
	}
	c.Assert(a.Status(now).Lags, qt.HasLen, 0)
	c.Assert(b.Status(now).Lags, qt.HasLen, 0)
	c.Assert(b.Status(now).Upstreams, qt.Equals, 1)
	now = now.Add(maxAge)
	c.Assert(b.Recent(now), qt.HasLen, 0)
	c.Assert(b.Active(now), qt.IsTrue)
	c.Assert(b.Active(now.Add(activeTime)), qt.IsFalse)
	b.Recent(now.Add(activeTime))
	c.Assert(b.samples, qt.HasLen, 0)
}

// TestUnknownSpeedIsUsual covers a router of upstreams that state nothing.
func TestUnknownSpeedIsUsual(t *testing.T) {
	c := qt.New(t)
	var s Speeds
	c.Assert(s.Expected(5, []settings.UpstreamID{"a", "b"}), qt.DeepEquals, []float64{1, 1})
	c.Assert(s.Active(5), qt.IsFalse)
	s.Merge(5, []Reading{{Upstream: "a"}, {Upstream: "b", Slowdown: 250, Age: 65535}})
	c.Assert(s.Active(5), qt.IsFalse)
}

// TestReadingsPassedOnAreBounded covers a large fleet of upstreams.
func TestReadingsPassedOnAreBounded(t *testing.T) {
	c := qt.New(t)
	var s Speeds
	now := clock.Instant(time.Second)
	for i := range 10 * maxReadings {
		s.Record(now.Add(time.Duration(i)*time.Millisecond), settings.UpstreamID(fmt.Sprint(i)), 1)
	}
	list := s.Recent(now.Add(1300 * time.Millisecond))
	c.Assert(list, qt.HasLen, maxReadings)
	c.Assert(list[0].Upstream, qt.Equals, settings.UpstreamID("1279"))
}

// TestImplausibleSpeedIsBounded covers an upstream that lies about its speed: the others and the mean are not affected by much.
func TestImplausibleSpeedIsBounded(t *testing.T) {
	c := qt.New(t)
	var s Speeds
	now := clock.Instant(time.Second)
	for i := range 4000 {
		now = now.Add(5 * time.Millisecond)
		s.Record(now, settings.UpstreamID(fmt.Sprint(i%20)), 1)
		if i%20 == 0 {
			s.Record(now, "liar", 100)
		}
	}
	got := s.Excess(now, []settings.UpstreamID{"liar", "3"})
	c.Assert(got[0] <= maxSlowdown, qt.IsTrue, qt.Commentf("%v", got))
	c.Assert(got[1], qt.Equals, 1.0)
	c.Assert(s.Status(now).Mean < 1.3, qt.IsTrue)
}
