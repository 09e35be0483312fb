package ratelimit

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"rattantrack.dev/core/call"
	"rattantrack.dev/core/clock"
	"rattantrack.dev/core/inflight"
	"rattantrack.dev/core/members"
	"rattantrack.dev/core/settings"
)

var inst = members.Instance{ID: "e", Incarnation: 7}

func rate(r call.Rate) *call.Rate { return &r }

func at(d time.Duration) clock.Instant { return clock.Instant(time.Hour + d) }

func TestShare(t *testing.T) {
	tests := []struct {
		name   string
		rate   call.Rate
		demand demand
		want   float64
	}{
		{"nothing is known", 2, demand{heard: 1, known: 1}, 1},
		{"less is wanted than allowed", 2, demand{wanted: 2, heard: 4, known: 4}, 1},
		{"twice as much is wanted", 2, demand{wanted: 6, heard: 4, known: 4}, 0.5},
		{"less is wanted than allowed since a herd", 2, demand{wanted: 2, peak: 12, heard: 4, known: 4}, 0.25},
		{"the peak counts beyond what is wanted now", 2, demand{wanted: 6, peak: 12, heard: 4, known: 4}, 0.25},
		{"half of the routers are silent", 2, demand{wanted: 6, heard: 2, known: 4}, 0.25},
		{"more routers are heard than known", 2, demand{wanted: 6, heard: 5, known: 4}, 0.5},
		{"a rate of zero is tried now and then", 0, demand{wanted: 6, heard: 4, known: 4}, 0.0625},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			qt.Assert(t, share(tt.rate, tt.demand), qt.Equals, tt.want)
		})
	}
}

func TestExhausted(t *testing.T) {
	c := qt.New(t)
	c.Assert(exhausted(2, demand{sent: 4, heard: 4, known: 4}), qt.IsFalse)
	c.Assert(exhausted(2, demand{sent: 5, heard: 4, known: 4}), qt.IsTrue)
	c.Assert(exhausted(2, demand{sent: 3, heard: 2, known: 4}), qt.IsTrue)
	c.Assert(exhausted(0.1, demand{sent: 0, heard: 1, known: 103}), qt.IsFalse)
}

func TestLatestStatementCounts(t *testing.T) {
	c := qt.New(t)
	var a, b Tracker
	c.Assert(a.Record(at(0), inst, nil), qt.IsFalse)
	c.Assert(a.Record(at(0), inst, rate(2)), qt.IsTrue)
	c.Assert(a.Record(at(time.Second), inst, rate(2)), qt.IsFalse)
	c.Assert(b.Merge(at(time.Second), a.Statements(at(time.Second))), qt.HasLen, 1)
	c.Assert(a.Digest(at(time.Second)), qt.Equals, b.Digest(at(time.Second)))
	// b hears of the end; a is told.
	c.Assert(b.Record(at(2*time.Second), inst, nil), qt.IsTrue)
	c.Assert(a.Digest(at(2*time.Second)), qt.Not(qt.Equals), b.Digest(at(2*time.Second)))
	c.Assert(b.Merge(at(2*time.Second), a.Statements(at(2*time.Second))), qt.HasLen, 0)
	c.Assert(a.Merge(at(2*time.Second), b.Statements(at(2*time.Second))), qt.HasLen, 1)
	c.Assert(a.Active(at(2*time.Second)), qt.IsFalse)
	c.Assert(a.Digest(at(2*time.Second)), qt.Equals, b.Digest(at(2*time.Second)))
	// An older process of the upstream says nothing of the present one.
	old := Statement{Upstream: "e", Incarnation: 6, Limited: true, Rate: 1}
	c.Assert(a.Merge(at(3*time.Second), []Statement{old}), qt.HasLen, 0)
	restarted := members.Instance{ID: "e", Incarnation: 8}
	c.Assert(a.Record(at(4*time.Second), restarted, rate(3)), qt.IsTrue)
}

func TestStatementsExpire(t *testing.T) {
	c := qt.New(t)
	var tracker Tracker
	tracker.Record(at(0), inst, rate(2))
	c.Assert(tracker.Active(at(statementTime-time.Second)), qt.IsTrue)
	c.Assert(tracker.Active(at(statementTime)), qt.IsFalse)
	c.Assert(tracker.limits, qt.HasLen, 0)
	for i := range 2 * maxUpstreams {
		tracker.Record(at(0), members.Instance{ID: settings.UpstreamID(fmt.Sprint(i))}, rate(2))
	}
	c.Assert(len(tracker.limits) <= maxUpstreams, qt.IsTrue)
}

// fleet is a set of routers that send requests to one limited upstream, on a virtual clock.
type fleet struct {
	routers int
	rate    call.Rate
	// demand is the number of requests per second that would be sent without the limit. If herds is set, it comes in herds, one each two
	// seconds, within less time than the routers need to tell each other.
	demand float64
	herds  bool
	// delay is the time until a router knows what another one has sent.
	delay time.Duration
	// group returns the part of the fleet that a router belongs to at a time. Parts do not hear each other, and no part hears a
	// router of a negative group, which sends nothing.
	group func(now time.Duration, router int) int
}

