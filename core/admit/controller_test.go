package admit

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"rattantrack.dev/core/clock"
	"rattantrack.dev/core/mean"
	"rattantrack.dev/core/settings"
)

const start = clock.Instant(time.Hour)

// controller returns one side that knows a mean of 1000 and one lighter side.
func controller() *Controller {
	c := &Controller{Self: "self", Policy: Policy{Multiple: 1.25, PrefillWeight: 0.1, Import: true}}
	c.Estimator.Merge(start, 1000, mean.Sample{Side: "light", Load: 800, Mean: 1000, Known: true})
	c.Estimator.Merge(start, 1000, mean.Sample{Side: "heavy", Load: 1200, Mean: 1000, Known: true})
	return c
}

func TestDecideFollowsPrefixAndLoad(t *testing.T) {
	tests := map[string]struct {
		setup func(c *Controller)
		ask   Ask
		admit bool
		next  settings.UpstreamID
	}{
		"new chat at an idle home": {nil, Ask{Chat: 1, Prompt: 100, Decode: 50, Home: true}, true, ""},
		"chat held elsewhere": {func(c *Controller) { c.Directory.Served(1, "other") },
			Ask{Chat: 1, Prompt: 2000, Decode: 50, Home: true}, false, "other"},
		"chat held elsewhere that the other side sent here": {func(c *Controller) { c.Directory.Served(1, "other") },
			Ask{Chat: 1, Prompt: 2000, Decode: 50, Home: true, Sent: true}, true, ""},
		"short chat held elsewhere is not worth another ask": {func(c *Controller) { c.Directory.Served(1, "other") },
			Ask{Chat: 1, Prompt: 50, Decode: 50, Home: true}, true, ""},
		"cached chat above the mean": {func(c *Controller) { c.load = 1050; c.Prefixes.Stored(1, 2000) },
			Ask{Chat: 1, Prompt: 2000, Decode: 50, Home: true}, true, ""},
		"new chat above the mean": {func(c *Controller) { c.load = 1100 },
			Ask{Chat: 1, Prompt: 100, Decode: 50, Home: true}, false, "light"},
		"cached chat at the multiple": {func(c *Controller) { c.load = 1240; c.Prefixes.Stored(1, 2000) },
			Ask{Chat: 1, Prompt: 2000, Decode: 50, Home: true}, false, "light"},
		"every other side had more load": {func(c *Controller) { c.load = 1300 },
			Ask{Chat: 1, Prompt: 100, Decode: 50, Last: true}, true, ""},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := controller()
			if test.setup != nil {
				test.setup(c)
			}
			v := c.Decide(start, test.ask)
			qt.Assert(t, v.Admit, qt.Equals, test.admit)
			qt.Assert(t, v.Next[0], qt.Equals, test.next)
		})
	}
}

func TestWokenSideTakesOnlyTheFloor(t *testing.T) {
	c := qt.New(t)
	s := controller()
	woken := start.Add(30 * time.Second)
	taken := 0
	for range 20 {
		if s.Decide(woken, Ask{Chat: uint64(taken), Decode: 100}).Admit {
			taken++
		}
	}
	c.Assert(taken, qt.Equals, floorCharges)
	c.Assert(s.Excess(woken), qt.Equals, settings.Tokens(0))
}

func TestLoadIsWhatWasTakenAndNotGivenBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := controller()
		var open []*Verdict
		want := settings.Tokens(0)
		for i := range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				ask := Ask{
					Chat:   uint64(rapid.IntRange(1, 5).Draw(t, "chat")),
					Prompt: settings.Tokens(rapid.IntRange(0, 3000).Draw(t, "prompt")),
					Decode: settings.Tokens(rapid.IntRange(1, 300).Draw(t, "decode")),
					Holder: rapid.SampledFrom([]settings.UpstreamID{"", "other"}).Draw(t, "holder"),
					Last:   rapid.Bool().Draw(t, "last"),
				}
				v := c.Decide(start.Add(time.Duration(i)), ask)
				if v.Admit {
					want += v.Charge
					open = append(open, &v)
				}
			case 1:
				if len(open) > 0 {
					want -= open[0].Prefill
					c.FirstToken(open[0])
				}
			case 2:
				if len(open) > 0 {
					want -= open[0].Charge
					c.Release(open[0])
					open = open[1:]
				}
			case 3:
				if len(open) > 0 {
					before := open[0].Charge
					c.Imported(open[0], 500)
					want += open[0].Charge - before
				}
			}
			if diff := c.Load() - want; diff > 0.001 || diff < -0.001 {
				t.Fatalf("load %v, want %v", c.Load(), want)
			}
		}
	})
}

func TestMovesNeverMakeTheNewSideHeavierThanTheOld(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := controller()
		c.load = settings.Tokens(rapid.IntRange(0, 4000).Draw(t, "load"))
		m, ok := c.Shed(start)
		if !ok {
			return
		}
		if c.load <= c.above(1000, 0) {
			t.Fatalf("moves away work at load %v", c.load)
		}
		if 800+m.Most > c.load {
			t.Fatalf("a move of %v would leave the new side heavier than %v", m.Most, c.load)
		}
	})
}

func TestPrefixesKeepToTheCacheSize(t *testing.T) {
	c := qt.New(t)
	p := &Prefixes{Limit: 1000}
	for i := range uint64(50) {
		p.Stored(i, 100)
		p.Stored(i, 120)
	}
	c.Assert(p.held <= 1000, qt.IsTrue)
	c.Assert(p.Cached(49), qt.Equals, settings.Tokens(120))
	c.Assert(p.Cached(0), qt.Equals, settings.Tokens(0))
}

func BenchmarkDecide(b *testing.B) {
	c := controller()
	for i := range uint64(2400) {
		c.Directory.Served(i, settings.UpstreamID(fmt.Sprint("side-", i%1015)))
	}
	b.ReportAllocs()
	for i := range b.N {
		v := c.Decide(start, Ask{Chat: uint64(i % 2400), Prompt: 2000, Decode: 100, Home: true})
		if v.Admit {
			c.Release(&v)
		}
	}
}
