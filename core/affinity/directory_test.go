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
	var d Directory
	parts := []call.Part{{ID: 1, Tokens: 500}, {ID: 2, Tokens: 10_000}, {ID: 3, Tokens: 40}}
	d.Used(second, parts[:1], "a")
	d.Used(second, parts[1:2], "b")
	d.Used(second, parts[:2], "c")
	held := d.Held(2*second, parts, []settings.UpstreamID{"a", "b", "c", "d"})
	c.Assert(held, qt.DeepEquals, []settings.Tokens{500, 0, 10_500, 0})
}

func TestHoldingsAreToldOnceAndAgain(t *testing.T) {
	c := qt.New(t)
	var d Directory
	part := []call.Part{{ID: 7, Tokens: 100}}
	d.Used(second, part, "a")
	c.Assert(d.News(second), qt.HasLen, 1)
	d.Used(2*second, part, "a")
	c.Assert(d.News(2*second), qt.HasLen, 0)
	d.Used(8*second, part, "a")
	c.Assert(d.News(9*second), qt.DeepEquals, []Holding{{Part: 7, Upstream: "a", Age: time.Second}})
}

func TestForgottenUpstreamHoldsNothing(t *testing.T) {
	c := qt.New(t)
	var d Directory
	part := []call.Part{{ID: 7, Tokens: 100}}
	for _, id := range []settings.UpstreamID{"a", "b", "c"} {
		d.Used(second, part, id)
	}
	d.Forget("b")
	d.Forget("b")
	held := d.Held(second, part, []settings.UpstreamID{"a", "b", "c"})
	c.Assert(held, qt.DeepEquals, []settings.Tokens{100, 0, 100})
}

func TestForgetOnAnEmptyDirectory(t *testing.T) {
	var d Directory
	d.Forget("a")
	d.Learn(second, []Holding{{Part: 1, Upstream: "a", Age: 2 * time.Second}})
	d.Forget("a")
}

// TestBeginningOfAllPromptsIsHeldEverywhere replays a service with more upstreams than are remembered for one part: the
// beginning that all prompts share must not hide the longer parts behind it.
func TestBeginningOfAllPromptsIsHeldEverywhere(t *testing.T) {
	c := qt.New(t)
	var d Directory
	common := call.Part{ID: 1, Tokens: 500}
	last := settings.UpstreamID("")
	for i := range 3 * maxHolders {
		last = settings.UpstreamID(fmt.Sprintf("engine-%d", i))
		d.Used(second, []call.Part{common, {ID: call.PartID(100 + i), Tokens: 10_000}}, last)
	}
	for i := range 3 * maxHolders {
		id := settings.UpstreamID(fmt.Sprintf("engine-%d", i))
		held := d.Held(second, []call.Part{common, {ID: call.PartID(100 + i), Tokens: 10_000}}, []settings.UpstreamID{id, "other"})
		c.Assert(held, qt.DeepEquals, []settings.Tokens{10_500, 500})
	}
}

// TestPartsThatAreUsedAgainAreToldFirst replays a router that starts beside one that has served many prompts, most of
// whose last parts never come again: what fits into one answer must be the parts that others share.
func TestPartsThatAreUsedAgainAreToldFirst(t *testing.T) {
	c := qt.New(t)
	d := &Directory{}
	shared := call.Part{ID: 1, Tokens: 1000}
	for i := range 100 {
		d.Used(second+clock.Instant(i), []call.Part{shared, {ID: call.PartID(100 + i), Tokens: 10}}, "engine-1")
	}
	d.Used(second+clock.Instant(100), []call.Part{{ID: 500, Tokens: 10}}, "engine-1")
	recent := d.Recent(second+clock.Instant(101), 2)
	c.Assert(recent, qt.HasLen, 2)
	c.Assert(recent[0].Part, qt.Equals, shared.ID)
	c.Assert(recent[1].Part, qt.Equals, call.PartID(500))
}
