package cost

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"rattantrack.dev/core/clock"
	"rattantrack.dev/core/settings"
)

// tokensPerEvent is what the upstreams of the tests put into one event, which no router is told.
const tokensPerEvent = 9

// client makes requests whose outputs and output estimates are both lognormal.
type client struct {
	random       *rand.Rand
	route        settings.RouteName
	team         settings.TeamID
	median       float64
	spread, hint float64
}

// next returns a request and its output.
func (c *client) next() (Request, int) {
	events := max(1, math.Round(c.median*math.Exp(c.spread*c.random.NormFloat64())))
	r := Request{Route: c.route, Team: c.team, PromptTokens: 11800, MaxTokens: 4000}
	if c.hint > 0 {
		r.ExpectedTokens = settings.Tokens(math.Round(events * tokensPerEvent * math.Exp(c.hint*c.random.NormFloat64())))
	}
	return r, int(events)
}

// play records n requests, 50 ms apart, and returns when the last ended.
func (c *client) play(e *Estimator, now clock.Instant, n int) clock.Instant {
	for range n {
		now = now.Add(50 * time.Millisecond)
		r, events := c.next()
		e.Record(now, r, events)
	}
	return now
}

func newClient(seed uint64) *client {
	return &client{random: rand.New(rand.NewPCG(seed, 1)), route: "draft", team: "a", median: 42, spread: 0.86, hint: 0.5}
}

// TestEstimateIsBetterThanItsSources replays requests that look alike and make from ten to two hundred events. The client's statement,
// which is in tokens, and the distribution of the outputs together must be closer than either alone.
func TestEstimateIsBetterThanItsSources(t *testing.T) {
	c := qt.New(t)
	spreadOf := func(hint float64, team settings.TeamID) float64 {
		var e Estimator
		cl := newClient(7)
		now := cl.play(&e, clock.Instant(time.Second), 400)
		cl.hint = hint
		e.errors = sketch{}
		var squares float64
		const n = 400
		for range n {
			r, events := cl.next()
			r.Team = team
			d := math.Log(float64(events) / float64(e.Estimate(now, r).Median))
			squares += d * d
		}
		return math.Sqrt(squares / n)
	}
	both, outputs := spreadOf(0.5, "a"), spreadOf(0, "a")
	c.Assert(both < 0.5, qt.IsTrue, qt.Commentf("error %v, of the statement alone 0.5", both))
	c.Assert(both < outputs, qt.IsTrue, qt.Commentf("error %v, of the outputs alone %v", both, outputs))
	c.Assert(outputs < 1, qt.IsTrue, qt.Commentf("error of the outputs alone %v", outputs))
	c.Assert(spreadOf(0.5, "new") < 0.5, qt.IsTrue)
}

// TestEstimateOfNewRouteIsSane checks that a router that has seen no request estimates within the limits that the client states.
func TestEstimateOfNewRouteIsSane(t *testing.T) {
	c := qt.New(t)
	var e Estimator
	now := clock.Instant(time.Second)
	unknown := e.Estimate(now, Request{})
	c.Assert(math.Round(float64(unknown.Median)), qt.Equals, float64(defaultEvents))
	c.Assert(unknown.High > 2*unknown.Median && unknown.High < 8*unknown.Median, qt.IsTrue)
	c.Assert(unknown.Basis, qt.Equals, BasisDefault)
	limited := e.Estimate(now, Request{Route: "tag", MaxTokens: 5, ExpectedTokens: 4000})
	c.Assert(limited, qt.DeepEquals, Estimate{Median: 5, High: 5, Basis: BasisClient})
	c.Assert(e.Accuracy(now), qt.Equals, Accuracy{Bias: 1, Spread: 1})
	c.Assert(e.Record(now, Request{Route: "tag"}, 0), qt.Equals, 1.0)
}

// TestOneTeamDoesNotShiftTheOthers replays a team that sends twenty times as many requests as each other one, with an output of its own
// kind. The estimate for a team that is not known yet must be that of the many teams, not that of the many requests.
func TestOneTeamDoesNotShiftTheOthers(t *testing.T) {
	c := qt.New(t)
	var e Estimator
	now := clock.Instant(time.Second)
	odd := newClient(1)
	odd.team, odd.median, odd.spread = "odd", 1, 0
	for i := range 8 {
		usual := newClient(uint64(i))
		usual.team = settings.TeamID(fmt.Sprint(i))
		now = usual.play(&e, now, 20)
		now = odd.play(&e, now, 50)
	}
	got := e.Estimate(now, Request{Route: "draft", Team: "new", PromptTokens: 11800}).Median
	c.Assert(got > 42.0/2 && got < 42.0*2, qt.IsTrue, qt.Commentf("%v events", got))
	c.Assert(float64(e.Estimate(now, Request{Route: "draft", Team: "odd", PromptTokens: 11800}).Median), qt.Equals, 1.0)
}

// TestChangedOutputIsLearnt covers a new version of the upstreams that answers at a tenth of the length.
func TestChangedOutputIsLearnt(t *testing.T) {
	c := qt.New(t)
	var e Estimator
	cl := newClient(3)
	cl.median, cl.hint = 100, 0
	now := cl.play(&e, clock.Instant(time.Second), 200)
	now = now.Add(4 * halfLife)
	cl.median = 10
	now = cl.play(&e, now, 50)
	r, _ := cl.next()
	got := e.Estimate(now, r).Median
	c.Assert(got > 5 && got < 20, qt.IsTrue, qt.Commentf("%v events", got))
	// Weights do not overflow in a process that runs for weeks.
	now = cl.play(&e, now.Add(30*24*time.Hour), 50)
	got = e.Estimate(now, r).Median
	c.Assert(got > 5 && got < 20, qt.IsTrue, qt.Commentf("%v events", got))
}

// TestDistributionsAreBounded sends requests of more teams than an estimator keeps.
func TestDistributionsAreBounded(t *testing.T) {
	c := qt.New(t)
	var e Estimator
	now := clock.Instant(time.Second)
	for i := range 3 * maxDistributions {
		now = now.Add(time.Millisecond)
		e.Record(now, Request{Route: settings.RouteName(fmt.Sprint(i)), Team: settings.TeamID(fmt.Sprint(i)), ExpectedTokens: 9}, 5)
	}
	c.Assert(len(e.teams) <= maxDistributions && len(e.routes) <= maxDistributions && len(e.hints) <= maxDistributions, qt.IsTrue)
	c.Assert(e.Accuracy(now).Distributions, qt.Equals, 2*maxDistributions)
	c.Assert(e.teams[teamKey{"767", "767", 0}], qt.IsNotNil)
}
