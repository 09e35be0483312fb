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

func TestCachedTokensCountsTheLeadingBlocksOnly(t *testing.T) {
	c := qt.New(t)
	var index Index
	blocks := []call.PromptBlock{{ID: 1, Tokens: 500}, {ID: 2, Tokens: 10_000}, {ID: 3, Tokens: 40}}
	index.RecordUse(second, blocks[:1], "a")
	index.RecordUse(second, blocks[1:2], "b")
	index.RecordUse(second, blocks[:2], "c")
	cached := index.CachedTokens(2*second, blocks, []settings.UpstreamID{"a", "b", "c", "d"})
	c.Assert(cached, qt.DeepEquals, []settings.Tokens{500, 0, 10_500, 0})
}

func TestUseIsReportedAgainAfterTheRenewInterval(t *testing.T) {
	c := qt.New(t)
	var index Index
	blocks := []call.PromptBlock{{ID: 7, Tokens: 100}}
	index.RecordUse(second, blocks, "a")
	c.Assert(index.TakeUpdates(second), qt.HasLen, 1)
	index.RecordUse(2*second, blocks, "a")
	c.Assert(index.TakeUpdates(2*second), qt.HasLen, 0)
	index.RecordUse(8*second, blocks, "a")
	c.Assert(index.TakeUpdates(9*second), qt.DeepEquals, []CacheEntry{{Block: 7, Upstream: "a", Age: time.Second}})
}

func TestForgottenUpstreamHasNoCachedTokens(t *testing.T) {
	c := qt.New(t)
	var index Index
	blocks := []call.PromptBlock{{ID: 7, Tokens: 100}}
	for _, id := range []settings.UpstreamID{"a", "b", "c"} {
		index.RecordUse(second, blocks, id)
	}
	index.Forget("b")
	index.Forget("b")
	cached := index.CachedTokens(second, blocks, []settings.UpstreamID{"a", "b", "c"})
	c.Assert(cached, qt.DeepEquals, []settings.Tokens{100, 0, 100})
}

func TestForgetOnAnEmptyIndex(t *testing.T) {
	var index Index
	index.Forget("a")
	index.Merge(second, []CacheEntry{{Block: 1, Upstream: "a", Age: 2 * time.Second}})
	index.Forget("a")
}

// TestBlockSharedByAllPromptsIsCachedEverywhere guards against a shared first block that hides the cached blocks behind it.
// All prompts of a service begin with the same block, and the service has more upstreams than the index keeps for a block.
func TestBlockSharedByAllPromptsIsCachedEverywhere(t *testing.T) {
	c := qt.New(t)
	var index Index
	common := call.PromptBlock{ID: 1, Tokens: 500}
	last := settings.UpstreamID("")
	for i := range 3 * maxOwners {
		last = settings.UpstreamID(fmt.Sprintf("engine-%d", i))
		index.RecordUse(second, []call.PromptBlock{common, {ID: call.PromptBlockID(100 + i), Tokens: 10_000}}, last)
	}
	for i := range 3 * maxOwners {
		id := settings.UpstreamID(fmt.Sprintf("engine-%d", i))
		blocks := []call.PromptBlock{common, {ID: call.PromptBlockID(100 + i), Tokens: 10_000}}
		cached := index.CachedTokens(second, blocks, []settings.UpstreamID{id, "other"})
		c.Assert(cached, qt.DeepEquals, []settings.Tokens{10_500, 500})
	}
}

// TestRecentListsReusedBlocksFirst covers a router that starts beside one that has served many prompts. The last blocks
// of most prompts are never used again, so the limited answer must begin with the blocks that prompts share.
func TestRecentListsReusedBlocksFirst(t *testing.T) {
	c := qt.New(t)
	index := &Index{}
	shared := call.PromptBlock{ID: 1, Tokens: 1000}
	for i := range 100 {
		index.RecordUse(second+clock.Instant(i), []call.PromptBlock{shared, {ID: call.PromptBlockID(100 + i), Tokens: 10}}, "engine-1")
	}
	index.RecordUse(second+clock.Instant(100), []call.PromptBlock{{ID: 500, Tokens: 10}}, "engine-1")
	recent := index.Recent(second+clock.Instant(101), 2)
	c.Assert(recent, qt.HasLen, 2)
	c.Assert(recent[0].Block, qt.Equals, shared.ID)
	c.Assert(recent[1].Block, qt.Equals, call.PromptBlockID(500))
}

// TestBlockWithManyOwnersIsNotCachedForever covers a block that counts as cached everywhere: an upstream that restarted has to
// process it again, and after the lifetime of the entry no upstream is known to cache it.
func TestBlockWithManyOwnersIsNotCachedForever(t *testing.T) {
	c := qt.New(t)
	var index Index
	blocks := []call.PromptBlock{{ID: 1, Tokens: 500}}
	for i := range 2 * maxOwners {
		index.RecordUse(second, blocks, settings.UpstreamID(fmt.Sprintf("engine-%d", i)))
	}
	cached := func(now clock.Instant, id settings.UpstreamID) settings.Tokens {
		return index.CachedTokens(now, blocks, []settings.UpstreamID{id})[0]
	}
	c.Assert(cached(second, "engine-0"), qt.Equals, settings.Tokens(500))
	index.Forget("engine-0")
	c.Assert(cached(second, "engine-0"), qt.Equals, settings.Tokens(0))
	c.Assert(cached(second, "engine-1"), qt.Equals, settings.Tokens(500))
	index.RecordUse(2*second, blocks, "engine-0")
	c.Assert(cached(2*second, "engine-0"), qt.Equals, settings.Tokens(500))
	late := (2 * second).Add(entryLifetime)
	c.Assert(cached(late, "engine-1"), qt.Equals, settings.Tokens(0))
	index.RecordUse(late, blocks, "engine-1")
	c.Assert(cached(late, "engine-1"), qt.Equals, settings.Tokens(500))
	c.Assert(cached(late, "engine-0"), qt.Equals, settings.Tokens(0))
}

// TestKnownUsesAreNotNews guards against cache entries that circle between routers for ever.
func TestKnownUsesAreNotNews(t *testing.T) {
	c := qt.New(t)
	var ix Index
	now := clock.Instant(time.Hour)
	entry := CacheEntry{Block: 7, Upstream: "e1"}
	c.Assert(ix.Merge(now, []CacheEntry{entry}), qt.HasLen, 1)
	delayed := entry
	delayed.Age = 500 * time.Millisecond
	c.Assert(ix.Merge(now.Add(time.Second), []CacheEntry{entry, delayed}), qt.HasLen, 0)
	c.Assert(ix.Merge(now.Add(renewInterval), []CacheEntry{entry}), qt.HasLen, 1)
	ix.RecordUse(now.Add(renewInterval), []call.PromptBlock{{ID: 8, Tokens: 10}}, "e1")
	c.Assert(ix.Merge(now.Add(renewInterval+time.Second), []CacheEntry{{Block: 8, Upstream: "e1"}}), qt.HasLen, 0)
}
