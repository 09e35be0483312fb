package meanload

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

// fleet is a set of estimators, each of which exchanges samples with random others.
type fleet struct {
	estimators []*Estimator
	loads      []settings.Tokens
	now        clock.Instant
	rng        *rand.Rand
}

func newFleet(n int, seed uint64) *fleet {
	f := &fleet{rng: rand.New(rand.NewPCG(seed, 1)), now: clock.Instant(time.Hour)}
	for range n {
		f.estimators = append(f.estimators, &Estimator{})
		f.loads = append(f.loads, settings.Tokens(1500+f.rng.Float64()*1000))
	}
	return f
}

func id(i int) settings.UpstreamID { return settings.UpstreamID(fmt.Sprintf("s%d", i)) }

func (f *fleet) round() {
	for i := range f.estimators {
		j := f.rng.IntN(len(f.estimators))
		if i == j {
			continue
		}
		a := f.estimators[i].Sample(f.now, id(i), f.loads[i])
		b := f.estimators[j].Sample(f.now, id(j), f.loads[j])
		f.estimators[i].Merge(f.now, f.loads[i], b)
		f.estimators[j].Merge(f.now, f.loads[j], a)
	}
	f.now = f.now.Add(ExchangeInterval)
}

func (f *fleet) worstError() float64 {
	var sum settings.Tokens
	for _, l := range f.loads {
		sum += l
	}
	truth := float64(sum) / float64(len(f.loads))
	worst := 0.0
	for _, e := range f.estimators {
		m, _ := e.Mean(f.now)
		worst = math.Max(worst, math.Abs(float64(m)-truth)/truth)
	}
	return worst
}

func TestEstimatesConvergeWithinTenPercent(t *testing.T) {
	for _, n := range []int{20, 200, 1015} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			c := qt.New(t)
			f := newFleet(n, 1)
			for range 20 {
				f.round()
			}
			c.Assert(f.worstError() < 0.10, qt.IsTrue, qt.Commentf("worst error %.3f", f.worstError()))
		})
	}
}

func TestEstimatesFollowTheLossOfSides(t *testing.T) {
	c := qt.New(t)
	f := newFleet(40, 2)
	for range 20 {
		f.round()
	}
	f.estimators = f.estimators[:20]
	f.loads = f.loads[:20]
	for i := range f.loads {
		f.loads[i] *= 2
	}
	for range 20 {
		f.round()
	}
	c.Assert(f.worstError() < 0.10, qt.IsTrue, qt.Commentf("worst error %.3f", f.worstError()))
}

func TestOldEstimateIsNotUsed(t *testing.T) {
	c := qt.New(t)
	f := newFleet(4, 3)
	f.round()
	f.round()
	_, known := f.estimators[0].Mean(f.now)
	c.Assert(known, qt.IsTrue)
	later := f.now.Add(30 * time.Second)
	_, known = f.estimators[0].Mean(later)
	c.Assert(known, qt.IsFalse)
	_, _, found := f.estimators[0].LeastLoaded(later)
	c.Assert(found, qt.IsFalse)
}

func TestReportsDoNotGrowWithTheFleet(t *testing.T) {
	c := qt.New(t)
	f := newFleet(400, 4)
	for range 60 {
		f.round()
	}
	for _, e := range f.estimators {
		c.Assert(len(e.reports) <= maxReports, qt.IsTrue)
	}
}

func TestLeastLoadedAgesReports(t *testing.T) {
	c := qt.New(t)
	now := clock.Instant(time.Hour)
	e := &Estimator{}
	e.Merge(now, 1000, Sample{Side: "old", Load: 500, Mean: 1000, MeanKnown: true})
	e.Merge(now.Add(1900*time.Millisecond), 1000, Sample{Side: "new", Load: 600, Mean: 1000, MeanKnown: true})
	side, _, ok := e.LeastLoaded(now.Add(1900 * time.Millisecond))
	c.Assert(ok, qt.IsTrue)
	c.Assert(side, qt.Equals, settings.UpstreamID("new"))
	e.RecordSent("new", 900)
	side, _, _ = e.LeastLoaded(now.Add(1900 * time.Millisecond))
	c.Assert(side, qt.Equals, settings.UpstreamID("old"))
}
