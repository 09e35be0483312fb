package affinity

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"rattantrack.dev/core/call"
	"rattantrack.dev/core/clock"
	"rattantrack.dev/core/settings"
)

const second = clock.Instant(time.Second)

func TestHeldCountsTheLeadingPartsOnly(t *testing.T) {
	c := qt.New(t)
	var d Index
	parts := []call.PromptBlock{{ID: 1, Tokens: 500}, {ID: 2, Tokens: 10_000}, {ID: 3, Tokens: 40}}
	d.RecordUse(second, parts[:1], "a")
	d.RecordUse(second, parts[1:2], "b")
	d.RecordUse(second, parts[:2], "c")
	held := d.CachedTokens(2*second, parts, []settings.UpstreamID{"a", "b", "c", "d"})
	c.Assert(held, qt.DeepEquals, []settings.Tokens{500, 0, 10_500, 0})
}

func TestHoldingsAreToldOnceAndAgain(t *testing.T) {
	c := qt.New(t)
	var d Index
	part := []call.PromptBlock{{ID: 7, Tokens: 100}}
	d.RecordUse(second, part, "a")
	c.Assert(d.TakeUpdates(second), qt.HasLen, 1)
	d.RecordUse(2*second, part, "a")
	c.Assert(d.TakeUpdates(2*second), qt.HasLen, 0)
	d.RecordUse(8*second, part, "a")
	c.Assert(d.TakeUpdates(9*second), qt.DeepEquals, []CacheEntry{{Block: 7, Upstream: "a", Age: time.Second}})
}

func TestForgottenUpstreamHoldsNothing(t *testing.T) {
	c := qt.New(t)
	var d Index
	part := []call.PromptBlock{{ID: 7, Tokens: 100}}
	for _, id := range []settings.UpstreamID{"a", "b", "c"} {
		d.RecordUse(second, part, id)
	}
	d.Forget("b")
	d.Forget("b")
	held := d.CachedTokens(second, part, []settings.UpstreamID{"a", "b", "c"})
	c.Assert(held, qt.DeepEquals, []settings.Tokens{100, 0, 100})
}

func TestForgetOnAnEmptyDirectory(t *testing.T) {
	var d Index
	d.Forget("a")
	d.Merge(second, []CacheEntry{{Block: 1, Upstream: "a", Age: 2 * time.Second}})
	d.Forget("a")
}

// TestBeginningOfAllPromptsIsHeldEverywhere replays a service with more upstreams than are remembered for one part: the
// beginning that all prompts share must not hide the longer parts behind it.
func TestBeginningOfAllPromptsIsHeldEverywhere(t *testing.T) {
	c := qt.New(t)
	var d Index
	common := call.PromptBlock{ID: 1, Tokens: 500}
	last := settings.UpstreamID("")
	for i := range 3 * maxHolders {
		last = settings.UpstreamID(fmt.Sprintf("engine-%d", i))
		d.RecordUse(second, []call.PromptBlock{common, {ID: call.PromptBlockID(100 + i), Tokens: 10_000}}, last)
	}
	for i := range 3 * maxHolders {
		id := settings.UpstreamID(fmt.Sprintf("engine-%d", i))
		held := d.CachedTokens(second, []call.PromptBlock{common, {ID: call.PromptBlockID(100 + i), Tokens: 10_000}}, []settings.UpstreamID{id, "other"})
		c.Assert(held, qt.DeepEquals, []settings.Tokens{10_500, 500})
	}
}

// TestPartsThatAreUsedAgainAreToldFirst replays a router that starts beside one that has served many prompts, most of
// whose last parts never come again: what fits into one answer must be the parts that others share.
func TestPartsThatAreUsedAgainAreToldFirst(t *testing.T) {
	c := qt.New(t)
	d := &Index{}
	shared := call.PromptBlock{ID: 1, Tokens: 1000}
	for i := range 100 {
		d.RecordUse(second+clock.Instant(i), []call.PromptBlock{shared, {ID: call.PromptBlockID(100 + i), Tokens: 10}}, "engine-1")
	}
	d.RecordUse(second+clock.Instant(100), []call.PromptBlock{{ID: 500, Tokens: 10}}, "engine-1")
	recent := d.Recent(second+clock.Instant(101), 2)
	c.Assert(recent, qt.HasLen, 2)
	c.Assert(recent[0].Block, qt.Equals, shared.ID)
	c.Assert(recent[1].Block, qt.Equals, call.PromptBlockID(500))
}
