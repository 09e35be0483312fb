package direct

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"rattantrack.dev/core/settings"
)

// The load of burstAndLoudTeam: all teams send burstFactor times as much, and the largest one loudFactor times as much as that. The fleet
// has room for it as long as the shared parts of prompts stay cached.
const (
	burstFactor, burstStart, burstEnd = 2.5, 6 * time.Second, 20 * time.Second
	loudFactor, loudStart, loudEnd    = 8.0, 8 * time.Second, 16 * time.Second
	loudTeam                          = 0
)

// Bounds in overload.
const (
	// stableShare is the least served worth as a share of the best.
	stableShare = 0.9
	// recoveryTime is how long after the end of a load requests may be served worse.
	recoveryTime = time.Second
	// rankedServed and rankedWorth are the shares by which a more urgent class may be served less often, or for less of its worth, than a
	// less urgent one.
	rankedServed, rankedWorth = 0.05, 0.15
)

// burstAndLoudTeam is a load in which two causes coincide. The loud team sends no summaries.
func burstAndLoudTeam(at time.Duration, class, team int) float64 {
	x := 1.0
	if at >= burstStart && at < burstEnd {
		x *= burstFactor
	}
	if team == loudTeam && class != summaries && at >= loudStart && at < loudEnd {
		x *= loudFactor
	}
	return x
}

// playBurstAndLoudTeam plays the load on the whole fleet, once for all tests.
var playBurstAndLoudTeam = sync.OnceValue(func() *overloadSim {
	s := newOverloadSim(61, 1, false, burstAndLoudTeam)
	s.run(burstEnd + recoveryTime + 3*time.Second)
	return s
})

// Times of a run at constant demand. Congestion that feeds on itself has built up when the measurement starts. The demand goes on until
// the requests that were sent before curveEnd have ended, also those whose clients came back.
const (
	curveStart = 3 * time.Second
	curveEnd   = 5 * time.Second
	curveStop  = 11 * time.Second
)

// curveMultiples are the multiples of the capacity from which curves are drawn.
var curveMultiples = []float64{0.5, 0.75, 1, 1.25, 1.5, 2, 3, 4}

// curve returns the served worth at multiples of the capacity, as a share of the worth of the demand at the capacity.
func curve(seed uint64, scale int, naive bool) []float64 {
	points := make([]float64, len(curveMultiples))
	for i, multiple := range curveMultiples {
		s := newOverloadSim(seed, scale, naive, func(time.Duration, int, int) float64 { return multiple * simCapacity() })
		s.run(curveStop)
		points[i] = s.outcome(curveStart, curveEnd, summaries, questions, tags).worthShare() * multiple
	}
	return points
}

// TestOverloadDoesNotCollapse guards against requests that push each other's prompts out of the engines: each then takes an engine longer,
// and the fleet serves a fraction of what it has room for.
func TestOverloadDoesNotCollapse(t *testing.T) {
	t.Parallel()
	s := playBurstAndLoudTeam()
	loud := s.outcome(loudStart, loudEnd, summaries, questions, tags)
	qt.Assert(t, loud.worthShare() >= stableShare, qt.IsTrue, qt.Commentf("%v", loud))
}

// TestSharedPromptsAreNotReadAgainInOverload guards against prompts that wander over the fleet. No prompt has so many requests that one
// engine has no room for them within the load bound. Where the prompts of an engine together exceed it, each needs one other engine.
func TestSharedPromptsAreNotReadAgainInOverload(t *testing.T) {
	t.Parallel()
	s := playBurstAndLoudTeam()
	once := settings.Tokens(0)
	for _, class := range simClasses {
		once += settings.Tokens(class.prompts) * class.shared
	}
	qt.Assert(t, s.readAgain <= once, qt.IsTrue, qt.Commentf("%v tokens read again, all prompts have %v", s.readAgain, once))
}

// TestOverloadEndsWithItsLoad guards against an overload that sustains itself after its cause has ended.
func TestOverloadEndsWithItsLoad(t *testing.T) {
	t.Parallel()
	s := playBurstAndLoudTeam()
	for _, end := range []time.Duration{loudEnd, burstEnd} {
		after := s.outcome(end+recoveryTime, end+recoveryTime+time.Second, summaries, questions, tags)
		qt.Check(t, after.worthShare() >= stableShare, qt.IsTrue, qt.Commentf("after %v: %v", end, after))
	}
}

// TestUrgentRequestsAreServedFirstInOverload guards against requests that are served in the reverse order of their ranks, since the less
// urgent ones have more patient clients.
func TestUrgentRequestsAreServedFirstInOverload(t *testing.T) {
	t.Parallel()
	s := playBurstAndLoudTeam()
	for _, urgent := range []int{questions, tags} {
		for _, other := range []int{tags, summaries} {
			if simClasses[urgent].rank >= simClasses[other].rank {
				continue
			}
			u, o := s.outcome(loudStart, loudEnd, urgent), s.outcome(loudStart, loudEnd, other)
			qt.Check(t, u.servedShare() >= o.servedShare()-rankedServed && u.worthShare() >= o.worthShare()-rankedWorth, qt.IsTrue,
				qt.Commentf("rank %d: %v; rank %d: %v", simClasses[urgent].rank, u, simClasses[other].rank, o))
		}
	}
}

// TestServedWorthDoesNotFallWithDemand guards against a fleet that serves the less the more is demanded. It plays a quarter of the fleet.
func TestServedWorthDoesNotFallWithDemand(t *testing.T) {
	t.Parallel()
	points := curve(61, 4, false)
	best := slices.Max(points)
	for i, multiple := range curveMultiples {
		// No more than the demand can be served.
		want := stableShare * min(best, multiple)
		qt.Check(t, points[i] >= want, qt.IsTrue, qt.Commentf("at %.2f times the capacity: %.3f, best %.3f", multiple, points[i], best))
	}
}

// BenchmarkOverload prints how the whole fleet serves the load of the tests, and its curve, beside those of the naive rule.
func BenchmarkOverload(b *testing.B) {
	for _, naive := range []bool{false, true} {
		name := map[bool]string{false: "routers", true: "naive"}[naive]
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				s := newOverloadSim(61, 1, naive, burstAndLoudTeam)
				s.run(burstEnd + recoveryTime + 3*time.Second)
				text := s.table()
				for i, worth := range curve(61, 1, naive) {
					text += fmt.Sprintf("%.2f times the capacity: %.3f\n", curveMultiples[i], worth)
				}
				b.Logf("burst and loud team, %v tokens read again\n%s", s.readAgain, text)
			}
		})
	}
}

// table returns the outcome of each second by class.
func (s *overloadSim) table() string {
	var text strings.Builder
	text.WriteString("second  load     summaries: served, worth     questions: served, worth          tags: served, worth\n")
	for at := time.Duration(0); at < time.Duration(len(s.tallies)-1)*simTenth; at += time.Second {
		fmt.Fprintf(&text, "%6.0f %5.1f", at.Seconds(), s.loads[int(at/simExchange)])
		for _, class := range []int{summaries, questions, tags} {
			fmt.Fprintf(&text, "%30v", s.outcome(at, at+time.Second, class))
		}
		text.WriteString("\n")
	}
	return text.String()
}
