package affinity

import (
	"bytes"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/vmihailenco/msgpack/v5"

	"rattantrack.dev/core/call"
	"rattantrack.dev/core/clock"
	"rattantrack.dev/core/members"
	"rattantrack.dev/core/settings"
)

// exchanged returns entries as another router gets them.
func exchanged(c *qt.C, entries []CacheEntry) []CacheEntry {
	var wire bytes.Buffer
	enc := msgpack.NewEncoder(&wire)
	enc.UseArrayEncodedStructs(true)
	c.Assert(enc.Encode(Pack(entries)), qt.IsNil)
	var batches []Batch
	c.Assert(msgpack.NewDecoder(&wire).Decode(&batches), qt.IsNil)
	got, err := Unpack(batches)
	c.Assert(err, qt.IsNil)
	return got
}

func engine(id settings.UpstreamID, version members.Version) members.Instance {
	return members.Instance{ID: id, Service: "letters", Version: version, Incarnation: 7}
}

// TestListingsReachOtherRouters guards against a router that takes the engines which it knows to have a block for all that have it.
func TestListingsReachOtherRouters(t *testing.T) {
	c := qt.New(t)
	now := clock.Instant(time.Hour)
	var reader, other, late Index
	reader.RecordListing(now, []call.PromptBlock{{ID: 1, Tokens: 300}, {ID: 2, Tokens: 75}}, engine("a", "v1"))
	reader.RecordListing(now, nil, engine("b", "v2"))
	other.Merge(now, exchanged(c, reader.TakeUpdates(now)))
	late.Merge(now, exchanged(c, other.Recent(now, 100)))
	for _, ix := range []*Index{&reader, &other, &late} {
		list, complete := ix.Listed(now, 2)
		c.Assert(complete, qt.IsTrue)
		c.Assert(list, qt.HasLen, 1)
		c.Assert(list[0].Upstream, qt.Equals, settings.UpstreamID("a"))
		c.Assert(list[0].Listing, qt.Equals, Listing{Incarnation: 7, Service: "letters", Version: "v1", Tokens: 75})
		c.Assert(wasRead(ix, now, "a", 7), qt.IsTrue)
		c.Assert(wasRead(ix, now, "b", 7), qt.IsTrue)
		c.Assert(wasRead(ix, now, "a", 8), qt.IsFalse)
		c.Assert(wasRead(ix, now, "c", 7), qt.IsFalse)
		c.Assert(ix.CachedTokens(now, []call.PromptBlock{{ID: 1, Tokens: 300}}, []settings.UpstreamID{"a", "b"}),
			qt.DeepEquals, []settings.Tokens{300, 0})
		// A second loss of routers follows: what has begun since is not in the list.
		c.Assert(wasRead(ix, now.Add(readingTime-1), "a", 7), qt.IsTrue)
		c.Assert(wasRead(ix, now.Add(readingTime), "a", 7), qt.IsFalse)
		list, _ = ix.Listed(now.Add(entryLifetime), 2)
		c.Assert(list, qt.HasLen, 0)
	}
}

// TestFailedReadIsTakenForEmptyList guards against a cache that counts as read although its list never came, and against one that counts as
// unreadable for another process, for longer than a list holds, or at routers that have not tried.
func TestFailedReadIsTakenForEmptyList(t *testing.T) {
	c := qt.New(t)
	now := clock.Instant(time.Hour)
	var reader, other Index
	reader.RecordFailedRead(now, engine("a", "v1"))
	other.Merge(now, exchanged(c, reader.TakeUpdates(now)))
	failed := func(ix *Index, now clock.Instant, incarnation members.Incarnation) bool {
		_, ok := ix.FailedReadAge(now, "a", incarnation)
		return ok
	}
	c.Assert(wasRead(&reader, now, "a", 7), qt.IsFalse)
	c.Assert(failed(&reader, now, 7), qt.IsTrue)
	c.Assert(failed(&reader, now, 8), qt.IsFalse)
	c.Assert(failed(&other, now, 7), qt.IsFalse)
	c.Assert(failed(&reader, now.Add(readingTime-1), 7), qt.IsTrue)
	c.Assert(failed(&reader, now.Add(readingTime), 7), qt.IsFalse)
	reader.TakeUpdates(now.Add(readingTime))
	c.Assert(reader.readings.failed, qt.HasLen, 0)
}

// TestListingOutlivesItsEngine guards against a stream that seems to have begun at the only engine that is left of those that had its
// prompt.
func TestListingOutlivesItsEngine(t *testing.T) {
	c := qt.New(t)
	now := clock.Instant(time.Hour)
	var ix Index
	ix.RecordListing(now, []call.PromptBlock{{ID: 2, Tokens: 75}}, engine("a", "v1"))
	ix.RecordListing(now, []call.PromptBlock{{ID: 2, Tokens: 75}}, engine("b", "v2"))
	ix.Forget("a")
	list, complete := ix.Listed(now, 2)
	c.Assert(complete, qt.IsTrue)
	c.Assert(list, qt.HasLen, 2)
}

// TestCutListingsAreIncomplete guards against listings of which a part was dropped: what is left does not tell that no other engine
// has a block.
func TestCutListingsAreIncomplete(t *testing.T) {
	c := qt.New(t)
	now := clock.Instant(time.Hour)
	var ix Index
	ix.RecordListing(now, []call.PromptBlock{{ID: 2, Tokens: 75}, {ID: 3, Tokens: 75}}, engine("a", "v1"))
	var cut Index
	cut.Merge(now, exchanged(c, ix.Recent(now, 2)))
	c.Assert(wasRead(&cut, now, "a", 7), qt.IsFalse)

	for i := range maxListings + 1 {
		ix.RecordListing(now, []call.PromptBlock{{ID: 9, Tokens: 300}}, engine(settings.UpstreamID('c'+rune(i)), "v1"))
	}
	_, complete := ix.Listed(now, 9)
	c.Assert(complete, qt.IsFalse)
	_, complete = ix.Listed(now, 2)
	c.Assert(complete, qt.IsTrue)

	for id := range call.PromptBlockID(maxBlocks) {
		ix.RecordUse(now, []call.PromptBlock{{ID: 100 + id}}, "z")
	}
	_, complete = ix.Listed(now, 2)
	c.Assert(complete, qt.IsFalse)
	var late Index
	late.Merge(now, exchanged(c, ix.Recent(now, 2*maxBlocks)))
	c.Assert(wasRead(&late, now, "a", 7), qt.IsFalse)
	ix.TakeUpdates(now)
	_, complete = ix.Listed(now.Add(entryLifetime-1), 2)
	c.Assert(complete, qt.IsFalse)
	_, complete = ix.Listed(now.Add(entryLifetime), 2)
	c.Assert(complete, qt.IsTrue)
}

// wasRead reports whether the cache of a process has been read within readingTime.
func wasRead(ix *Index, now clock.Instant, id settings.UpstreamID, incarnation members.Incarnation) bool {
	_, ok := ix.ReadAge(now, id, incarnation)
	return ok
}
