package affinity

import (
	"slices"
	"time"

	"rattantrack.dev/core/call"
	"rattantrack.dev/core/clock"
	"rattantrack.dev/core/members"
	"rattantrack.dev/core/settings"
)

// readMark is the block id of an entry without a block, which tells that the cache of the upstream has been read.
const readMark call.PromptBlockID = 0

// readingTime is how long the list of a cache tells what the cache lacks. Streams that begin later are not in it.
const readingTime = 15 * time.Second

// maxListings bounds the listings of one block. A block that belongs to one request or session alone has few.
const maxListings = 4

// Listing is what an upstream states about a block in its cache; the zero value is none.
type Listing struct {
	// Incarnation, Service and Version are those of the process that has listed the block.
	Incarnation members.Incarnation
	Service     settings.ServiceName
	Version     members.Version
	// Tokens is the number of cached tokens, which exceeds that of the block in a prompt once tokens have been generated behind it.
	Tokens uint32
}

// Listed is the listing of one upstream.
type Listed struct {
	Upstream settings.UpstreamID
	Listing
	at clock.Instant
}

// readings is what an index knows of the caches that have been read.
type readings struct {
	read map[settings.UpstreamID]Listed
	// failed holds the processes whose caches this router could not read. Others are not told, since a failed read may be due to the router
	// that tried it.
	failed map[settings.UpstreamID]failedRead
	// evicted reports that a block was evicted for want of room since evictedAt was last set, 0 for never.
	evicted   bool
	evictedAt clock.Instant
}

// failedRead is a read of a cache that failed.
type failedRead struct {
	incarnation members.Incarnation
	at          clock.Instant
}

// RecordFailedRead records that the cache of an upstream could not be read.
func (ix *Index) RecordFailedRead(now clock.Instant, inst members.Instance) {
	ix.mu.Lock()
	defer ix.mu.Unlock()
	if ix.readings.failed == nil {
		ix.readings.failed = make(map[settings.UpstreamID]failedRead)
	}
	ix.readings.failed[inst.ID] = failedRead{incarnation: inst.Incarnation, at: now}
}

// FailedReadAge returns how long ago this router last failed to read the cache of a process, false if not within readingTime.
func (ix *Index) FailedReadAge(now clock.Instant, id settings.UpstreamID, incarnation members.Incarnation) (time.Duration, bool) {
	ix.mu.Lock()
	defer ix.mu.Unlock()
	f, ok := ix.readings.failed[id]
	age := now.Sub(f.at)
	return age, ok && f.incarnation == incarnation && age < readingTime
}

// RecordListing records the blocks that an upstream has listed as cached.
func (ix *Index) RecordListing(now clock.Instant, blocks []call.PromptBlock, inst members.Instance) {
	ix.mu.Lock()
	defer ix.mu.Unlock()
	stated := Listing{Incarnation: inst.Incarnation, Service: inst.Service, Version: inst.Version}
	if inst.Incarnation == 0 {
		stated = Listing{}
	}
	// The mark goes first, so that it is the first one to be dropped where entries are.
	ix.recordOwn(now, CacheEntry{Block: readMark, Upstream: inst.ID, Listing: stated})
	for _, b := range blocks {
		if b.ID == readMark {
			continue
		}
		e := CacheEntry{Block: b.ID, Upstream: inst.ID, Listing: stated}
		if inst.Incarnation != 0 {
			e.Listing.Tokens = uint32(max(0, b.Tokens))
		}
		ix.record(b.ID, inst.ID, now).reported = now
		ix.recordOwn(now, e)
	}
}

// recordOwn records a listing that this router has read, and queues it for the others. ix.mu is held.
func (ix *Index) recordOwn(now clock.Instant, e CacheEntry) {
	if e.Listing.Incarnation != 0 {
		ix.recordListing(e, now)
	}
	ix.updates = append(ix.updates, e)
	ix.updateTimes = append(ix.updateTimes, now)
}

// recordListing records the listing of an entry, whose block is in the table. ix.mu is held.
func (ix *Index) recordListing(e CacheEntry, at clock.Instant) {
	l := Listed{Upstream: e.Upstream, Listing: e.Listing, at: at}
	if e.Block == readMark {
		if ix.readings.read == nil {
			ix.readings.read = make(map[settings.UpstreamID]Listed)
		}
		if ix.readings.read[e.Upstream].at <= at {
			ix.readings.read[e.Upstream] = l
		}
		return
	}
	entry, _ := ix.table().Peek(e.Block)
	if entry.listedByMany {
		return
	}
	entry.listings = slices.DeleteFunc(entry.listings, func(o Listed) bool {
		return at.Sub(o.at) >= entryLifetime || (o.Upstream == l.Upstream && o.Incarnation == l.Incarnation)
	})
	entry.listings = append(entry.listings, l)
	if len(entry.listings) > maxListings {
		entry.listings, entry.listedByMany = nil, true
	}
}

// readMarks returns the entries that tell which caches have been read. ix.mu is held.
func (ix *Index) readMarks(now clock.Instant) []CacheEntry {
	var entries []CacheEntry
	for _, l := range ix.readings.read {
		if age := now.Sub(l.at); age < entryLifetime {
			entries = append(entries, CacheEntry{Block: readMark, Upstream: l.Upstream, Age: age, Listing: l.Listing})
		}
	}
	return entries
}

// Listed returns which upstreams have listed a block, also those that have ended since. It returns false if some may be missing.
func (ix *Index) Listed(now clock.Instant, block call.PromptBlockID) ([]Listed, bool) {
	ix.mu.Lock()
	defer ix.mu.Unlock()
	if !ix.holdsAll(now) {
		return nil, false
	}
	entry, ok := ix.table().Peek(block)
	if !ok {
		return nil, true
	}
	var list []Listed
	for _, l := range entry.listings {
		if now.Sub(l.at) < entryLifetime {
			list = append(list, l)
		}
	}
	return list, !entry.listedByMany
}

// holdsAll reports that no block was evicted within the lifetime of the entries. ix.mu is held.
func (ix *Index) holdsAll(now clock.Instant) bool {
	at := ix.readings.evictedAt
	return !ix.readings.evicted && (at == 0 || now.Sub(at) >= entryLifetime)
}

// ReadAge returns how long ago the cache of a process was read, false if not within readingTime.
func (ix *Index) ReadAge(now clock.Instant, id settings.UpstreamID, incarnation members.Incarnation) (time.Duration, bool) {
	ix.mu.Lock()
	defer ix.mu.Unlock()
	l, ok := ix.readings.read[id]
	age := now.Sub(l.at)
	return age, ok && l.Incarnation == incarnation && age < readingTime
}

// isListing reports whether an owner was recorded by its listing alone.
func (e *blockEntry) isListing(owner cacheOwner) bool {
	return slices.ContainsFunc(e.listings, func(l Listed) bool { return l.Upstream == owner.upstream && l.at == owner.lastUse })
}

// reviewReadings forgets what has expired. ix.mu is held.
func (ix *Index) reviewReadings(now clock.Instant) {
	if ix.readings.evicted {
		ix.readings.evicted, ix.readings.evictedAt = false, now
	}
	for id, l := range ix.readings.read {
		if now.Sub(l.at) >= entryLifetime {
			delete(ix.readings.read, id)
		}
	}
	for id, f := range ix.readings.failed {
		if now.Sub(f.at) >= readingTime {
			delete(ix.readings.failed, id)
		}
	}
}