// run returns the most requests in four seconds from learnt on, and the number in the last ten seconds.
func (f fleet) run(seed uint64, length, learnt time.Duration) (most, last int) {
	const step = 10 * time.Millisecond
	r := rand.New(rand.NewPCG(seed, 2))
	trackers := make([]Tracker, f.routers)
	type report struct {
		at           clock.Instant
		from         int
		wanted, sent inflight.Counts
	}
	var inTransit []report
	var sent []time.Duration
	for now := time.Duration(0); now < length; now += step {
		groups := make([]int, f.routers)
		for i := range groups {
			groups[i] = f.group(now, i)
		}
		if now%(80*time.Millisecond) == 0 {
			for i := range trackers {
				u := trackers[i].Usage(at(now))
				inTransit = append(inTransit, report{
					at: at(now + time.Duration(r.Float64()*float64(f.delay))), from: i, wanted: u.Wanted.Local(), sent: u.Sent.Local(),
				})
			}
		}
		var left []report
		for _, rep := range inTransit {
			if rep.at > at(now) {
				left = append(left, rep)
				continue
			}
			from := inflight.RouterID(fmt.Sprint(rep.from))
			for i := range trackers {
				if i != rep.from && groups[i] == groups[rep.from] && groups[i] >= 0 {
					trackers[i].wanted.Report(at(now), from, "", rep.wanted)
					trackers[i].sent.Report(at(now), from, "", rep.sent)
				}
			}
		}
		inTransit = left
		wanted := f.demand * step.Seconds()
		if f.herds {
			wanted = 0
			if now%(2*time.Second) < 5*step {
				wanted = f.demand * 2 / 5
			}
		}
		for p := wanted; r.Float64() < p; p-- {
			i := r.IntN(f.routers)
			if groups[i] < 0 || !trackers[i].Admit(at(now), "e", f.routers) {
				continue
			}
			// The router that is the first to send hears the limit, the others are told.
			for j := range trackers {
				trackers[j].Record(at(now), inst, rate(f.rate))
			}
			sent = append(sent, now)
		}
	}
	for i, first := range sent {
		n := 0
		for _, other := range sent[i:] {
			if other-first < 4*time.Second {
				n++
			}
		}
		if first >= learnt {
			most = max(most, n)
		}
		if first >= length-10*time.Second {
			last++
		}
	}
	return most, last
}

// TestSumOverAllRoutersKeepsToTheLimit replays fleets whose demand is several times the limit: whole, in herds, with a part that is cut
// off, in single routers, and with routers that fall silent for good.
func TestSumOverAllRoutersKeepsToTheLimit(t *testing.T) {
	whole := func(time.Duration, int) int { return 0 }
	tests := []struct {
		name  string
		fleet fleet
		// used is the least share of the limit that is used at the end.
		used float64
	}{
		{"4 routers", fleet{routers: 4, rate: 3.8, demand: 15, delay: 120 * time.Millisecond, group: whole}, 0.7},
		{"4 routers, low rate", fleet{routers: 4, rate: 1, demand: 15, delay: 120 * time.Millisecond, group: whole}, 0.7},
		{"4 routers, high rate", fleet{routers: 4, rate: 20, demand: 80, delay: 120 * time.Millisecond, group: whole}, 0.7},
		{"103 routers", fleet{routers: 103, rate: 3, demand: 12, delay: 250 * time.Millisecond, group: whole}, 0.7},
		{"23 routers, in herds", fleet{routers: 23, rate: 3.6, demand: 12, herds: true, delay: 250 * time.Millisecond, group: whole}, 0.3},
		{"two parts", fleet{routers: 6, rate: 3, demand: 12, delay: 120 * time.Millisecond, group: func(now time.Duration, i int) int {
			if now > 5*time.Second {
				return i % 2
			}
			return 0
		}}, 0.5},
		{"single routers", fleet{routers: 23, rate: 3, demand: 12, delay: 120 * time.Millisecond, group: func(now time.Duration, i int) int {
			if now > 5*time.Second {
				return i
			}
			return 0
		}}, 0},
		{"silent routers", fleet{routers: 8, rate: 3, demand: 24, delay: 120 * time.Millisecond, group: func(now time.Duration, i int) int {
			if now > 5*time.Second && i < 4 {
				return -1
			}
			return 0
		}}, 0.3},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			for seed := range uint64(2) {
				most, last := tt.fleet.run(seed, 25*time.Second, 3*time.Second)
				allowed := int(1.5*4*float64(tt.fleet.rate)) + 5
				c.Check(most <= allowed, qt.IsTrue, qt.Commentf("seed %d: %d requests in 4 s, allowed %d", seed, most, allowed))
				c.Check(float64(last) >= 10*tt.used*float64(tt.fleet.rate), qt.IsTrue, qt.Commentf("seed %d: %d at the end", seed, last))
			}
		})
	}
}
