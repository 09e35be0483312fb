package admission

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"rattantrack.dev/core/clock"
	"rattantrack.dev/core/meanload"
	"rattantrack.dev/core/settings"
)

const start = clock.Instant(time.Hour)

// controller returns the controller of a side with a mean load of 1000, one less loaded and one more loaded side.
func controller() *Controller {
	c := &Controller{Self: "self", Policy: Policy{Multiple: 1.25, PrefillWeight: 0.1, CanImport: true}}
	c.Estimator.Merge(start, 1000, meanload.Sample{Side: "light", Load: 800, Mean: 1000, MeanKnown: true})
	c.Estimator.Merge(start, 1000, meanload.Sample{Side: "heavy", Load: 1200, Mean: 1000, MeanKnown: true})
	return c
}

func TestDecideFollowsPrefixAndLoad(t *testing.T) {
	tests := map[string]struct {
		setup    func(c *Controller)
		req      Request
		admitted bool
		next     settings.UpstreamID
	}{
		"new chat at an idle primary": {nil, Request{Chat: 1, PromptTokens: 100, DecodeTokens: 50, IsPrimary: true}, true, ""},
		"chat cached elsewhere": {func(c *Controller) { c.CacheOwners.RecordServed(1, "other") },
			Request{Chat: 1, PromptTokens: 2000, DecodeTokens: 50, IsPrimary: true}, false, "other"},
		"chat cached elsewhere, redirected here": {func(c *Controller) { c.CacheOwners.RecordServed(1, "other") },
			Request{Chat: 1, PromptTokens: 2000, DecodeTokens: 50, IsPrimary: true, Redirected: true}, true, ""},
		"short chat cached elsewhere is not worth a redirect": {func(c *Controller) { c.CacheOwners.RecordServed(1, "other") },
			Request{Chat: 1, PromptTokens: 50, DecodeTokens: 50, IsPrimary: true}, true, ""},
		"cached chat above the mean": {func(c *Controller) { c.load = 1050; c.Prefixes.RecordStored(1, 2000) },
			Request{Chat: 1, PromptTokens: 2000, DecodeTokens: 50, IsPrimary: true}, true, ""},
		"new chat above the mean": {func(c *Controller) { c.load = 1100 },
			Request{Chat: 1, PromptTokens: 100, DecodeTokens: 50, IsPrimary: true}, false, "light"},
		"cached chat at the multiple": {func(c *Controller) { c.load = 1240; c.Prefixes.RecordStored(1, 2000) },
			Request{Chat: 1, PromptTokens: 2000, DecodeTokens: 50, IsPrimary: true}, false, "light"},
		"every other side had more load": {func(c *Controller) { c.load = 1300 },
			Request{Chat: 1, PromptTokens: 100, DecodeTokens: 50, LastCandidate: true}, true, ""},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := controller()
			if test.setup != nil {
				test.setup(c)
			}
			decision := c.Decide(start, test.req)
			qt.Assert(t, decision.Admitted, qt.Equals, test.admitted)
			qt.Assert(t, decision.Next[0], qt.Equals, test.next)
		})
	}
}

func TestSideWithStaleMeanAdmitsOnlyTheFloor(t *testing.T) {
	c := qt.New(t)
	s := controller()
	resumed := start.Add(30 * time.Second)
	admitted := 0
	for range 20 {
		if s.Decide(resumed, Request{Chat: uint64(admitted), DecodeTokens: 100}).Admitted {
			admitted++
		}
	}
	c.Assert(admitted, qt.Equals, floorRequests)
	c.Assert(s.ExcessLoad(resumed), qt.Equals, settings.Tokens(0))
}

func TestLoadEqualsTheChargesOfOpenRequests(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := controller()
		var open []*Decision
		want := settings.Tokens(0)
		for i := range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				req := Request{
					Chat:          uint64(rapid.IntRange(1, 5).Draw(t, "chat")),
					PromptTokens:  settings.Tokens(rapid.IntRange(0, 3000).Draw(t, "prompt")),
					DecodeTokens:  settings.Tokens(rapid.IntRange(1, 300).Draw(t, "decode")),
					CacheOwner:    rapid.SampledFrom([]settings.UpstreamID{"", "other"}).Draw(t, "cache owner"),
					LastCandidate: rapid.Bool().Draw(t, "last candidate"),
				}
				decision := c.Decide(start.Add(time.Duration(i)), req)
				if decision.Admitted {
					want += decision.Charge
					open = append(open, &decision)
				}
			case 1:
				if len(open) > 0 {
					want -= open[0].Prefill
					c.RecordFirstToken(open[0])
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
					c.RecordMissingImport(open[0], 500)
					want += open[0].Charge - before
				}
			}
			if diff := c.Load() - want; diff > 0.001 || diff < -0.001 {
				t.Fatalf("load %v, want %v", c.Load(), want)
			}
		}
	})
}

func TestMoveDoesNotRaiseTheTargetAboveTheSource(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := controller()
		c.load = settings.Tokens(rapid.IntRange(0, 4000).Draw(t, "load"))
		m, ok := c.NextMove(start)
		if !ok {
			return
		}
		if c.load <= c.loadAt(1000, 0) {
			t.Fatalf("plans a move at load %v", c.load)
		}
		if 800+m.MaxCharge > c.load {
			t.Fatalf("a move of %v would raise the target's load above %v", m.MaxCharge, c.load)
		}
	})
}

func TestPrefixesStayWithinTheCacheSize(t *testing.T) {
	c := qt.New(t)
	p := &Prefixes{Limit: 1000}
	for i := range uint64(50) {
		p.RecordStored(i, 100)
		p.RecordStored(i, 120)
	}
	c.Assert(p.total <= 1000, qt.IsTrue)
	c.Assert(p.Cached(49), qt.Equals, settings.Tokens(120))
	c.Assert(p.Cached(0), qt.Equals, settings.Tokens(0))
}

func BenchmarkDecide(b *testing.B) {
	c := controller()
	for i := range uint64(2400) {
		c.CacheOwners.RecordServed(i, settings.UpstreamID(fmt.Sprint("side-", i%1015)))
	}
	b.ReportAllocs()
	for i := range b.N {
		decision := c.Decide(start, Request{Chat: uint64(i % 2400), PromptTokens: 2000, DecodeTokens: 100, IsPrimary: true})
		if decision.Admitted {
			c.Release(&decision)
		}
	}
}
